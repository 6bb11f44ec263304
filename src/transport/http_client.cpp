#include "apricotarch/transport/http_client.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace apricotarch
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto UseAwaitable = asio::use_awaitable;
constexpr std::size_t ReadChunkBytes = 16 * 1024;
constexpr std::size_t MaxBodyBytes = 64 * 1024 * 1024;
constexpr std::size_t MaxIdleConnectionsPerPeer = 64;

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
    const bool timedOut = code == beast::error::timeout;
    const bool malformed = code.category() == make_error_code(http::error::bad_method).category() && code != http::error::end_of_stream
        && code != http::error::partial_message;
    const ErrorId id = timedOut ? ErrorId::TimedOut : malformed ? ErrorId::MalformedMessage : ErrorId::ConnectionLost;
    return fail(id, step, peer.text(), code.message(), Delivery::MaybeSent);
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

template<typename Message>
HttpResponse toResponseHead(const Message &message)
{
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    for (const auto &header : message) {
        response.headers.add(std::string(header.name_string()), std::string(header.value()));
    }
    return response;
}

} // namespace

struct HttpConnection::Impl
{
    Impl(const asio::any_io_executor &executor, Endpoint address)
        : stream(executor)
        , endpoint(std::move(address))
    {
    }

    asio::awaitable<Result<void>> send(HttpRequest request, Duration timeout)
    {
        const auto message = toMessage(std::move(request), endpoint);
        reusable = false;
        stream.expires_after(timeout);
        beast::error_code code;
        co_await http::async_write(stream, message, asio::redirect_error(UseAwaitable, code));
        if (code) {
            co_return failureForError(code, "http.send", endpoint);
        }
        co_return Result<void>();
    }

    beast::tcp_stream stream;
    Endpoint endpoint;
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::buffer_body>> streamParser;
    bool reusable = true;
};

HttpConnection::HttpConnection(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

HttpConnection::~HttpConnection() = default;

asio::awaitable<Result<std::unique_ptr<HttpConnection>>> HttpConnection::connect(Endpoint endpoint, Duration timeout)
{
    auto impl = std::make_unique<Impl>(co_await asio::this_coro::executor, endpoint);
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
    const bool isHeadRequest = request.method == "HEAD";
    const Result<void> sent = co_await impl.send(std::move(request), timeout);
    if (!sent) {
        co_return Failure(sent.error());
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxBodyBytes);
    parser.skip(isHeadRequest);
    beast::error_code code;
    co_await http::async_read_header(impl.stream, impl.buffer, parser, asio::redirect_error(UseAwaitable, code));
    if (const auto length = parser.content_length(); !code && length) {
        impl.stream.expires_after(bodyTimeout(*length));
    }
    if (!code) {
        co_await http::async_read(impl.stream, impl.buffer, parser, asio::redirect_error(UseAwaitable, code));
    }
    if (code) {
        co_return failureForError(code, "http.read", impl.endpoint);
    }
    impl.reusable = parser.get().keep_alive();
    HttpResponse response = toResponseHead(parser.get());
    response.body = std::move(parser.get().body());
    co_return response;
}

asio::awaitable<Result<HttpResponse>> HttpConnection::open(HttpRequest request, Duration timeout)
{
    Impl &impl = *m_impl;
    const Result<void> sent = co_await impl.send(std::move(request), timeout);
    if (!sent) {
        co_return Failure(sent.error());
    }
    impl.streamParser.emplace();
    impl.streamParser->body_limit(boost::none);
    beast::error_code code;
    co_await http::async_read_header(impl.stream, impl.buffer, *impl.streamParser, asio::redirect_error(UseAwaitable, code));
    if (code) {
        co_return failureForError(code, "http.open", impl.endpoint);
    }
    co_return toResponseHead(impl.streamParser->get());
}

asio::awaitable<Result<std::string>> HttpConnection::readSome(Duration timeout)
{
    Impl &impl = *m_impl;
    if (impl.streamParser->is_done()) {
        impl.reusable = impl.streamParser->keep_alive();
        co_return std::string();
    }
    std::string bytes(ReadChunkBytes, '\0');
    auto &body = impl.streamParser->get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    body.more = true;
    impl.stream.expires_after(timeout);
    beast::error_code code;
    co_await http::async_read_some(impl.stream, impl.buffer, *impl.streamParser, asio::redirect_error(UseAwaitable, code));
    if (code && code != http::error::need_buffer) {
        co_return failureForError(code, "http.read_some", impl.endpoint);
    }
    bytes.resize(bytes.size() - body.size);
    if (bytes.empty()) {
        co_return co_await readSome(timeout);
    }
    co_return bytes;
}

void HttpConnection::close() noexcept
{
    beast::error_code ignored;
    m_impl->stream.socket().close(ignored);
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

    std::mutex mutex;
    std::map<asio::execution_context *, IdleConnections> idle;
};

HttpClient::HttpClient()
    : m_impl(std::make_unique<Impl>())
{
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
    co_return co_await HttpConnection::connect(endpoint, timeout);
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
