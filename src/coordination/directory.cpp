#include "apricotarch/coordination/directory.h"

namespace apricotarch
{

namespace
{

/// With fewer nodes in its zone a caller would have no choice left when one fails.
constexpr std::size_t EnoughNear = 2;

/// More addresses than this are of no use to a caller.
constexpr std::size_t MostAddresses = 64;

} // namespace

std::vector<Endpoint> chooseAddresses(const std::vector<CallerAddress> &nodes, const ZoneId &zone)
{
    std::vector<Endpoint> near;
    std::vector<Endpoint> all;
    for (const CallerAddress &node : nodes) {
        all.push_back(node.address);
        if (node.zone == zone) {
            near.push_back(node.address);
        }
    }
    std::vector<Endpoint> &chosen = near.size() >= EnoughNear ? near : all;
    if (chosen.size() > MostAddresses) {
        chosen.resize(MostAddresses);
    }
    return std::move(chosen);
}

} // namespace apricotarch
