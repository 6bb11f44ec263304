#pragma once

/**
 * @file
 * What front nodes tell each other, and what one gives another that cannot reach the store.
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

/// A prompt that the sender has sent to an engine since its last beat.
struct PromptUse
{
    ReplicaId replica;
    std::vector<PromptPart> prompt;
};

/// One beat, the same for every receiver.
struct FrontBeat
{
    NodeId node;
    Incarnation incarnation;
    std::int64_t sequence = 0; ///< Counts the beats of one incarnation.
    ZoneId zone;
    Endpoint callerAddress;
    Endpoint peerAddress;
    bool ready = false; ///< Takes new callers.
    bool leaving = false; ///< Shuts down.
    RowVersion planVersion; ///< Row of the configuration that the sender has in force.
    RowVersion serversVersion; ///< Up to where the sender has read the servers' table.
    std::vector<ServerLoad> loads;
    std::vector<PromptUse> uses;
    std::vector<CrashRecord> crashRecords;
    bool readsStore = false; ///< Reads the platform's tables itself, and its last calls were answered.
    std::chrono::microseconds lag{0}; ///< How late the sender's timers fire.
    std::map<ServiceId, double> readRates; ///< Prompt tokens a millisecond that the sender has given engines to read.
    std::map<ServiceId, double> eventRates; ///< Events a millisecond that the sender has passed on to callers.
    std::vector<ReplicaId> changing; ///< Engines that the sender orders to change their stage; they take no work meanwhile.
    std::vector<Endpoint> acquaintances; ///< Addresses for beats of a few other nodes that the sender hears.
};

/// Work at one backend server that has changed by much since the sender's last beat.
struct LoadNotice
{
    Incarnation incarnation;
    std::int64_t sequence = 0; ///< Counts beats and notices of one incarnation together.
    Endpoint peerAddress; ///< Of the sender.
    ServerLoad load; ///< All that the sender has outstanding there.
};

/// What one front node tells others in a datagram.
using FrontDatagram = std::variant<FrontBeat, LoadNotice>;

/// A row of one of the platform's tables, in the platform's format.
struct StoredRow
{
    std::string key;
    std::string text;
    RowVersion version;
    bool removed = false;
};

/// Asks a node for rows that are newer than the asker's.
struct FleetSnapshotRequest
{
    NodeId sender;
    RowVersion planVersion;
    RowVersion serversVersion;
};

/// The platform's tables as a node has read them last, as far as the asker does not have them.
struct FleetSnapshot
{
    RowVersion planVersion; ///< 0 where no configuration is known.
    std::string plan; ///< Empty where the asker has it.
    RowVersion serversVersion;
    std::vector<StoredRow> servers;
    std::vector<StoredRow> nodes;
};

} // namespace apricotarch
