#include "apricotarch/coordination/directory.h"

namespace apricotarch
{

namespace
{

/// With fewer nodes in its zone, a caller would have no alternative when one of them fails.
constexpr std::size_t MinNodesInZone = 2;

/// Maximum number of addresses; a caller has no use for more.
constexpr std::size_t MaxAddresses = 64;

} // namespace

std::vector<Endpoint> chooseAddresses(const std::vector<NodeAddress> &nodes, const ZoneId &zone)
{
    std::vector<Endpoint> sameZone;
    std::vector<Endpoint> all;
    for (const NodeAddress &node : nodes) {
        all.push_back(node.address);
        if (node.zone == zone) {
            sameZone.push_back(node.address);
        }
    }
    std::vector<Endpoint> &chosen = sameZone.size() >= MinNodesInZone ? sameZone : all;
    if (chosen.size() > MaxAddresses) {
        chosen.resize(MaxAddresses);
    }
    return std::move(chosen);
}

} // namespace apricotarch
