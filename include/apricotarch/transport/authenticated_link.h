#pragma once

/**
 * @file
 * Authenticated byte messages between nodes: datagrams over UDP, requests and replies as length-prefixed frames over TCP.
 */

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/error.h"
#include "apricotarch/state/metrics.h"
#include "apricotarch/transport/event_loop_pool.h"
#include "apricotarch/transport/message_authenticator.h"

namespace apricotarch
{

class BufferBudget;

/// Shared by all replies whose simultaneous transfers are limited; the number of references to it counts them.
struct TransferToken : boost::intrusive_ref_counter<TransferToken>
{
};

/// Reply to a request of a peer.
struct FrameReply
{
    std::string bytes;
    boost::intrusive_ptr<TransferToken> transfer; ///< If set, it is held until the peer has the reply or has given up.
};

/// Sends and receives the messages of one node. Messages not authenticated with the installation's key are dropped and counted.
class AuthenticatedLink
{
public:
    using DatagramHandler = std::function<void(const std::string &bytes, const std::string &peer)>;

    /// Returns the reply to a request, or nothing if the request is malformed.
    using RequestHandler = std::function<std::optional<FrameReply>(const std::string &bytes, const std::string &peer)>;

    /**
     * @param eventLoops event loops; all messages are handled on the coordination loop
     * @param authenticator authenticates messages with the installation's key
     * @param metrics counts sent datagrams and dropped messages
     */
    /// @param budget limits what is kept of frames that are arriving; null for no limit beyond that of each frame
    AuthenticatedLink(
        EventLoopPool &eventLoops, const MessageAuthenticator &authenticator, Metrics &metrics, BufferBudget *budget = nullptr);
    AuthenticatedLink(const AuthenticatedLink &) = delete;
    AuthenticatedLink &operator=(const AuthenticatedLink &) = delete;
    ~AuthenticatedLink();

    /// Binds a UDP and a TCP socket to an address and starts receiving. @return ListenFailed if a socket cannot be bound
    [[nodiscard]] Result<void> listen(const Endpoint &endpoint, DatagramHandler onDatagram, RequestHandler onRequest);

    /// Stops receiving.
    void stop();

    /// Sends a datagram; its loss is not detected. Must be called on the coordination loop. @param authenticated result of authenticate()
    void sendDatagram(const Endpoint &peer, const std::string &authenticated);

    /// Authenticates a message. @return bytes that can be sent to any number of peers
    [[nodiscard]] std::string authenticate(std::string_view bytes) const;

    /**
     * Sends a request and waits for its reply. The time allowed for a reply grows with its size.
     * @return the reply; ConnectFailed, ConnectionLost, TimedOut, MessageTooLarge or Refused
     */
    [[nodiscard]] asio::awaitable<Result<std::string>> sendRequest(Endpoint peer, std::string bytes);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace apricotarch
