#include "apricotarch/coordination/stage_planner.h"

#include <algorithm>
#include <cmath>

namespace apricotarch
{

namespace
{

/// Number of engines for each simultaneous change: while one of 13 engines changes its stage, each of the others has a twelfth more work
/// for some seconds.
constexpr std::size_t EnginesPerChange = 13;

/// Minimum number of streams for planning by demand: with fewer, which means a few requests per second at most, the ratio
/// between the stages cannot be estimated.
constexpr double MinStreams = 3;

double higherUtilization(std::size_t prefill, std::size_t decode, const StageDemand &demand, const StagePlannerSettings &settings)
{
    const double prefillUtilization = demand.promptTokensPerMs / (static_cast<double>(prefill) * settings.prefillTokensPerMs);
    const double decodeUtilization = demand.streams / (static_cast<double>(decode) * settings.maxStreamsPerEngine);
    return std::max(prefillUtilization, decodeUtilization);
}

} // namespace

std::size_t maxConcurrentChanges(std::size_t engines) noexcept
{
    return 1 + engines / EnginesPerChange;
}

StageDemand subtractLimitedEngines(const StageDemand &demand, const std::vector<BackendPointer> &engines, const PromptAverages &averages)
{
    constexpr double MillisecondsPerSecond = 1000;
    StageDemand left = demand;
    for (const BackendPointer &engine : engines) {
        const double requestsPerMs = engine->rateStatement.perSecond.value_or(0) / MillisecondsPerSecond;
        if (engine->record.stage == EngineStage::Prefill) {
            left.promptTokensPerMs -= requestsPerMs * averages.tokensToPrefill;
        } else {
            left.streams -= requestsPerMs * averages.streamMs;
        }
    }
    left.promptTokensPerMs = std::max(left.promptTokensPerMs, 0.0);
    // With fewer streams the demand would count as unknown.
    left.streams = std::max(left.streams, std::min(demand.streams, MinStreams));
    return left;
}

std::size_t planPrefillEngines(
    std::size_t engines, std::size_t currentPrefill, const StageDemand &demand, const StagePlannerSettings &settings)
{
    if (engines < 2) {
        return 0;
    }
    const auto engineCount = [engines](double share) {
        return static_cast<std::size_t>(std::lround(share * static_cast<double>(engines)));
    };
    const std::size_t minPerStage = std::clamp<std::size_t>(engineCount(settings.minShare), 1, engines / 2);
    const std::size_t initial = std::clamp<std::size_t>(engineCount(settings.initialPrefillShare), minPerStage, engines - minPerStage);
    if (demand.streams < MinStreams) {
        return initial;
    }
    std::size_t best = initial;
    double lowest = higherUtilization(initial, engines - initial, demand, settings);
    for (std::size_t prefill = minPerStage; prefill <= engines - minPerStage; ++prefill) {
        const double utilization = higherUtilization(prefill, engines - prefill, demand, settings);
        if (utilization < lowest) {
            lowest = utilization;
            best = prefill;
        }
    }
    if (currentPrefill == 0 || currentPrefill >= engines) {
        return best;
    }
    const double currentUtilization = higherUtilization(currentPrefill, engines - currentPrefill, demand, settings);
    return currentUtilization - lowest < settings.minGain ? currentPrefill : best;
}

std::optional<StageChange> selectStageChange(const std::vector<BackendPointer> &engines,
    const StageDemand &demand,
    const std::map<ReplicaId, TimePoint> &lastOrderAt,
    const StagePlannerSettings &settings,
    TimePoint now)
{
    const auto currentPrefill = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [now](const BackendPointer &engine) {
        return engine->targetStage(now) == EngineStage::Prefill;
    }));
    const std::size_t planned = planPrefillEngines(engines.size(), currentPrefill, demand, settings);
    if (planned == currentPrefill || engines.size() < 2) {
        return std::nullopt;
    }
    const EngineStage from = planned > currentPrefill ? EngineStage::Decode : EngineStage::Prefill;
    BackendPointer selected;
    for (const BackendPointer &engine : engines) {
        const auto lastOrder = lastOrderAt.find(engine->record.id);
        const bool changeAllowed = lastOrder == lastOrderAt.end() || now - lastOrder->second >= settings.minChangeInterval;
        if (engine->targetStage(now) != from || engine->record.stage != from || !changeAllowed || engine->declines(now)) {
            continue;
        }
        if (!selected || engine->load().requests < selected->load().requests) {
            selected = engine;
        }
    }
    if (!selected) {
        return std::nullopt;
    }
    return StageChange{selected->record.id, from == EngineStage::Decode ? EngineStage::Prefill : EngineStage::Decode};
}

} // namespace apricotarch
