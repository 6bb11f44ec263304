#pragma once

/**
 * @file
 * Tracking of requests that crash backend servers. The requests in flight at a server when it crashes become suspects, no two
 * suspects are sent to the same server, and a second crash quarantines a suspect.
 */

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/heartbeat.h"

namespace apricotarch
{

/// Durations after which records of crashes expire.
struct CrashTrackerPeriods
{
    Duration suspectPeriod = std::chrono::minutes(2); ///< How long requests with the same content stay suspects.
    Duration quarantinePeriod = std::chrono::minutes(10); ///< How long requests with the same content stay quarantined.
    /// How long a clearance is kept and sent to other nodes: until every record that it clears has expired.
    Duration clearancePeriod = std::chrono::minutes(10);
};

/**
 * Crash records of one node, merged with the records of other nodes. Requests are identified by the hash of their content. Thread-safe.
 *
 * Each node passes on all records, also those of other nodes, so that they outlive the node that observed the crash. The time of the crash
 * is passed on with them: a record does not last longer by being passed on, and does not undo a later clearance.
 */
class CrashTracker
{
public:
    /// Most records in one heartbeat, and how many of them have not changed recently: quarantined requests, and others. All nodes repeat
    /// them, so a node that starts hears of them from each of the others.
    static constexpr std::size_t MaxReportedRecords = 32;
    static constexpr std::size_t MaxRepeatedQuarantines = 8;
    static constexpr std::size_t MaxOtherRepetitions = 2;

    explicit CrashTracker(CrashTrackerPeriods periods);

    // ---- work in flight ----

    /// Records that a request has started to run at a replica.
    void recordStart(const ReplicaId &replica, ContentHash content);

    /**
     * Records that a request has ended at a replica without a crash.
     * @param replica replica at which it ran
     * @param content hash of the request's content
     * @param answered whether it was answered completely, which clears its content
     * @param now current time
     */
    void recordEnd(const ReplicaId &replica, ContentHash content, bool answered, TimePoint now);

    /**
     * Records that a replica crashed while it ran a request. Called for each request that was in flight there, so that
     * all of them become suspects.
     */
    void recordCrash(const ReplicaId &replica, ContentHash content, TimePoint now);

    /// As recordCrash(), for a crash that is yet to be confirmed. It counts for this node's decisions and is not reported to other nodes.
    void recordUnconfirmedCrash(const ReplicaId &replica, ContentHash content, TimePoint now);

    /// Confirms an unconfirmed crash, unless the content has been cleared since. @param at time of the crash
    void confirmCrash(ContentHash content, TimePoint at);

    /// Drops an unconfirmed crash, since the replica has not ended.
    void refuteCrash(ContentHash content);

    // ---- decisions ----

    /// Returns whether requests with this content are quarantined.
    [[nodiscard]] bool isQuarantined(ContentHash content, TimePoint now) const;

    /// Returns whether requests with this content are suspects or quarantined.
    [[nodiscard]] bool isSuspect(ContentHash content, TimePoint now) const;

    /// Returns the replicas at which suspects run; they must not receive another suspect.
    [[nodiscard]] std::set<ReplicaId> replicasWithSuspects(TimePoint now) const;

    // ---- sharing ----

    /// Returns records for the next heartbeat: those that have changed recently, then quarantined requests, then others, so that successive
    /// calls cycle through all. Sorts all records.
    [[nodiscard]] std::vector<CrashRecord> nextReports(TimePoint now);

    /**
     * Merges the records of another node into the records of this node.
     * @param records records from its heartbeat
     * @param now current time
     * @param passOn whether this node passes changes on at once, because not every node hears from every other
     * @return whether a record has changed
     */
    bool mergeRecords(const std::vector<CrashRecord> &records, TimePoint now, bool passOn = false);

    /**
     * Releases requests with this content from suspicion and quarantine at this node and, through the next heartbeats, at other nodes.
     * @return whether they were suspects or quarantined
     */
    bool release(ContentHash content, TimePoint now);

private:
    struct Record
    {
        int crashes = 0; ///< 0 after a clearance.
        TimePoint at; ///< Time of the last crash or of the clearance.
        int reportsLeft = 0; ///< Heartbeats in which it is still reported ahead of others.
    };

    /// Returns how long a record with this number of crashes is kept.
    [[nodiscard]] Duration period(int crashes) const noexcept;
    [[nodiscard]] TimePoint expiryTime(const Record &record) const noexcept;
    /// Merges one record of another node, see mergeRecords(). @return whether it has replaced the record of this node
    bool mergeRecord(const CrashRecord &reported, TimePoint now, bool passOn);

    /// Returns the number of crashes in the unexpired record of this content.
    [[nodiscard]] int crashCount(ContentHash content, TimePoint now) const;
    /// Clears this content if it has a record, and keeps the clearance for a while to send it to other nodes.
    void clear(ContentHash content, TimePoint now);
    void removeExpired(TimePoint now);

    CrashTrackerPeriods m_periods;
    mutable std::mutex m_mutex;
    std::map<ReplicaId, std::multiset<ContentHash>> m_running;
    std::map<ContentHash, Record> m_records;
    std::multiset<ContentHash> m_unconfirmed; ///< An element for each unconfirmed crash.
    ContentHash m_lastReported; ///< Up to which the records have been reported in the present cycle.
};

} // namespace apricotarch
