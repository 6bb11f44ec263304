#include <algorithm>
#include <map>

#include "checks.h"
#include "context.h"
#include "front.h"

namespace apricotarch::soak
{

namespace
{

constexpr milliseconds RollbackSlack{250};
constexpr int RollbackSlackFactor = 8; ///< At a disturbed node.
constexpr int Served = 200;
constexpr int NotFound = 404;

/// Returns the number of the newest version that was acknowledged before a time, 0 for none.
int versionBefore(const Evidence &evidence, TimePoint time)
{
    const auto &times = evidence.configurations();
    return static_cast<int>(std::count_if(times.begin(), times.end(), [time](TimePoint at) {
        return at <= time;
    }));
}

/// Returns whether the answer of a probe shows a version that is older than another one.
bool showsOlder(const Probe &probe, int version, const Evidence &evidence)
{
    if (probe.status == Served) {
        return probe.version < version;
    }
    // The route is there in each version that may be in force, and the node does not know it.
    return probe.status == NotFound && probe.version == version && versionBefore(evidence, probe.end) == version;
}

void add(std::vector<Finding> &findings, const Evidence &evidence, const Probe &probe, const std::string &text)
{
    findings.push_back({"CONFIG",
        text + " request=" + probe.id + " node=" + std::to_string(probe.node) + " route_of=" + std::to_string(probe.version)
            + " status=" + std::to_string(probe.status) + " at_ms=" + std::to_string(evidence.age(probe.begin).count()),
        nullptr,
        probe.node});
}

} // namespace

void checkConfiguration(const Evidence &evidence, std::vector<Finding> &findings)
{
    const Context context(evidence);
    /// The newest version of which a node has shown the effect, since its last start.
    struct Seen
    {
        int version = 0;
        TimePoint at;
    };
    std::map<std::size_t, Seen> seenByNode;
    std::vector<Probe> probes = evidence.probes();
    std::sort(probes.begin(), probes.end(), [](const Probe &left, const Probe &right) {
        return left.end < right.end;
    });
    for (const Probe &probe : probes) {
        const int due = versionBefore(evidence, probe.begin - ConfigTime);
        if (showsOlder(probe, due, evidence) && context.isInTouch(probe.node, probe.begin - ConfigTime, probe.end)) {
            add(findings, evidence, probe, "late_version=" + std::to_string(due));
        }
        Seen &seen = seenByNode[probe.node];
        if (context.startBefore(probe.node, probe.end) > seen.at) {
            seen = {};
        }
        const bool isDisturbed = context.isDisturbed(probe.node, probe.begin, probe.end);
        if (showsOlder(probe, seen.version, evidence) && probe.begin > seen.at + RollbackSlack * (isDisturbed ? RollbackSlackFactor : 1)) {
            add(findings, evidence, probe, "back_from_version=" + std::to_string(seen.version));
        }
        if (probe.status == Served && probe.version > seen.version) {
            seen = {probe.version, probe.end};
        }
    }
}

} // namespace apricotarch::soak
