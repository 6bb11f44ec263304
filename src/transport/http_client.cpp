#include "apricotarch/transport/http_client.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "apricotarch/base/buffer_budget.h"
#include "apricotarch/transport/message_parser.h"

namespace apricotarch
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto UseAwaitable = asio::use_awaitable;
constexpr std::size_t ReadChunkBytes = 16 * 1024;
/// Longer than any object or page of rows of the store.
constexpr std::size_t MaxBodyBytes = 16UL * 1024 * 1024;

/// A peer that sends more informational heads than this before its answer is cut off.
constexpr std::size_t MaxInformationalAnswers = 16;

constexpr std::size_t MaxIdleConnectionsPerPeer = 64;

/// Largest number of bytes that wait for the rest of a head or of a chunk's header.
constexpr std::size_t MaxUnparsedBytes = 128UL * 1024;

/// Time allowed for a short body once its head has arrived, the rate at which longer bodies of a known length have to arrive, and the
/// longest time for any body.
constexpr std::chrono::milliseconds ShortBodyTimeout{1000};
constexpr std::uint64_t MinBodyBytesPerMillisecond = 64;
constexpr std::chrono::milliseconds LongestBodyTimeout{10'000};

std::chrono::milliseconds bodyTimeout(std::uint64_t length)
{
    return std::min(LongestBodyTimeout, ShortBodyTimeout + std::chrono::milliseconds(length / MinBodyBytesPerMillisecond));
}

Failure failureForError(const beast::error_code &code, const char *step, const Endpoint &peer)
{
    const ErrorId id = code == beast::error::timeout ? ErrorId::TimedOut : ErrorId::ConnectionLost;
    return fail(id, step, peer.text(), code.message(), Delivery::MaybeSent);
}

std::optional<std::uint64_t> contentLength(const HttpHeaders &headers)
{
    const std::string_view text = headers.value("Content-Length");
    std::uint64_t length = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), length);
    return code == std::errc() ? std::optional(length) : std::nullopt;
}

http::request<http::string_body> toMessage(HttpRequest request, const Endpoint &endpoint)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.query.empty() ? request.path : request.path + '?' + request.query);
    message.set(http::field::host, endpoint.text());
    for (const HttpHeader &header : request.headers.fields()) {
        message.set(header.name, header.value);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

HttpResponse toResponseHead(const AnswerHead &head)
{
    return {head.status, head.headers, {}};
}

} // namespace

struct HttpConnection::Impl
{
    Impl(const asio::any_io_executor &executor, Endpoint address, BufferBudget *budget)
        : stream(executor)
        , endpoint(std::move(address))
        , charge(budget, "http", [this] {
            beast::error_code ignored; // The answer is abandoned even if closing the socket fails.
            stream.socket().close(ignored);
        })
    {
    }

    /// Sends a request and reads the head of its answer.
    asio::awaitable<Result<void>> sendRequest(HttpRequest request, Duration timeout)
    {
        const bool isHeadRequest = request.method == "HEAD";
        const auto message = toMessage(std::move(request), endpoint);
        reusable = false;
        stream.expires_after(timeout);
        beast::error_code code;
        co_await http::async_write(stream, message, asio::redirect_error(UseAwaitable, code));
        if (code) {
            co_return failureForError(code, "http.send", endpoint);
        }
        co_return co_await readHead(isHeadRequest);
    }

    /// Reads the head of the final answer. Informational (1xx) answers precede it.
    asio::awaitable<Result<void>> readHead(bool isHeadRequest)
    {
        std::size_t heads = 0;
        do {
            if (heads++ > MaxInformationalAnswers) {
                co_return fail(
                    ErrorId::MalformedMessage, "http.read_head", endpoint.text(), "too many informational answers", Delivery::MaybeSent);
            }
            parser.emplace(isHeadRequest);
            Result<void> result = parseInput("http.read_head");
            while (result && !parser->isHeadComplete()) {
                result = co_await readMore("http.read_head");
            }
            if (!result) {
                co_return result;
            }
        } while (parser->head().status < 200);
        co_return Result<void>();
    }

    /// Reads and parses the bytes that arrive next, or the end of the connection.
    asio::awaitable<Result<void>> readMore(const char *step)
    {
        beast::error_code code;
        const std::size_t size = co_await stream.async_read_some(asio::buffer(chunk), asio::redirect_error(UseAwaitable, code));
        if (code == asio::error::eof && parser->handleEndOfStream()) {
            co_return Result<void>();
        }
        if (code) {
            co_return failureForError(code, step, endpoint);
        }
        input.append(chunk.data(), size);
        co_return parseInput(step);
    }

    Result<void> parseInput(const char *step)
    {
        if (input.empty()) {
            return {};
        }
        const Result<std::size_t> used = parser->parse(input);
        if (!used) {
            return fail(ErrorId::MalformedMessage, step, endpoint.text(), used.error().detail, Delivery::MaybeSent);
        }
        input.erase(0, *used);
        charge.set(input.capacity() + parser->body().capacity());
        if (parser->body().size() > MaxBodyBytes || input.size() > MaxUnparsedBytes + ReadChunkBytes) {
            return fail(ErrorId::MalformedMessage, step, endpoint.text(), "the answer is too large", Delivery::MaybeSent);
        }
        return {};
    }

    /// Records the end of an answer. Bytes after it belong to no request.
    void finishAnswer()
    {
        charge.set(0);
        reusable = parser->head().keepAlive && input.empty();
    }

