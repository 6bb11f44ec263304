#include "apricotarch/protocol/stream_codec.h"

#include <utility>

#include "peer_types.h"

namespace apricotarch
{

namespace
{

wire::StreamRecord toWire(const StreamRecord &record)
{
    wire::StreamRecord message;
    message.stream = record.stream.value();
    message.originService = record.origin.service.value();
    message.softwareVersion = record.origin.version.value();
    return message;
}

StreamRecord fromWire(const wire::StreamRecord &message)
{
    return {StreamKey(message.stream), {ServiceId(message.originService), SoftwareVersion(message.softwareVersion)}};
}

Result<Endpoint> parseSender(const std::string &address, const char *step, const std::string &peer)
{
    Result<Endpoint> sender = parseEndpoint(address);
    if (!sender) {
        return fail(ErrorId::InvalidField, step, peer, "peerAddress is missing or not of the form IP:PORT");
    }
    return sender;
}

} // namespace

wire::StreamNotice streamToWire(const StreamNotice &notice)
{
    wire::StreamNotice message;
    for (const StreamRecord &record : notice.streams) {
        message.streams.push_back(toWire(record));
    }
    return message;
}

wire::StreamQuery streamToWire(const StreamQuery &query)
{
    wire::StreamQuery message;
    message.number = query.number;
    message.peerAddress = query.peerAddress.text();
    message.stream = query.stream.value();
    return message;
}

wire::StreamReport streamToWire(const StreamReport &report)
{
    wire::StreamReport message;
    message.number = report.number;
    message.peerAddress = report.peerAddress.text();
    if (report.stream) {
        message.__set_stream(toWire(*report.stream));
    }
    if (report.serversVersion) {
        message.__set_serversVersion(report.serversVersion->packed());
    }
    return message;
}

StreamNotice streamFromWire(const wire::StreamNotice &message)
{
    StreamNotice notice;
    for (const wire::StreamRecord &record : message.streams) {
        notice.streams.push_back(fromWire(record));
    }
    return notice;
}

Result<StreamQuery> streamFromWire(const wire::StreamQuery &message, const std::string &peer)
{
    return parseSender(message.peerAddress, "stream_query.decode", peer).map([&message](Endpoint sender) {
        return StreamQuery{message.number, std::move(sender), StreamKey(message.stream)};
    });
}

Result<StreamReport> streamFromWire(const wire::StreamReport &message, const std::string &peer)
{
    return parseSender(message.peerAddress, "stream_report.decode", peer).map([&message](Endpoint sender) {
        StreamReport report{message.number, std::move(sender), std::nullopt};
        if (message.__isset.stream) {
            report.stream = fromWire(message.stream);
        }
        if (message.__isset.serversVersion) {
            report.serversVersion = StorePosition::unpack(message.serversVersion);
        }
        return report;
    });
}

} // namespace apricotarch
