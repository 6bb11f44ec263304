#pragma once

/**
 * @file
 * Nodes among each other: beats as sealed datagrams, requests and replies as sealed length-prefixed frames over TCP.
 */

#include <functional>

#include "apricotarch/base/clock.h"
#include "apricotarch/coordination/peers.h"
#include "apricotarch/protocol/peer_codec.h"
#include "apricotarch/state/metrics.h"
#include "apricotarch/transport/sealed_link.h"

namespace apricotarch
{

/// Sends and receives for one node.
class PeerTransport final : public PeerLink
{
public:
    using HeartbeatHandler = std::function<void(Heartbeat)>;
    using RequestHandler = std::function<PeerReply(PeerRequest)>;

    /**
     * @param workers loops; beats and requests are handled on the first
     * @param seal proof of membership
     * @param metrics counts refused and malformed messages
     * @param self sender of requests
     */
    PeerTransport(Workers &workers, const PeerSeal &seal, Metrics &metrics, NodeId self);
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;
    ~PeerTransport() override = default;

    // ---- receiving ----

    /// Binds UDP and TCP on an address and starts to receive. @return ListenFailed
    [[nodiscard]] Result<void> listen(const Endpoint &endpoint, HeartbeatHandler onHeartbeat, RequestHandler onRequest);

    /// Receives no more.
    void stop();

    // ---- sending ----

    /// Sends a beat; a lost one is not noticed. Called on the first loop.
    void beat(const Endpoint &peer, const Heartbeat &heartbeat);

    [[nodiscard]] asio::awaitable<Result<CommittedConfiguration>> fetchCommitted(Endpoint peer) override;
    [[nodiscard]] asio::awaitable<Result<std::string>> fetchBody(Endpoint peer, Digest digest) override;
    [[nodiscard]] asio::awaitable<Result<void>> offer(Endpoint peer, ConfigurationOffer offer) override;

private:
    [[nodiscard]] asio::awaitable<Result<PeerReply>> ask(Endpoint peer, PeerRequest request);

    SealedLink m_link;
    Metrics &m_metrics;
    NodeId m_self;
};

} // namespace apricotarch
