#include "apricotarch/coordination/stage_planner.h"

#include <algorithm>
#include <cmath>

namespace apricotarch
{

namespace
{

/// One engine away of so many costs the others a twelfth more work for some seconds.
constexpr std::size_t EnginesPerChange = 13;

/// Below this the demand says nothing about the mix: a few requests a second at most.
constexpr double LeastStreams = 3;

double higherUtilization(std::size_t prefill, std::size_t decode, const StageDemand &demand, const StagePolicy &policy)
{
    const double reading = demand.promptTokensPerMs / (static_cast<double>(prefill) * policy.readTokensPerMs);
    const double generating = demand.streams / (static_cast<double>(decode) * policy.streamsPerEngine);
    return std::max(reading, generating);
}

} // namespace

std::size_t mostChangesAtOnce(std::size_t engines) noexcept
{
    return 1 + engines / EnginesPerChange;
}

std::size_t wantedPrefill(std::size_t engines, std::size_t present, const StageDemand &demand, const StagePolicy &policy)
{
    if (engines < 2) {
        return 0;
    }
    const auto part = [engines](double share) {
        return static_cast<std::size_t>(std::lround(share * static_cast<double>(engines)));
    };
    const std::size_t least = std::clamp<std::size_t>(part(policy.leastShare), 1, engines / 2);
    const std::size_t initial = std::clamp<std::size_t>(part(policy.initialPrefillShare), least, engines - least);
    if (demand.streams < LeastStreams) {
        return initial;
    }
    std::size_t best = initial;
    double lowest = higherUtilization(initial, engines - initial, demand, policy);
    for (std::size_t prefill = least; prefill <= engines - least; ++prefill) {
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
    return now - lowest < policy.leastGain ? present : best;
}

std::optional<StageChange> nextStageChange(const std::vector<BackendPointer> &engines,
    const StageDemand &demand,
    const std::map<ReplicaId, TimePoint> &changedAt,
    const StagePolicy &policy,
    TimePoint now)
{
    const auto present = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [now](const BackendPointer &engine) {
        return engine->stageToBe(now) == EngineStage::Prefill;
    }));
    const std::size_t wanted = wantedPrefill(engines.size(), present, demand, policy);
    if (wanted == present || engines.size() < 2) {
        return std::nullopt;
    }
    const EngineStage from = wanted > present ? EngineStage::Decode : EngineStage::Prefill;
    BackendPointer chosen;
    for (const BackendPointer &engine : engines) {
        const auto changed = changedAt.find(engine->record.id);
        const bool rested = changed == changedAt.end() || now - changed->second >= policy.between;
        if (engine->stageToBe(now) != from || engine->record.stage != from || !rested) {
            continue;
        }
        if (!chosen || engine->load().requests < chosen->load().requests) {
            chosen = engine;
        }
    }
    if (!chosen) {
        return std::nullopt;
    }
    return StageChange{chosen->record.id, from == EngineStage::Decode ? EngineStage::Prefill : EngineStage::Decode};
}

} // namespace apricotarch
