#pragma once

/**
 * @file
 * The row of an engine's orders in the platform's table: at most one order is open, and it is written before it is sent.
 */

#include <vector>

#include "apricotarch/base/ids.h"
#include "apricotarch/state/configuration.h"

namespace apricotarch
{

/// What kind of work an engine takes.
enum class EngineRole {
    Mixed,
    Prefill,
    Decode,
};

/// The state an order brings an engine into.
struct EngineTarget
{
    ModelSpec model;
    EngineRole role = EngineRole::Mixed;

    bool operator==(const EngineTarget &) const = default;
};

/// A process that may still send the order it names; kept until it is certain that it will not.
struct PendingSender
{
    NodeId node;
    Incarnation incarnation; ///< Of the sender's process.
    Incarnation engineIncarnation; ///< Of the engine at the other end of the sender's connection.
    FencingToken fence; ///< The fencing token that this sender puts on the order.

    bool operator==(const PendingSender &) const = default;
};

/// The orders of one engine.
struct OrderRow
{
    OrderNumber number; ///< Of the latest order.
    EngineTarget target; ///< Of the latest order.
    bool open = false; ///< Whether the latest order is not yet seen done.
    FencingToken fence; ///< Highest fencing token given out for this engine.
    FencingToken leaseToken; ///< Token of the lease under which the row was last written.
    std::vector<PendingSender> pending;
    AttemptId attempt; ///< The write that made this row.

    bool operator==(const OrderRow &) const = default;
};

} // namespace apricotarch
