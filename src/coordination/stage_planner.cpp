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

/// With fewer streams, a few requests per second at most, the demand does not allow an estimate of the ratio between the stages.
constexpr double MinStreams = 3;

double higherUtilization(std::size_t prefill, std::size_t decode, const StageDemand &demand, const StagePlannerSettings &policy)
{
    const double prefillUtilization = demand.promptTokensPerMs / (static_cast<double>(prefill) * policy.prefillTokensPerMs);
    const double decodeUtilization = demand.streams / (static_cast<double>(decode) * policy.maxStreamsPerEngine);
    return std::max(prefillUtilization, decodeUtilization);
}

} // namespace

std::size_t maxConcurrentChanges(std::size_t engines) noexcept
{
    return 1 + engines / EnginesPerChange;
}

std::size_t planPrefillEngines(std::size_t engines, std::size_t present, const StageDemand &demand, const StagePlannerSettings &policy)
{
    if (engines < 2) {
        return 0;
    }
    const auto engineCount = [engines](double share) {
        return static_cast<std::size_t>(std::lround(share * static_cast<double>(engines)));
    };
    const std::size_t minPerStage = std::clamp<std::size_t>(engineCount(policy.minShare), 1, engines / 2);
    const std::size_t initial = std::clamp<std::size_t>(engineCount(policy.initialPrefillShare), minPerStage, engines - minPerStage);
    if (demand.streams < MinStreams) {
        return initial;
    }
    std::size_t best = initial;
    double lowest = higherUtilization(initial, engines - initial, demand, policy);
    for (std::size_t prefill = minPerStage; prefill <= engines - minPerStage; ++prefill) {
        const double utilization = higherUtilization(prefill, engines - prefill, demand, policy);
        if (utilization < lowest) {
            lowest = utilization;
            best = prefill;
        }
    }
    if (present == 0 || present >= engines) {
        return best;
    }
    const double now = higherUtilization(present, engines - present, demand, policy);
    return now - lowest < policy.minGain ? present : best;
}

std::optional<StageChange> selectStageChange(const std::vector<BackendPointer> &engines,
    const StageDemand &demand,
    const std::map<ReplicaId, TimePoint> &changedAt,
    const StagePlannerSettings &policy,
    TimePoint now)
{
    const auto present = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [now](const BackendPointer &engine) {
        return engine->targetStage(now) == EngineStage::Prefill;
    }));
    const std::size_t planned = planPrefillEngines(engines.size(), present, demand, policy);
    if (planned == present || engines.size() < 2) {
        return std::nullopt;
    }
    const EngineStage from = planned > present ? EngineStage::Decode : EngineStage::Prefill;
    BackendPointer selected;
    for (const BackendPointer &engine : engines) {
        const auto changed = changedAt.find(engine->record.id);
        const bool changeAllowed = changed == changedAt.end() || now - changed->second >= policy.minChangeInterval;
        if (engine->targetStage(now) != from || engine->record.stage != from || !changeAllowed) {
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
