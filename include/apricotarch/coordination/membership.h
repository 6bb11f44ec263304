#pragma once

/**
 * @file
 * Heartbeats between nodes: composes those of this node and handles received ones.
 */

#include <array>
#include <map>
#include <mutex>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/coordination/configuration_manager.h"
#include "apricotarch/coordination/crash_tracker.h"
#include "apricotarch/state/decision_log.h"
#include "apricotarch/state/member_table.h"
#include "apricotarch/state/replica_table.h"

namespace apricotarch
{

/// The properties of a node that stay constant while its process runs.
struct NodeIdentity
{
    ProcessId process;
    ZoneId zone;
    Endpoint callerAddress;
    Endpoint peerAddress;
};

/// Records when this process sent its latest heartbeats. A peer's heartbeat that echoes one of them was sent later. Thread-safe.
class SentHeartbeats
{
public:
    /// Records a heartbeat.
    void record(std::int64_t sequence, TimePoint sentAt);

    /// Returns when a heartbeat was sent; nothing if its record has been overwritten by a later one.
    [[nodiscard]] std::optional<TimePoint> sentAt(std::int64_t sequence) const;

private:
    struct Entry
    {
        std::int64_t sequence = 0;
        TimePoint sentAt;
    };
    static constexpr std::size_t Capacity = 64;

    mutable std::mutex m_mutex;
    std::array<Entry, Capacity> m_entries;
};

/// Exchanges membership information with the other nodes on behalf of one node.
class Membership
{
public:
    /// Objects that the membership uses. They must outlive it.
    struct Dependencies
    {
        MemberTable &members;
        ReplicaTable &fleet;
        CrashTracker &crashes;
        ConfigurationManager &configuration;
        Clock &clock;
        DecisionLog &decisions;
    };

    Membership(Dependencies dependencies, NodeIdentity identity);

    /// Composes the next heartbeat, without the echo, and records the present time as its time of sending.
    [[nodiscard]] Heartbeat composeHeartbeat(bool draining, double loadShare, std::vector<ReplicaId> drainingReplicas);

    /// Returns the heartbeat for one receiver: adds the echo of the receiver's last heartbeat.
    [[nodiscard]] Heartbeat addEcho(Heartbeat heartbeat, const NodeId &receiver) const;

    /// Handles a received heartbeat.
    [[nodiscard]] asio::awaitable<void> handleHeartbeat(Heartbeat heartbeat);

    /// Updates the remote load of each replica from the members' reports and records changes of member status. Called periodically.
    void updatePeerLoads();

private:
    Dependencies m_dependencies;
    NodeIdentity m_identity;
    SentHeartbeats m_sentHeartbeats;
    std::int64_t m_sequence = 0;
    std::map<NodeId, MemberStatus> m_lastStatus;
};

} // namespace apricotarch
