#include "apricotarch/protocol/front_codec.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "apricotarch/protocol/engine_evidence_codec.h"
#include "apricotarch/protocol/request_rate_codec.h"
#include "apricotarch/protocol/sighting_codec.h"
#include "apricotarch/protocol/stream_codec.h"
#include "apricotarch/protocol/thrift_bytes.h"
#include "apricotarch/protocol/usage_codec.h"

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

/// Writes a prompt to the two lists of a message that hold its parts.
template<typename Message>
void writePrompt(Message &message, const std::vector<PromptPart> &prompt)
{
    for (const PromptPart &part : prompt) {
        message.partIds.push_back(static_cast<std::int64_t>(part.id));
        message.partTokens.push_back(static_cast<std::int32_t>(part.tokens));
    }
}

/// Reads a prompt from the two lists of a message that hold its parts.
template<typename Message>
std::vector<PromptPart> readPrompt(const Message &message)
{
    std::vector<PromptPart> prompt;
    for (std::size_t index = 0; index < std::min(message.partIds.size(), message.partTokens.size()); ++index) {
        prompt.push_back({static_cast<std::uint64_t>(message.partIds[index]), message.partTokens[index]});
    }
    return prompt;
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
        writePrompt(sentPrompt, entry.prompt);
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
    for (const EngineStageChange &entry : heartbeat.changingEngines) {
        wire::StageChange change;
        change.replica = entry.engine.value();
        change.remainingMs = static_cast<std::int32_t>(entry.remaining.count());
        message.changing.push_back(std::move(change));
    }
}

void writeAnnouncedPeers(wire::FrontBeat &message, const FrontHeartbeat &heartbeat)
{
    for (const PeerAddress &peer : heartbeat.announcedPeers) {
        message.acquaintances.push_back(peer.text());
    }
}

void readLists(FrontHeartbeat &heartbeat, const wire::FrontBeat &message)
{
    for (const wire::ServerLoad &entry : message.loads) {
        heartbeat.loads.push_back(fromWire(entry));
    }
    for (const wire::PromptUse &entry : message.uses) {
        heartbeat.sentPrompts.push_back({ReplicaId(entry.replica), readPrompt(entry)});
    }
    for (const auto &[service, rate] : message.readRates) {
        heartbeat.prefillRates[ServiceId(service)] = rate;
    }
    for (const auto &[service, rate] : message.eventRates) {
        heartbeat.eventRates[ServiceId(service)] = rate;
    }
    for (const wire::StageChange &entry : message.changing) {
        heartbeat.changingEngines.push_back({ReplicaId(entry.replica), std::chrono::milliseconds(entry.remainingMs)});
    }
    for (const std::string &text : message.acquaintances) {
        if (const Result<PeerAddress> peer = parsePeerAddress(text)) {
            heartbeat.announcedPeers.push_back(*peer);
        }
    }
    heartbeat.sightings = decodeSightings(message.sightings);
    readPartEvidence(heartbeat, message);
    readSpeedSamples(heartbeat, message);
    heartbeat.requestRates = requestRatesFromWire(message.rateStatements);
    for (const wire::CrashRecord &entry : message.crashRecords) {
        heartbeat.crashRecords.push_back({ContentHash(entry.contentHash), entry.crashes, std::chrono::milliseconds(entry.remainingMs)});
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
    message.serversVersion = heartbeat.serversVersion.packed();
    if (heartbeat.serversAge) {
        message.__set_serversAgeMs(
            static_cast<std::int32_t>(std::min<std::int64_t>(heartbeat.serversAge->count(), std::numeric_limits<std::int32_t>::max())));
    }
    message.lagMicros = heartbeat.timerLag.count();
    message.readsStore = heartbeat.readsStore;
    message.knownNodes = static_cast<std::int32_t>(heartbeat.knownNodes);
    message.coordinator = heartbeat.coordinator.value();
    message.coordinatorAgeMs = static_cast<std::int32_t>(heartbeat.coordinatorAge.count());
    message.sightings = encodeSightings(heartbeat.sightings);
    writeLoads(message, heartbeat);
    writeSentPrompts(message, heartbeat);
    writeCrashRecords(message, heartbeat);
    writePartEvidence(message, heartbeat);
    writeSpeedSamples(message, heartbeat);
    if (!heartbeat.requestRates.empty()) {
        message.__set_rateStatements(requestRatesToWire(heartbeat.requestRates));
    }
    writeStageData(message, heartbeat);
    writeAnnouncedPeers(message, heartbeat);
    if (heartbeat.uncorrectedTime) {
        message.__set_unixTimeMs(heartbeat.uncorrectedTime->time_since_epoch().count());
    }
    if (heartbeat.usageCollectors) {
        message.__set_usageCollectors(usageToWire(*heartbeat.usageCollectors));
    }
    return message;
}

wire::LoadNotice toWire(const LoadUpdate &update)
{
    wire::LoadNotice message;
    message.incarnation = update.incarnation.value();
    message.sequence = update.sequence;
    message.peerAddress = update.peerAddress.text();
    message.load = toWire(update.load);
    writePrompt(message, update.prompt);
    if (update.speedPercent) {
        message.__set_speedPercent(*update.speedPercent);
    }
    return message;
}

wire::GroupQuery toWire(const EngineGroupQuery &query)
{
    wire::GroupQuery message;
    message.number = query.number;
    message.peerAddress = query.peerAddress.text();
    message.engineService = query.service.value();
    message.group = query.group;
    writePrompt(message, query.prompt);
    return message;
}

wire::GroupReport toWire(const EngineGroupReport &report)
{
    wire::GroupReport message;
    message.number = report.number;
    message.peerAddress = report.peerAddress.text();
    for (const EngineGroupEntry &entry : report.engines) {
        wire::GroupEngine engine;
        engine.load = toWire(entry.load);
        engine.cachedTokens = static_cast<std::int32_t>(entry.cachedTokens);
        if (entry.speedPercent) {
            engine.__set_speedPercent(*entry.speedPercent);
        }
        message.engines.push_back(std::move(engine));
    }
    return message;
}

Result<FrontDatagram> fromWire(const wire::LoadNotice &message, const std::string &peer)
{
    const Result<Endpoint> peerAddress = parseEndpoint(message.peerAddress);
    if (!peerAddress) {
        return fail(ErrorId::InvalidField, "load_notice.decode", peer, "peerAddress is missing or not of the form IP:PORT");
    }
    LoadUpdate update{Incarnation(message.incarnation), message.sequence, *peerAddress, fromWire(message.load), readPrompt(message)};
    if (message.__isset.speedPercent) {
        update.speedPercent = message.speedPercent;
    }
    return update;
}

Result<FrontDatagram> fromWire(const wire::GroupQuery &message, const std::string &peer)
{
    const Result<Endpoint> peerAddress = parseEndpoint(message.peerAddress);
    if (!peerAddress) {
        return fail(ErrorId::InvalidField, "group_query.decode", peer, "peerAddress is missing or not of the form IP:PORT");
    }
    return EngineGroupQuery{message.number, *peerAddress, ServiceId(message.engineService), message.group, readPrompt(message)};
}

Result<FrontDatagram> fromWire(const wire::GroupReport &message, const std::string &peer)
{
    const Result<Endpoint> peerAddress = parseEndpoint(message.peerAddress);
    if (!peerAddress) {
        return fail(ErrorId::InvalidField, "group_report.decode", peer, "peerAddress is missing or not of the form IP:PORT");
    }
    EngineGroupReport report;
    report.number = message.number;
    report.peerAddress = *peerAddress;
    for (const wire::GroupEngine &entry : message.engines) {
        report.engines.push_back({fromWire(entry.load), entry.cachedTokens});
        if (entry.__isset.speedPercent) {
            report.engines.back().speedPercent = entry.speedPercent;
        }
    }
    return report;
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
    heartbeat.planVersion = ConfigurationVersion(message.planVersion);
    heartbeat.serversVersion = StorePosition::unpack(message.serversVersion);
    if (message.__isset.serversAgeMs) {
        heartbeat.serversAge = std::chrono::milliseconds(std::max(message.serversAgeMs, 0));
    }
    heartbeat.readsStore = message.readsStore;
    heartbeat.timerLag = std::chrono::microseconds(message.lagMicros);
    heartbeat.knownNodes = static_cast<std::size_t>(std::max(message.knownNodes, 1));
    heartbeat.coordinator = NodeId(message.coordinator);
    heartbeat.coordinatorAge = std::chrono::milliseconds(std::max(message.coordinatorAgeMs, 0));
    readLists(heartbeat, message);
    if (message.__isset.unixTimeMs) {
        heartbeat.uncorrectedTime = UnixTime(std::chrono::milliseconds(message.unixTimeMs));
    }
    if (message.__isset.usageCollectors) {
        heartbeat.usageCollectors = usageFromWire(message.usageCollectors);
    }
    return heartbeat;
}

} // namespace

