#pragma once

/**
 * @file
 * Order to an engine to change its stage, and the engine's report about its stage.
 */

#include <cstdint>

#include "apricotarch/base/ids.h"
#include "apricotarch/state/backend.h"

namespace apricotarch
{

/// An order to an engine to change its stage.
struct StageOrder
{
    ReplicaId engine;
    EngineStage stage = EngineStage::Any;
    NodeId leaseHolder;
    FencingToken fencingToken;
    std::int64_t expectedOrders = 0; ///< Orders accepted by the engine so far; it declines the order if its own count differs.
};

/// Stage and order count of an engine, as it reported them last.
struct EngineStageReport
{
    EngineStage stage = EngineStage::Any;
    bool busy = false; ///< Whether the engine is carrying out an order.
    std::int64_t orders = 0; ///< Number of orders accepted since the engine's start.
    std::int64_t startedAt = 0; ///< Unix time of the engine's start, in milliseconds.
};

} // namespace apricotarch
