#include "apricotarch/transport/http_server.h"

#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "apricotarch/base/background_task.h"
#include "apricotarch/base/log.h"
#include "apricotarch/protocol/problem.h"
#include "apricotarch/transport/message_framing.h"
#include "apricotarch/transport/request_read.h"
#include "beast_responder.h"

namespace apricotarch
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto UseAwaitable = asio::use_awaitable;

/// How long input is discarded after the last answer, so that a reset of the connection does not destroy the answer.
constexpr std::chrono::seconds LingerTimeout{1};
constexpr std::size_t DiscardBufferBytes = 4096;

/// Pause between two checks for open connections at the end.
constexpr std::chrono::milliseconds FinishPollInterval{20};

HttpHeaders toHeaders(const http::fields &fields)
{
    HttpHeaders headers;
    for (const auto &header : fields) {
        headers.add(std::string(header.name_string()), std::string(header.value()));
    }
    return headers;
}

/// @param headers the headers of the head; those of the message contain the fields of a trailer, too
HttpRequest toRequest(http::request<http::string_body> message, HttpHeaders headers, std::string peer)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const std::size_t queryMark = target.find('?');
    request.path = target.substr(0, queryMark);
    request.query = queryMark == std::string::npos ? std::string() : target.substr(queryMark + 1);
    request.headers = std::move(headers);
    request.body = std::move(message.body());
    request.peer = std::move(peer);
    return request;
}

/// Returns the problem that answers a request which could not be read. Status 0 means that no answer is to be sent, because the connection
/// has ended.
Problem problemForReadError(const beast::error_code &code)
{
    Problem problem{
        .status = 400, .reason = "malformed_request", .detail = "", .notRun = true, .step = "http.read", .peer = "", .retryAfter = {}};
    problem.detail = "The request could not be read as HTTP/1.1: " + code.message() + ". It was not executed.";
    if (code == http::error::header_limit) {
        problem.status = 431;
        problem.reason = "header_too_large";
    } else if (code == http::error::body_limit) {
        problem.status = 413;
        problem.reason = "body_too_large";
    } else if (code == beast::error::timeout) {
        problem.status = 408;
        problem.reason = "slow_sender";
    } else if (code.category() != make_error_code(http::error::bad_method).category() || code == http::error::end_of_stream) {
        problem.status = 0;
    }
    return problem;
}

/// Returns the problem that answers a request which is still being read when the process ends.
Problem problemOfShutdown()
{
    return {.status = 503,
        .reason = "node_draining",
        .detail = "This node has shut down before it had read the whole request. Request GET /v1/entry from another node.",
        .notRun = true,
        .step = "http.read",
        .peer = "",
        .retryAfter = std::chrono::seconds(1)};
}

HttpResponse toResponse(const Problem &problem)
{
    HttpResponse response{problem.status, {{"Content-Type", std::string(ProblemMediaType)}}, encodeProblem(problem)};
    if (problem.retryAfter) {
        response.headers.add("Retry-After", std::to_string(problem.retryAfter->count()));
    }
    return response;
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
    Impl(EventLoopPool &loopPool, HttpServerLimits serverLimits, HttpHandler requestHandler)
        : eventLoops(loopPool)
        , limits(serverLimits)
        , handler(std::move(requestHandler))
        , acceptor(loopPool.coordinationLoop())
    {
    }

    /// @return false if the server has been in this phase or a later one
    bool raisePhase(ServerPhase next) noexcept;
    asio::awaitable<void> acceptConnections();
    void spawnConnection(tcp::socket socket);
    asio::awaitable<void> serveConnection(tcp::socket socket, bool full);
    asio::awaitable<bool> serveRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer, const std::string &peer);
    asio::awaitable<void> refuse(beast::tcp_stream &stream, const std::string &peer, const Problem &problem) const;
    asio::awaitable<void> discardInput(beast::tcp_stream &stream) const;
    void stopAccepting();

    EventLoopPool &eventLoops;
    HttpServerLimits limits;
    HttpHandler handler;
    tcp::acceptor acceptor;
    const std::shared_ptr<RequestReads> reads = std::make_shared<RequestReads>();
    std::atomic<ServerPhase> phase = ServerPhase::Serving;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> active = 0;
};

bool HttpServer::Impl::raisePhase(ServerPhase next) noexcept
{
    ServerPhase current = phase;
    while (current < next && !phase.compare_exchange_weak(current, next)) {
    }
    return current < next;
}

asio::awaitable<void> HttpServer::Impl::acceptConnections()
{
    const auto self = shared_from_this();
    while (phase != ServerPhase::Finishing) {
        tcp::socket socket(eventLoops.nextLoop());
        beast::error_code code;
        co_await acceptor.async_accept(socket, asio::redirect_error(UseAwaitable, code));
        if (code == asio::error::operation_aborted) {
            break;
        }
        if (code) {
            continue;
        }
        spawnConnection(std::move(socket));
    }
}

void HttpServer::Impl::spawnConnection(tcp::socket socket)
{
    const asio::any_io_executor executor = socket.get_executor();
    const bool full = connections.fetch_add(1) >= limits.connections;
    asio::co_spawn(executor, serveConnection(std::move(socket), full), LogFailure("serve_http"));
}

void HttpServer::Impl::stopAccepting()
{
    beast::error_code code;
    acceptor.non_blocking(true, code);
    // Connections that the system has accepted would be reset, also if their requests have arrived.
    while (!code) {
        tcp::socket socket(eventLoops.nextLoop());
        acceptor.accept(socket, code);
        if (!code) {
            spawnConnection(std::move(socket));
        }
    }
    acceptor.close(code);
}

