#pragma once

/**
 * @file
 * Messages by which nodes report the requests of each customer to the nodes that collect them.
 */

#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/customers/customer_id.h"

namespace apricotarch
{

/// A time of day. Only TrueTime provides times that may be compared between nodes.
using UnixTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Requests of each customer that backend servers began to run in one window, as counted by one process so far.
struct UsageWindowCounts
{
    std::int64_t window = 0; ///< Number of the window, see windowOf().
    std::vector<std::pair<CustomerId, std::int64_t>> totals; ///< By customer; at least 1 each.
};

/// Counts that the receiver has not acknowledged.
struct UsageUpdate
{
    Endpoint peerAddress; ///< Address of the sender.
    Incarnation incarnation; ///< Incarnation of the sender.
    NodeId node; ///< Name of the sender.
    bool leaving = false; ///< The sender is shutting down.
    std::int64_t number = 0; ///< Identifies the datagram at its sender.
    /// With this datagram, the receiver has the sender's final counts of all windows up to this one.
    std::int64_t finalWindow = 0;
    std::vector<UsageWindowCounts> windows;
};

/// Acknowledges a UsageUpdate.
struct UsageAck
{
    Endpoint peerAddress; ///< Address of the collector.
    Incarnation incarnation; ///< Incarnation of the collector. A new one has none of the counts that were sent to its predecessor.
    std::int64_t number = 0; ///< Number of the acknowledged datagram.
};

/// The nodes that collect usage counts.
struct UsageCollectors
{
    NodeId coordinator; ///< The node that has chosen them.
    std::int64_t version = 0; ///< Of two lists of one coordinator, the one with the higher version is newer.
    std::vector<Endpoint> addresses; ///< The coordinator and the node that is expected to follow it.
};

/// Returns the number of the window that contains a time.
[[nodiscard]] constexpr std::int64_t windowOf(UnixTime time, std::chrono::milliseconds length) noexcept
{
    return time.time_since_epoch() / length;
}

/// Returns the beginning of a window; it is also the end of the one before.
[[nodiscard]] constexpr UnixTime windowStart(std::int64_t window, std::chrono::milliseconds length) noexcept
{
    return UnixTime(window * length);
}

} // namespace apricotarch
