/// Messages between the nodes of apricotarch.
/// Each heartbeat is sent as one UDP datagram. Requests and replies are sent as length-prefixed frames over TCP.
namespace cpp apricotarch.wire

/// Requests and tokens that the sender has outstanding at one replica.
struct InFlight {
  1: required string replica
  2: required i32 requests
  3: required i64 promptTokens
  4: required i64 outputTokens
}

/// Crashes of backend servers that the sender attributes to one request content.
struct CrashRecord {
  1: required i64 contentHash
  /// Number of crashes; 0 withdraws the sender's earlier records.
  2: required i32 crashes
  /// Milliseconds until the record expires on the sender's clock.
  3: required i64 remainingMs
}

/// State of the configuration at the sender.
struct ConfigurationClaim {
  1: required i64 epoch
  2: required i64 version
  3: required string digest
  /// Epoch of the row that a pending offer is based on; 0 for no offer.
  4: required i64 offerBaseEpoch
  5: required string offerDigest
  /// Whether the sender has the configuration of this version in force, and thus its body.
  6: required bool ready
}

struct Elector {
  1: required string node
  2: required i64 incarnation
}

struct Heartbeat {
  1: required string node
  2: required i64 incarnation
  3: required i64 sequence
  4: required string zone
  5: required string callerAddress
  6: required string peerAddress
  7: required bool draining
  8: required double loadShare
  9: required ConfigurationClaim configuration
  10: required list<InFlight> inFlight
  11: required list<CrashRecord> crashRecords
  /// Replicas that the sender is draining as holder of its cell's lease.
  12: required list<string> drainingReplicas
  /// Milliseconds since the sender last read the configuration row; negative for never.
  13: required i64 storeAgeMs
  /// The receiver's latest heartbeat that the sender has received; 0 for none.
  14: required i64 echoIncarnation
  15: required i64 echoSequence
}

enum PeerRequestKind {
  FETCH_BODY = 1,
  OFFER_BODY = 2,
  FETCH_COMMITTED = 3
}

struct PeerRequest {
  1: required PeerRequestKind kind
  2: required string sender
  /// Digest of the requested or offered body.
  3: required string digest
  4: required i64 baseEpoch
  5: required string body
}

/// The committed configuration row that the sender knows.
struct Committed {
  1: required i64 epoch
  2: required i64 version
  3: required string digest
  4: required list<Elector> electorate
  5: required string attempt
}

struct PeerReply {
  1: required bool ok
  2: required string body
  3: optional Committed committed
}

/// Work that one front node has outstanding at one backend server.
struct ServerLoad {
  1: required string replica
  2: required i32 requests
  /// Prompt tokens that are still to be prefilled there.
  3: required i64 promptTokens
}

/// A prompt that the sender has sent to an engine since its last heartbeat.
struct PromptUse {
  1: required string replica
  2: required list<i64> partIds
  3: required list<i32> partTokens
}

/// An engine whose stage is being changed.
struct StageChange {
  1: required string replica
  /// Time until the engine is expected to accept work again.
  2: required i32 remainingMs
}

/// What a node has learned from the answers of a server of the request rate that it takes from all nodes together.
struct RateStatement {
  1: required string replica
  /// Start of the server's process, as in its entry.
  2: required i64 startedAt
  /// Time since the answer arrived.
  3: required i32 ageMs
  /// Requests per 1,000 seconds; missing if the server states no limit any more.
  4: optional i32 perThousandSeconds
}

/// The nodes that collect usage counts. Of two lists of one coordinator, the one with the higher version is newer.
struct UsageCollectors {
  1: required string coordinator
  2: required i64 version
  3: required list<string> addresses
}

/// Heartbeat of a front node. It is sent in one UDP datagram.
/// What the sender knows of a part of prompts that may crash engines. Times are ages in milliseconds.
struct PartEvidence {
  1: required i64 part
  /// Highest index of the part in a prompt.
  2: required i32 position
  /// Engine processes that ended while they ran a prompt with this part, and when.
  3: required list<i32> crashes
  4: required list<i32> crashAges
  /// When a prompt with this part was last answered; missing if that is not known.
  5: optional i32 answerAge
  /// How likely a prompt with this part is the cause, in percent, by crash; 100 where it is missing.
  6: optional list<i32> crashLikelihoods
}

struct FrontBeat {
  1: required string node
  2: required i64 incarnation
  3: required i64 sequence
  4: required string zone
  5: required string callerAddress
  6: required string peerAddress
  /// Whether the sender accepts new callers.
  7: required bool ready
  8: required bool leaving
  /// The operator's version of the configuration in force, and the packed StorePosition up to which the servers' table has been read.
  9: required i64 planVersion
  10: required i64 serversVersion
  11: required list<ServerLoad> loads
  12: required list<PromptUse> uses
  13: required list<CrashRecord> crashRecords
  /// Delay with which the sender's timers fire, in microseconds.
  14: required i64 lagMicros
  /// Prompt tokens per millisecond that the sender has sent to engines for prefill, by service.
  15: required map<string, double> readRates
  /// Events per millisecond that the sender has forwarded to callers, by service.
  17: required map<string, double> eventRates
  /// Whether the sender reads the platform's tables directly and its last calls were answered.
  18: required bool readsStore
  /// Engines whose stage is being changed; they accept no work during the change. Receivers pass them on.
  16: required list<StageChange> changing
  /// Heartbeat addresses of a few other nodes that the sender receives heartbeats from. They rotate between heartbeats, so that all nodes
  /// discover each other.
  19: required list<string> acquaintances
  /// Number of nodes that the sender knows, itself included.
  20: required i32 knownNodes
  /// The node that orders stage changes as far as the sender knows, and the age of its last sign of life.
  21: required string coordinator
  22: required i32 coordinatorAgeMs
  /// Recent signs of life of other nodes of the sender's zone: 5 bytes each, see sighting_codec.h.
  23: required binary sightings
  24: optional list<PartEvidence> partEvidence
  /// Measured durations of engines' work: by process of an engine and stage (see engineSpeedKey()), in percent of the expected ones.
  25: optional list<i32> speedKeys
  26: optional list<i32> speedPercents
  /// The sender's uncorrected estimate of true time, in milliseconds since the start of 1970.
  27: optional i64 unixTimeMs
  /// The nodes that collect usage counts as far as the sender knows.
  28: optional UsageCollectors usageCollectors
  /// Limits of servers' request rates, as far as the sender knows.
  29: optional list<RateStatement> rateStatements
  /// Time since the sender's table of servers is known to have agreed with the store; missing if it has not been read.
  30: optional i32 serversAgeMs
}

