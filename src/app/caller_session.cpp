#include "apricotarch/app/caller_session.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "apricotarch/app/caller_response_writer.h"
#include "apricotarch/app/incomplete_close.h"
#include "apricotarch/app/request_forwarder.h"
#include "apricotarch/app/shutdown_refusal.h"
#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// How long input is discarded after the last response, so that a connection reset does not destroy the response.
constexpr Duration LingerTimeout = 1s;

/// Longest wait for a caller that does not read its response.
constexpr Duration FlushTimeout = 10s;

/// When a caller may repeat a request for which the node has no memory.
constexpr Duration MemoryRetryDelay = 500ms;

/// Result of reading a request.
enum class ReadResult : std::uint8_t {
    Request, ///< A complete request has been read.
    Ended, ///< The caller has closed the connection or was idle for too long.
    Refused, ///< An error response has been queued; the connection must be closed.
};

/// Reads requests sequentially from one connection.
class RequestSource
{
public:
    RequestSource(FrontState &state, CallerConnection &caller)
        : m_state(state)
        , m_caller(caller)
    {
    }
    ~RequestSource()
    {
        countBody(0);
    }
    RequestSource(const RequestSource &) = delete;
    RequestSource &operator=(const RequestSource &) = delete;

    /// Reads the next request.
    [[nodiscard]] asio::awaitable<ReadResult> readNext()
    {
        resetParser();
        m_firstByteAt.reset();
        m_lastByteAt = m_state.clock.now();
        m_continueSent = false;
        bool hasYielded = false;
        while (true) {
            if (!m_caller.input().empty() && !parseInput()) {
                co_return ReadResult::Refused;
            }
            if (m_parser->isComplete()) {
                co_return ReadResult::Request;
            }
            if (m_caller.isClosed()) {
                co_return ReadResult::Ended;
            }
            if (refuseByShutdown()) {
                co_return ReadResult::Refused;
            }
            sendContinue();
            if (isDue()) {
                if (m_firstByteAt || hasYielded) {
                    co_return handleTimeout();
                }
                // A read that has completed may still wait to be handled.
                hasYielded = true;
                co_await asio::post(m_caller.executor(), asio::use_awaitable);
                continue;
            }
            hasYielded = false;
            co_await m_caller.changeEvent().waitUntil(deadline());
        }
    }

    [[nodiscard]] RequestParser &parser()
    {
        return *m_parser;
    }

    /// Takes the body of the request that has been read. It is no longer counted in FrontState::bufferedBodyBytes.
    [[nodiscard]] std::string takeBody()
    {
        countBody(0);
        return std::move(m_parser->body());
    }

    [[nodiscard]] TimePoint firstByteAt() const
    {
        return m_firstByteAt.value_or(m_lastByteAt);
    }

private:
    void resetParser()
    {
        const CallerLimits &limits = m_state.plan->limits();
        countBody(0);
        m_parser.emplace(ReadLimits{static_cast<std::uint32_t>(limits.headerBytes), limits.bodyBytes});
    }

    /// Parses the received input. @return false if the request is invalid and has been refused
    bool parseInput()
    {
        m_lastByteAt = m_state.clock.now();
        if (!m_firstByteAt) {
            m_firstByteAt = m_lastByteAt;
            m_caller.beginRequest(m_lastByteAt);
            resetParser(); // The configuration may have changed while the connection was idle.
        }
        const Result<std::size_t> consumed = m_parser->parse(m_caller.input());
        if (!consumed) {
            refuseInvalid(consumed.error());
            return false;
        }
        m_caller.input().erase(0, *consumed);
        countBody(m_parser->body().capacity());
        if (!m_parser->body().empty() && m_state.bufferedBodyBytes > m_state.settings.bodyLimitBytes()) {
            sendRefusal(503, "node_memory", encodeRetryAfter(MemoryRetryDelay));
            resetParser();
            return false;
        }
        m_caller.resume();
        return true;
    }

    /// Counts the part of the body that has arrived in FrontState::bufferedBodyBytes.
    void countBody(std::size_t bytes)
    {
        m_state.bufferedBodyBytes += bytes - m_countedBodyBytes;
        m_countedBodyBytes = bytes;
    }

