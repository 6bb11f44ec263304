#include "apricotarch/protocol/front_codec.h"

#include <algorithm>

#include "apricotarch/protocol/thrift_bytes.h"

#include "peer_types.h"

namespace apricotarch
{

namespace
{

wire::ServerLoad toWire(const ServerLoad &entry)
{
    wire::ServerLoad load;
    load.replica = entry.replica.value();
    load.requests = static_cast<std::int32_t>(entry.load.requests);
    load.promptTokens = entry.load.promptTokens;
    return load;
}

ServerLoad fromWire(const wire::ServerLoad &entry)
{
    return {ReplicaId(entry.replica), {entry.requests, entry.promptTokens}};
}

void writeLoads(wire::FrontBeat &message, const FrontHeartbeat &heartbeat)
{
    for (const ServerLoad &entry : heartbeat.loads) {
        message.loads.push_back(toWire(entry));
    }
}

void writeSentPrompts(wire::FrontBeat &message, const FrontHeartbeat &heartbeat)
{
    for (const SentPrompt &entry : heartbeat.sentPrompts) {
        wire::PromptUse sentPrompt;
        sentPrompt.replica = entry.replica.value();
        for (const PromptPart &part : entry.prompt) {
            sentPrompt.partIds.push_back(static_cast<std::int64_t>(part.id));
            sentPrompt.partTokens.push_back(static_cast<std::int32_t>(part.tokens));
        }
        message.uses.push_back(std::move(sentPrompt));
    }
}

void writeCrashRecords(wire::FrontBeat &message, const FrontHeartbeat &heartbeat)
{
    for (const CrashRecord &entry : heartbeat.crashRecords) {
        wire::CrashRecord record;
        record.contentHash = entry.content.value();
        record.crashes = entry.crashes;
        record.remainingMs = entry.remaining.count();
        message.crashRecords.push_back(record);
    }
}

void writeStageData(wire::FrontBeat &message, const FrontHeartbeat &heartbeat)
{
    for (const auto &[service, rate] : heartbeat.prefillRates) {
        message.readRates[service.value()] = rate;
    }
    for (const auto &[service, rate] : heartbeat.eventRates) {
        message.eventRates[service.value()] = rate;
    }
    for (const ReplicaId &engine : heartbeat.changingEngines) {
        message.changing.push_back(engine.value());
    }
}

void writeAnnouncedPeers(wire::FrontBeat &message, const FrontHeartbeat &heartbeat)
{
    for (const Endpoint &address : heartbeat.announcedPeers) {
        message.acquaintances.push_back(address.text());
    }
}

void readLists(FrontHeartbeat &heartbeat, const wire::FrontBeat &message)
{
    for (const wire::ServerLoad &entry : message.loads) {
        heartbeat.loads.push_back(fromWire(entry));
    }
    for (const wire::PromptUse &entry : message.uses) {
        SentPrompt sentPrompt;
        sentPrompt.replica = ReplicaId(entry.replica);
        for (std::size_t index = 0; index < std::min(entry.partIds.size(), entry.partTokens.size()); ++index) {
            sentPrompt.prompt.push_back({static_cast<std::uint64_t>(entry.partIds[index]), entry.partTokens[index]});
        }
        heartbeat.sentPrompts.push_back(std::move(sentPrompt));
    }
    for (const auto &[service, rate] : message.readRates) {
        heartbeat.prefillRates[ServiceId(service)] = rate;
    }
    for (const auto &[service, rate] : message.eventRates) {
        heartbeat.eventRates[ServiceId(service)] = rate;
    }
    for (const std::string &engine : message.changing) {
        heartbeat.changingEngines.emplace_back(engine);
    }
    for (const std::string &text : message.acquaintances) {
        if (const Result<Endpoint> address = parseEndpoint(text)) {
            heartbeat.announcedPeers.push_back(*address);
        }
    }
    for (const wire::CrashRecord &entry : message.crashRecords) {
        heartbeat.crashRecords.push_back({ContentHash(entry.contentHash), entry.crashes, std::chrono::milliseconds(entry.remainingMs)});
    }
}

void writeRows(std::vector<wire::StoredRow> &messages, const std::vector<StoredRow> &rows)
{
    for (const StoredRow &row : rows) {
        wire::StoredRow message;
        message.key = row.key;
        message.text = row.text;
        message.version = row.version.value();
        message.removed = row.removed;
        messages.push_back(std::move(message));
    }
}

void readRows(std::vector<StoredRow> &rows, std::vector<wire::StoredRow> &messages)
{
    for (wire::StoredRow &message : messages) {
        rows.push_back({std::move(message.key), std::move(message.text), RowVersion(message.version), message.removed});
    }
}

wire::FrontBeat toWire(const FrontHeartbeat &heartbeat)
{
    wire::FrontBeat message;
    message.node = heartbeat.node.value();
    message.incarnation = heartbeat.incarnation.value();
    message.sequence = heartbeat.sequence;
    message.zone = heartbeat.zone.value();
    message.callerAddress = heartbeat.callerAddress.text();
    message.peerAddress = heartbeat.peerAddress.text();
    message.ready = heartbeat.ready;
    message.leaving = heartbeat.shuttingDown;
    message.planVersion = heartbeat.planVersion.value();
    message.serversVersion = heartbeat.serversVersion.value();
    message.lagMicros = heartbeat.timerLag.count();
    message.readsStore = heartbeat.readsStore;
    writeLoads(message, heartbeat);
    writeSentPrompts(message, heartbeat);
    writeCrashRecords(message, heartbeat);
    writeStageData(message, heartbeat);
    writeAnnouncedPeers(message, heartbeat);
    return message;
}

wire::LoadNotice toWire(const LoadUpdate &update)
{
    wire::LoadNotice message;
    message.incarnation = update.incarnation.value();
    message.sequence = update.sequence;
    message.peerAddress = update.peerAddress.text();
    message.load = toWire(update.load);
    return message;
}

Result<FrontDatagram> fromWire(const wire::LoadNotice &message, const std::string &peer)
{
    const Result<Endpoint> peerAddress = parseEndpoint(message.peerAddress);
    if (!peerAddress) {
        return fail(ErrorId::InvalidField, "load_notice.decode", peer, "peerAddress is missing or not of the form IP:PORT");
    }
    return LoadUpdate{Incarnation(message.incarnation), message.sequence, *peerAddress, fromWire(message.load)};
}

Result<FrontDatagram> fromWire(const wire::FrontBeat &message, const std::string &peer)
{
    const Result<Endpoint> callerAddress = parseEndpoint(message.callerAddress);
    const Result<Endpoint> peerAddress = parseEndpoint(message.peerAddress);
    if (message.node.empty() || !callerAddress || !peerAddress) {
        return fail(ErrorId::InvalidField,
            "front_beat.decode",
            peer,
            "node must not be empty, and callerAddress and peerAddress must be of the form IP:PORT");
    }
    FrontHeartbeat heartbeat;
    heartbeat.node = NodeId(message.node);
    heartbeat.incarnation = Incarnation(message.incarnation);
    heartbeat.sequence = message.sequence;
    heartbeat.zone = ZoneId(message.zone);
    heartbeat.callerAddress = *callerAddress;
    heartbeat.peerAddress = *peerAddress;
    heartbeat.ready = message.ready;
    heartbeat.shuttingDown = message.leaving;
    heartbeat.planVersion = RowVersion(message.planVersion);
    heartbeat.serversVersion = RowVersion(message.serversVersion);
    heartbeat.readsStore = message.readsStore;
    heartbeat.timerLag = std::chrono::microseconds(message.lagMicros);
    readLists(heartbeat, message);
    return heartbeat;
}

} // namespace

std::string encodeFrontDatagram(const FrontDatagram &datagram)
{
    wire::FrontDatagram message;
    if (const auto *heartbeat = std::get_if<FrontHeartbeat>(&datagram)) {
        message.__set_beat(toWire(*heartbeat));
    } else {
        message.__set_notice(toWire(std::get<LoadUpdate>(datagram)));
    }
    return toThriftBytes(message);
}

Result<FrontDatagram> decodeFrontDatagram(std::string_view bytes, const std::string &peer)
{
    const Result<wire::FrontDatagram> message = fromThriftBytes<wire::FrontDatagram>(bytes, "front_datagram.decode", peer);
    if (!message) {
        return Failure(message.error());
    }
    if (message->__isset.beat) {
        return fromWire(message->beat, peer);
    }
    if (message->__isset.notice) {
        return fromWire(message->notice, peer);
    }
    return fail(ErrorId::MalformedMessage, "front_datagram.decode", peer, "datagram contains neither a heartbeat nor a load update");
}

std::string encodeFleetSnapshotRequest(const FleetSnapshotRequest &request)
{
    wire::FleetSnapshotRequest message;
    message.sender = request.sender.value();
    message.planVersion = request.planVersion.value();
    message.serversVersion = request.serversVersion.value();
    return toThriftBytes(message);
}

Result<FleetSnapshotRequest> decodeFleetSnapshotRequest(std::string_view bytes, const std::string &peer)
{
    const auto message = fromThriftBytes<wire::FleetSnapshotRequest>(bytes, "fleet_snapshot_request.decode", peer);
    if (!message) {
        return Failure(message.error());
    }
    return FleetSnapshotRequest{NodeId(message->sender), RowVersion(message->planVersion), RowVersion(message->serversVersion)};
}

std::string encodeFleetSnapshot(const FleetSnapshot &snapshot)
{
    wire::FleetSnapshot message;
    message.planVersion = snapshot.planVersion.value();
    message.plan = snapshot.plan;
    message.serversVersion = snapshot.serversVersion.value();
    writeRows(message.servers, snapshot.servers);
    writeRows(message.nodes, snapshot.nodes);
    return toThriftBytes(message);
}

Result<FleetSnapshot> decodeFleetSnapshot(std::string_view bytes, const std::string &peer)
{
    Result<wire::FleetSnapshot> message = fromThriftBytes<wire::FleetSnapshot>(bytes, "fleet_snapshot.decode", peer);
    if (!message) {
        return Failure(message.error());
    }
    FleetSnapshot snapshot;
    snapshot.planVersion = RowVersion(message->planVersion);
    snapshot.plan = std::move(message->plan);
    snapshot.serversVersion = RowVersion(message->serversVersion);
    readRows(snapshot.servers, message->servers);
    readRows(snapshot.nodes, message->nodes);
    return snapshot;
}

} // namespace apricotarch
