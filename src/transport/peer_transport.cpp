#include "apricotarch/transport/peer_transport.h"

#include <utility>

namespace apricotarch
{

PeerTransport::PeerTransport(EventLoopPool &eventLoops, const MessageAuthenticator &authenticator, Metrics &metrics, NodeId self)
    : m_link(eventLoops, authenticator, metrics)
    , m_metrics(metrics)
    , m_self(std::move(self))
{
}

Result<void> PeerTransport::listen(const Endpoint &endpoint, HeartbeatHandler onHeartbeat, RequestHandler onRequest)
{
    const auto handleDatagram = [this, handle = std::move(onHeartbeat)](const std::string &bytes, const std::string &peer) {
        Result<Heartbeat> heartbeat = decodeHeartbeat(bytes, peer);
        if (!heartbeat) {
            m_metrics.increment(CounterFamily::Peers, "beat_malformed");
            return;
        }
        m_metrics.increment(CounterFamily::Peers, "beat_received");
        handle(std::move(*heartbeat));
    };
    const auto handleRequest = [handle = std::move(onRequest)](
                                   const std::string &bytes, const std::string &peer) -> std::optional<FrameReply> {
        const Result<PeerRequest> request = decodePeerRequest(bytes, peer);
        if (!request) {
            return std::nullopt;
        }
        return FrameReply{encodePeerReply(handle(*request)), nullptr};
    };
    return m_link.listen(endpoint, handleDatagram, handleRequest);
}

void PeerTransport::stop()
{
    m_link.stop();
}

void PeerTransport::sendHeartbeat(const Endpoint &peer, const Heartbeat &heartbeat)
{
    m_link.sendDatagram(peer, m_link.authenticate(encodeHeartbeat(heartbeat)));
}

asio::awaitable<Result<PeerReply>> PeerTransport::exchange(Endpoint peer, PeerRequest request)
{
    const Result<std::string> bytes = co_await m_link.sendRequest(peer, encodePeerRequest(request, m_self));
    if (!bytes) {
        co_return Failure(bytes.error());
    }
    const Result<PeerReply> reply = decodePeerReply(*bytes, peer.text());
    if (reply && !reply->ok) {
        co_return fail(ErrorId::Refused, "peer.ask", peer.text(), reply->body);
    }
    co_return reply;
}

asio::awaitable<Result<CommittedConfiguration>> PeerTransport::fetchCommitted(Endpoint peer)
{
    const PeerRequest request = FetchCommittedRequest();
    const Result<PeerReply> reply = co_await exchange(peer, request);
    if (!reply) {
        co_return Failure(reply.error());
    }
    if (!reply->committed) {
        co_return fail(ErrorId::NotFound, "peer.fetch_committed", peer.text(), "the peer has no committed configuration");
    }
    co_return *reply->committed;
}

asio::awaitable<Result<std::string>> PeerTransport::fetchBody(Endpoint peer, Digest digest)
{
    const PeerRequest request = FetchBodyRequest{std::move(digest)};
    const Result<PeerReply> reply = co_await exchange(peer, request);
    if (!reply) {
        co_return Failure(reply.error());
    }
    co_return reply->body;
}

asio::awaitable<Result<void>> PeerTransport::offer(Endpoint peer, ConfigurationOffer offer)
{
    const PeerRequest request = std::move(offer);
    const Result<PeerReply> reply = co_await exchange(peer, request);
    if (!reply) {
        co_return Failure(reply.error());
    }
    co_return Result<void>();
}

} // namespace apricotarch
