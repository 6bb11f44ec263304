#include "apricotarch/coordination/directory.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "apricotarch/base/hash.h"

namespace apricotarch
{

namespace
{

/// With fewer nodes in its zone, a caller would have no alternative when one of them fails.
constexpr std::size_t MinNodesInZone = 2;

/// Maximum number of addresses; a caller has no use for more.
constexpr std::size_t MaxAddresses = 64;

/// Keeps the addresses that rendezvous hashing prefers for the answering node.
void limitAddresses(std::vector<Endpoint> &addresses, const NodeId &self)
{
    if (addresses.size() <= MaxAddresses) {
        return;
    }
    const auto key = static_cast<std::uint64_t>(contentHash(self.value()).value());
    std::vector<std::pair<std::uint64_t, Endpoint>> scores;
    for (Endpoint &address : addresses) {
        const std::uint64_t score = rendezvousScore(key, address.text());
        scores.emplace_back(score, std::move(address));
    }
    std::nth_element(scores.begin(), scores.begin() + MaxAddresses, scores.end());
    addresses.clear();
    for (std::size_t index = 0; index < MaxAddresses; ++index) {
        addresses.push_back(std::move(scores[index].second));
    }
}

} // namespace

std::vector<Endpoint> chooseAddresses(const std::vector<NodeAddress> &nodes, const ZoneId &zone, const NodeId &self)
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
    limitAddresses(chosen, self);
    return std::move(chosen);
}

} // namespace apricotarch
