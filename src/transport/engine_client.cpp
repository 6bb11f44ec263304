#include "apricotarch/transport/engine_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "apricotarch/protocol/completion.h"
#include "apricotarch/protocol/engine_codec.h"
#include "apricotarch/protocol/event_stream.h"

namespace apricotarch
{

namespace
{

constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;
constexpr const char *IncarnationHeader = "X-Engine-Incarnation";

HttpRequest makeGetRequest(std::string path)
{
    HttpRequest request;
    request.path = std::move(path);
    return request;
}

Incarnation decodeIncarnation(const HttpResponse &head)
{
    const std::string_view text = head.headers.value(IncarnationHeader);
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return Incarnation(value);
}

/// Converts the status of an engine that did not open a stream into an error.
Failure failureForStatus(const HttpResponse &head, const ReplicaSpec &replica)
{
    const std::string peer = replica.address.text();
    const std::string detail = "engine " + replica.id.value() + " returned status " + std::to_string(head.status);
    const bool refused = head.status == Conflict || head.status == TooManyRequests || head.status == ServiceUnavailable;
    if (refused) {
        return fail(ErrorId::Refused, "engine.open", peer, detail);
    }
    if (head.status == NotFound) {
        return fail(ErrorId::NotFound, "engine.open", peer, detail);
    }
    return fail(ErrorId::UnexpectedStatus, "engine.open", peer, detail, Delivery::MaybeSent);
}

/// A stream on a dedicated connection.
class HttpEngineStream final : public EngineStream
{
public:
    HttpEngineStream(std::unique_ptr<HttpConnection> connection, Incarnation incarnation, std::string peer)
        : m_connection(std::move(connection))
        , m_incarnation(incarnation)
        , m_peer(std::move(peer))
    {
    }

    [[nodiscard]] Incarnation incarnation() const noexcept override
    {
        return m_incarnation;
    }

    [[nodiscard]] asio::awaitable<Result<EngineChunk>> next(Duration timeout) override
    {
        while (true) {
            const std::optional<ServerSentEvent> event = m_reader.next();
            if (event) {
                co_return decodeEngineChunk(event->data, m_peer);
            }
            const Result<std::string> bytes = co_await m_connection->readSome(timeout);
            if (!bytes) {
                co_return Failure(bytes.error());
            }
            if (bytes->empty()) {
                co_return fail(
                    ErrorId::ConnectionLost, "engine.next", m_peer, "the stream ended without a finish reason", Delivery::MaybeSent);
            }
            const Result<void> parsed = m_reader.feed(*bytes);
            if (!parsed) {
                co_return Failure(parsed.error());
            }
        }
    }

private:
    std::unique_ptr<HttpConnection> m_connection;
    Incarnation m_incarnation;
    std::string m_peer;
    EventStreamReader m_reader;
};

/// Sends orders to an engine on a dedicated connection.
class HttpEngineConnection final : public EngineConnection
{
public:
    HttpEngineConnection(std::unique_ptr<HttpConnection> connection, ReplicaSpec replica, Duration timeout)
        : m_connection(std::move(connection))
        , m_replica(std::move(replica))
        , m_timeout(timeout)
    {
    }

    [[nodiscard]] asio::awaitable<Result<LoadReport>> load() override
    {
        const auto response = co_await m_connection->exchange(makeGetRequest("/v1/load"), m_timeout);
        if (!response) {
            co_return Failure(response.error());
        }
        co_return decodeLoad(response->body, m_replica.address.text());
    }

