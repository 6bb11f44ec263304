#pragma once

/**
 * @file
 * Connections to backend servers, each with one request at a time, and a pool of idle connections.
 */

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "apricotarch/base/buffer_budget.h"
#include "apricotarch/base/clock.h"
#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/transport/async_event.h"
#include "apricotarch/transport/message_parser.h"

namespace apricotarch
{

/// Progress of the exchange on a connection.
enum class ExchangePhase : std::uint8_t {
    Idle,
    Connecting,
    Waiting, ///< The request is being sent or was sent; no head of an answer has arrived.
    ReceivingBody, ///< The head of the answer has arrived; the body is being received.
    Complete, ///< The answer is complete.
    Failed,
};

/// A connection to a backend server. Must only be used on the event loop of its executor.
class BackendConnection : public boost::intrusive_ref_counter<BackendConnection, boost::thread_unsafe_counter>
{
public:
    using Pointer = boost::intrusive_ptr<BackendConnection>;

    /// Returns whether an answer belongs to the request that was sent. Other answers are read to their end and discarded.
    using AnswerFilter = std::function<bool(const AnswerHead &)>;

    /// Receives the head of each answer on a connection, including answers that are discarded.
    using HeadObserver = std::function<void(const BackendConnection &, const AnswerHead &)>;

    /// @param budget limits what is kept of answers; null for no limit beyond those of each answer
    BackendConnection(const asio::any_io_executor &executor,
        ReplicaId replica,
        Endpoint endpoint,
        TimePoint openedAt,
        HeadObserver observeHead,
        BufferBudget *budget = nullptr);

    // ---- exchange ----

    /**
     * Sends a request, after connecting if necessary.
     * @param message head and body
     * @param isHeadRequest whether it is a HEAD request
     * @param isExpectedAnswer distinguishes answers to this request from late answers to other requests
     * @param connectTimeout limit for connecting
     * @param changeEvent notified of every change; must stay valid until the exchange is ended by endExchange() or close()
     */
    void startExchange(
        std::string message, bool isHeadRequest, AnswerFilter isExpectedAnswer, Duration connectTimeout, AsyncEvent &changeEvent);

    [[nodiscard]] ExchangePhase phase() const noexcept
    {
        return m_phase;
    }

    /// Whether any byte of the request may have been sent.
    [[nodiscard]] bool maybeSent() const noexcept
    {
        return m_maybeSent;
    }

    /// Cause of the failure. Valid in phase Failed.
    [[nodiscard]] const Error &error() const noexcept
    {
        return m_error;
    }

    /// Head of the answer. Valid from phase ReceivingBody on.
    [[nodiscard]] AnswerHead &head()
    {
        return m_parser->head();
    }

    /// Received bytes of the body. The user removes those that it has processed.
    [[nodiscard]] std::string &body()
    {
        return m_parser->body();
    }

    /// Records how many bytes its user has taken out of body() and keeps because they are incomplete. They count in the budget.
    void setRetainedBytes(std::size_t bytes);

    /// Ends the exchange; closes the connection if it cannot be reused. @return whether it can be reused
    [[nodiscard]] bool endExchange();

    /// Fails the exchange, since the answer is unusable. @param detail the reason, for the log
    void fail(ErrorId id, const std::string &detail);

    /// Closes the connection immediately, which makes the server abort the request.
    void close();

    // ---- idle connections ----

    /// Keeps reading from the idle connection to detect its closure and unsolicited bytes.
    void watchIdle();

    /// Whether the connection is idle and can serve a request.
    [[nodiscard]] bool isReusable() const noexcept
    {
        return m_phase == ExchangePhase::Idle && m_connected && !m_broken;
    }

    [[nodiscard]] bool connected() const noexcept
    {
        return m_connected;
    }

    /// Whether the current or last exchange is the first one, so that no answer to an earlier request can arrive.
    [[nodiscard]] bool isFirstExchange() const noexcept
    {
        return m_exchanges <= 1;
    }

    /// Whether a request with this id may have been sent on the connection before.
    [[nodiscard]] bool mayHaveCarried(const RequestId &request) const
    {
        return m_requestHashes.contains(std::hash<RequestId>()(request));
    }

    /// Records that a request with this id is sent on the connection.
    void recordRequest(const RequestId &request, TimePoint now)
    {
        m_lastRequestHash = std::hash<RequestId>()(request);
        m_requestHashes.insert(m_lastRequestHash);
        m_lastRequestAt = now;
    }

    /// Returns when the request with this id was sent if it is the last one on the connection; otherwise when the connection was opened.
    [[nodiscard]] TimePoint sentAt(const RequestId &request) const
    {
        return mayHaveCarried(request) && m_lastRequestHash == std::hash<RequestId>()(request) ? m_lastRequestAt : m_openedAt;
    }

    TimePoint idleSince; ///< Valid while idle.
    Duration idleTimeout{}; ///< How long the connection may be reused after it became idle.

    [[nodiscard]] const ReplicaId &replica() const noexcept
    {
        return m_replica;
    }

    [[nodiscard]] const Endpoint &endpoint() const noexcept
    {
        return m_endpoint;
    }

