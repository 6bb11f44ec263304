#pragma once

/**
 * @file
 * Plans how many engines of a service run at the prefill stage and at the decode stage, and which engine to change next.
 */

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/backend.h"

namespace apricotarch
{

/// Demand on a service's engines from all nodes together.
struct StageDemand
{
    double promptTokensPerMs = 0; ///< Rate of tokens to prefill, per millisecond.
    double streams = 0; ///< Number of streams being decoded.
};

/// Averages over the prompts of a service.
struct PromptAverages
{
    double tokensToPrefill = 0;
    double streamMs = 0; ///< Duration of the answer's stream, in milliseconds.
};

/// Parameters of the planning.
struct StagePlannerSettings
{
    double prefillTokensPerMs = 44; ///< Prefill rate of one engine at the prefill stage, the time of its batch steps included.
    double eventIntervalMs = 55; ///< Interval in milliseconds between two events of a stream at an engine with a moderate batch.
    double maxStreamsPerEngine = 16; ///< Streams at one engine up to which the gaps between events stay short.
    double initialPrefillShare = 0.55; ///< Share of engines at the prefill stage before any load is known.
    double minShare = 0.3; ///< Minimum share of engines at each stage: a crash or a burst must not leave a stage without any.
    double minGain = 0.2; ///< Minimum by which a change must lower the higher of the two stages' utilizations.
    Duration minChangeInterval = std::chrono::seconds(25); ///< Minimum interval between two changes of one engine.
};

/// A stage change to order.
struct StageChange
{
    ReplicaId engine;
    EngineStage stage = EngineStage::Any;
};

/**
 * Returns the demand that is left to the other engines if those that limit their request rate get as many requests as they take.
 * @param demand demand on the service
 * @param engines engines of the service; those without a limit are ignored
 * @param averages averages over the service's prompts
 */
[[nodiscard]] StageDemand subtractLimitedEngines(
    const StageDemand &demand, const std::vector<BackendPointer> &engines, const PromptAverages &averages);

/**
 * Returns the number of engines that should be at the prefill stage.
 * @param engines number of the service's engines; with fewer than 2 the result is 0
 * @param currentPrefill current number of engines at the prefill stage, pending changes included
 * @param demand demand on the service
 * @param settings parameters of the planning
 */
[[nodiscard]] std::size_t planPrefillEngines(
    std::size_t engines, std::size_t currentPrefill, const StageDemand &demand, const StagePlannerSettings &settings);

/**
 * Selects the least loaded engine of the stage that has too many engines for the next change.
 * @param engines ready engines of the service
 * @param demand demand on the service
 * @param lastOrderAt time of the last change order of each engine
 * @param settings parameters of the planning
 * @param now current time
 * @return the change, or nothing if no change is due
 */
[[nodiscard]] std::optional<StageChange> selectStageChange(const std::vector<BackendPointer> &engines,
    const StageDemand &demand,
    const std::map<ReplicaId, TimePoint> &lastOrderAt,
    const StagePlannerSettings &settings,
    TimePoint now);

/**
 * Returns how many engines of a service may change their stage at the same time. The number grows with the fleet, so that
 * large fleets adapt to a changed demand as fast as small ones.
 * @return at least 1
 */
[[nodiscard]] std::size_t maxConcurrentChanges(std::size_t engines) noexcept;

} // namespace apricotarch
