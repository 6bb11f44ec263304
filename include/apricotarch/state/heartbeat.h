#pragma once

/**
 * @file
 * Heartbeats between nodes.
 */

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/replica_table.h"

namespace apricotarch
{

/// Work that the sender has outstanding at one replica.
struct ReplicaOutstanding
{
    ReplicaId replica;
    Outstanding outstanding;
};

/// Crashes of backend servers that a node attributes to one request content.
struct CrashRecord
{
    ContentHash content;
    int crashes = 0; ///< 1: the content is suspect; 2 or more: it is quarantined; 0: withdraws the sender's earlier records.
    std::chrono::milliseconds remaining{0}; ///< Time until the record expires on the sender's clock.
};

/// State of the configuration at a node.
struct ConfigurationState
{
    StorePosition epoch; ///< Epoch of the highest committed row that the node has received; 0 for none.
    ConfigurationVersion version;
    Digest digest;
    StorePosition offerBase; ///< Epoch that a pending offer is based on; 0 for no offer.
    Digest offerDigest;
    bool ready = false; ///< Whether the configuration of the committed row is in force at the sender.
};

/// The receiver's latest heartbeat that the sender has received. It proves that the sender's heartbeat was sent after that one.
struct HeartbeatEcho
{
    Incarnation incarnation;
    std::int64_t sequence = 0;
};

/// Heartbeat of a node to one receiver.
struct Heartbeat
{
    NodeId node;
    Incarnation incarnation;
    std::int64_t sequence = 0; ///< Sequence number of the heartbeat within the incarnation.
    ZoneId zone;
    Endpoint callerAddress;
    Endpoint peerAddress;
    bool draining = false;
    double loadShare = 0; ///< Used share of the node's request limit, 0 to 1.
    ConfigurationState configuration;
    std::vector<ReplicaOutstanding> outstanding;
    std::vector<CrashRecord> crashRecords;
    std::vector<ReplicaId> drainingReplicas; ///< Replicas that the sender is draining as holder of its cell's lease.
    std::optional<HeartbeatEcho> echo;
    std::optional<std::chrono::milliseconds> storeAge; ///< Time since the sender last read the configuration row; empty if it never did.
};

} // namespace apricotarch