    /// Tells a caller that waits for it to send the body.
    void sendContinue()
    {
        if (m_parser->isHeadComplete() && m_parser->head().expectsContinue && !std::exchange(m_continueSent, true)) {
            m_caller.send("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    /// Whether the wait for the request is over. A request that has arrived at an idle connection is served, also if the socket has not
    /// been read yet.
    [[nodiscard]] bool isDue() const
    {
        const bool isIdle = !m_firstByteAt && m_caller.unreadBytes() == 0;
        return (isIdle && m_state.closesIdleCallers) || (m_state.clock.now() >= deadline() && (isIdle || m_firstByteAt));
    }

    /// Refuses a request that a shutdown leaves no time for, without waiting for its body. @return whether it has been refused
    bool refuseByShutdown()
    {
        if (!m_state.shutdown || !m_parser->isHeadComplete()) {
            return false;
        }
        const RequestHead &head = m_parser->head();
        Result<CallerRequest> request = m_state.protocolAdapter.decodeRequest(head.method, head.target, head.headers);
        const Route *route = request ? m_state.plan->find(request->host, request->path) : nullptr;
        if (route == nullptr) {
            return false;
        }
        request->arrivedAt = firstByteAt();
        if (!isRefusedByShutdown(m_state, *request, *route)) {
            return false;
        }
        refuseAsStopping();
        return true;
    }

    void refuseAsStopping()
    {
        sendRefusal(503, "node_stopping", encodeRetryAfter(stoppingRetryDelay(m_state)));
    }

    /// Returns the end of the current wait. Uses the limits in force now, since a new configuration may have raised them.
    [[nodiscard]] TimePoint deadline() const
    {
        const CallerLimits &limits = m_state.plan->limits();
        if (!m_firstByteAt) {
            return m_lastByteAt + limits.idleTimeout;
        }
        const TimePoint limit = (m_parser->isHeadComplete() ? m_lastByteAt : *m_firstByteAt) + limits.headerTimeout;
        return m_state.shutdown ? std::min(limit, m_state.shutdown->answersDueBy()) : limit;
    }

    ReadResult handleTimeout()
    {
        if (!m_firstByteAt) {
            return ReadResult::Ended;
        }
        const bool isStopping = m_state.shutdown && m_state.clock.now() >= m_state.shutdown->answersDueBy();
        isStopping ? refuseAsStopping() : sendRefusal(408, "request_too_slow");
        return ReadResult::Refused;
    }

    void refuseInvalid(const Error &error)
    {
        if (error.id == ErrorId::MessageTooLarge) {
            error.step == "request.header" ? sendRefusal(431, "header_too_large") : sendRefusal(413, "body_too_large");
            return;
        }
        if (error.step == "request.transfer_coding") {
            sendRefusal(501, "unknown_transfer_coding");
            return;
        }
        sendRefusal(400, "malformed_request");
    }

    void sendRefusal(int status, const char *reason, const std::string &headers = {})
    {
        m_state.metrics.increment(CounterFamily::Refusals, reason);
        LogEvent("request.refused").field("status", status).field("reason", reason).field("caller", m_caller.peer());
        sendErrorResponse(m_caller, status, reason, headers);
    }

public:
    /// Queues an error response to a request that is not forwarded. The connection must be closed afterwards.
    /// @param headers further header lines, each with its line end
    static void sendErrorResponse(CallerConnection &caller, int status, const char *reason, const std::string &headers = {})
    {
        const std::string body = std::string("{\"error\":\"") + reason + "\"}";
        caller.send("HTTP/1.1 " + std::to_string(status) + ' ' + reason + "\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n" + headers + "Connection: close\r\n\r\n" + body);
    }

private:
    FrontState &m_state;
    CallerConnection &m_caller;
    std::optional<RequestParser> m_parser;
    std::optional<TimePoint> m_firstByteAt;
    TimePoint m_lastByteAt;
    bool m_continueSent = false;
    std::size_t m_countedBodyBytes = 0; ///< See countBody().
};

/// Waits until all queued output has been sent, for at most FlushTimeout.
asio::awaitable<void> flush(FrontState &state, CallerConnection &caller)
{
    const TimePoint until = state.clock.now() + FlushTimeout;
    while (caller.pending() > 0 && !caller.isClosed() && state.clock.now() < until) {
        co_await caller.changeEvent().waitUntil(until);
    }
    if (caller.pending() > 0 && !caller.isClosed()) {
        reportIncompleteClose(state, caller, {.reason = "caller_does_not_read"});
    }
}

/**
 * Closes the connection after discarding input. Closing it with unread input would reset it, and the last response could be lost. All
 * output must have been sent.
 * @return number of bytes that were discarded
 */
asio::awaitable<std::size_t> linger(FrontState &state, CallerConnection &caller)
{
    caller.shutdownSend();
    const TimePoint until = state.clock.now() + LingerTimeout;
    std::size_t discarded = 0;
    while (!caller.isClosed() && state.clock.now() < until) {
        discarded += caller.input().size();
        caller.input().clear();
        caller.resume();
        co_await caller.changeEvent().waitUntil(until);
    }
    co_return discarded + caller.unreadBytes();
}

/// Serves one request. @return whether the connection can be used for another request
asio::awaitable<bool> serveRequest(FrontState &state, CallerConnection &caller, RequestSource &source)
{
    RequestHead &head = source.parser().head();
    Result<CallerRequest> request = state.protocolAdapter.decodeRequest(std::move(head.method), std::move(head.target), head.headers);
    if (!request) {
        state.metrics.increment(CounterFamily::Refusals, "invalid_request");
        LogEvent("request.refused").field("status", 400).field("caller", caller.peer()).error(request.error());
        RequestSource::sendErrorResponse(caller, 400, "invalid_request");
        co_return false;
    }
    request->body = source.takeBody();
    request->arrivedAt = source.firstByteAt();
    RequestForwarder forwarder(state, caller, std::move(*request), CallerConnectionOptions{head.keepAlive, head.acceptsChunked});
    const bool canReuse = co_await forwarder.serve();
    co_await flush(state, caller);
    co_return canReuse;
}

/// Serves the requests of one connection until it ends.
asio::awaitable<void> serveRequests(FrontState &state, boost::intrusive_ptr<CallerConnection> caller)
{
    RequestSource source(state, *caller);
    bool isRefused = false;
    while (true) {
        const ReadResult result = co_await source.readNext();
        if (result == ReadResult::Ended) {
            if (const std::size_t unread = caller->unreadBytes(); unread > 0) {
                reportIncompleteClose(state, *caller, {.reason = "idle", .discardedInputBytes = unread});
            }
            caller->close();
            co_return;
        }
        if (result != ReadResult::Request) {
            isRefused = true;
            break;
        }
        caller->countRequest();
        const bool canReuse = co_await serveRequest(state, *caller, source);
        if (!canReuse) {
            break;
        }
        caller->endRequest();
    }
    co_await flush(state, *caller);
    caller->endRequest();
    if (!caller->isClosed()) {
        const std::size_t discarded = co_await linger(state, *caller);
        // After a refusal, the input is the rest of the refused request.
        if (discarded > 0 && !isRefused) {
            reportIncompleteClose(state, *caller, {.reason = "input_after_last_answer", .discardedInputBytes = discarded});
        }
    }
    caller->close();
}

} // namespace

asio::awaitable<void> serveCaller(FrontState &state, asio::ip::tcp::socket socket)
{
    const boost::intrusive_ptr<CallerConnection> caller(new CallerConnection(std::move(socket), &state.buffers));
    caller->start();
    state.callers.push_back(*caller);
    try {
        co_await serveRequests(state, caller);
    } catch (...) {
        // The pending read would keep the connection open, and the caller waiting.
        reportIncompleteClose(state, *caller, {.reason = "exception"});
        caller->close();
        caller->unlink();
        throw;
    }
    caller->unlink();
}

} // namespace apricotarch
