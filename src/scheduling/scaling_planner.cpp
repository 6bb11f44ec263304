#include "apricotarch/scheduling/scaling_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace apricotarch
{

namespace
{

/// Rate of prompt tokens below which a service counts as idle, per millisecond.
constexpr double MinPromptTokensPerMs = 2;

/// After a longer gap between two observations, for example the suspension of the VM, the history is incomplete.
constexpr Duration MaxObservationGap = std::chrono::seconds(5);

/// Replicas of a zone that had some at the start. With two, the crash of one leaves the zone usable.
constexpr int MinReplicasOfInitialZone = 2;

/// Until the demand has been observed for a while, the initial replicas divided by this are kept.
constexpr int InitialFloorDivisor = 3;

/// If more replicas than this and than the given part of all disappear within ScalingPolicy::distrustDuration, their entries have probably
/// expired in an outage of the store. An order that is based on the rest would end the others.
constexpr int MaxPlausibleLoss = 2;
constexpr int PlausibleLossDivisor = 10;

int roundUp(double number)
{
    constexpr double Tolerance = 1e-9; // Sums of rates that are whole numbers of engines must not be rounded up to the next one.
    return static_cast<int>(std::ceil(std::clamp(number - Tolerance, 0.0, 1e6)));
}

} // namespace

std::string_view reasonName(ScalingReason reason) noexcept
{
    switch (reason) {
    case ScalingReason::Demand:
        return "demand";
    case ScalingReason::Reclaim:
        return "reclaim";
    case ScalingReason::Reserve:
        return "reserve";
    case ScalingReason::Price:
        return "price";
    case ScalingReason::Excess:
        return "excess";
    }
    return "unknown";
}

ScalingPlanner::ScalingPlanner(EnginePerformance performance, ScalingPolicy policy)
    : m_performance(performance)
    , m_policy(policy)
    , m_load(policy.peakWindow)
    , m_nodes(policy.peakWindow)
{
}

ScalingDecision ScalingPlanner::decide(const ScalingObservation &observation, const ScalingSpec &spec)
{
    const TimePoint now = observation.now;
    if (m_observedAt && now - *m_observedAt > MaxObservationGap) {
        clearHistory();
    }
    Round round{observation, spec, {}, {}, {}, {}};
    removeFulfilledOrders(observation);
    recordReclaims(observation);
    countReplicas(round);
    recordHistory(observation);

    ScalingDecision &decision = round.decision;
    decision.load = engineLoad(observation);
    decision.peakLoad = m_load.peak(now);
    decision.afterReclaim = roundUp(decision.peakLoad / m_policy.utilizationAfterReclaim);
    decision.ready = totalReplicas(round.ready);
    decision.planned = totalReplicas(round.planned);
    int floors = 0;
    for (const auto &[zone, counts] : round.planned) {
        floors += zoneFloor(zone, spec);
    }
    decision.required = std::max(roundUp(decision.peakLoad / m_policy.targetUtilization), floors);
    decision.kept = std::max(decision.required, roundUp(decision.peakLoad / m_policy.targetUtilization * m_policy.keptReserve));
    if (!m_firstLoadAt || now - *m_firstLoadAt < m_policy.initialFloorDuration) {
        decision.kept = std::max(decision.kept, (m_initialReplicas + InitialFloorDivisor - 1) / InitialFloorDivisor);
    }
    decision.mayGiveBack = mayGiveBack(observation);
    if (now < m_distrustedUntil || round.planned.empty()) {
        return decision;
    }
    const int replicas = std::clamp(decision.planned, decision.required, decision.kept);
    round.target = allocateReplicas(allocationRequest(round, replicas), spec);
    if (decision.planned < decision.required) {
        orderMissing(round);
    } else if (replicasAfterReclaim(round.planned) < decision.afterReclaim) {
        orderAll(round, ScalingReason::Reserve);
    }
    if (decision.orders.empty() && decision.mayGiveBack && decision.planned > decision.kept) {
        giveBack(round);
    } else if (decision.orders.empty() && decision.mayGiveBack && decision.planned >= decision.required) {
        orderCheaper(round);
    }
    return std::move(round.decision);
}

void ScalingPlanner::recordAccepted(const ScalingOrder &order, const ScalingSpec &spec, TimePoint now)
{
    const bool increases = order.count > order.ready;
    const Duration effectTime = increases ? Duration(spec.bootTime) + m_policy.bootMargin : m_policy.bootMargin;
    m_pendingOrders[{order.zone, order.kind}] = {order.count, increases, now + effectTime};
    switch (order.reason) {
    case ScalingReason::Excess:
        m_givenBackAt[order.zone] = now;
        m_expectedLoss += order.ready - order.count;
        break;
    case ScalingReason::Price:
        m_rebalancedAt = now;
        break;
    case ScalingReason::Demand:
    case ScalingReason::Reclaim:
    case ScalingReason::Reserve:
        m_growthStandsUntil = std::max(m_growthStandsUntil, order.standsUntil);
        break;
    }
}

void ScalingPlanner::recordUnanswered(const ScalingOrder &order, TimePoint now)
{
    if (order.reason == ScalingReason::Excess) {
        m_givenBackAt[order.zone] = now;
    }
}

void ScalingPlanner::recordUnavailable(const ZoneId &zone, ReplicaKind kind, TimePoint now)
{
    m_unavailableUntil[{zone, kind}] = now + m_policy.unavailableDuration;
}

// ---- history ----

double ScalingPlanner::engineLoad(const ScalingObservation &observation) const
{
    const double prefill = observation.promptTokensPerMs / m_performance.prefillTokensPerMs;
    const double decode = observation.eventsPerMs * m_performance.eventIntervalMs / m_performance.streamsPerEngine;
    // A stage cannot have more than its largest share of the engines, so a one-sided demand needs more of them in all.
    return std::max(prefill + decode, std::max(prefill, decode) / (1 - m_performance.minStageShare));
}

void ScalingPlanner::recordHistory(const ScalingObservation &observation)
{
    const TimePoint now = observation.now;
    m_observedAt = now;
    m_load.record(engineLoad(observation), now);
    m_nodes.record(static_cast<double>(observation.nodes), now);
    m_mostNodes = std::max(m_mostNodes, observation.nodes);
    int ready = 0;
    int draining = 0;
    for (const auto &[zone, replicas] : observation.zones) {
        for (const ReplicaKind kind : ReplicaKinds) {
            ready += replicas.count(kind).ready;
            draining += replicas.count(kind).draining;
        }
    }
    recordLosses(ready, draining, now);
    if (observation.promptTokensPerMs >= MinPromptTokensPerMs) {
        if (!m_firstLoadAt || now - m_loadedAt > m_policy.peakWindow) {
            m_loadSince = now;
        }
        m_firstLoadAt = m_firstLoadAt.value_or(now);
        m_loadedAt = now;
    }
    recordInitialReplicas(observation, ready);
}

void ScalingPlanner::clearHistory()
{
    ScalingPlanner cleared(m_performance, m_policy);
    cleared.m_expectedLoss = m_expectedLoss;
    cleared.m_growthStandsUntil = m_growthStandsUntil;
    cleared.m_rebalancedAt = m_rebalancedAt;
    cleared.m_pendingOrders = std::move(m_pendingOrders);
    cleared.m_unavailableUntil = std::move(m_unavailableUntil);
    cleared.m_givenBackAt = std::move(m_givenBackAt);
    *this = std::move(cleared);
}

void ScalingPlanner::recordLosses(int ready, int draining, TimePoint now)
{
    // Replicas that are taken back report that they are draining first; those that are given back may end before this is seen.
    const int missing = std::max(m_lastReady - ready - std::max(draining - m_lastDraining, 0), 0);
    const int unexplained = missing - std::min(missing, m_expectedLoss);
    m_expectedLoss -= missing - unexplained;
    const int returned = std::max(ready - m_lastReady, 0);
    m_recentLoss = now - m_lossAt > m_policy.distrustDuration ? 0 : std::max(m_recentLoss - returned, 0);
    if (unexplained > 0) {
        m_recentLoss += unexplained;
        m_lossAt = now;
    }
    if (m_recentLoss > std::max(MaxPlausibleLoss, (ready + m_recentLoss) / PlausibleLossDivisor)) {
        m_distrustedUntil = m_lossAt + m_policy.distrustDuration;
    }
    const bool givesBack = std::ranges::any_of(m_pendingOrders, [](const auto &entry) {
        return !entry.second.increases;
    });
    m_expectedLoss = givesBack ? m_expectedLoss : 0;
    m_lastReady = ready;
    m_lastDraining = draining;
}

void ScalingPlanner::recordInitialReplicas(const ScalingObservation &observation, int ready)
{
    if (m_firstLoadAt && observation.now - *m_firstLoadAt >= m_policy.minLoadDuration) {
        return; // Nothing is given back before, so that engines that are listed late count too.
    }
    m_initialReplicas = std::max(m_initialReplicas, ready);
    for (const auto &[zone, replicas] : observation.zones) {
        if (replicas.regular.ready + replicas.reclaimable.ready > 0) {
            m_initialZones[zone] = true;
        }
    }
}

void ScalingPlanner::recordReclaims(const ScalingObservation &observation)
{
    for (const auto &[zone, replicas] : observation.zones) {
        if (replicas.reclaimable.reclaimed > 0) {
            const ZoneAndKind key(zone, ReplicaKind::Reclaimable);
            m_reclaimPauseUntil = observation.now + m_policy.reclaimPause;
            m_unavailableUntil[key] = m_reclaimPauseUntil;
            m_reclaimedUntil[zone] = m_reclaimPauseUntil;
            m_pendingOrders.erase(key);
        }
    }
}

void ScalingPlanner::removeFulfilledOrders(const ScalingObservation &observation)
{
    std::erase_if(m_pendingOrders, [&observation](const auto &entry) {
        const auto &[key, order] = entry;
        const auto zone = observation.zones.find(key.first);
        const int ready = zone == observation.zones.end() ? 0 : zone->second.count(key.second).ready;
        const bool fulfilled = order.increases ? ready >= order.count : ready <= order.count;
        return fulfilled || observation.now >= order.awaitedUntil;
    });
}

// ---- limits ----

void ScalingPlanner::countReplicas(Round &round) const
{
    for (const auto &[zone, price] : round.spec.zonePrices) {
        round.planned[zone];
    }
    for (const auto &[zone, replicas] : round.observation.zones) {
        round.planned[zone] = {replicas.regular.ready, replicas.reclaimable.ready};
    }
    round.ready = round.planned;
    for (const auto &[key, order] : m_pendingOrders) {
        round.planned[key.first].count(key.second) = order.count;
        int &ready = round.ready[key.first].count(key.second);
        ready = std::min(ready, order.count);
    }
}

int ScalingPlanner::zoneFloor(const ZoneId &zone, const ScalingSpec &spec) const
{
    const int floor = m_initialZones.contains(zone) ? MinReplicasOfInitialZone : 0;
    return std::min(std::max(floor, spec.minPerZone), spec.maxPerZone);
}

bool ScalingPlanner::isUnavailable(const ZoneId &zone, ReplicaKind kind, TimePoint now) const
{
    if (kind == ReplicaKind::Reclaimable && now < m_reclaimPauseUntil) {
        return true;
    }
    if (const auto reclaimed = m_reclaimedUntil.find(zone); reclaimed != m_reclaimedUntil.end() && now < reclaimed->second) {
        return true;
    }
    return wasRefused(zone, kind, now);
}

bool ScalingPlanner::wasRefused(const ZoneId &zone, ReplicaKind kind, TimePoint now) const
{
    const auto found = m_unavailableUntil.find({zone, kind});
    return found != m_unavailableUntil.end() && now < found->second;
}

AllocationRequest ScalingPlanner::allocationRequest(const Round &round, int replicas) const
{
    AllocationRequest request;
    request.replicas = replicas;
    request.afterReclaim = round.decision.afterReclaim;
    for (const auto &[zone, planned] : round.planned) {
        ZoneLimits &limits = request.zones[zone];
        limits.floor = zoneFloor(zone, round.spec);
        for (const ReplicaKind kind : ReplicaKinds) {
            const bool unavailable = isUnavailable(zone, kind, round.observation.now);
            limits.highest.count(kind) = unavailable ? planned.count(kind) : round.spec.maxPerZone;
        }
    }
    return request;
}

bool ScalingPlanner::mayGiveBack(const ScalingObservation &observation)
{
    const TimePoint now = observation.now;
    // A node that hears less than half of the nodes that it once knew is probably disconnected from the others.
    const bool viewComplete =
        observation.allNodesHeard && static_cast<double>(observation.nodes) >= m_nodes.peak(now) && 2 * observation.nodes > m_mostNodes;
    return viewComplete && m_firstLoadAt && now - m_loadSince >= m_policy.minLoadDuration && now >= m_growthStandsUntil
        && now >= m_distrustedUntil;
}

} // namespace apricotarch
