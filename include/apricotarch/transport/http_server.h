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

#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/error.h"
#include "apricotarch/transport/http_message.h"
#include "apricotarch/transport/workers.h"

namespace apricotarch
{

/// What a server accepts from one peer.
struct HttpServerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    std::size_t connections = 4096;
    std::chrono::milliseconds requestTimeout{10'000}; ///< From the first wait for a request to its last byte.
    std::chrono::milliseconds writeTimeout{10'000}; ///< For one write to a slow reader.
};

/// The way to answer one request. Exactly one of respond() and beginStream() is called, once.
class HttpResponder
{
public:
    HttpResponder() = default;
    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;
    virtual ~HttpResponder() = default;

    // ---- whole answers ----

    /**
     * Sends a whole response.
     * @return ConnectionLost or TimedOut where the peer has gone
     */
    [[nodiscard]] virtual boost::asio::awaitable<Result<void>> respond(HttpResponse response) = 0;

    // ---- streams ----

    /// Sends status and headers of a chunked response.
    [[nodiscard]] virtual boost::asio::awaitable<Result<void>> beginStream(int status, HttpHeaders headers) = 0;

    /// Sends one chunk. @param chunk must stay valid until the write is done
    [[nodiscard]] virtual boost::asio::awaitable<Result<void>> write(std::string_view chunk) = 0;

    /// Ends a chunked response.
    [[nodiscard]] virtual boost::asio::awaitable<Result<void>> endStream() = 0;

    /// Ends the connection so that the peer sees an unfinished answer.
    virtual void abort() noexcept = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(const HttpRequest &, HttpResponder &)>;

/// Serves one address.
class HttpServer
{
public:
    /**
     * Prepares a server.
     * @param workers loops that connections are spread over; must outlive the server
     * @param limits what is accepted
     * @param handler called for each request, on the connection's loop
     */
    HttpServer(Workers &workers, HttpServerLimits limits, HttpHandler handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();

    /**
     * Binds and starts to accept.
     * @return ListenFailed with what to do
     */
    [[nodiscard]] Result<void> listen(const Endpoint &endpoint);

    /// Takes no further connections and closes each open one after its present answer.
    void stopAccepting();

    /// Requests that are being answered.
    [[nodiscard]] std::size_t activeRequests() const noexcept;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace apricotarch
