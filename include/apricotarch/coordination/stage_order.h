#pragma once

/**
 * @file
 * An order to an engine to change its stage.
 */

#include <cstdint>

#include "apricotarch/base/ids.h"
#include "apricotarch/state/backend.h"

namespace apricotarch
{

/// What an order says.
struct StageOrder
{
    ReplicaId engine;
    EngineStage stage = EngineStage::Any;
    NodeId holder;
    FencingToken fence;
    std::int64_t expectedOrders = 0; ///< Orders that the engine must have accepted before; any other number declines it.
};

/// What an engine says of itself, as of a moment ago.
struct EngineReport
{
    EngineStage stage = EngineStage::Any;
    bool busy = false; ///< An order is being carried out.
    std::int64_t orders = 0; ///< Orders accepted since its start.
    std::int64_t startedAt = 0; ///< Unix time of its start in milliseconds.
};

} // namespace apricotarch
