#pragma once

/**
 * @file
 * Selection of the nodes that receive a heartbeat if there are too many nodes to send one to each.
 */

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

#include "apricotarch/base/endpoint.h"

namespace apricotarch
{

/// A node that may receive heartbeats.
struct HeartbeatCandidate
{
    Endpoint address;
    std::uint32_t position = 0; ///< Position in the ring of its availability zone, see peerAddressHash().
    bool sameZone = false; ///< Whether it is in this node's availability zone.
    bool live = false; ///< Whether there are recent signs of life, or it was found only recently.
};

/// Numbers of nodes that receive a heartbeat.
struct HeartbeatFanout
{
    std::size_t ringPerSide = 1; ///< Live neighbours on each side in the ring of this node's availability zone.
    std::size_t ringSkipped = 4; ///< Nodes without signs of life that are passed over on each side.
    std::size_t randomInZone = 2; ///< Random nodes of this node's availability zone.
    std::size_t randomElsewhere = 1; ///< Random nodes of other availability zones.
};

/**
 * Selects the receivers of one heartbeat: the live neighbours on both sides in a ring of this node's availability zone, so that each
 * node is watched by a fixed number of others, and a few random nodes, over which changes reach all nodes in a number of steps that
 * grows with the logarithm of the number of nodes.
 *
 * Nodes that are passed over in the ring receive the heartbeat too if @p includeSkipped is set; they may have been partitioned.
 *
 * @param candidates all known nodes but this one
 * @param ownPosition position of this node in the ring
 * @param fanout numbers of receivers
 * @param includeSkipped whether to include nodes that are passed over in the ring
 * @param random source of randomness
 * @return the receivers, without duplicates; their number is bounded by @p fanout. Takes O(n log n) for n candidates.
 */
[[nodiscard]] std::vector<Endpoint> selectHeartbeatTargets(const std::vector<HeartbeatCandidate> &candidates,
    std::uint32_t ownPosition,
    const HeartbeatFanout &fanout,
    bool includeSkipped,
    std::mt19937_64 &random);

} // namespace apricotarch
