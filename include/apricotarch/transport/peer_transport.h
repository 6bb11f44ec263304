#pragma once

/**
 * @file
 * Messages between nodes: heartbeats as authenticated datagrams, requests and replies as authenticated length-prefixed frames over TCP.
 */

#include <functional>

#include "apricotarch/base/clock.h"
#include "apricotarch/coordination/peer_client.h"
#include "apricotarch/protocol/peer_codec.h"
#include "apricotarch/state/metrics.h"
#include "apricotarch/transport/authenticated_link.h"

namespace apricotarch
{

/// Sends and receives the messages of one node.
class PeerTransport final : public PeerClient
{
public:
    using HeartbeatHandler = std::function<void(Heartbeat)>;
    using RequestHandler = std::function<PeerReply(PeerRequest)>;

    /**
     * @param eventLoops event loops; heartbeats and requests are handled on the coordination loop
     * @param authenticator authenticates messages with the installation's key
     * @param metrics counts messages that were refused or malformed
     * @param self id of this node, the sender of requests
     */
    PeerTransport(EventLoopPool &eventLoops, const MessageAuthenticator &authenticator, Metrics &metrics, NodeId self);
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;
    ~PeerTransport() override = default;

    // ---- receiving ----

    /// Binds a UDP and a TCP socket to an address and starts receiving. @return ListenFailed if a socket cannot be bound
    [[nodiscard]] Result<void> listen(const Endpoint &endpoint, HeartbeatHandler onHeartbeat, RequestHandler onRequest);

    /// Stops receiving.
    void stop();

    // ---- sending ----

    /// Sends a heartbeat; its loss is not detected. Must be called on the coordination loop.
    void sendHeartbeat(const Endpoint &peer, const Heartbeat &heartbeat);

    [[nodiscard]] asio::awaitable<Result<CommittedConfiguration>> fetchCommitted(Endpoint peer) override;
    [[nodiscard]] asio::awaitable<Result<std::string>> fetchBody(Endpoint peer, Digest digest) override;
    [[nodiscard]] asio::awaitable<Result<void>> offer(Endpoint peer, ConfigurationOffer offer) override;

private:
    [[nodiscard]] asio::awaitable<Result<PeerReply>> exchange(Endpoint peer, PeerRequest request);

    AuthenticatedLink m_link;
    Metrics &m_metrics;
    NodeId m_self;
};

} // namespace apricotarch
