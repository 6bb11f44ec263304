#include "apricotarch/protocol/peer_codec.h"

#include "apricotarch/protocol/thrift_bytes.h"

#include "peer_types.h"

namespace apricotarch
{

namespace
{

wire::ConfigurationClaim toWire(const ConfigurationState &state)
{
    wire::ConfigurationClaim message;
    message.epoch = state.epoch.packed();
    message.version = state.version.value();
    message.digest = state.digest.value();
    message.offerBaseEpoch = state.offerBase.packed();
    message.offerDigest = state.offerDigest.value();
    message.ready = state.ready;
    return message;
}

ConfigurationState fromWire(const wire::ConfigurationClaim &message)
{
    ConfigurationState state;
    state.epoch = StorePosition::unpack(message.epoch);
    state.version = ConfigurationVersion(message.version);
    state.digest = Digest(message.digest);
    state.offerBase = StorePosition::unpack(message.offerBaseEpoch);
    state.offerDigest = Digest(message.offerDigest);
    state.ready = message.ready;
    return state;
}

wire::Committed toWire(const CommittedConfiguration &committed)
{
    wire::Committed message;
    message.epoch = committed.epoch.packed();
    message.version = committed.row.version.value();
    message.digest = committed.row.digest.value();
    message.attempt = committed.row.attempt.value();
    for (const Elector &elector : committed.row.electorate) {
        wire::Elector entry;
        entry.node = elector.node.value();
        entry.incarnation = elector.incarnation.value();
        message.electorate.push_back(entry);
    }
    return message;
}

CommittedConfiguration fromWire(const wire::Committed &message)
{
    CommittedConfiguration committed;
    committed.epoch = StorePosition::unpack(message.epoch);
    committed.row.version = ConfigurationVersion(message.version);
    committed.row.digest = Digest(message.digest);
    committed.row.attempt = WriteAttemptId(message.attempt);
    for (const wire::Elector &entry : message.electorate) {
        committed.row.electorate.push_back({NodeId(entry.node), Incarnation(entry.incarnation)});
    }
    return committed;
}

void writeLists(wire::Heartbeat &message, const Heartbeat &heartbeat)
{
    for (const ReplicaOutstanding &entry : heartbeat.outstanding) {
        wire::InFlight inFlight;
        inFlight.replica = entry.replica.value();
        inFlight.requests = entry.outstanding.requests;
        inFlight.promptTokens = entry.outstanding.prompt.value();
        inFlight.outputTokens = entry.outstanding.output.value();
        message.inFlight.push_back(inFlight);
    }
    for (const CrashRecord &entry : heartbeat.crashRecords) {
        wire::CrashRecord record;
        record.contentHash = entry.content.value();
        record.crashes = entry.crashes;
        record.remainingMs = entry.remaining.count();
        message.crashRecords.push_back(record);
    }
    for (const ReplicaId &replica : heartbeat.drainingReplicas) {
        message.drainingReplicas.push_back(replica.value());
    }
}

void readLists(Heartbeat &heartbeat, const wire::Heartbeat &message)
{
    for (const wire::InFlight &entry : message.inFlight) {
        heartbeat.outstanding.push_back(
            {ReplicaId(entry.replica), {entry.requests, Tokens(entry.promptTokens), Tokens(entry.outputTokens)}});
    }
    for (const wire::CrashRecord &entry : message.crashRecords) {
        heartbeat.crashRecords.push_back({ContentHash(entry.contentHash), entry.crashes, std::chrono::milliseconds(entry.remainingMs)});
    }
    for (const std::string &replica : message.drainingReplicas) {
        heartbeat.drainingReplicas.emplace_back(replica);
    }
}

Result<PeerRequest> fromWire(const wire::PeerRequest &message, const std::string &peer)
{
    switch (message.kind) {
    case wire::PeerRequestKind::FETCH_BODY:
        return PeerRequest(FetchBodyRequest{Digest(message.digest)});
    case wire::PeerRequestKind::FETCH_COMMITTED:
        return PeerRequest(FetchCommittedRequest{});
    case wire::PeerRequestKind::OFFER_BODY:
        return PeerRequest(ConfigurationOffer{StorePosition::unpack(message.baseEpoch), Digest(message.digest), message.body});
    }
    return fail(ErrorId::InvalidField, "peer.decode_request", peer, "unknown kind of request; check that all nodes run the same version");
}

} // namespace

std::string encodeHeartbeat(const Heartbeat &heartbeat)
{
    wire::Heartbeat message;
    message.node = heartbeat.node.value();
    message.incarnation = heartbeat.incarnation.value();
    message.sequence = heartbeat.sequence;
    message.zone = heartbeat.zone.value();
    message.callerAddress = heartbeat.callerAddress.text();
    message.peerAddress = heartbeat.peerAddress.text();
    message.draining = heartbeat.draining;
    message.loadShare = heartbeat.loadShare;
    message.configuration = toWire(heartbeat.configuration);
    message.storeAgeMs = heartbeat.storeAge ? heartbeat.storeAge->count() : -1;
    message.echoIncarnation = heartbeat.echo ? heartbeat.echo->incarnation.value() : 0;
    message.echoSequence = heartbeat.echo ? heartbeat.echo->sequence : 0;
    writeLists(message, heartbeat);
    return toThriftBytes(message);
}

Result<Heartbeat> decodeHeartbeat(std::string_view bytes, const std::string &peer)
{
    constexpr const char *Step = "peer.decode_heartbeat";
    const Result<wire::Heartbeat> message = fromThriftBytes<wire::Heartbeat>(bytes, Step, peer);
    if (!message) {
        return Failure(message.error());
    }
    const Result<Endpoint> callerAddress = parseEndpoint(message->callerAddress);
    const Result<Endpoint> peerAddress = parseEndpoint(message->peerAddress);
    if (!callerAddress || !peerAddress || message->node.empty()) {
        return fail(
            ErrorId::InvalidField, Step, peer, "node must not be empty, and callerAddress and peerAddress must be of the form IP:PORT");
    }
    Heartbeat heartbeat;
    heartbeat.node = NodeId(message->node);
    heartbeat.incarnation = Incarnation(message->incarnation);
    heartbeat.sequence = message->sequence;
    heartbeat.zone = ZoneId(message->zone);
    heartbeat.callerAddress = *callerAddress;
    heartbeat.peerAddress = *peerAddress;
    heartbeat.draining = message->draining;
    heartbeat.loadShare = message->loadShare;
    heartbeat.configuration = fromWire(message->configuration);
    if (message->storeAgeMs >= 0) {
        heartbeat.storeAge = std::chrono::milliseconds(message->storeAgeMs);
    }
    if (message->echoSequence > 0) {
        heartbeat.echo = HeartbeatEcho{Incarnation(message->echoIncarnation), message->echoSequence};
    }
    readLists(heartbeat, *message);
    return heartbeat;
}

std::string encodePeerRequest(const PeerRequest &request, const NodeId &sender)
{
    wire::PeerRequest message;
    message.sender = sender.value();
    if (const auto *fetch = std::get_if<FetchBodyRequest>(&request)) {
        message.kind = wire::PeerRequestKind::FETCH_BODY;
        message.digest = fetch->digest.value();
    } else if (const auto *offer = std::get_if<ConfigurationOffer>(&request)) {
        message.kind = wire::PeerRequestKind::OFFER_BODY;
        message.digest = offer->digest.value();
        message.baseEpoch = offer->base.packed();
        message.body = offer->body;
    } else {
        message.kind = wire::PeerRequestKind::FETCH_COMMITTED;
    }
    return toThriftBytes(message);
}

Result<PeerRequest> decodePeerRequest(std::string_view bytes, const std::string &peer)
{
    const Result<wire::PeerRequest> message = fromThriftBytes<wire::PeerRequest>(bytes, "peer.decode_request", peer);
    if (!message) {
        return Failure(message.error());
    }
    return fromWire(*message, peer);
}

std::string encodePeerReply(const PeerReply &reply)
{
    wire::PeerReply message;
    message.ok = reply.ok;
    message.body = reply.body;
    if (reply.committed) {
        message.__set_committed(toWire(*reply.committed));
    }
    return toThriftBytes(message);
}

Result<PeerReply> decodePeerReply(std::string_view bytes, const std::string &peer)
{
    const Result<wire::PeerReply> message = fromThriftBytes<wire::PeerReply>(bytes, "peer.decode_reply", peer);
    if (!message) {
        return Failure(message.error());
    }
    PeerReply reply;
    reply.ok = message->ok;
    reply.body = message->body;
    if (message->__isset.committed) {
        reply.committed = fromWire(message->committed);
    }
    return reply;
}

} // namespace apricotarch
