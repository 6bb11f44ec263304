#include "apricotarch/transport/http_server.h"

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

namespace apricotarch
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto UseAwaitable = asio::use_awaitable;

Result<void> toResult(const beast::error_code &code, const char *step, const std::string &peer)
{
    if (!code) {
        return {};
    }
    const ErrorId id = code == beast::error::timeout ? ErrorId::TimedOut : ErrorId::ConnectionLost;
    return fail(id, step, peer, code.message(), Delivery::MaybeSent);
}

template<typename Message>
void setHeaders(Message &message, const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers.fields()) {
        message.set(header.name, header.value);
    }
}

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

/// Cancels a read that exceeds its timeout and leaves the connection open for an error response. The stream's own timeout would close it.
class ReadDeadline : public std::enable_shared_from_this<ReadDeadline>
{
public:
    ReadDeadline(beast::tcp_stream &stream, std::chrono::milliseconds timeout)
        : m_stream(stream)
        , m_timer(stream.get_executor(), timeout)
    {
    }

    void start()
    {
        m_stream.expires_never();
        m_timer.async_wait([self = shared_from_this()](const beast::error_code &code) {
            if (!code && !self->m_ended) {
                self->m_expired = true;
                self->m_stream.cancel();
            }
        });
    }

    /// Ends the deadline after the read has completed. @param code result of the read, replaced by a timeout if the deadline cancelled it
    void end(beast::error_code &code)
    {
        m_ended = true;
        m_timer.cancel();
        if (m_expired && code) {
            code = beast::error::timeout;
        }
    }

private:
    beast::tcp_stream &m_stream;
    asio::steady_timer m_timer;
    bool m_ended = false;
    bool m_expired = false;
};

/// Answers one request on a Beast stream.
class BeastResponder final : public HttpResponder
{
public:
    BeastResponder(beast::tcp_stream &stream, std::string peer, std::chrono::milliseconds writeTimeout, bool keepAlive)
        : m_stream(stream)
        , m_peer(std::move(peer))
        , m_writeTimeout(writeTimeout)
        , m_keepAlive(keepAlive)
    {
    }

    asio::awaitable<Result<void>> respond(HttpResponse response) override
    {
        http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
        setHeaders(message, response.headers);
        message.keep_alive(m_keepAlive);
        message.body() = std::move(response.body);
        message.prepare_payload();
        m_started = true;
        m_stream.expires_after(m_writeTimeout);
        beast::error_code code;
        co_await http::async_write(m_stream, message, asio::redirect_error(UseAwaitable, code));
        co_return recordWriteResult(code, "http.respond");
    }

    asio::awaitable<Result<void>> beginStream(int status, HttpHeaders headers) override
    {
        http::response<http::empty_body> message(static_cast<http::status>(status), 11);
        setHeaders(message, headers);
        message.keep_alive(m_keepAlive);
        message.chunked(true);
        m_started = true;
        http::response_serializer<http::empty_body> serializer(message);
        m_stream.expires_after(m_writeTimeout);
        beast::error_code code;
        co_await http::async_write_header(m_stream, serializer, asio::redirect_error(UseAwaitable, code));
        co_return recordWriteResult(code, "http.begin_stream");
    }

    asio::awaitable<Result<void>> write(std::string_view chunk) override
    {
        m_stream.expires_after(m_writeTimeout);
        beast::error_code code;
        const asio::const_buffer buffer(chunk.data(), chunk.size());
        co_await asio::async_write(m_stream, http::make_chunk(buffer), asio::redirect_error(UseAwaitable, code));
        co_return recordWriteResult(code, "http.write");
    }

    asio::awaitable<Result<void>> endStream() override
    {
        m_stream.expires_after(m_writeTimeout);
        beast::error_code code;
        co_await asio::async_write(m_stream, http::make_chunk_last(), asio::redirect_error(UseAwaitable, code));
        co_return recordWriteResult(code, "http.end_stream");
    }