    beast::tcp_stream stream;
    Endpoint endpoint;
    std::array<char, ReadChunkBytes> chunk{};
    BufferCharge charge;
    std::string input; ///< Received bytes that have not been parsed.
    std::optional<AnswerParser> parser;
    bool reusable = true;
};

HttpConnection::HttpConnection(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

HttpConnection::~HttpConnection() = default;

asio::awaitable<Result<std::unique_ptr<HttpConnection>>> HttpConnection::connect(Endpoint endpoint, Duration timeout, BufferBudget *budget)
{
    auto impl = std::make_unique<Impl>(co_await asio::this_coro::executor, endpoint, budget);
    beast::error_code code;
    const tcp::endpoint address(asio::ip::make_address(endpoint.host, code), endpoint.port);
    if (!code) {
        impl->stream.expires_after(timeout);
        co_await impl->stream.async_connect(address, asio::redirect_error(UseAwaitable, code));
    }
    if (code) {
        co_return fail(ErrorId::ConnectFailed, "http.connect", endpoint.text(), code.message());
    }
    impl->stream.socket().set_option(tcp::no_delay(true), code);
    co_return std::unique_ptr<HttpConnection>(new HttpConnection(std::move(impl)));
}

asio::awaitable<Result<HttpResponse>> HttpConnection::exchange(HttpRequest request, Duration timeout)
{
    Impl &impl = *m_impl;
    const Result<void> opened = co_await impl.sendRequest(std::move(request), timeout);
    if (!opened) {
        co_return Failure(opened.error());
    }
    if (const auto length = contentLength(impl.parser->head().headers)) {
        impl.stream.expires_after(bodyTimeout(*length));
    }
    while (!impl.parser->isComplete()) {
        const Result<void> read = co_await impl.readMore("http.read");
        if (!read) {
            co_return Failure(read.error());
        }
    }
    impl.finishAnswer();
    HttpResponse response = toResponseHead(impl.parser->head());
    response.body = std::move(impl.parser->body());
    co_return response;
}

asio::awaitable<Result<HttpResponse>> HttpConnection::open(HttpRequest request, Duration timeout)
{
    const Result<void> opened = co_await m_impl->sendRequest(std::move(request), timeout);
    if (!opened) {
        co_return Failure(opened.error());
    }
    co_return toResponseHead(m_impl->parser->head());
}

asio::awaitable<Result<std::string>> HttpConnection::readSome(Duration timeout)
{
    Impl &impl = *m_impl;
    impl.stream.expires_after(timeout);
    while (impl.parser->body().empty()) {
        if (impl.parser->isComplete()) {
            impl.finishAnswer();
            break;
        }
        const Result<void> read = co_await impl.readMore("http.read_some");
        if (!read) {
            co_return Failure(read.error());
        }
    }
    co_return std::exchange(impl.parser->body(), {});
}

void HttpConnection::close() noexcept
{
    beast::error_code ignored;
    m_impl->stream.socket().close(ignored);
}

void HttpConnection::discardUndelivered(Duration deliveryLimit) noexcept
{
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    tcp::socket &socket = m_impl->stream.socket();
    beast::error_code ignored; // Fails only if the connection is closed.
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.set_option(UserTimeout(static_cast<int>(std::max<std::int64_t>(toMilliseconds(deliveryLimit), 1))), ignored);
}

bool HttpConnection::isReusable() const noexcept
{
    return m_impl->reusable;
}

bool HttpConnection::isStale() noexcept
{
    tcp::socket &socket = m_impl->stream.socket();
    beast::error_code code;
    socket.non_blocking(true, code);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, code);
    return code != asio::error::would_block;
}

struct HttpClient::Impl
{
    using IdleConnections = std::map<Endpoint, std::vector<std::unique_ptr<HttpConnection>>>;

    /// Returns the idle connections of one event loop.
    IdleConnections &idleConnections(const asio::any_io_executor &executor)
    {
        const std::lock_guard lock(mutex);
        return idle[&executor.context()];
    }

    BufferBudget *budget = nullptr;
    std::mutex mutex;
    std::map<asio::execution_context *, IdleConnections> idle;
};

HttpClient::HttpClient(BufferBudget *budget)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->budget = budget;
}

HttpClient::~HttpClient() = default;

asio::awaitable<Result<std::unique_ptr<HttpConnection>>> HttpClient::acquire(Endpoint endpoint, Duration timeout)
{
    auto &idle = m_impl->idleConnections(co_await asio::this_coro::executor)[endpoint];
    while (!idle.empty()) {
        std::unique_ptr<HttpConnection> connection = std::move(idle.back());
        idle.pop_back();
        if (!connection->isStale()) {
            co_return connection;
        }
    }
    co_return co_await HttpConnection::connect(endpoint, timeout, m_impl->budget);
}

asio::awaitable<void> HttpClient::release(Endpoint endpoint, std::unique_ptr<HttpConnection> connection)
{
    auto &idle = m_impl->idleConnections(co_await asio::this_coro::executor)[endpoint];
    if (connection->isReusable() && idle.size() < MaxIdleConnectionsPerPeer) {
        idle.push_back(std::move(connection));
    }
}

asio::awaitable<Result<HttpResponse>> HttpClient::exchange(Endpoint endpoint, HttpRequest request, Duration timeout)
{
    auto connection = co_await acquire(endpoint, timeout);
    if (!connection) {
        co_return Failure(connection.error());
    }
    auto response = co_await (*connection)->exchange(std::move(request), timeout);
    if (response) {
        co_await release(endpoint, std::move(*connection));
    }
    co_return response;
}

} // namespace apricotarch