std::string encodeFrontDatagram(const FrontDatagram &datagram)
{
    wire::FrontDatagram message;
    if (const auto *heartbeat = std::get_if<FrontHeartbeat>(&datagram)) {
        message.__set_beat(toWire(*heartbeat));
    } else if (const auto *update = std::get_if<LoadUpdate>(&datagram)) {
        message.__set_notice(toWire(*update));
    } else if (const auto *query = std::get_if<EngineGroupQuery>(&datagram)) {
        message.__set_query(toWire(*query));
    } else if (const auto *usage = std::get_if<UsageUpdate>(&datagram)) {
        message.__set_usage(usageToWire(*usage));
    } else if (const auto *usageAck = std::get_if<UsageAck>(&datagram)) {
        message.__set_usageAck(usageToWire(*usageAck));
    } else if (const auto *notice = std::get_if<StreamNotice>(&datagram)) {
        message.__set_streamNotice(streamToWire(*notice));
    } else if (const auto *streamQuery = std::get_if<StreamQuery>(&datagram)) {
        message.__set_streamQuery(streamToWire(*streamQuery));
    } else if (const auto *streamReport = std::get_if<StreamReport>(&datagram)) {
        message.__set_streamReport(streamToWire(*streamReport));
    } else {
        message.__set_report(toWire(std::get<EngineGroupReport>(datagram)));
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
    if (message->__isset.query) {
        return fromWire(message->query, peer);
    }
    if (message->__isset.report) {
        return fromWire(message->report, peer);
    }
    if (message->__isset.usage) {
        return usageFromWire(message->usage, peer).map([](UsageUpdate update) {
            return FrontDatagram(std::move(update));
        });
    }
    if (message->__isset.usageAck) {
        return usageFromWire(message->usageAck, peer).map([](UsageAck ack) {
            return FrontDatagram(std::move(ack));
        });
    }
    if (message->__isset.streamNotice) {
        return FrontDatagram(streamFromWire(message->streamNotice));
    }
    if (message->__isset.streamQuery) {
        return streamFromWire(message->streamQuery, peer).map([](StreamQuery streamQuery) {
            return FrontDatagram(std::move(streamQuery));
        });
    }
    if (message->__isset.streamReport) {
        return streamFromWire(message->streamReport, peer).map([](StreamReport streamReport) {
            return FrontDatagram(std::move(streamReport));
        });
    }
    return fail(ErrorId::MalformedMessage, "front_datagram.decode", peer, "datagram contains no known message");
}

} // namespace apricotarch
