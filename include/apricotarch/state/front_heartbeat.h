#pragma once

/**
 * @file
 * Messages between front nodes: heartbeats, load updates, and snapshots of the platform's tables, which a node requests when it
 * cannot reach the store.
 */

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/backend.h"
#include "apricotarch/state/heartbeat.h"
#include "apricotarch/state/stream_version_table.h"
#include "apricotarch/state/usage_update.h"

namespace apricotarch
{

/// Numbers the heartbeats and load updates of one process. Receivers drop those with a number that is not higher than the last one.
class MessageSequence
{
public:
    [[nodiscard]] std::int64_t next() noexcept
    {
        return ++m_last;
    }

private:
    std::int64_t m_last = 0;
};

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

/// Address of a node for heartbeats, and its availability zone.
struct PeerAddress
{
    Endpoint address;
    ZoneId zone; ///< Empty if unknown.

    /// Formats the address as `IP:PORT` or `IP:PORT ZONE`.
    [[nodiscard]] std::string text() const;
};

/// Parses the format of PeerAddress::text(). @return the address, or InvalidField
[[nodiscard]] Result<PeerAddress> parsePeerAddress(std::string_view text);

/// A node's state as passed on by another node, in place of a heartbeat.
struct PeerSighting
{
    std::uint32_t addressHash = 0; ///< Hash of the node's heartbeat address, see peerAddressHash().
    std::chrono::milliseconds age{0}; ///< Time since the node sent the heartbeat that this is taken from.
    bool ready = false;
    bool shuttingDown = false;
    bool readsStore = false;
};

/// Returns the hash that identifies a node in sightings.
[[nodiscard]] std::uint32_t peerAddressHash(const Endpoint &address);

/// An engine whose stage is being changed.
struct EngineStageChange
{
    ReplicaId engine;
    std::chrono::milliseconds remaining{0}; ///< Time until the engine is expected to accept work again.
};

/// The end of one process of an engine.
struct EngineCrash
{
    std::uint32_t process = 0; ///< Hash of the engine's id and start, see engineProcessHash().
    std::chrono::milliseconds age{0}; ///< Time since it ended.
    double likelihood = 1; ///< That a prompt that it ran is the cause, from 0 to 1.
};

/// What a node knows of a part of prompts that may crash engines.
struct PartEvidence
{
    std::uint64_t part = 0; ///< See PromptPart::id.
    int position = 0; ///< Highest index of the part in a prompt.
    std::vector<EngineCrash> crashes; ///< Processes that ended while they ran a prompt with this part.
    std::optional<std::chrono::milliseconds> answerAge; ///< Time since a prompt with this part was last answered, if known.
};

/// Returns the hash that identifies one process of an engine.
[[nodiscard]] std::uint32_t engineProcessHash(const BackendRecord &engine);

/// Returns the hash that identifies one process of an engine at one stage. The speeds at the two stages are estimated separately.
[[nodiscard]] std::uint32_t engineSpeedKey(const BackendRecord &engine);

/// A measured duration of work at an engine.
struct SpeedSample
{
    std::uint32_t engine = 0; ///< See engineSpeedKey().
    int percent = 100; ///< Measured duration in percent of the expected one.
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
    ConfigurationVersion planVersion; ///< The operator's version of the configuration that the sender has in force.
    StorePosition serversVersion; ///< Position up to which the sender has read the table of servers.
    std::optional<std::chrono::milliseconds> serversAge; ///< Time since that table agreed with the store, see TableCurrency.
    std::vector<ServerLoad> loads;
    std::vector<SentPrompt> sentPrompts;
    std::vector<CrashRecord> crashRecords;
    bool readsStore = false; ///< Reads the platform's tables directly, and its last calls were answered.
    std::chrono::microseconds timerLag{0}; ///< Delay with which the sender's timers fire.
    std::map<ServiceId, double> prefillRates; ///< Prompt tokens per millisecond that the sender has sent to engines for prefill.
    std::map<ServiceId, double> eventRates; ///< Events per millisecond that the sender has forwarded to callers.
    std::vector<EngineStageChange> changingEngines; ///< They accept no work during the change.
    std::vector<PeerAddress> announcedPeers; ///< Addresses of a few other nodes that the sender has recent signs of life of.
    std::size_t knownNodes = 1; ///< Number of nodes that the sender knows, itself included.
    NodeId coordinator; ///< Node that orders stage changes as far as the sender knows; empty if unknown.
    std::chrono::milliseconds coordinatorAge{0}; ///< Age of the coordinator's last sign of life.
    std::vector<PartEvidence> partEvidence;
    std::vector<SpeedSample> speedSamples; ///< Measured by the sender since its last heartbeat; empty with partial views.
    std::vector<PeerSighting> sightings; ///< Other nodes of the sender's zone; empty while all nodes send heartbeats to each other.
    std::optional<UnixTime> uncorrectedTime; ///< The sender's uncorrected estimate of true time, see TrueTime; only if it counts usage.
    std::optional<UsageCollectors> usageCollectors; ///< As far as the sender knows; only if it counts usage.
    std::vector<ReportedRequestRate> requestRates; ///< Limits of servers' request rates, and those that have ended, as far as it knows.
};

/// Update of the sender's load at one backend server, sent between heartbeats when the load changes considerably.
struct LoadUpdate
{
    Incarnation incarnation;
    std::int64_t sequence = 0; ///< Sequence number, counted over heartbeats and load updates of one incarnation together.
    Endpoint peerAddress; ///< Address of the sender.
    ServerLoad load; ///< All work that the sender has outstanding at the server.
    std::vector<PromptPart> prompt; ///< Prompt that has just been sent to the server; empty for other changes.
    std::optional<int> speedPercent = std::nullopt; ///< Measured duration of work at the server, see SpeedSample::percent.
};

/// Asks the steward of a group of engines for the load of the group.
struct EngineGroupQuery
{
    std::int64_t number = 0; ///< Identifies the query at its sender.
    Endpoint peerAddress; ///< Address of the sender.
    ServiceId service;
    std::string group; ///< Name of the group, see EngineGroup.
    std::vector<PromptPart> prompt; ///< The prompt to place.
};

/// Load and cache of one engine, for one sender and prompt.
struct EngineGroupEntry
{
    ServerLoad load; ///< Outstanding work of all nodes but the one that asks.
    std::int64_t cachedTokens = 0; ///< Number of the prompt's leading tokens that are cached.
    std::optional<int> speedPercent = std::nullopt; ///< Estimated duration of the engine's work in percent; empty if unknown.
};

/// Answer to an EngineGroupQuery.
struct EngineGroupReport
{
    std::int64_t number = 0; ///< Number of the query.
    Endpoint peerAddress; ///< Address of the sender.
    std::vector<EngineGroupEntry> engines;
};

/// Streams that the sender has begun and that have not ended, for a node that keeps their origins.
struct StreamNotice
{
    std::vector<StreamRecord> streams;
};

/// Asks a node that keeps origins of streams for one of them.
struct StreamQuery
{
    std::int64_t number = 0; ///< Identifies the query at its sender.
    Endpoint peerAddress; ///< Address of the sender.
    StreamKey stream;
};

/// Answer to a StreamQuery.
struct StreamReport
{
    std::int64_t number = 0; ///< Number of the query.
    Endpoint peerAddress; ///< Address of the sender.
    std::optional<StreamRecord> stream; ///< Empty if the sender does not know the stream.
    std::optional<StorePosition> serversVersion = std::nullopt; ///< Position of the sender's table of servers.
};

/// Content of a datagram between front nodes.
using FrontDatagram = std::variant<FrontHeartbeat,
    LoadUpdate,
    EngineGroupQuery,
    EngineGroupReport,
    UsageUpdate,
    UsageAck,
    StreamNotice,
    StreamQuery,
    StreamReport>;

/// A row of one of the platform's tables, in the platform's format.
struct StoredRow
{
    std::string key;
    std::string text;
    StorePosition version;
    bool removed = false;
};

/// Requests the rows that are newer than those of the requesting node. The operator's versions of the configuration never go back, so that
/// they order configurations across restores of the store; servers' rows have no version of the kind and are ordered by their positions.
struct FleetSnapshotRequest
{
    NodeId sender;
    std::optional<ConfigurationVersion> planVersion; ///< Version that the sender has in force; empty if it is not requested.
    /// Position up to which the sender has the table of servers; empty if it is not requested.
    std::optional<StorePosition> serversVersion;
    bool acceptsCompressedPlan = false;
};

/// The rows of the platform's tables that the requesting node lacks, as last read by the answering node.
struct FleetSnapshot
{
    ConfigurationVersion planVersion; ///< The operator's version; 0 if no configuration is known.
    std::string plan; ///< Empty if the requesting node already has this version, or if it is compressed.
    std::string compressedPlan; ///< The configuration as compressed by compressText().
    StorePosition serversVersion;
    std::vector<StoredRow> servers;
    std::vector<StoredRow> nodes;
    bool busy = false; ///< The answering node transfers the configuration to too many other nodes; nothing else is set.
};

} // namespace apricotarch
