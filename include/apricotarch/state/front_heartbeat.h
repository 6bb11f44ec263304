#pragma once

/**
 * @file
 * Messages between front nodes: heartbeats, load updates, and snapshots of the platform's tables, which a node requests when it
 * cannot reach the store.
 */

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/backend.h"
#include "apricotarch/state/heartbeat.h"

namespace apricotarch
{

/// Work that the sender has outstanding at one backend server.
struct ServerLoad
{
    ReplicaId replica;
    BackendLoad load;
};

/// A prompt that the sender has sent to an engine since its last heartbeat.
struct SentPrompt
{
    ReplicaId replica;
    std::vector<PromptPart> prompt;
};

/// Heartbeat of a front node, identical for all receivers.
struct FrontHeartbeat
{
    NodeId node;
    Incarnation incarnation;
    std::int64_t sequence = 0; ///< Sequence number of the heartbeat within the incarnation.
    ZoneId zone;
    Endpoint callerAddress;
    Endpoint peerAddress;
    bool ready = false; ///< Accepts new callers.
    bool shuttingDown = false; ///< Is shutting down.
    RowVersion planVersion; ///< Version of the row of the configuration that the sender has in force.
    RowVersion serversVersion; ///< Version up to which the sender has read the table of servers.
    std::vector<ServerLoad> loads;
    std::vector<SentPrompt> sentPrompts;
    std::vector<CrashRecord> crashRecords;
    bool readsStore = false; ///< Reads the platform's tables directly, and its last calls were answered.
    std::chrono::microseconds timerLag{0}; ///< Delay with which the sender's timers fire.
    std::map<ServiceId, double> prefillRates; ///< Prompt tokens per millisecond that the sender has sent to engines for prefill.
    std::map<ServiceId, double> eventRates; ///< Events per millisecond that the sender has forwarded to callers.
    /// Engines that the sender is ordering to change their stage; they accept no work during the change.
    std::vector<ReplicaId> changingEngines;
    std::vector<Endpoint> announcedPeers; ///< Heartbeat addresses of a few other nodes that the sender receives heartbeats from.
};

/// Update of the sender's load at one backend server, sent between heartbeats when the load changes considerably.
struct LoadUpdate
{
    Incarnation incarnation;
    std::int64_t sequence = 0; ///< Sequence number, counted over heartbeats and load updates of one incarnation together.
    Endpoint peerAddress; ///< Address of the sender.
    ServerLoad load; ///< All work that the sender has outstanding at the server.
};

/// Content of a datagram between front nodes.
using FrontDatagram = std::variant<FrontHeartbeat, LoadUpdate>;

/// A row of one of the platform's tables, in the platform's format.
struct StoredRow
{
    std::string key;
    std::string text;
    RowVersion version;
    bool removed = false;
};

/// Requests the rows that are newer than those of the requesting node.
struct FleetSnapshotRequest
{
    NodeId sender;
    RowVersion planVersion; ///< Version of the configuration row that the sender has.
    RowVersion serversVersion; ///< Version up to which the sender has the table of servers.
};

/// The rows of the platform's tables that the requesting node lacks, as last read by the answering node.
struct FleetSnapshot
{
    RowVersion planVersion; ///< 0 if no configuration is known.
    std::string plan; ///< Empty if the requesting node already has this version.
    RowVersion serversVersion;
    std::vector<StoredRow> servers;
    std::vector<StoredRow> nodes;
};

} // namespace apricotarch
