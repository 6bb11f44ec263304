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

/// Nodes that use more of their limit than this are left out while there are others.
constexpr double OverloadedShare = 0.9;

/// One node that may be named.
struct Candidate
{
    std::string address;
    bool near = false;
    double load = 0;
};

std::vector<Candidate> admittingNodes(Node &node, const ZoneId &callerZone)
{
    std::vector<Candidate> candidates;
    const Settings &settings = node.settings();
    if (!node.isDraining() && node.configuration().currencyNow() == Currency::Current) {
        candidates.push_back({settings.callerAddress.text(), settings.zone == callerZone, node.admission().loadShare()});
    }
    for (const MemberView &member : node.members().view(node.clock().now())) {
        if (member.status == MemberStatus::Alive && member.last.configuration.ready) {
            candidates.push_back({member.last.callerAddress.text(), member.last.zone == callerZone, member.last.loadShare});
        }
    }
    return candidates;
}

void leaveOutOverloaded(std::vector<Candidate> &candidates)
{
    const bool someFree = std::ranges::any_of(candidates, [](const Candidate &candidate) {
        return candidate.load < OverloadedShare;
    });
    if (someFree) {
        std::erase_if(candidates, [](const Candidate &candidate) {
            return candidate.load >= OverloadedShare;
        });
    }
}

} // namespace

std::string encodeEntry(Node &node, const ZoneId &callerZone)
{
    std::vector<Candidate> candidates = admittingNodes(node, callerZone);
    leaveOutOverloaded(candidates);
    std::ranges::stable_sort(candidates, [](const Candidate &left, const Candidate &right) {
        return left.near != right.near ? left.near : left.load < right.load;
    });
    json::array addresses;
    for (const Candidate &candidate : candidates) {
        addresses.emplace_back(candidate.address);
    }
    const auto keepsFor = std::chrono::duration_cast<std::chrono::seconds>(node.settings().entryKeepsFor).count();
    return json::serialize(json::object{{"addresses", addresses}, {"keep_for_s", keepsFor}});
}

} // namespace apricotarch
