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
    Duration clearancePeriod = std::chrono::seconds(30); ///< How long a clearance is sent to other nodes.
};

/// Crash records of one node, merged with the records of other nodes. Requests are identified by the hash of their content. Thread-safe.
class CrashTracker
{
public:
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

    // ---- decisions ----

    /// Returns whether requests with this content are quarantined.
    [[nodiscard]] bool isQuarantined(ContentHash content, TimePoint now) const;

    /// Returns whether requests with this content are suspects or quarantined.
    [[nodiscard]] bool isSuspect(ContentHash content, TimePoint now) const;

    /// Returns the replicas at which suspects run; they must not receive another suspect.
    [[nodiscard]] std::set<ReplicaId> replicasWithSuspects(TimePoint now) const;

    // ---- sharing ----

    /// Returns the records of this node's own observations, to be sent to other nodes.
    [[nodiscard]] std::vector<CrashRecord> localRecords(TimePoint now) const;

    /// Returns all records, those of other nodes included, to be passed on where not every node hears from every other.
    [[nodiscard]] std::vector<CrashRecord> records(TimePoint now) const;

    /// Merges the records of another node into the records of this node. @return whether a record has changed
    bool mergeRecords(const std::vector<CrashRecord> &records, TimePoint now);

    /**
     * Releases requests with this content from suspicion and quarantine at this node and, through the next heartbeats, at other nodes.
     * @return whether they were suspects or quarantined
     */
    bool release(ContentHash content, TimePoint now);

private:
    struct Record
    {
        int crashes = 0; ///< 0 after a clearance.
        TimePoint expiresAt;
        bool local = false; ///< Whether this node made the observation itself.
    };

    [[nodiscard]] std::vector<CrashRecord> selectRecords(TimePoint now, bool onlyLocal) const;

    /// Returns the number of crashes in the unexpired record of this content.
    [[nodiscard]] int crashCount(ContentHash content, TimePoint now) const;
    /// Clears this content if it has a record, and keeps the clearance for a while to send it to other nodes.
    void clear(ContentHash content, TimePoint now);
    void removeExpired(TimePoint now);

    CrashTrackerPeriods m_periods;
    mutable std::mutex m_mutex;
    std::map<ReplicaId, std::multiset<ContentHash>> m_running;
    std::map<ContentHash, Record> m_records;
};

} // namespace apricotarch
