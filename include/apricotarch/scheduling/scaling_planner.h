#pragma once

/**
 * @file
 * Decides how many replicas of a service are kept in each availability zone. Sends nothing and reads no clock.
 */

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/scheduling/peak_meter.h"
#include "apricotarch/scheduling/replica_allocation.h"
#include "apricotarch/state/scaling_spec.h"

namespace apricotarch
{

/// Work that one engine does in a time.
struct EnginePerformance
{
    double prefillTokensPerMs = 44; ///< Prefill rate at the prefill stage.
    double eventIntervalMs = 55; ///< Interval between two events of a stream.
    double streamsPerEngine = 16; ///< Streams at one engine up to which the gaps between events stay short.
    double minStageShare = 0.3; ///< Share of the engines that each stage has at least, see StagePlannerSettings::minShare.
};

/// Parameters of the decisions.
struct ScalingPolicy
{
    double targetUtilization = 0.5; ///< Bursts of double the demand are served without new replicas.
    double utilizationAfterReclaim = 0.9; ///< After the loss of one zone's reclaimable replicas.
    double keptReserve = 1.1; ///< Replicas are given back only if there are more than the required number times this.
    Duration peakWindow = std::chrono::seconds(20); ///< Longer than the time between two peaks of demand that varies for 14 s at a time.
    Duration minLoadDuration = std::chrono::seconds(8); ///< Nothing is given back in this time after the begin of load.
    Duration initialFloorDuration = std::chrono::seconds(60); ///< A third of the initial replicas is kept for this time of load.
    Duration giveBackInterval = std::chrono::seconds(4); ///< Between two steps in a zone: the effect of one must be visible first.
    Duration unavailableDuration = std::chrono::seconds(10); ///< A zone and kind without available replicas is left out for this time.
    Duration reclaimPause = std::chrono::seconds(20); ///< After a reclaim, missing replicas are ordered as regular ones for this time.
    Duration rebalanceInterval = std::chrono::seconds(20); ///< Between two exchanges of replicas by cheaper ones.
    Duration bootMargin =
        std::chrono::seconds(5); ///< Ordered replicas that are missing for this longer than their boot time are not awaited.
    Duration distrustDuration = std::chrono::seconds(5); ///< After the loss of many entries, which an outage of the store causes.
};

/// Replicas of one kind in one zone, as listed.
struct ReplicaCounts
{
    int ready = 0;
    int draining = 0;
    int reclaimed = 0; ///< Of those that are not ready, the ones that the platform is taking back.
};

/// Replicas of one zone by kind.
struct ZoneReplicas
{
    ReplicaCounts regular;
    ReplicaCounts reclaimable;

    [[nodiscard]] const ReplicaCounts &count(ReplicaKind kind) const noexcept
    {
        return kind == ReplicaKind::Regular ? regular : reclaimable;
    }
};

/// What is known of a service at one moment.
struct ScalingObservation
{
    TimePoint now;
    double promptTokensPerMs = 0; ///< Rate of tokens to prefill of all nodes together.
    double eventsPerMs = 0; ///< Rate of events to callers of all nodes together.
    std::size_t nodes = 1; ///< Number of nodes whose rates are included.
    bool allNodesHeard = true; ///< Whether the rates of all known nodes are included.
    std::map<ZoneId, ZoneReplicas> zones; ///< Zones with listed replicas.
};

/// Why replicas are ordered or given back.
enum class ScalingReason : std::uint8_t {
    Demand, ///< The demand requires more replicas than there are or are on order.
    Reclaim, ///< As Demand, after reclaimable replicas were taken back.
    Reserve, ///< The loss of one zone's reclaimable replicas would leave too few.
    Price, ///< Replicas that cost less are ordered in place of others, which are given back when these are ready.
    Excess, ///< More replicas are ready than the demand requires.
};

[[nodiscard]] std::string_view reasonName(ScalingReason reason) noexcept;

/// An order for one zone and kind.
struct ScalingOrder
{
    ZoneId zone;
    ReplicaKind kind = ReplicaKind::Regular;
    int count = 0; ///< Wanted number.
    int ready = 0; ///< Number of ready replicas when it was decided.
    int expected = 0; ///< Number of replicas that were on order before.
    ScalingReason reason = ScalingReason::Demand;
    TimePoint standsUntil; ///< No order in the opposite direction is made for the same reason before.
};

/// A decision with the figures that it is based on.
struct ScalingDecision
{
    double load = 0; ///< Number of fully used engines that the present demand corresponds to.
    double peakLoad = 0; ///< The highest load of the peak window.
    int required = 0; ///< More replicas are ordered if there are fewer.
    int kept = 0; ///< Replicas are given back if there are more.
    int afterReclaim = 0; ///< Number of replicas that must remain after the loss of one zone's reclaimable replicas.
    int ready = 0; ///< Number of ready replicas.
    int planned = 0; ///< Number of ready and ordered replicas.
    bool mayGiveBack = false; ///< Whether replicas may be given back at present.
    std::vector<ScalingOrder> orders; ///< Empty if nothing is to be changed.
};

/// Decides on the replicas of one service. Not thread-safe.
class ScalingPlanner
{
public:
    explicit ScalingPlanner(EnginePerformance performance, ScalingPolicy policy = ScalingPolicy());

