#include "apricotarch/transport/authenticated_link.h"

#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/endian/conversion.hpp>

#include "apricotarch/base/background_task.h"
#include "apricotarch/base/buffer_budget.h"

namespace apricotarch
{

namespace beast = boost::beast;
using asio::ip::tcp;
using asio::ip::udp;

namespace
{

constexpr std::size_t MaxDatagramBytes = 64 * 1024;
constexpr std::uint32_t MaxFrameBytes = 16 * 1024 * 1024;

/// Bytes of a frame that are read at a time.
constexpr std::size_t FrameStepBytes = 64UL * 1024;
constexpr std::chrono::seconds FrameTimeout{1};

/// A frame may take longer than FrameTimeout by its size divided by this rate, which several transfers over a link of 10 Mbit/s reach.
constexpr std::size_t MinBytesPerMillisecond = 128;

constexpr auto UseAwaitable = asio::use_awaitable;
using FrameLength = std::array<std::uint8_t, sizeof(std::uint32_t)>;

/// Returns the time allowed for the transfer of @p size bytes.
std::chrono::milliseconds transferTimeout(std::size_t size)
{
    return FrameTimeout + std::chrono::milliseconds(size / MinBytesPerMillisecond);
}

Failure failureForError(const beast::error_code &code, const char *step, const std::string &peer)
{
    const ErrorId id = code == beast::error::timeout ? ErrorId::TimedOut : ErrorId::ConnectionLost;
    return fail(id, step, peer, code.message(), Delivery::MaybeSent);
}

asio::awaitable<Result<void>> writeFrame(beast::tcp_stream &stream, std::string bytes, std::string peer)
{
    FrameLength length{};
    boost::endian::store_big_u32(length.data(), static_cast<std::uint32_t>(bytes.size()));
    const std::array<asio::const_buffer, 2> buffers = {asio::buffer(length), asio::buffer(bytes)};
    stream.expires_after(transferTimeout(bytes.size()));
    beast::error_code code;
    co_await asio::async_write(stream, buffers, asio::redirect_error(UseAwaitable, code));
    if (code) {
        co_return failureForError(code, "peer.write_frame", peer);
    }
    co_return Result<void>();
}

asio::awaitable<Result<std::string>> readFrame(beast::tcp_stream &stream, std::string peer, BufferBudget *budget)
{
    FrameLength length{};
    stream.expires_after(FrameTimeout);
    beast::error_code code;
    co_await asio::async_read(stream, asio::buffer(length), asio::redirect_error(UseAwaitable, code));
    if (code) {
        co_return failureForError(code, "peer.read_frame", peer);
    }
    const std::uint32_t size = boost::endian::load_big_u32(length.data());
    if (size > MaxFrameBytes) {
        co_return fail(
            ErrorId::MessageTooLarge, "peer.read_frame", peer, "a frame exceeds the limit of " + std::to_string(MaxFrameBytes) + " bytes");
    }
    BufferCharge charge(budget, "peer", [&stream] {
        beast::error_code ignored; // The frame is abandoned even if closing the socket fails.
        stream.socket().close(ignored);
    });
    std::string bytes;
    stream.expires_after(transferTimeout(size));
    // Memory is taken as bytes arrive: the size is only a claim until then.
    while (bytes.size() < size && !code) {
        const std::size_t received = bytes.size();
        bytes.resize(std::min<std::size_t>(size, received + FrameStepBytes));
        charge.set(bytes.capacity());
        co_await asio::async_read(
            stream, asio::buffer(bytes.data() + received, bytes.size() - received), asio::redirect_error(UseAwaitable, code));
    }
    if (code) {
        co_return failureForError(code, "peer.read_frame", peer);
    }
    co_return bytes;
}

} // namespace

struct AuthenticatedLink::Impl : std::enable_shared_from_this<AuthenticatedLink::Impl>
{
    Impl(EventLoopPool &eventLoops, const MessageAuthenticator &messageAuthenticator, Metrics &metricsRegistry, BufferBudget *bufferBudget)
        : loop(eventLoops.coordinationLoop())
        , authenticator(messageAuthenticator)
        , metrics(metricsRegistry)
        , budget(bufferBudget)
        , socket(loop)
        , acceptor(loop)
    {
    }