    void abort() noexcept override
    {
        m_keepAlive = false;
        beast::error_code ignored;
        m_stream.socket().close(ignored);
    }

    [[nodiscard]] bool keepAlive() const noexcept
    {
        return m_keepAlive && m_started;
    }

    [[nodiscard]] bool started() const noexcept
    {
        return m_started;
    }

private:
    Result<void> recordWriteResult(const beast::error_code &code, const char *step)
    {
        if (code) {
            m_keepAlive = false;
        }
        return toResult(code, step, m_peer);
    }

    beast::tcp_stream &m_stream;
    std::string m_peer;
    std::chrono::milliseconds m_writeTimeout;
    bool m_keepAlive;
    bool m_started = false;
};

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

HttpResponse toResponse(const Problem &problem)
{
    return {problem.status, {{"Content-Type", std::string(ProblemMediaType)}}, encodeProblem(problem)};
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

    asio::awaitable<void> acceptConnections();
    asio::awaitable<void> serveConnection(tcp::socket socket);
    asio::awaitable<bool> serveRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer, const std::string &peer);
    asio::awaitable<void> refuse(beast::tcp_stream &stream, const std::string &peer, const Problem &problem) const;

    EventLoopPool &eventLoops;
    HttpServerLimits limits;
    HttpHandler handler;
    tcp::acceptor acceptor;
    std::atomic<bool> stopping = false;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> active = 0;
};

asio::awaitable<void> HttpServer::Impl::acceptConnections()
{
    const auto self = shared_from_this();
    while (!stopping) {
        tcp::socket socket(eventLoops.nextLoop());
        beast::error_code code;
        co_await acceptor.async_accept(socket, asio::redirect_error(UseAwaitable, code));
        if (code == asio::error::operation_aborted) {
            break;
        }
        if (code) {
            continue;
        }
        const asio::any_io_executor executor = socket.get_executor();
        asio::co_spawn(executor, serveConnection(std::move(socket)), LogFailure("serve_http"));
    }
}

asio::awaitable<void> HttpServer::Impl::refuse(beast::tcp_stream &stream, const std::string &peer, const Problem &problem) const
{
    BeastResponder responder(stream, peer, limits.writeTimeout, false);
    (void)co_await responder.respond(toResponse(problem));
}

asio::awaitable<bool> HttpServer::Impl::serveRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer, const std::string &peer)
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    const auto deadline = std::make_shared<ReadDeadline>(stream, limits.requestTimeout);
    deadline->start();
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
    deadline->end(code);
    if (code) {
        const Problem problem = problemForReadError(code);
        if (problem.status != 0 && (parser.got_some() || buffer.size() > 0)) {
            co_await refuse(stream, peer, problem);
        }
        co_return false;
    }
    const bool keepAlive = parser.get().keep_alive() && !stopping;
    const HttpRequest request = toRequest(parser.release(), std::move(headers), peer);
    BeastResponder responder(stream, peer, limits.writeTimeout, keepAlive);
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
    co_return responder.keepAlive() && !stopping;
}

asio::awaitable<void> HttpServer::Impl::serveConnection(tcp::socket socket)
{
    const auto self = shared_from_this();
    beast::error_code code;
    socket.set_option(tcp::no_delay(true), code);
    const tcp::endpoint remote = socket.remote_endpoint(code);
    const std::string peer = remote.address().to_string() + ':' + std::to_string(remote.port());
    beast::tcp_stream stream(std::move(socket));
    if (connections.fetch_add(1) >= limits.connections) {
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
    stopAccepting();
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

void HttpServer::stopAccepting()
{
    if (m_impl->stopping.exchange(true)) {
        return;
    }
    asio::post(m_impl->acceptor.get_executor(), [impl = m_impl] {
        beast::error_code ignored;
        impl->acceptor.close(ignored);
    });
}

std::size_t HttpServer::activeRequests() const noexcept
{
    return m_impl->active;
}

} // namespace apricotarch
