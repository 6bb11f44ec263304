#pragma once

/**
 * @file
 * How many engines of a service should read prompts and how many should generate, and which one to change next.
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

/// What a service's engines have to do, over all nodes.
struct StageDemand
{
    double promptTokensPerMs = 0; ///< Tokens to be read.
    double streams = 0; ///< Streams that are generating.
};

/// Figures of the decision.
struct StagePolicy
{
    double readTokensPerMs = 44; ///< Of one engine at the prefill stage, with its steps.
    double eventMs = 55; ///< Between two events of a stream at an engine with a moderate batch.
    double streamsPerEngine = 16; ///< Streams at one engine that still leave pauses short.
    double initialPrefillShare = 0.55; ///< Share of engines at the prefill stage before any load is known.
    double leastShare = 0.3; ///< Of the engines, at either stage: a crash or a burst must not leave none.
    double leastGain = 0.2; ///< A change must lower the higher of the two utilizations by this much.
    Duration between = std::chrono::seconds(25); ///< Between two changes of one engine.
};

/// A change that is due.
struct StageChange
{
    ReplicaId engine;
    EngineStage stage = EngineStage::Any;
};

/// Engines that should be at the prefill stage. @param engines of the service, at least 2 for a result above 0
[[nodiscard]] std::size_t wantedPrefill(std::size_t engines, std::size_t present, const StageDemand &demand, const StagePolicy &policy);

/**
 * The next change, if any: the least loaded engine of the stage that has too many.
 * @param engines ready engines of the service
 * @param demand of the service
 * @param changedAt when engines were last ordered to change
 */
[[nodiscard]] std::optional<StageChange> nextStageChange(const std::vector<BackendPointer> &engines,
    const StageDemand &demand,
    const std::map<ReplicaId, TimePoint> &changedAt,
    const StagePolicy &policy,
    TimePoint now);

/// Engines of a service that may change together, so that large fleets follow the mix as fast as small ones. @return 1 or more
[[nodiscard]] std::size_t mostChangesAtOnce(std::size_t engines) noexcept;

} // namespace apricotarch