    Result<void> bind(const Endpoint &endpoint);
    asio::awaitable<void> receiveDatagrams();
    asio::awaitable<void> acceptConnections();
    asio::awaitable<void> serveConnection(tcp::socket connection);
    asio::awaitable<Result<std::string>> sendRequest(Endpoint peer, std::string bytes);

    asio::io_context &loop;
    const MessageAuthenticator &authenticator;
    Metrics &metrics;
    BufferBudget *budget;
    udp::socket socket;
    tcp::acceptor acceptor;
    DatagramHandler onDatagram;
    RequestHandler onRequest;
};

Result<void> AuthenticatedLink::Impl::bind(const Endpoint &endpoint)
{
    beast::error_code code;
    const auto address = asio::ip::make_address(endpoint.host, code);
    const auto runUnlessFailed = [&code](auto operation) {
        if (!code) {
            operation();
        }
    };
    const tcp::endpoint tcpEndpoint(address, endpoint.port);
    const udp::endpoint udpEndpoint(address, endpoint.port);
    runUnlessFailed([&] {
        acceptor.open(tcpEndpoint.protocol(), code);
    });
    runUnlessFailed([&] {
        acceptor.set_option(asio::socket_base::reuse_address(true), code);
    });
    runUnlessFailed([&] {
        acceptor.bind(tcpEndpoint, code);
    });
    runUnlessFailed([&] {
        acceptor.listen(asio::socket_base::max_listen_connections, code);
    });
    runUnlessFailed([&] {
        socket.open(udpEndpoint.protocol(), code);
    });
    runUnlessFailed([&] {
        socket.bind(udpEndpoint, code);
    });
    if (code) {
        return fail(ErrorId::ListenFailed, "peer.listen", endpoint.text(), code.message() + "; check the peer address in the settings");
    }
    return {};
}

asio::awaitable<void> AuthenticatedLink::Impl::receiveDatagrams()
{
    const auto self = shared_from_this();
    std::string buffer(MaxDatagramBytes, '\0');
    while (true) {
        udp::endpoint sender;
        beast::error_code code;
        const std::size_t size = co_await socket.async_receive_from(asio::buffer(buffer), sender, asio::redirect_error(UseAwaitable, code));
        if (code == asio::error::operation_aborted || code == asio::error::bad_descriptor) {
            co_return;
        }
        if (code) {
            continue; // ICMP error for a datagram sent earlier, for example because its receiver is not yet listening.
        }
        const std::string peer = sender.address().to_string() + ':' + std::to_string(sender.port());
        const Result<std::string> bytes = authenticator.verify(std::string_view(buffer).substr(0, size), peer);
        if (!bytes) {
            metrics.increment(CounterFamily::Peers, "beat_not_sealed");
            continue;
        }
        onDatagram(*bytes, peer);
    }
}

asio::awaitable<void> AuthenticatedLink::Impl::acceptConnections()
{
    const auto self = shared_from_this();
    while (true) {
        beast::error_code code;
        tcp::socket connection = co_await acceptor.async_accept(asio::redirect_error(UseAwaitable, code));
        if (code == asio::error::operation_aborted || code == asio::error::bad_descriptor) {
            co_return;
        }
        if (!code) {
            asio::co_spawn(loop, serveConnection(std::move(connection)), LogFailure("serve_peer"));
        }
    }
}

asio::awaitable<void> AuthenticatedLink::Impl::serveConnection(tcp::socket connection)
{
    const auto self = shared_from_this();
    beast::error_code code;
    const std::string peer = connection.remote_endpoint(code).address().to_string();
    beast::tcp_stream stream(std::move(connection));
    const Result<std::string> frame = co_await readFrame(stream, peer, budget);
    if (!frame) {
        co_return;
    }
    const Result<std::string> bytes = authenticator.verify(*frame, peer);
    if (!bytes) {
        metrics.increment(CounterFamily::Peers, "request_not_sealed");
        co_return;
    }
    const std::optional<FrameReply> reply = onRequest(*bytes, peer);
    if (!reply) {
        metrics.increment(CounterFamily::Peers, "request_malformed");
        co_return;
    }
    const Result<void> written = co_await writeFrame(stream, authenticator.authenticate(reply->bytes), peer);
    if (written && reply->transfer) {
        // The kernel has the bytes, but the peer may not. The peer closes the connection when it has read them.
        char byte = 0;
        stream.expires_after(transferTimeout(reply->bytes.size()));
        co_await stream.async_read_some(asio::buffer(&byte, 1), asio::redirect_error(UseAwaitable, code));
    }
}

asio::awaitable<Result<std::string>> AuthenticatedLink::Impl::sendRequest(Endpoint peer, std::string request)
{
    const auto self = shared_from_this();
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    beast::error_code code;
    const tcp::endpoint address(asio::ip::make_address(peer.host, code), peer.port);
    stream.expires_after(FrameTimeout);
    co_await stream.async_connect(address, asio::redirect_error(UseAwaitable, code));
    if (code) {
        co_return fail(ErrorId::ConnectFailed, "peer.connect", peer.text(), code.message());
    }
    const Result<void> sent = co_await writeFrame(stream, authenticator.authenticate(request), peer.text());
    if (!sent) {
        co_return Failure(sent.error());
    }
    const Result<std::string> frame = co_await readFrame(stream, peer.text(), budget);
    if (!frame) {
        co_return Failure(frame.error());
    }
    co_return authenticator.verify(*frame, peer.text());
}

AuthenticatedLink::AuthenticatedLink(
    EventLoopPool &eventLoops, const MessageAuthenticator &authenticator, Metrics &metrics, BufferBudget *budget)
    : m_impl(std::make_shared<Impl>(eventLoops, authenticator, metrics, budget))
{
}

AuthenticatedLink::~AuthenticatedLink()
{
    stop();
}

Result<void> AuthenticatedLink::listen(const Endpoint &endpoint, DatagramHandler onDatagram, RequestHandler onRequest)
{
    m_impl->onDatagram = std::move(onDatagram);
    m_impl->onRequest = std::move(onRequest);
    Result<void> bound = m_impl->bind(endpoint);
    if (!bound) {
        return bound;
    }
    asio::co_spawn(m_impl->loop, m_impl->receiveDatagrams(), LogFailure("receive_datagrams"));
    asio::co_spawn(m_impl->loop, m_impl->acceptConnections(), LogFailure("accept_peers"));
    return {};
}

void AuthenticatedLink::stop()
{
    asio::post(m_impl->loop, [impl = m_impl] {
        beast::error_code ignored; // The sockets are abandoned even if closing them fails.
        impl->socket.close(ignored);
        impl->acceptor.close(ignored);
    });
}

std::string AuthenticatedLink::authenticate(std::string_view bytes) const
{
    return m_impl->authenticator.authenticate(bytes);
}

void AuthenticatedLink::sendDatagram(const Endpoint &peer, const std::string &authenticated)
{
    beast::error_code code;
    const udp::endpoint address(asio::ip::make_address(peer.host, code), peer.port);
    if (!code) {
        m_impl->socket.send_to(asio::buffer(authenticated), address, 0, code);
    }
    m_impl->metrics.increment(CounterFamily::Peers, code ? "beat_not_sent" : "beat_sent");
    m_impl->metrics.add(CounterFamily::Peers, "beat_bytes_sent", code ? 0 : authenticated.size());
}

asio::awaitable<Result<std::string>> AuthenticatedLink::sendRequest(Endpoint peer, std::string bytes)
{
    return m_impl->sendRequest(std::move(peer), std::move(bytes));
}

} // namespace apricotarch
