#pragma once

/**
 * @file
 * Which front nodes a caller is sent to.
 */

#include <vector>

#include "apricotarch/coordination/front_peers.h"

namespace apricotarch
{

/**
 * Addresses for a caller: nodes of its own availability zone where there are enough of them, else all.
 * @param nodes that may be given, this one included where it is ready
 * @param zone of the caller; empty where unknown
 */
[[nodiscard]] std::vector<Endpoint> chooseAddresses(const std::vector<CallerAddress> &nodes, const ZoneId &zone);

} // namespace apricotarch
