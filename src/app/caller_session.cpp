#include "apricotarch/app/caller_session.h"

#include <algorithm>

#include "apricotarch/app/forwarder.h"
#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// How long a connection is read on after its last answer, so that the answer is not lost to a reset.
constexpr Duration LingerTime = 1s;

/// Longest wait for a caller that does not read its answer.
constexpr Duration FlushTime = 10s;

/// Part of the memory limit that requests' bodies may take.
constexpr double BodyMemoryShare = 0.3;

constexpr std::size_t BytesPerMegabyte = 1024 * 1024;

/// How reading a request ended.
enum class ReadEnd : std::uint8_t {
    Request, ///< A whole request is there.
    Ended, ///< The caller has closed, or was idle for too long.
    Refused, ///< An answer has been queued; the connection is to be closed.
};

/// Reads one request after another from one connection.
class RequestSource
{
public:
    RequestSource(FrontState &state, CallerConnection &caller)
        : m_state(state)
        , m_caller(caller)
    {
    }

    /// Reads the next request.
    [[nodiscard]] asio::awaitable<ReadEnd> next()
    {
        const CallerLimits &limits = m_state.plan->limits();
        m_reader.emplace(ReadLimits{static_cast<std::uint32_t>(limits.headerBytes), limits.bodyBytes});
        m_firstByteAt.reset();
        m_lastByteAt = m_state.clock.now();
        m_continueSent = false;
        while (true) {
            if (!m_caller.input().empty() && !use()) {
                co_return ReadEnd::Refused;
            }
            if (m_reader->done()) {
                co_return ReadEnd::Request;
            }
            if (m_caller.ended()) {
                co_return ReadEnd::Ended;
            }
            if (m_state.clock.now() >= deadline()) {
                co_return timedOut();
            }
            co_await m_caller.wakeup().waitUntil(deadline());
        }
    }

    [[nodiscard]] RequestReader &reader()
    {
        return *m_reader;
    }

    [[nodiscard]] TimePoint firstByteAt() const
    {
        return m_firstByteAt.value_or(m_lastByteAt);
    }

private:
    /// Uses what has come. @return whether the request may still be completed
    bool use()
    {
        m_lastByteAt = m_state.clock.now();
        if (!m_firstByteAt) {
            m_firstByteAt = m_lastByteAt;
        }
        const Result<std::size_t> used = m_reader->put(m_caller.input());
        if (!used) {
            refuse(used.error());
            return false;
        }
        m_caller.input().erase(0, *used);
        m_caller.resume();
        if (m_reader->headDone() && !m_reader->done() && m_reader->head().expectsContinue && !m_continueSent) {
            m_continueSent = true;
            m_caller.send("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return true;
    }

    /// When the present wait ends. The limits in force at that moment count, since a change may have raised them.
    [[nodiscard]] TimePoint deadline() const
    {
        const CallerLimits &limits = m_state.plan->limits();
        if (!m_firstByteAt) {
            return m_lastByteAt + limits.idleTimeout;
        }
        return (m_reader->headDone() ? m_lastByteAt : *m_firstByteAt) + limits.headerTimeout;
    }

    ReadEnd timedOut()
    {
        if (!m_firstByteAt) {
            return ReadEnd::Ended;
        }
        answer(408, "request_too_slow");
        return ReadEnd::Refused;
    }

    void refuse(const Error &error)
    {
        if (error.id == ErrorId::MessageTooLarge) {
            error.step == "request.header" ? answer(431, "header_too_large") : answer(413, "body_too_large");
            return;
        }
        answer(400, "malformed_request");
    }

    void answer(int status, const char *reason)
    {
        m_state.metrics.increment(CounterFamily::Refusals, reason);
        LogEvent("request.refused").field("status", status).field("reason", reason).field("caller", m_caller.peer());
        refuseUnread(m_caller, status, reason);
    }

public:
    /// Queues an answer to a request that is not passed on, after which the connection is closed.
    static void refuseUnread(CallerConnection &caller, int status, const char *reason)
    {
        const std::string body = std::string("{\"error\":\"") + reason + "\"}";
        caller.send("HTTP/1.1 " + std::to_string(status) + ' ' + reason + "\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
    }

private:
    FrontState &m_state;
    CallerConnection &m_caller;
    std::optional<RequestReader> m_reader;
    std::optional<TimePoint> m_firstByteAt;
    TimePoint m_lastByteAt;
    bool m_continueSent = false;
};

/// Waits until everything queued has been sent.
asio::awaitable<void> flush(FrontState &state, CallerConnection &caller)
{
    const TimePoint until = state.clock.now() + FlushTime;
    while (caller.pending() > 0 && !caller.ended() && state.clock.now() < until) {
        co_await caller.wakeup().waitUntil(until);
    }
}

/// Closes so that the last answer arrives: a connection closed with unread bytes would be reset.
asio::awaitable<void> linger(FrontState &state, CallerConnection &caller)
{
    co_await flush(state, caller);
    caller.finishSending();
    const TimePoint until = state.clock.now() + LingerTime;
    while (!caller.ended() && state.clock.now() < until) {
        caller.input().clear();
        caller.resume();
        co_await caller.wakeup().waitUntil(until);
    }
    caller.close();
}

/// Serves one request. @return whether the connection can be used for another one
asio::awaitable<bool> serveRequest(FrontState &state, CallerConnection &caller, RequestSource &source)
{
    RequestHead &head = source.reader().head();
    Result<CallerRequest> request = state.dialect.decodeRequest(std::move(head.method), std::move(head.target), head.headers);
    if (!request) {
        state.metrics.increment(CounterFamily::Refusals, "invalid_request");
        LogEvent("request.refused").field("status", 400).field("caller", caller.peer()).error(request.error());
        RequestSource::refuseUnread(caller, 400, "invalid_request");
        co_return false;
    }
    request->body = std::move(source.reader().body());
    request->arrivedAt = source.firstByteAt();
    const double most = BodyMemoryShare * static_cast<double>(state.settings.memoryMegabytes * BytesPerMegabyte);
    if (static_cast<double>(state.bufferedBytes + request->body.size()) > most) {
        state.metrics.increment(CounterFamily::Refusals, "node_memory");
        LogEvent("request.refused").field("request", request->id).field("status", 503).field("reason", "node_memory");
        RequestSource::refuseUnread(caller, 503, "node_memory");
        co_return false;
    }
    Forwarder forwarder(state, caller, std::move(*request), CallerTerms{head.keepAlive, head.readsChunks});
    const bool goOn = co_await forwarder.serve();
    co_await flush(state, caller);
    co_return goOn;
}

} // namespace

asio::awaitable<void> serveCaller(FrontState &state, asio::ip::tcp::socket socket)
{
    const boost::intrusive_ptr<CallerConnection> caller(new CallerConnection(std::move(socket)));
    caller->start();
    RequestSource source(state, *caller);
    while (true) {
        const ReadEnd end = co_await source.next();
        if (end == ReadEnd::Ended) {
            caller->close();
            co_return;
        }
        if (end != ReadEnd::Request) {
            break;
        }
        const bool goOn = co_await serveRequest(state, *caller, source);
        if (!goOn) {
            break;
        }
    }
    if (!caller->ended()) {
        co_await linger(state, *caller);
    }
    caller->close();
}

} // namespace apricotarch
