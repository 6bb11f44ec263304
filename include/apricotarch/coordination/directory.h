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
 * Returns the addresses for a caller: the nodes of its availability zone if there are enough of them, otherwise all nodes.
 * @param nodes nodes that callers may use, this one included if it is ready
 * @param zone availability zone of the caller; empty if unknown
 */
[[nodiscard]] std::vector<Endpoint> chooseAddresses(const std::vector<NodeAddress> &nodes, const ZoneId &zone);

} // namespace apricotarch
