#pragma once

/**
 * @file
 * HTTP/1.1 client for backend servers and the platform: a connection, and a pool of idle connections.
 */

#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/error.h"
#include "apricotarch/transport/http_message.h"

namespace apricotarch
{

class BufferBudget;

/// A connection. Must be used by one coroutine at a time, on the event loop on which it was created.
class HttpConnection
{
public:
    /**
     * Connects to a peer.
     * @param endpoint address of the peer
     * @param timeout limit for connecting
     * @return the connection, or ConnectFailed, after which it is certain that nothing was sent
     */
    [[nodiscard]] static asio::awaitable<Result<std::unique_ptr<HttpConnection>>> connect(
        Endpoint endpoint, Duration timeout, BufferBudget *budget = nullptr);

    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;
    ~HttpConnection();

    // ---- complete answers ----

    /**
     * Sends a request and reads the complete answer.
     * @param request the request
     * @param timeout limit until the head arrives; a body of a known length gets the time that a slow link needs after that, any other body
     *     must be complete by then
     * @return the answer, or ConnectionLost, TimedOut or MalformedMessage, all with Delivery::MaybeSent
     */
    [[nodiscard]] asio::awaitable<Result<HttpResponse>> exchange(HttpRequest request, Duration timeout);

    // ---- streams ----

    /// Sends a request and reads the answer's head; the body of the returned response is empty.
    [[nodiscard]] asio::awaitable<Result<HttpResponse>> open(HttpRequest request, Duration timeout);

    /**
     * Reads the next bytes of a streamed answer.
     * @param timeout limit for the wait
     * @return at least one byte; an empty string at the regular end of the stream; ConnectionLost if the stream ends early
     */
    [[nodiscard]] asio::awaitable<Result<std::string>> readSome(Duration timeout);

    /// Closes the connection; an exchange in progress fails with ConnectionLost.
    void close() noexcept;

    /**
     * Makes every close, also one by a timeout or by the end of the process, reset the connection: bytes that have not been delivered are
     * discarded, so that a request cannot arrive after it has been given up.
     * @param deliveryLimit time after which the system discards bytes that the peer has not acknowledged; at least 1 ms
     */
    void discardUndelivered(Duration deliveryLimit) noexcept;

    /// Whether another request may be sent.
    [[nodiscard]] bool isReusable() const noexcept;

    /// Whether an idle connection is known to be closed by the peer or has received unsolicited bytes.
    [[nodiscard]] bool isStale() noexcept;

private:
    struct Impl;
    explicit HttpConnection(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

/// Pool of idle connections, separate for each event loop.
class HttpClient
{
public:
    /// @param budget limits what all connections keep of answers, on a single event loop; null for no limit beyond that of each answer
    explicit HttpClient(BufferBudget *budget = nullptr);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient();

    /**
     * Returns an idle connection to a peer, or a new one.
     * @return the connection, or ConnectFailed, after which it is certain that nothing was sent
     */
    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<HttpConnection>>> acquire(Endpoint endpoint, Duration timeout);

    /// Returns a connection to the pool. Must be called on the event loop on which the connection was created.
    [[nodiscard]] asio::awaitable<void> release(Endpoint endpoint, std::unique_ptr<HttpConnection> connection);

    /// Performs one exchange on a pooled connection. Never sends the request twice.
    [[nodiscard]] asio::awaitable<Result<HttpResponse>> exchange(Endpoint endpoint, HttpRequest request, Duration timeout);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace apricotarch
