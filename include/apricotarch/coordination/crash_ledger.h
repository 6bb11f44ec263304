#pragma once

/**
 * @file
 * Requests that crash backend servers: those in flight on a crashed server are suspects, suspects are retried apart from
 * each other, and a second crash convicts.
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

/// When suspicion and conviction end.
struct CrashTimes
{
    Duration suspicion = std::chrono::minutes(2);
    Duration conviction = std::chrono::minutes(10);
    Duration clearing = std::chrono::seconds(30); ///< How long other nodes are told that a content is cleared.
};

/// Thread-safe ledger of one node, with what other nodes say.
class CrashLedger
{
public:
    explicit CrashLedger(CrashTimes times);

    // ---- work in flight ----

    /// Notes that a content runs at a replica.
    void started(const ReplicaId &replica, ContentHash content);

    /// Notes that a content has ended at a replica without a crash. @param answered whether it was answered in full
    void ended(const ReplicaId &replica, ContentHash content, bool answered, TimePoint now);

    /**
     * Notes that a replica has crashed under a content. Each caller notes its own request; a replica that crashes under
     * several makes each of them a suspect.
     */
    void crashed(const ReplicaId &replica, ContentHash content, TimePoint now);

    // ---- decisions ----

    /// Whether a content is convicted.
    [[nodiscard]] bool isConvicted(ContentHash content, TimePoint now) const;

    /// Whether a content is a suspect.
    [[nodiscard]] bool isSuspect(ContentHash content, TimePoint now) const;

    /// Replicas that must not get a suspect, since another suspect runs there.
    [[nodiscard]] std::set<ReplicaId> replicasWithSuspects(TimePoint now) const;

    // ---- sharing ----

    /// What this node itself has seen, to tell other nodes.
    [[nodiscard]] std::vector<CrashRecord> ownRecords(TimePoint now) const;

    /// Takes over what another node has seen.
    void learn(const std::vector<CrashRecord> &records, TimePoint now);

    /// Lifts suspicion and conviction, here and, through the next beats, at other nodes. @return whether there was any
    bool lift(ContentHash content, TimePoint now);

private:
    struct Record
    {
        int crashes = 0;
        TimePoint until;
        bool own = false; ///< Seen by this node, not told by another.
    };

    [[nodiscard]] int crashesOf(ContentHash content, TimePoint now) const;
    void clear(ContentHash content, TimePoint now);
    void forgetPast(TimePoint now);

    CrashTimes m_times;
    mutable std::mutex m_mutex;
    std::map<ReplicaId, std::multiset<ContentHash>> m_running;
    std::map<ContentHash, Record> m_records;
};

} // namespace apricotarch
