#pragma once

/**
 * @file
 * Selection of the front nodes whose addresses a caller receives.
 */

#include <vector>

#include "apricotarch/coordination/peer_table.h"

namespace apricotarch
{

/**
 * Returns the addresses for a caller: the nodes of its availability zone if there are enough of them, otherwise all nodes. If there
 * are more than an answer can hold, each answering node selects others, and the same ones each time, since callers close their
 * connections to nodes that are missing from a new answer.
 * @param nodes nodes that callers may use, this one included if it is ready
 * @param zone availability zone of the caller; empty if unknown
 * @param self the answering node
 */
[[nodiscard]] std::vector<Endpoint> chooseAddresses(const std::vector<NodeAddress> &nodes, const ZoneId &zone, const NodeId &self);

} // namespace apricotarch
