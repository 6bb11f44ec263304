#include "apricotarch/scheduling/scaling_planner.h"

#include <algorithm>

namespace apricotarch
{

namespace
{

/// At most this part of a zone's replicas is given back in one step.
constexpr int GiveBackDivisor = 4;

/// Replicas are exchanged by cheaper ones only if at least this part of all is, which pays for the time during which both are billed.
constexpr int MinExchangeDivisor = 10;

/// Minimum part of the price that an exchange must save.
constexpr double MinSaving = 0.02;

double price(const Allocation &allocation, const ScalingSpec &spec)
{
    double sum = 0;
    for (const auto &[zone, counts] : allocation) {
        sum += counts.regular * spec.price(zone, false) + counts.reclaimable * spec.price(zone, true);
    }
    return sum;
}

/// Returns by how many replicas of one zone and kind @p counts is below the target, as far as the zone's limit permits.
int missingReplicas(const Allocation &counts, const Allocation &target, const ZoneId &zone, ReplicaKind kind, int maxPerZone)
{
    const ZoneAllocation &current = counts.at(zone);
    const auto wanted = target.find(zone);
    const int missing = wanted == target.end() ? 0 : wanted->second.count(kind) - current.count(kind);
    return std::clamp(missing, 0, std::max(maxPerZone - current.total(), 0));
}

} // namespace

void ScalingPlanner::orderMissing(Round &round)
{
    const TimePoint now = round.observation.now;
    const ScalingSpec &spec = round.spec;
    Allocation counts = round.planned;
    int left = round.decision.required - round.decision.planned;
    std::vector<std::pair<double, ZoneAndKind>> byPrice;
    for (const auto &[zone, planned] : counts) {
        for (const ReplicaKind kind : ReplicaKinds) {
            byPrice.push_back({spec.price(zone, kind == ReplicaKind::Reclaimable), {zone, kind}});
        }
    }
    std::ranges::sort(byPrice);
    // One of each in turn, so that a part of the target is spread like the whole.
    for (bool added = true; added && left > 0;) {
        added = false;
        for (const auto &[unused, key] : byPrice) {
            if (left > 0 && missingReplicas(counts, round.target, key.first, key.second, spec.maxPerZone) > 0) {
                ++counts[key.first].count(key.second);
                --left;
                added = true;
            }
        }
    }
    // If a zone is full with replicas of the other kind, the rest is ordered wherever there is room, last where some were taken back.
    for (const bool inReclaimedZones : {false, true}) {
        for (const auto &[unused, key] : byPrice) {
            const bool leftOut = inReclaimedZones ? wasRefused(key.first, key.second, now) : isUnavailable(key.first, key.second, now);
            if (key.second == ReplicaKind::Regular && !leftOut) {
                ZoneAllocation &zone = counts[key.first];
                const int added = std::clamp(left, 0, std::max(spec.maxPerZone - zone.total(), 0));
                zone.regular += added;
                left -= added;
            }
        }
    }
    const ScalingReason reason = now < m_reclaimPauseUntil ? ScalingReason::Reclaim : ScalingReason::Demand;
    addOrders(round, counts, reason, Duration(spec.bootTime) + m_policy.peakWindow);
}

void ScalingPlanner::orderAll(Round &round, ScalingReason reason) const
{
    Allocation counts = round.planned;
    for (auto &[zone, planned] : counts) {
        for (const ReplicaKind kind : ReplicaKinds) {
            planned.count(kind) += missingReplicas(counts, round.target, zone, kind, round.spec.maxPerZone);
        }
    }
    addOrders(round, counts, reason, Duration(round.spec.bootTime) + m_policy.peakWindow);
}

void ScalingPlanner::orderCheaper(Round &round)
{
    if (round.observation.now - m_rebalancedAt < m_policy.rebalanceInterval || !m_pendingOrders.empty()) {
        return;
    }
    int exchanged = 0;
    for (const auto &[zone, planned] : round.planned) {
        for (const ReplicaKind kind : ReplicaKinds) {
            exchanged += missingReplicas(round.planned, round.target, zone, kind, round.spec.maxPerZone);
        }
    }
    const double current = price(round.planned, round.spec);
    const bool saves = current - price(round.target, round.spec) > MinSaving * current;
    if (saves && exchanged >= std::max(2, round.decision.planned / MinExchangeDivisor)) {
        orderAll(round, ScalingReason::Price);
    }
}

void ScalingPlanner::giveBack(Round &round)
{
    std::map<ZoneId, int> allowance;
    for (const auto &[zone, ready] : round.ready) {
        const auto last = m_givenBackAt.find(zone);
        const bool due = last == m_givenBackAt.end() || round.observation.now - last->second >= m_policy.giveBackInterval;
        allowance[zone] = due ? std::max(1, ready.total() / GiveBackDivisor) : 0;
    }
    Allocation counts = round.planned;
    // What is left must suffice without the replicas that are still on order.
    const int excess = std::min(round.decision.ready, round.decision.planned) - round.decision.kept;
    for (int left = excess; left > 0; --left) {
        const auto selected = selectGivenBack(round, allowance);
        if (!selected) {
            break;
        }
        const auto &[zone, kind] = *selected;
        --allowance[zone];
        --counts[zone].count(kind);
        --round.ready[zone].count(kind);
    }
    addOrders(round, counts, ScalingReason::Excess, m_policy.giveBackInterval);
}

std::optional<ScalingPlanner::ZoneAndKind> ScalingPlanner::selectGivenBack(const Round &round, const std::map<ZoneId, int> &allowance) const
{
    std::optional<ZoneAndKind> selected;
    if (replicasAfterReclaim(round.ready) <= round.decision.afterReclaim) {
        return selected;
    }
    double highest = 0;
    for (const auto &[zone, ready] : round.ready) {
        if (allowance.at(zone) <= 0 || ready.total() <= zoneFloor(zone, round.spec)) {
            continue;
        }
        for (const ReplicaKind kind : ReplicaKinds) {
            const auto target = round.target.find(zone);
            const int wanted = target == round.target.end() ? 0 : target->second.count(kind);
            const double price = round.spec.price(zone, kind == ReplicaKind::Reclaimable);
            if (ready.count(kind) <= wanted || m_pendingOrders.contains({zone, kind}) || (selected && price <= highest)) {
                continue;
            }
            selected.emplace(zone, kind);
            highest = price;
        }
    }
    return selected;
}

void ScalingPlanner::addOrders(Round &round, const Allocation &counts, ScalingReason reason, Duration stands) const
{
    for (const auto &[zone, wanted] : counts) {
        for (const ReplicaKind kind : ReplicaKinds) {
            const int planned = round.planned.at(zone).count(kind);
            if (wanted.count(kind) == planned) {
                continue;
            }
            const auto listed = round.observation.zones.find(zone);
            const int ready = listed == round.observation.zones.end() ? 0 : listed->second.count(kind).ready;
            round.decision.orders.push_back(
                {zone, kind, wanted.count(kind), ready, std::max(planned - ready, 0), reason, round.observation.now + stands});
        }
    }
}

} // namespace apricotarch
