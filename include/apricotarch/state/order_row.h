#pragma once

/**
 * @file
 * The row of an engine's orders in the platform's table. At most one order is open, and it is written before it is sent.
 */

#include <vector>

#include "apricotarch/base/ids.h"
#include "apricotarch/state/configuration.h"

namespace apricotarch
{

/// The kind of work that an engine accepts.
enum class EngineRole {
    Mixed,
    Prefill,
    Decode,
};

/// The engine state that an order requests.
struct EngineTarget
{
    ModelSpec model;
    EngineRole role = EngineRole::Mixed;

    bool operator==(const EngineTarget &) const = default;
};

/// A process that may still send an order. The entry is removed only when it is certain that the process will not send it.
struct PendingSender
{
    NodeId node;
    Incarnation incarnation; ///< Incarnation of the sender's process.
    Incarnation engineIncarnation; ///< Incarnation of the engine to which the sender is connected.
    FencingToken fencingToken; ///< Fencing token with which the sender sends the order.

    bool operator==(const PendingSender &) const = default;
};

/// The latest order of one engine and the processes that may still send it.
struct OrderRow
{
    OrderNumber number; ///< Number of the latest order.
    EngineTarget target; ///< State that the latest order requests.
    bool open = false; ///< True until the engine is observed in the requested state.
    FencingToken fencingToken; ///< Highest fencing token issued for this engine.
    FencingToken leaseToken; ///< Token of the lease under which the row was last written.
    std::vector<PendingSender> pending;
    WriteAttemptId attempt; ///< Identifies the write that produced this row.

    bool operator==(const OrderRow &) const = default;
};

} // namespace apricotarch