    /**
     * Decides from an observation. To be called about once a second; after a longer gap nothing of what was observed before counts, but
     * accepted orders do. Takes
     * time linear in the number of replicas times the number of zones.
     */
    [[nodiscard]] ScalingDecision decide(const ScalingObservation &observation, const ScalingSpec &spec);

    /// Records that the platform has accepted an order.
    void recordAccepted(const ScalingOrder &order, const ScalingSpec &spec, TimePoint now);

    /// Records that an order was sent but not answered. It may have been executed, so the next step in the zone waits as after an accepted
    /// one.
    void recordUnanswered(const ScalingOrder &order, TimePoint now);

    /// Records that a kind is not available in a zone at present.
    void recordUnavailable(const ZoneId &zone, ReplicaKind kind, TimePoint now);

private:
    using ZoneAndKind = std::pair<ZoneId, ReplicaKind>;

    /// An accepted order whose effect is not yet listed.
    struct PendingOrder
    {
        int count = 0;
        bool increases = false;
        TimePoint awaitedUntil;
    };

    /// What one call of decide() works on.
    struct Round
    {
        const ScalingObservation &observation;
        const ScalingSpec &spec;
        Allocation ready; ///< Ready replicas without those that were given back.
        Allocation planned; ///< With those on order.
        Allocation target;
        ScalingDecision decision;
    };

    [[nodiscard]] double engineLoad(const ScalingObservation &observation) const;
    void recordHistory(const ScalingObservation &observation);
    /// Drops what was observed, but not the results of orders.
    void clearHistory();
    /// Distrusts the list of servers for a while if many entries have disappeared.
    void recordLosses(int ready, int draining, TimePoint now);
    void recordInitialReplicas(const ScalingObservation &observation, int ready);
    void recordReclaims(const ScalingObservation &observation);
    void removeFulfilledOrders(const ScalingObservation &observation);
    void countReplicas(Round &round) const;
    [[nodiscard]] AllocationRequest allocationRequest(const Round &round, int replicas) const;
    [[nodiscard]] int zoneFloor(const ZoneId &zone, const ScalingSpec &spec) const;
    /// Whether no replicas of a kind are to be ordered in a zone.
    [[nodiscard]] bool isUnavailable(const ZoneId &zone, ReplicaKind kind, TimePoint now) const;
    /// Whether the zone recently had no replicas of the kind.
    [[nodiscard]] bool wasRefused(const ZoneId &zone, ReplicaKind kind, TimePoint now) const;
    [[nodiscard]] bool mayGiveBack(const ScalingObservation &observation);

    void orderMissing(Round &round);
    void orderAll(Round &round, ScalingReason reason) const;
    void orderCheaper(Round &round);
    void giveBack(Round &round);
    /// Returns the most expensive zone and kind of which one replica can be given back.
    [[nodiscard]] std::optional<ZoneAndKind> selectGivenBack(const Round &round, const std::map<ZoneId, int> &allowance) const;
    /// Adds an order for each zone and kind whose number in @p counts differs from the planned one.
    void addOrders(Round &round, const Allocation &counts, ScalingReason reason, Duration stands) const;

    EnginePerformance m_performance;
    ScalingPolicy m_policy;
    PeakMeter m_load;
    PeakMeter m_nodes;
    std::optional<TimePoint> m_observedAt; ///< Time of the last observation.
    std::optional<TimePoint> m_firstLoadAt;
    TimePoint m_loadSince; ///< Begin of the last load after a pause.
    TimePoint m_loadedAt; ///< When there was load last.
    int m_initialReplicas = 0; ///< Highest number of ready replicas before the first load.
    std::map<ZoneId, bool> m_initialZones; ///< Zones with replicas before the first load.
    std::size_t m_mostNodes = 0; ///< Highest number of nodes that was observed.
    int m_lastReady = 0; ///< Number of ready replicas at the last observation.
    int m_lastDraining = 0; ///< The same of draining ones.
    int m_expectedLoss = 0; ///< Number of replicas that were given back and may still be listed.
    int m_recentLoss = 0; ///< Number of replicas that have disappeared recently for no known reason.
    TimePoint m_lossAt; ///< When one of these disappeared last.
    TimePoint m_distrustedUntil;
    TimePoint m_growthStandsUntil;
    TimePoint m_rebalancedAt;
    TimePoint m_reclaimPauseUntil;
    std::map<ZoneAndKind, PendingOrder> m_pendingOrders;
    std::map<ZoneAndKind, TimePoint> m_unavailableUntil;
    std::map<ZoneId, TimePoint> m_reclaimedUntil; ///< Zones whose reclaimable replicas were taken back.
    std::map<ZoneId, TimePoint> m_givenBackAt;
};

} // namespace apricotarch
