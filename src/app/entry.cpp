#include "apricotarch/app/entry.h"

#include <algorithm>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace apricotarch
{

namespace json = boost::json;

namespace
{

/// Nodes that use at least this share of their request limit are listed only if all nodes do.
constexpr double OverloadedShare = 0.9;

/// A node that can be listed.
struct Candidate
{
    std::string address;
    bool inCallerZone = false;
    double load = 0;
};

std::vector<Candidate> admittingCandidates(Node &node, const ZoneId &callerZone)
{
    std::vector<Candidate> candidates;
    const Settings &settings = node.settings();
    if (!node.isDraining() && node.configuration().freshness() == ConfigurationFreshness::Current) {
        candidates.push_back({settings.callerAddress.text(), settings.zone == callerZone, node.admission().loadShare()});
    }
    for (const MemberView &member : node.members().view(node.clock().now())) {
        if (member.status == MemberStatus::Alive && member.last.configuration.ready) {
            candidates.push_back({member.last.callerAddress.text(), member.last.zone == callerZone, member.last.loadShare});
        }
    }
    return candidates;
}

void removeOverloaded(std::vector<Candidate> &candidates)
{
    const bool anyBelowLimit = std::ranges::any_of(candidates, [](const Candidate &candidate) {
        return candidate.load < OverloadedShare;
    });
    if (anyBelowLimit) {
        std::erase_if(candidates, [](const Candidate &candidate) {
            return candidate.load >= OverloadedShare;
        });
    }
}

} // namespace

std::string encodeEntry(Node &node, const ZoneId &callerZone)
{
    std::vector<Candidate> candidates = admittingCandidates(node, callerZone);
    removeOverloaded(candidates);
    std::ranges::stable_sort(candidates, [](const Candidate &left, const Candidate &right) {
        return left.inCallerZone != right.inCallerZone ? left.inCallerZone : left.load < right.load;
    });
    json::array addresses;
    for (const Candidate &candidate : candidates) {
        addresses.emplace_back(candidate.address);
    }
    const auto cacheSeconds = std::chrono::duration_cast<std::chrono::seconds>(node.settings().entryLifetime).count();
    return json::serialize(json::object{{"addresses", addresses}, {"keep_for_s", cacheSeconds}});
}

} // namespace apricotarch
