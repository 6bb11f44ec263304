#include "apricotarch/coordination/rate_division.h"

#include <algorithm>
#include <utility>

#include "apricotarch/base/hash.h"

namespace apricotarch
{

RateAllowance divideRequestRate(double perSecond, const ReplicaId &server, const FleetView &fleet)
{
    RateAllowance allowance;
    allowance.totalPerSecond = std::max(perSecond, LowestTotalRate);
    const double totalBurst = allowance.totalPerSecond + BaseBurst;
    const std::size_t known = fleet.others.size() + 1;
    const std::size_t nodes = std::max(known, fleet.nodeCount);
    const std::size_t holders = std::min(static_cast<std::size_t>(totalBurst), nodes);
    // If only some of the nodes are known, the first of these would be too many.
    const std::size_t ranksWithShare = holders * known / nodes;
    const auto score = [key = static_cast<std::uint64_t>(contentHash(server.value()).value())](const Endpoint &node) {
        return std::pair(rendezvousScore(key, node.text()), node.text());
    };
    const auto own = score(fleet.self);
    const auto rank = static_cast<std::size_t>(std::ranges::count_if(fleet.others, [&](const Endpoint &other) {
        return score(other) > own;
    }));
    if (rank < ranksWithShare) {
        allowance.perSecond = allowance.totalPerSecond / static_cast<double>(holders);
        allowance.burst = totalBurst / static_cast<double>(holders);
    }
    return allowance;
}

} // namespace apricotarch
