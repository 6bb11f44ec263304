#pragma once

/**
 * @file
 * Agreement on the node that orders stage changes, without a message from each node to each other.
 */

#include "apricotarch/base/clock.h"
#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// The coordinator as one node sees it.
struct CoordinatorSighting
{
    NodeId node; ///< Empty if no coordinator is known.
    std::chrono::milliseconds age{0}; ///< Age of its last sign of life.
};

/**
 * Finds the live node with the smallest name from what other nodes report. Several nodes may take themselves for the coordinator for
 * a few seconds; they must exclude each other by a lease. Not thread-safe; used on one event loop.
 */
class CoordinatorView
{
public:
    /// A reported coordinator without a newer sign of life for this long is dropped.
    static constexpr Duration Timeout = std::chrono::milliseconds(3000);

    explicit CoordinatorView(NodeId self);

    /// Records the coordinator that another node reports; a node that receives a heartbeat records its sender with age 0.
    void record(const CoordinatorSighting &sighting, TimePoint now);

    /// Drops a node that is shutting down.
    void remove(const NodeId &node);

    /**
     * Returns the known live node with the smallest name.
     * @param selfEligible whether this node may be the coordinator itself
     * @param now current time
     * @return the coordinator; an empty node if none is known and this node is not eligible
     */
    [[nodiscard]] CoordinatorSighting current(bool selfEligible, TimePoint now) const;

private:
    NodeId m_self;
    NodeId m_node; ///< Empty if no other node is known.
    TimePoint m_lastSignAt; ///< Valid if m_node is not empty.
};

} // namespace apricotarch
