#pragma once

/**
 * @file
 * A node's table of replicas: their last load reports and the work dispatched to them since.
 */

#include <array>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/configuration.h"
#include "apricotarch/state/order_row.h"

namespace apricotarch
{

/// Load of a replica as reported by the replica itself. A report is always slightly out of date.
struct LoadReport
{
    Incarnation incarnation; ///< Incarnation of the replica's process.
    bool shuttingDown = false; ///< The replica is shutting down and accepts no new work.
    bool changingStage = false; ///< The replica is carrying out an order.
    EngineTarget state; ///< Loaded model and role.
    int running = 0; ///< Requests in the batch.
    int slots = 1; ///< Capacity of the batch, in requests.
    Tokens queuedPrefill; ///< Prompt tokens that are still to be prefilled.
    KvBlocks freeKvBlocks;
    KvBlocks totalKvBlocks;
    double prefillRate = 0; ///< Prompt tokens per second.
    double decodeRate = 0; ///< Output tokens per second of one request.
};

/// Work that was dispatched and has not ended.
struct Outstanding
{
    int requests = 0;
    Tokens prompt;
    Tokens output;
};

/// One dispatched request, with its time.
struct Dispatch
{
    TimePoint at;
    Tokens prompt;
    Tokens output;
};

/// Upper bound of a load report's age at the time it was requested.
inline constexpr std::chrono::milliseconds MaxReportAge{150};

/// Longest time for which a dispatch counts in ReplicaView::sinceReport. Load reports end this period earlier, but replicas of
/// application services send none.
inline constexpr std::chrono::seconds MaxDispatchAge{10};

/// Health of a replica as observed by this node.
enum class ReplicaHealth {
    Unknown, ///< No report has been received.
    Up,
    Suspect, ///< Requests have failed; the replica is retried after a pause.
    ShuttingDown, ///< The replica is shutting down.
};

/// Snapshot of one replica's state, used for routing.
struct ReplicaView
{
    ReplicaSpec spec;
    ServiceId service;
    ReplicaHealth health = ReplicaHealth::Unknown;
    std::optional<LoadReport> report;
    TimePoint reportedAt;
    Outstanding sinceReport; ///< Work that this node dispatched after the report was generated and within MaxDispatchAge.
    Outstanding localLoad; ///< Work that this node has outstanding at the replica.
    Outstanding remoteLoad; ///< Work that other nodes report as outstanding at the replica.
    bool vmShuttingDown = false; ///< The VM list shows the replica's VM as shutting down or removed.
    TimePoint suspectUntil; ///< End of the pause after the last failure.
    int failures = 0; ///< Consecutive failures.
};

/// Thread-safe table of replicas. Replicas are distributed over shards, each with its own lock.
class ReplicaTable
{
public:
    // ---- membership ----

    /// Replaces the set of replicas by those of a configuration. Replicas in both sets keep their state.
    void setReplicas(const Configuration &configuration);

    // ---- reports ----

    /// Records a load report that was requested at @p requestedAt. It can be up to MaxReportAge older than that, so work dispatched since
    /// then is added to the reported load.
    void handleLoadReport(const ReplicaId &id, const LoadReport &report, TimePoint requestedAt);

    /// Records a failure. The replica becomes suspect for a pause that doubles with each consecutive failure, up to a limit.
    void handleFailure(const ReplicaId &id, TimePoint now);

    /// Records whether the VM list shows a replica's VM as shutting down or removed.
    void setVmShuttingDown(const ReplicaId &id, bool shuttingDown);

    /// Replaces the work that other nodes report as outstanding at a replica.
    void setRemoteLoad(const ReplicaId &id, const Outstanding &outstanding);

    // ---- dispatch ----

    /// Adds a request to the work outstanding at a replica.
    void addDispatch(const ReplicaId &id, Tokens prompt, Tokens output, TimePoint now);

    /**
     * Removes a request from the work outstanding at a replica.
     * @param answered whether the replica answered the request, which resets its count of consecutive failures
     */
    void removeDispatch(const ReplicaId &id, Tokens prompt, Tokens output, bool answered);

    // ---- views ----

    /// Returns the replicas of one service.
    [[nodiscard]] std::vector<ReplicaView> replicas(const ServiceId &service) const;

    /// Returns one replica, or std::nullopt if it is unknown.
    [[nodiscard]] std::optional<ReplicaView> replica(const ReplicaId &id) const;

    /// Returns all replicas.
    [[nodiscard]] std::vector<ReplicaView> all() const;

private:
    struct Entry
    {
        ReplicaView view;
        /// Dispatches that view.sinceReport sums up, oldest first. They are kept outside the view so that they are not copied with it.
        std::deque<Dispatch> recent;
    };
    struct Shard
    {
        mutable std::mutex mutex;
        std::map<ReplicaId, Entry> replicas;
    };

    static constexpr std::size_t ShardCount = 16;

    Shard &shardOf(const ReplicaId &id);
    const Shard &shardOf(const ReplicaId &id) const;

    /// Removes the dispatches up to a point in time from the entry's sums.
    static void dropDispatchesUpTo(Entry &entry, TimePoint upTo);

    template<typename Predicate>
    std::vector<ReplicaView> select(Predicate matches) const;

    template<typename Update>
    void updateEntry(const ReplicaId &id, Update update);

    std::array<Shard, ShardCount> m_shards;
};

} // namespace apricotarch
