#pragma once

/**
 * @file
 * Sealed bytes between nodes: datagrams over UDP, requests and replies as length-prefixed frames over TCP.
 */

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/error.h"
#include "apricotarch/state/metrics.h"
#include "apricotarch/transport/peer_seal.h"
#include "apricotarch/transport/workers.h"

namespace apricotarch
{

/// Sends and receives for one node. Messages that are not sealed with the desk's key are dropped and counted.
class SealedLink
{
public:
    using DatagramHandler = std::function<void(const std::string &bytes, const std::string &peer)>;

    /// Gives the reply to a request, or nothing where it cannot be read.
    using RequestHandler = std::function<std::optional<std::string>(const std::string &bytes, const std::string &peer)>;

    /**
     * @param workers loops; everything is handled on the first
     * @param seal proof of membership
     * @param metrics counts messages that are dropped
     */
    SealedLink(Workers &workers, const PeerSeal &seal, Metrics &metrics);
    SealedLink(const SealedLink &) = delete;
    SealedLink &operator=(const SealedLink &) = delete;
    ~SealedLink();

    /// Binds UDP and TCP on an address and starts to receive. @return ListenFailed
    [[nodiscard]] Result<void> listen(const Endpoint &endpoint, DatagramHandler onDatagram, RequestHandler onRequest);

    /// Receives no more.
    void stop();

    /// Sends a datagram; a lost one is not noticed. Called on the first loop. @param sealed made by seal()
    void send(const Endpoint &peer, const std::string &sealed);

    /// Bytes ready to be sent to any number of peers.
    [[nodiscard]] std::string seal(std::string_view bytes) const;

    /// Sends a request and waits for its reply. @return ConnectFailed, ConnectionLost, TimedOut or Refused
    [[nodiscard]] asio::awaitable<Result<std::string>> ask(Endpoint peer, std::string bytes);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace apricotarch
