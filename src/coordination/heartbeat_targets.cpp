#include "apricotarch/coordination/heartbeat_targets.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace apricotarch
{

namespace
{

using Candidates = std::vector<const HeartbeatCandidate *>;

/// Adds the nearest live nodes in ring order, and optionally those that are passed over.
void addRingSide(std::set<Endpoint> &targets, const Candidates &ring, const HeartbeatFanout &fanout, bool includeSkipped)
{
    std::size_t live = 0;
    std::size_t skipped = 0;
    for (const HeartbeatCandidate *candidate : ring) {
        if (live == fanout.ringPerSide || skipped == fanout.ringSkipped) {
            return;
        }
        ++(candidate->live ? live : skipped);
        if (candidate->live || includeSkipped) {
            targets.insert(candidate->address);
        }
    }
}

void addRandom(std::set<Endpoint> &targets, const Candidates &candidates, std::size_t count, std::mt19937_64 &random)
{
    Candidates chosen;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen), count, random);
    for (const HeartbeatCandidate *candidate : chosen) {
        targets.insert(candidate->address);
    }
}

} // namespace

std::vector<Endpoint> selectHeartbeatTargets(const std::vector<HeartbeatCandidate> &candidates,
    std::uint32_t ownPosition,
    const HeartbeatFanout &fanout,
    bool includeSkipped,
    std::mt19937_64 &random)
{
    Candidates inZone;
    Candidates elsewhere;
    for (const HeartbeatCandidate &candidate : candidates) {
        (candidate.sameZone ? inZone : elsewhere).push_back(&candidate);
    }
    std::sort(inZone.begin(), inZone.end(), [](const HeartbeatCandidate *left, const HeartbeatCandidate *right) {
        return std::tie(left->position, left->address) < std::tie(right->position, right->address);
    });
    const auto successor = std::find_if(inZone.begin(), inZone.end(), [ownPosition](const HeartbeatCandidate *candidate) {
        return candidate->position > ownPosition;
    });
    std::rotate(inZone.begin(), successor, inZone.end());
    std::set<Endpoint> targets;
    addRingSide(targets, inZone, fanout, includeSkipped);
    std::reverse(inZone.begin(), inZone.end());
    addRingSide(targets, inZone, fanout, includeSkipped);
    addRandom(targets, inZone, fanout.randomInZone, random);
    addRandom(targets, elsewhere, fanout.randomElsewhere, random);
    return {targets.begin(), targets.end()};
}

} // namespace apricotarch
