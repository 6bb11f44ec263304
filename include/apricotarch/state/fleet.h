#pragma once

/**
 * @file
 * What one node knows of the replicas: their late load reports and the work dispatched to them since.
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

/// A replica's own report of its load; always of a moment that is past.
struct LoadReport
{
    Incarnation incarnation; ///< Of the replica's process.
    bool leaving = false; ///< The replica takes no new work.
    bool changing = false; ///< The replica is in the middle of an order.
    EngineTarget state; ///< What is loaded.
    int running = 0; ///< Requests in the batch.
    int slots = 1; ///< Requests that fit into the batch.
    Tokens queuedPrefill; ///< Prompt tokens not yet processed.
    KvPieces freePieces;
    KvPieces totalPieces;
    double prefillRate = 0; ///< Prompt tokens a second.
    double decodeRate = 0; ///< Output tokens a second of one request.
};

/// Work dispatched and not yet ended.
struct Outstanding
{
    int requests = 0;
    Tokens prompt;
    Tokens output;
};

/// Work dispatched at one moment.
struct Dispatch
{
    TimePoint at;
    Tokens prompt;
    Tokens output;
};

/// Longest time that a report is taken to be behind the moment at which it was asked for.
inline constexpr std::chrono::milliseconds ReportLag{150};

/// Longest time that a dispatch counts on top of a report. Replicas of application services send none.
inline constexpr std::chrono::seconds RecentBound{10};

/// Health of a replica as one node sees it.
enum class ReplicaHealth {
    Unknown, ///< No report yet.
    Up,
    Suspect, ///< Failed lately; tried again after a pause.
    Leaving,
};

/// What routing sees of one replica.
struct ReplicaView
{
    ReplicaSpec spec;
    ServiceId service;
    ReplicaHealth health = ReplicaHealth::Unknown;
    std::optional<LoadReport> report;
    TimePoint reportedAt;
    Outstanding sinceReport; ///< Dispatched by this node after the report's moment, and within RecentBound.
    Outstanding own; ///< All that this node has outstanding there.
    Outstanding peers; ///< What other nodes say they have outstanding there.
    bool vmLeaving = false; ///< The VM list shows its VM as leaving or gone.
    TimePoint suspectUntil;
    int failures = 0; ///< In a row.
};

/// Thread-safe; replicas are spread over shards, each under its own lock.
class Fleet
{
public:
    // ---- membership ----

    /// Takes over the replicas of a configuration; what is known of those that stay is kept.
    void assign(const Configuration &configuration);

    // ---- reports ----

    /// Takes a report in. It is of a moment up to ReportLag before @p askedAt; work dispatched since counts on top of it.
    void report(const ReplicaId &id, const LoadReport &report, TimePoint askedAt);

    /// Takes a failure in; the replica is left alone for a pause that doubles with each failure in a row.
    void fail(const ReplicaId &id, TimePoint now);

    /// Takes in whether the VM list shows a replica's VM as leaving.
    void setVmLeaving(const ReplicaId &id, bool leaving);

    /// Takes other nodes' outstanding work in, in place of what they said before.
    void setPeers(const ReplicaId &id, const Outstanding &outstanding);

    // ---- dispatch ----

    /// Counts a request as dispatched.
    void dispatched(const ReplicaId &id, Tokens prompt, Tokens output, TimePoint now);

    /// Counts a request as ended. @param answered whether the replica behaved
    void ended(const ReplicaId &id, Tokens prompt, Tokens output, bool answered);

    // ---- views ----

    /// The replicas of one service.
    [[nodiscard]] std::vector<ReplicaView> replicas(const ServiceId &service) const;

    /// One replica, or nothing.
    [[nodiscard]] std::optional<ReplicaView> replica(const ReplicaId &id) const;

    /// All replicas.
    [[nodiscard]] std::vector<ReplicaView> all() const;

private:
    struct Entry
    {
        ReplicaView view;
        std::deque<Dispatch> recent; ///< What sinceReport sums up, oldest first; not part of the copies that views are.
    };
    struct Shard
    {
        mutable std::mutex mutex;
        std::map<ReplicaId, Entry> replicas;
    };

    static constexpr std::size_t ShardCount = 16;

    Shard &shardOf(const ReplicaId &id);
    const Shard &shardOf(const ReplicaId &id) const;

    /// Takes off the dispatches up to a moment.
    static void forgetDispatches(Entry &entry, TimePoint upTo);

    template<typename Keep>
    std::vector<ReplicaView> select(Keep keep) const;

    template<typename Change>
    void change(const ReplicaId &id, Change apply);

    std::array<Shard, ShardCount> m_shards;
};

} // namespace apricotarch