/// Update of the sender's load at one engine, sent immediately when the load changes considerably. It is sent in one UDP datagram.
struct LoadNotice {
  1: required i64 incarnation
  /// Sequence number, counted over heartbeats and load updates of one incarnation together.
  2: required i64 sequence
  3: required string peerAddress
  4: required ServerLoad load
  /// Parts of the prompt that the sender has just sent to the engine; empty for other changes.
  5: required list<i64> partIds
  6: required list<i32> partTokens
  /// Measured duration of work at the engine, in percent of the expected one.
  7: optional i32 speedPercent
}

/// Asks the steward of a group of engines for the load of the group. It is sent in one UDP datagram.
struct GroupQuery {
  1: required i64 number
  2: required string peerAddress
  3: required string engineService
  4: required string group
  /// Parts of the prompt that is to be placed.
  5: required list<i64> partIds
  6: required list<i32> partTokens
}

/// One engine in a GroupReport.
struct GroupEngine {
  /// Outstanding work of all nodes but the asking one.
  1: required ServerLoad load
  /// Leading tokens of the prompt that are cached at the engine.
  2: required i32 cachedTokens
  /// Duration of the engine's work in percent of the usual one, as the steward estimates it; missing if it has too few samples.
  3: optional i32 speedPercent
}

/// Answer to a GroupQuery. It is sent in one UDP datagram.
struct GroupReport {
  1: required i64 number
  2: required string peerAddress
  3: required list<GroupEngine> engines
}

/// Requests of each customer that servers began to run in one window, as counted by the sender so far.
struct UsageWindow {
  1: required i64 window
  2: required list<string> customers
  3: required list<i64> totals
}

/// Usage counts that the receiver has not acknowledged. It is sent in one UDP datagram.
struct UsageUpdate {
  1: required string peerAddress
  2: required i64 incarnation
  3: required string node
  4: required bool leaving
  /// Number of the datagram, for its acknowledgement.
  5: required i64 number
  /// With this datagram, the receiver has the sender's final counts of all windows up to this one.
  6: required i64 finalWindow
  7: required list<UsageWindow> windows
}

/// Acknowledges a UsageUpdate. It is sent in one UDP datagram.
struct UsageAck {
  1: required string peerAddress
  /// Incarnation of the collector. A new one has none of the counts that were sent to its predecessor.
  2: required i64 incarnation
  3: required i64 number
}

/// A stream and the software version of the service at which it began.
struct StreamRecord {
  /// Hash of the id of the request that brought the first event, see streamKey().
  1: required i64 stream
  2: required string originService
  3: required string softwareVersion
}

/// Streams that the sender has begun and that have not ended. It is sent in one UDP datagram.
struct StreamNotice {
  1: required list<StreamRecord> streams
}

/// Asks where a stream began. It is sent in one UDP datagram.
struct StreamQuery {
  1: required i64 number
  2: required string peerAddress
  3: required i64 stream
}

/// Answer to a StreamQuery. It is sent in one UDP datagram.
struct StreamReport {
  1: required i64 number
  2: required string peerAddress
  /// Missing if the sender does not know the stream.
  3: optional StreamRecord stream
  /// The packed StorePosition of the sender's table of servers.
  4: optional i64 serversVersion
}

/// Content of a datagram between front nodes. Exactly one field is set.
struct FrontDatagram {
  1: optional FrontBeat beat
  2: optional LoadNotice notice
  3: optional GroupQuery query
  4: optional GroupReport report
  5: optional UsageUpdate usage
  6: optional UsageAck usageAck
  7: optional StreamNotice streamNotice
  8: optional StreamQuery streamQuery
  9: optional StreamReport streamReport
}

/// Requests the rows of the platform's tables that a front node has read.
struct FleetSnapshotRequest {
  1: required string sender
  /// The operator's version of the configuration and the packed StorePosition of the servers' table that the sender has. Only newer rows
  /// are requested; none if the version is the maximum of i64.
  2: required i64 planVersion
  3: required i64 serversVersion
  /// Whether the sender can read FleetSnapshot.compressedPlan.
  4: optional bool acceptsCompressedPlan
}

/// A row of one of the platform's tables, in the platform's format.
struct StoredRow {
  1: required string key
  2: required string text
  3: required i64 version
  4: required bool removed
}

/// The platform's tables as a front node has last read them.
struct FleetSnapshot {
  1: required i64 planVersion
  /// Empty if the requesting node already has this version.
  2: required string plan
  3: required i64 serversVersion
  /// Rows that are newer than those of the requesting node.
  4: required list<StoredRow> servers
  5: required list<StoredRow> nodes
  /// Set in place of `plan` if the requesting node accepts it; see base/compression.h.
  6: optional binary compressedPlan
  /// Set if the sender transfers the configuration to too many other nodes; nothing else is set then.
  7: optional bool busy
}