    [[nodiscard]] asio::awaitable<Result<void>> send(EngineOrder order) override
    {
        const std::string peer = m_replica.address.text();
        if (!m_connection->isReusable() || m_connection->isStale()) {
            co_return fail(ErrorId::ConnectionLost, "order.send", peer, "the connection was closed before the order was sent");
        }
        const auto response = co_await m_connection->exchange(jsonPost("/v1/orders", encodeEngineOrder(order)), m_timeout);
        if (!response) {
            co_return Failure(response.error());
        }
        if (response->success()) {
            co_return Result<void>();
        }
        const ErrorId id = response->status == Conflict ? ErrorId::StaleToken : ErrorId::Refused;
        co_return fail(id, "order.send", peer, "the engine refused the order with status " + std::to_string(response->status));
    }

private:
    std::unique_ptr<HttpConnection> m_connection;
    ReplicaSpec m_replica;
    Duration m_timeout;
};

} // namespace

HttpEngineStreams::HttpEngineStreams(HttpClient &client, BackendTimeouts timeouts)
    : m_client(client)
    , m_timeouts(timeouts)
{
}

asio::awaitable<Result<std::unique_ptr<EngineStream>>> HttpEngineStreams::start(ReplicaSpec replica, HttpRequest request, Duration timeout)
{
    auto connection = co_await HttpConnection::connect(replica.address, std::min(timeout, m_timeouts.connect));
    if (!connection) {
        co_return Failure(connection.error());
    }
    const auto head = co_await (*connection)->open(std::move(request), timeout);
    if (!head) {
        co_return Failure(head.error());
    }
    if (!head->success()) {
        co_return failureForStatus(*head, replica);
    }
    std::unique_ptr<EngineStream> stream =
        std::make_unique<HttpEngineStream>(std::move(*connection), decodeIncarnation(*head), replica.address.text());
    co_return stream;
}

asio::awaitable<Result<std::unique_ptr<EngineStream>>> HttpEngineStreams::open(ReplicaSpec replica, EngineRequest request, Duration timeout)
{
    co_return co_await start(std::move(replica), jsonPost("/v1/completions", encodeEngineRequest(request)), timeout);
}

asio::awaitable<Result<std::unique_ptr<EngineStream>>> HttpEngineStreams::resume(
    ReplicaSpec replica, std::string stream, std::int64_t offset, Duration timeout)
{
    HttpRequest request = makeGetRequest("/v1/streams/" + stream);
    request.query = "from=" + std::to_string(offset);
    co_return co_await start(std::move(replica), std::move(request), timeout);
}

asio::awaitable<void> HttpEngineStreams::cancel(ReplicaSpec replica, std::string stream, bool onlyIfDetached)
{
    HttpRequest request;
    request.method = "DELETE";
    request.path = "/v1/streams/" + stream;
    request.query = onlyIfDetached ? "if_detached=true" : "";
    (void)co_await m_client.exchange(replica.address, std::move(request), m_timeouts.control);
}

asio::awaitable<Result<LoadReport>> HttpEngineStreams::load(ReplicaSpec replica)
{
    const auto response = co_await m_client.exchange(replica.address, makeGetRequest("/v1/load"), m_timeouts.control);
    if (!response) {
        co_return Failure(response.error());
    }
    co_return decodeLoad(response->body, replica.address.text());
}

HttpEngineConnector::HttpEngineConnector(BackendTimeouts timeouts)
    : m_timeouts(timeouts)
{
}

asio::awaitable<Result<std::unique_ptr<EngineConnection>>> HttpEngineConnector::connect(ReplicaSpec replica)
{
    auto connection = co_await HttpConnection::connect(replica.address, m_timeouts.connect);
    if (!connection) {
        co_return Failure(connection.error());
    }
    std::unique_ptr<EngineConnection> engineConnection =
        std::make_unique<HttpEngineConnection>(std::move(*connection), std::move(replica), m_timeouts.control);
    co_return engineConnection;
}

HttpApplicationClient::HttpApplicationClient(BackendTimeouts timeouts)
    : m_timeouts(timeouts)
{
}

asio::awaitable<Result<CallResult>> HttpApplicationClient::call(ReplicaSpec replica, ReplicaCall call, Duration timeout)
{
    auto connection = co_await HttpConnection::connect(replica.address, std::min(timeout, m_timeouts.connect));
    if (!connection) {
        co_return Failure(connection.error());
    }
    HttpRequest request;
    request.method = call.method;
    request.path = call.path;
    request.query = call.query;
    request.body = std::move(call.body);
    if (!call.contentType.empty()) {
        request.headers.add("Content-Type", call.contentType);
    }
    if (!call.idempotencyKey.empty()) {
        request.headers.add("Idempotency-Key", call.idempotencyKey);
    }
    const auto response = co_await (*connection)->exchange(std::move(request), timeout);
    if (!response) {
        co_return Failure(response.error());
    }
    co_return CallResult{response->status, std::string(response->headers.value("Content-Type")), response->body};
}

} // namespace apricotarch