asio::awaitable<void> HttpServer::Impl::refuse(beast::tcp_stream &stream, const std::string &peer, const Problem &problem) const
{
    BeastResponder responder(stream, peer, limits.writeTimeout, false, phase);
    (void)co_await responder.respond(toResponse(problem));
}

asio::awaitable<void> HttpServer::Impl::discardInput(beast::tcp_stream &stream) const
{
    beast::error_code code;
    stream.socket().shutdown(tcp::socket::shutdown_send, code);
    std::array<char, DiscardBufferBytes> discarded{};
    stream.expires_after(LingerTimeout);
    while (!code) {
        co_await stream.async_read_some(asio::buffer(discarded), asio::redirect_error(UseAwaitable, code));
    }
}

asio::awaitable<bool> HttpServer::Impl::serveRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer, const std::string &peer)
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    const auto read = std::make_shared<RequestRead>(reads, stream, limits.requestTimeout);
    read->start();
    beast::error_code code;
    co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(UseAwaitable, code));
    HttpHeaders headers;
    if (!code) {
        headers = toHeaders(parser.get());
        const bool isSound = findFramingFault({static_cast<int>(parser.get().version())}, headers) == FramingFault::None;
        code = isSound ? beast::error_code() : make_error_code(http::error::bad_transfer_encoding);
    }
    if (!code) {
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(UseAwaitable, code));
    }
    read->end(code);
    if (code) {
        const bool cancelled = code == asio::error::operation_aborted && reads->areCancelled();
        const Problem problem = cancelled ? problemOfShutdown() : problemForReadError(code);
        beast::error_code ignored;
        const bool hasArrived = parser.got_some() || buffer.size() > 0 || stream.socket().available(ignored) > 0;
        if (problem.status != 0 && hasArrived) {
            LogEvent("http.refused_unread").field("peer", peer).field("reason", problem.reason);
            co_await refuse(stream, peer, problem);
            co_await discardInput(stream);
        }
        co_return false;
    }
    const bool keepAlive = parser.get().keep_alive();
    const HttpRequest request = toRequest(parser.release(), std::move(headers), peer);
    BeastResponder responder(stream, peer, limits.writeTimeout, keepAlive, phase);
    ++active;
    stream.expires_never();
    try {
        co_await handler(request, responder);
    } catch (const std::exception &exception) {
        LogEvent("http.handler_failed", LogEvent::Level::Error)
            .field("path", request.path)
            .field("detail", std::string_view(exception.what()));
        responder.abort();
    }
    --active;
    if (responder.closeAnnounced()) {
        co_await discardInput(stream);
    }
    co_return responder.keepAlive();
}

asio::awaitable<void> HttpServer::Impl::serveConnection(tcp::socket socket, bool full)
{
    const auto self = shared_from_this();
    beast::error_code code;
    socket.set_option(tcp::no_delay(true), code);
    const tcp::endpoint remote = socket.remote_endpoint(code);
    const std::string peer = remote.address().to_string() + ':' + std::to_string(remote.port());
    beast::tcp_stream stream(std::move(socket));
    if (full) {
        Problem problem{.status = 503,
            .reason = "too_many_connections",
            .detail = "",
            .notRun = true,
            .step = "http.accept",
            .peer = peer,
            .retryAfter = {}};
        problem.detail = "This node has reached its limit of open connections. Query GET /v1/entry at another node.";
        co_await refuse(stream, peer, problem);
    } else {
        beast::flat_buffer buffer;
        bool keepAlive = true;
        while (keepAlive) {
            keepAlive = co_await serveRequest(stream, buffer, peer);
        }
    }
    --connections;
    stream.socket().shutdown(tcp::socket::shutdown_both, code);
}

HttpServer::HttpServer(EventLoopPool &eventLoops, HttpServerLimits limits, HttpHandler handler)
    : m_impl(std::make_shared<Impl>(eventLoops, limits, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    if (!m_impl->raisePhase(ServerPhase::Finishing)) {
        return;
    }
    asio::post(m_impl->acceptor.get_executor(), [impl = m_impl] {
        beast::error_code ignored;
        impl->acceptor.close(ignored);
    });
}

Result<void> HttpServer::listen(const Endpoint &endpoint)
{
    beast::error_code code;
    const tcp::endpoint address(asio::ip::make_address(endpoint.host, code), endpoint.port);
    const auto runUnlessFailed = [&code](auto operation) {
        if (!code) {
            operation();
        }
    };
    tcp::acceptor &acceptor = m_impl->acceptor;
    runUnlessFailed([&] {
        acceptor.open(address.protocol(), code);
    });
    runUnlessFailed([&] {
        acceptor.set_option(asio::socket_base::reuse_address(true), code);
    });
    runUnlessFailed([&] {
        acceptor.bind(address, code);
    });
    runUnlessFailed([&] {
        acceptor.listen(asio::socket_base::max_listen_connections, code);
    });
    if (code) {
        return fail(ErrorId::ListenFailed,
            "http.listen",
            endpoint.text(),
            code.message() + "; check that the address belongs to this VM and that no other process uses it");
    }
    asio::co_spawn(acceptor.get_executor(), m_impl->acceptConnections(), LogFailure("accept_http"));
    return {};
}

void HttpServer::announceClose()
{
    m_impl->raisePhase(ServerPhase::AnnouncingClose);
}

asio::awaitable<std::size_t> HttpServer::finish(Clock &clock, Duration limit)
{
    const TimePoint end = clock.now() + limit;
    m_impl->raisePhase(ServerPhase::Finishing);
    m_impl->stopAccepting();
    m_impl->reads->cancelAll();
    while (m_impl->connections > 0 && clock.now() < end) {
        co_await clock.sleep(FinishPollInterval);
    }
    co_return m_impl->connections;
}

std::size_t HttpServer::activeRequests() const noexcept
{
    return m_impl->active;
}

} // namespace apricotarch
