#pragma once

/**
 * @file
 * An HTTP/1.1 server with limits on header, body, connections and slow senders.
 */

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/error.h"
#include "apricotarch/transport/event_loop_pool.h"
#include "apricotarch/transport/http_message.h"

namespace apricotarch
{

/// Limits of a server.
struct HttpServerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    std::size_t connections = 4096; ///< Open at the same time.
    std::chrono::milliseconds requestTimeout{10'000}; ///< From the start of the wait for a request until its last byte.
    std::chrono::milliseconds writeTimeout{10'000}; ///< For each write; bounds the time that a slow reader holds a connection.
};

/// Sends the answer to one request. Exactly one of respond() and beginStream() must be called, once.
class HttpResponder
{
public:
    HttpResponder() = default;
    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;
    virtual ~HttpResponder() = default;

    // ---- complete answers ----

    /**
     * Sends a complete response.
     * @return ConnectionLost or TimedOut if the peer has disconnected or does not read
     */
    [[nodiscard]] virtual boost::asio::awaitable<Result<void>> respond(HttpResponse response) = 0;

    // ---- streams ----

    /// Sends the status line and headers of a chunked response.
    [[nodiscard]] virtual boost::asio::awaitable<Result<void>> beginStream(int status, HttpHeaders headers) = 0;

    /// Sends one chunk. @param chunk must stay valid until the write is complete
    [[nodiscard]] virtual boost::asio::awaitable<Result<void>> write(std::string_view chunk) = 0;

    /// Ends a chunked response.
    [[nodiscard]] virtual boost::asio::awaitable<Result<void>> endStream() = 0;

    /// Closes the connection, so that the peer detects that the answer is incomplete.
    virtual void abort() noexcept = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(const HttpRequest &, HttpResponder &)>;

/// Accepts connections on one address and serves their requests.
class HttpServer
{
public:
    /**
     * Prepares a server.
     * @param eventLoops event loops that connections are distributed over; must outlive the server
     * @param limits limits on connections and requests
     * @param handler called for each request, on the connection's loop
     */
    HttpServer(EventLoopPool &eventLoops, HttpServerLimits limits, HttpHandler handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();

    /**
     * Binds the address and starts accepting connections.
     * @return ListenFailed, whose detail says what to check
     */
    [[nodiscard]] Result<void> listen(const Endpoint &endpoint);

    /// From now on each answer announces the close of its connection. Thread-safe.
    void announceClose();

    /**
     * Ends the server: refuses requests that are still being read as not run, also those on connections that have not been accepted yet,
     * closes connections without a request, and waits for the answers of the others. Must run on the pool's coordination loop.
     * @param clock for the wait
     * @param limit longest wait
     * @return number of connections that are still open
     */
    [[nodiscard]] boost::asio::awaitable<std::size_t> finish(Clock &clock, Duration limit);

    /// Number of requests whose handler is running.
    [[nodiscard]] std::size_t activeRequests() const noexcept;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace apricotarch
