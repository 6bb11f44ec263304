#pragma once

/**
 * @file
 * HTTP/1.1 towards backend servers and the platform: one connection, and a pool of them.
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

/// One connection. Used by one coroutine at a time, on the loop it was made on.
class HttpConnection
{
public:
    /**
     * Connects.
     * @param endpoint whom to
     * @param timeout how long to try
     * @return the connection; ConnectFailed, which is certain to have sent nothing
     */
    [[nodiscard]] static asio::awaitable<Result<std::unique_ptr<HttpConnection>>> connect(Endpoint endpoint, Duration timeout);

    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;
    ~HttpConnection();

    // ---- whole answers ----

    /**
     * Sends a request and reads the whole answer.
     * @param request what to send
     * @param timeout for all of it
     * @return the answer; ConnectionLost, TimedOut or MalformedMessage, all with Delivery::MaybeSent
     */
    [[nodiscard]] asio::awaitable<Result<HttpResponse>> exchange(HttpRequest request, Duration timeout);

    // ---- streams ----

    /// Sends a request and reads the answer's head; the body of the returned response is empty.
    [[nodiscard]] asio::awaitable<Result<HttpResponse>> open(HttpRequest request, Duration timeout);

    /**
     * Reads more of a streamed answer.
     * @param timeout how long to wait for the next bytes
     * @return some bytes; an empty text at the proper end; ConnectionLost where the stream ends early
     */
    [[nodiscard]] asio::awaitable<Result<std::string>> readSome(Duration timeout);

    /// Whether another request may be sent.
    [[nodiscard]] bool reusable() const noexcept;

    /// Whether the peer has closed an idle connection, as far as this side knows.
    [[nodiscard]] bool stale() noexcept;

private:
    struct Impl;
    explicit HttpConnection(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

/// Keeps idle connections, apart for each event loop.
class HttpClient
{
public:
    HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient();

    /**
     * An idle connection to a peer, or a new one.
     * @return ConnectFailed where none can be made; nothing was sent then
     */
    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<HttpConnection>>> acquire(Endpoint endpoint, Duration timeout);

    /// Takes a connection back for later use, on the loop it was made on.
    [[nodiscard]] asio::awaitable<void> release(Endpoint endpoint, std::unique_ptr<HttpConnection> connection);

    /// Acquires, exchanges and releases. Never sends twice.
    [[nodiscard]] asio::awaitable<Result<HttpResponse>> exchange(Endpoint endpoint, HttpRequest request, Duration timeout);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace apricotarch
