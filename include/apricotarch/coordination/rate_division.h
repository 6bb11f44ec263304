#pragma once

/**
 * @file
 * Divides the request rate that a backend server takes from all nodes together among the nodes.
 *
 * Each node computes its own share from the addresses of the nodes that it knows; no messages are exchanged for it. A share allows at least
 * one request at once, so only as many nodes have one as the limit allows bursts in total: all in a small fleet, a few in a large one. The
 * nodes with a share are the first ones by rendezvous hashing over the server's id, so each server has its own ones.
 */

#include <cstddef>
#include <vector>

#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/request_rate_share.h"

namespace apricotarch
{

/// Nodes of a fleet as one of them knows them.
struct FleetView
{
    Endpoint self;
    std::vector<Endpoint> others; ///< All nodes that may send requests, except this one. Dead ones keep their share for a time.
    std::size_t nodeCount = 1; ///< Number of nodes, this one included; more than are known if other nodes know more.
};

/// Number of requests that all nodes together may send at once, beside the limit's requests of one second.
inline constexpr double BaseBurst = 3;

/// Rate that all nodes together may use of a server with a lower limit. Without any request no node would learn that the limit has ended.
inline constexpr double LowestTotalRate = 0.25;

/**
 * Returns a node's share of a server's request rate. The shares of all nodes add up to the limit, and their bursts to at most BaseBurst and
 * the limit's requests of one second, if the nodes know each other; linear in the number of nodes.
 * @param perSecond the server's limit in requests per second, 0 or more
 * @param server the server
 * @param fleet the nodes as this one knows them
 */
[[nodiscard]] RateAllowance divideRequestRate(double perSecond, const ReplicaId &server, const FleetView &fleet);

} // namespace apricotarch
