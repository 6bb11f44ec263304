/// Messages between the nodes of apricotarch.
/// Heartbeats travel as one UDP datagram each; requests and replies travel as length-prefixed frames over TCP.
namespace cpp apricotarch.wire

/// Tokens and requests that one node has outstanding at one replica.
struct InFlight {
  1: required string replica
  2: required i32 requests
  3: required i64 promptTokens
  4: required i64 outputTokens
}

/// What the sender has seen a request content do to backend servers.
struct CrashRecord {
  1: required i64 contentHash
  /// Crashes under it; 0 clears what was said before.
  2: required i32 crashes
  /// Milliseconds the record still has to run on the sender's clock.
  3: required i64 remainingMs
}

/// What a node knows of the current configuration row.
struct ConfigurationClaim {
  1: required i64 epoch
  2: required i64 version
  3: required string digest
  /// Row epoch an offered, not yet decided, configuration is based on; 0 for none.
  4: required i64 offerBaseEpoch
  5: required string offerDigest
  /// Whether the sender has a body for the version it names.
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
  /// Replicas that the sender, as holder of its cell's duty, is draining.
  12: required list<string> drainingReplicas
  /// Milliseconds since the sender last read the configuration row; negative for never.
  13: required i64 storeAgeMs
  /// The receiver's latest beat that the sender has heard; 0 for none.
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
  /// Body digest asked for or offered.
  3: required string digest
  4: required i64 baseEpoch
  5: required string body
}

/// The configuration row as the sender knows it.
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
  /// Prompt tokens that are still to be read there.
  3: required i64 promptTokens
}

/// A prompt that was sent to an engine since the sender's last beat.
struct PromptUse {
  1: required string replica
  2: required list<i64> partIds
  3: required list<i32> partTokens
}

/// What front nodes tell each other; one UDP datagram.
struct FrontBeat {
  1: required string node
  2: required i64 incarnation
  3: required i64 sequence
  4: required string zone
  5: required string callerAddress
  6: required string peerAddress
  /// Whether the sender takes new callers.
  7: required bool ready
  8: required bool leaving
  /// Versions of the rows that the sender has read last.
  9: required i64 planVersion
  10: required i64 serversVersion
  11: required list<ServerLoad> loads
  12: required list<PromptUse> uses
  13: required list<CrashRecord> crashRecords
  /// How far the sender is behind its work, in microseconds.
  14: required i64 lagMicros
  /// Prompt tokens a second that the sender has given engines to read, by service.
  15: required map<string, double> readRates
  /// Events a second that the sender has passed on to callers, by service.
  17: required map<string, double> eventRates
  /// Whether the sender reads the platform's tables itself, and its last calls were answered.
  18: required bool readsStore
  /// Engines that are being ordered to change their stage, and take no work meanwhile.
  16: required list<string> changing
  /// Addresses for beats of a few other nodes that the sender hears, in turn, so that all come to know each other.
  19: required list<string> acquaintances
}

/// What a sender has outstanding at one engine, told at once where it changes by much; also one UDP datagram.
struct LoadNotice {
  1: required i64 incarnation
  /// Counts beats and notices of one incarnation together.
  2: required i64 sequence
  3: required string peerAddress
  4: required ServerLoad load
}

/// What is in a datagram between front nodes: one of the two.
struct FrontDatagram {
  1: optional FrontBeat beat
  2: optional LoadNotice notice
}

/// Asks a front node for what it knows of the platform's tables.
struct FleetSnapshotRequest {
  1: required string sender
  /// Versions that the sender has; only newer rows are wanted.
  2: required i64 planVersion
  3: required i64 serversVersion
}

struct StoredRow {
  1: required string key
  2: required string text
  3: required i64 version
  4: required bool removed
}

/// The tables as a front node has read them last.
struct FleetSnapshot {
  1: required i64 planVersion
  /// Empty where the asker has it.
  2: required string plan
  3: required i64 serversVersion
  /// Rows that are newer than what the asker has.
  4: required list<StoredRow> servers
  5: required list<StoredRow> nodes
}
