#pragma once

/**
 * @file
 * What nodes tell each other at every beat.
 */

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/fleet.h"

namespace apricotarch
{

/// Work that the sender has outstanding at one replica.
struct ReplicaOutstanding
{
    ReplicaId replica;
    Outstanding outstanding;
};

/// What a node has seen a request content do to backend servers.
struct CrashRecord
{
    ContentHash content;
    int crashes = 0; ///< One makes a suspect, two convict, none clears what was said before.
    std::chrono::milliseconds remaining{0}; ///< Time it still runs on the sender's clock.
};

/// What a node knows of the configuration.
struct ConfigurationClaim
{
    RowVersion epoch; ///< Of the highest committed row known; 0 for none.
    ConfigurationVersion version;
    Digest digest;
    RowVersion offerBase; ///< Epoch that an undecided offer is based on; 0 for no offer.
    Digest offerDigest;
    bool ready = false; ///< Whether the body of the committed row is in force at the sender.
};

/// The receiver's latest beat that the sender has heard. It proves that the sender's words are younger than that beat.
struct BeatEcho
{
    Incarnation incarnation;
    std::int64_t sequence = 0;
};

/// One beat, made for one receiver.
struct Heartbeat
{
    NodeId node;
    Incarnation incarnation;
    std::int64_t sequence = 0; ///< Counts the beats of one incarnation.
    ZoneId zone;
    Endpoint callerAddress;
    Endpoint peerAddress;
    bool draining = false;
    double loadShare = 0; ///< Share of the node's own limit in use, 0 to 1.
    ConfigurationClaim configuration;
    std::vector<ReplicaOutstanding> inFlight;
    std::vector<CrashRecord> crashRecords;
    std::vector<ReplicaId> drainingReplicas; ///< Being drained by the sender as holder of its cell's duty.
    std::optional<BeatEcho> echo;
    std::optional<std::chrono::milliseconds> storeAge; ///< Since the sender last read the configuration row.
};

} // namespace apricotarch