    /// When the connection was created. All its answers are from a process of the server that ran then or started later.
    [[nodiscard]] TimePoint openedAt() const noexcept
    {
        return m_openedAt;
    }

private:
    void connect(Duration timeout);
    void write();
    void read();
    /// Whether the connection can neither be read nor written any more, as after a reset. This node does not shut down one direction.
    [[nodiscard]] bool isClosedBothWays();
    void handleInput(std::size_t size);
    void parseInput();
    /// Fails the exchange if the server sends more than an answer can hold. @return whether it has failed
    [[nodiscard]] bool exceedsLimits();
    void resetParser();
    /// Counts the buffered bytes in the budget, which may fail the exchange.
    void chargeBuffers();
    void failExchange(ErrorId id, const char *step, const std::string &detail);
    void notifyWaiter();

    static constexpr std::size_t ReadChunkBytes = 8192;
    static constexpr std::size_t MaxExchanges = 1000; ///< The connection is closed after so many, which bounds the ids that it keeps.

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_connectTimer;
    ReplicaId m_replica;
    Endpoint m_endpoint;
    TimePoint m_openedAt;
    HeadObserver m_observeHead;
    ExchangePhase m_phase = ExchangePhase::Idle;
    std::string m_message;
    std::string m_input;
    std::array<char, ReadChunkBytes> m_chunk{};
    std::unique_ptr<AnswerParser> m_parser;
    AnswerFilter m_isExpectedAnswer;
    AsyncEvent *m_changeEvent = nullptr;
    Error m_error;
    bool m_isHeadRequest = false;
    std::size_t m_exchanges = 0; ///< Exchanges started.
    std::unordered_set<std::size_t> m_requestHashes; ///< Of the ids of the requests sent.
    std::size_t m_lastRequestHash = 0;
    TimePoint m_lastRequestAt;
    BufferCharge m_charge;
    std::size_t m_retainedBytes = 0; ///< See setRetainedBytes().
    std::size_t m_informationalAnswers = 0; ///< Within the current exchange.
    std::size_t m_skippedBytes = 0; ///< Bytes of answers that belong to no request, within the current exchange.
    bool m_skipping = false; ///< The answer being read belongs to another request and is discarded.
    bool m_connected = false;
    bool m_broken = false; ///< The connection must not be reused.
    bool m_reading = false;
    bool m_writing = false;
    bool m_writeFailed = false;
    bool m_maybeSent = false;
};

/// Limits on idle connections.
struct ConnectionPoolLimits
{
    std::size_t maxIdlePerServer = 16;
    Duration idleTimeout = std::chrono::seconds(4); ///< Used unless a server announces a shorter time.
};

/// Which kept connections may serve a request.
enum class ConnectionReuse : std::uint8_t {
    Any,
    RecentlyUsed, ///< For a request that cannot be sent again.
    None, ///< For a request whose answer has no id: a late answer to an earlier request could not be told apart.
};

/// Pool of idle connections to backend servers.
class BackendConnectionPool
{
public:
    /// @param budget limits what all connections keep of answers; null for no limit
    explicit BackendConnectionPool(ConnectionPoolLimits limits, BufferBudget *budget = nullptr);

    /// Sets the observer of the answers on all connections that are created afterwards.
    void setHeadObserver(BackendConnection::HeadObserver observer);

    /**
     * Returns an idle connection, or a new one that is not yet connected.
     * @param reuse which kept connections may be returned
     * @param request id of the request, if it has one; a connection that has carried the same id before is not returned
     */
    [[nodiscard]] BackendConnection::Pointer acquire(const asio::any_io_executor &executor,
        const ReplicaId &replica,
        const Endpoint &endpoint,
        ConnectionReuse reuse,
        TimePoint now,
        const RequestId &request = RequestId());

    /// Returns a connection to the pool after endExchange() has returned true.
    void release(BackendConnection::Pointer connection, TimePoint now);

    /// Closes the idle connections to a server, and those in use when they are released.
    void retireConnections(const ReplicaId &replica, TimePoint now);

    /// Closes connections whose idle time has expired or for whose server @p keep returns false.
    void closeExpired(TimePoint now, const std::function<bool(const ReplicaId &)> &keep);

    /// Number of connections created since the start.
    [[nodiscard]] std::uint64_t opened() const noexcept
    {
        return m_opened;
    }

private:
    /// Takes an idle connection out of the pool. @return the connection; nullptr if none may be used
    [[nodiscard]] BackendConnection::Pointer takeIdle(
        const ReplicaId &replica, const Endpoint &endpoint, ConnectionReuse reuse, TimePoint now, const RequestId &request);

    [[nodiscard]] bool isRetired(const BackendConnection &connection) const;

    ConnectionPoolLimits m_limits;
    BufferBudget *m_budget;
    BackendConnection::HeadObserver m_observeHead;
    std::map<ReplicaId, std::vector<BackendConnection::Pointer>> m_idle;
    std::map<ReplicaId, TimePoint> m_retiredAt; ///< Connections that were opened until this time are not reused.
    std::uint64_t m_opened = 0;
};

} // namespace apricotarch
