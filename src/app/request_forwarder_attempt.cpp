#include "apricotarch/app/request_forwarder.h"

#include <algorithm>
#include <utility>

#include <boost/asio/this_coro.hpp>

// Attempts: sending a request to a backend server and handling the outcome.

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// Connections within an installation's region are established in a few milliseconds; a lost packet is retransmitted after a second.
constexpr Duration ConnectTimeout = 300ms;

/// A server that has a request and has sent nothing for this long may have failed without closing its connections.
constexpr Duration SilenceTimeout = 1200ms;

/// A connection that is lost within this time was closed before the server had read the request, so it is no sign of a crash.
constexpr Duration ShortestTimeToCrash = 5ms;

/// Lowest priority that servers support; 0 is the most urgent.
constexpr int LowestPriority = 9;

} // namespace

/// State of one attempt at one server. Adds the request to the server's local load and removes it on destruction.
struct RequestForwarder::ActiveAttempt
{
    ActiveAttempt(FrontState &node, BackendPointer server, std::int64_t tokens)
        : state(node)
        , backend(std::move(server))
        , tokensToPrefill(tokens)
    {
        backend->own.requests += 1;
        backend->own.promptTokens += tokensToPrefill;
        state.notifyLoadChanged(*backend, tokensToPrefill);
    }
    ActiveAttempt(const ActiveAttempt &) = delete;
    ActiveAttempt &operator=(const ActiveAttempt &) = delete;
    ~ActiveAttempt()
    {
        removePromptTokens();
        backend->own.requests -= 1;
    }

    /// Removes the prompt tokens from the server's load once the prefill is done.
    void removePromptTokens()
    {
        const std::int64_t prefilled = std::exchange(tokensToPrefill, 0);
        backend->own.promptTokens -= prefilled;
        state.notifyLoadChanged(*backend, prefilled);
    }

    FrontState &state;
    BackendPointer backend;
    std::int64_t tokensToPrefill;
    BackendConnection::Pointer channel;
    std::optional<BackendAnswer> answer;
    bool prefillOnly = false;
    bool relaysEvents = false;
    TimePoint startedAt;
    TimePoint retryAt; ///< When another server may be tried; TimePoint::max() for never.
    TimePoint lastReceivedAt; ///< When the last bytes were received.
};

asio::awaitable<RequestForwarder::Attempt> RequestForwarder::sendAttempt(
    BackendPointer backend, AttemptOptions terms, std::int64_t tokensToPrefill, Duration answerTimeout)
{
    const TimePoint now = m_state.clock.now();
    ActiveAttempt activeAttempt(m_state, backend, tokensToPrefill);
    activeAttempt.prefillOnly = terms.prefillOnly;
    activeAttempt.startedAt = now;
    activeAttempt.lastReceivedAt = now;
    activeAttempt.retryAt = answerTimeout >= LongestRequestTime ? TimePoint::max() : now + answerTimeout;
    m_lastServer = backend->record.id;
    m_triedServers.insert(backend->record.id);
    terms.replica = backend->record.id;
    terms.remainingTime = remainingTime();
    if (m_request.prompt) {
        if (m_state.settings.engineSpeed.forwardPriorities) {
            terms.priority = std::clamp(m_route->priority, 0, LowestPriority);
        }
        backend->cache.use(m_request.prompt->parts);
        m_state.prefillRates[m_serviceId].add(static_cast<double>(tokensToPrefill), now);
        m_state.sentPrompts.push_back({backend->record.id, m_request.prompt->parts});
    }
    if (!terms.prefillOnly) {
        m_eventReader.startStream();
        m_state.crashTracker.started(backend->record.id, m_contentHash);
    }
    const auto belongsToRequest = [this](const AnswerHead &head) {
        const BackendAnswer answer = m_state.protocolAdapter.decodeAnswer(head.status, head.reason, head.headers);
        return head.status >= 200 && (answer.request ? *answer.request == m_request.id : !answer.success());
    };
    const bool needsRecentConnection = !m_route->idempotent() && !terms.prefillOnly;
    activeAttempt.channel = m_state.backendPool.acquire(
        co_await asio::this_coro::executor, backend->record.id, backend->record.address, needsRecentConnection, now);
    activeAttempt.channel->startExchange(m_state.protocolAdapter.encodeRequest(m_request, terms),
        m_request.method == "HEAD",
        belongsToRequest,
        ConnectTimeout,
        m_caller.changeEvent());
    Attempt result = co_await awaitResponse(activeAttempt);
    if (!terms.prefillOnly) {
        m_state.crashTracker.ended(backend->record.id, m_contentHash, result.end == AttemptResult::Answered, m_state.clock.now());
    }
    co_return result;
}

asio::awaitable<RequestForwarder::Attempt> RequestForwarder::awaitResponse(ActiveAttempt &activeAttempt)
{
    BackendConnection &channel = *activeAttempt.channel;
    bool sendCounted = false;
    while (true) {
        if (!sendCounted && channel.maybeSent()) {
            sendCounted = true;
            ++m_sends;
        }
        handleProgress(activeAttempt);
        if (channel.phase() == ExchangePhase::Complete) {
            co_return handleResponse(activeAttempt);
        }
        if (channel.phase() == ExchangePhase::Failed) {
            co_return handleConnectionLoss(activeAttempt);
        }
        const TimePoint now = m_state.clock.now();
        if (m_caller.isClosed() || now >= m_deadline) {
            co_return abandonAttempt(activeAttempt);
        }
        TimePoint wake = m_deadline;
        if (activeAttempt.retryAt != TimePoint::max()) {
            const TimePoint silenceDeadline = std::max(
                activeAttempt.retryAt, std::max(activeAttempt.lastReceivedAt, activeAttempt.backend->lastAnswerByteAt) + SilenceTimeout);
            const TimePoint retryDue = m_route->kind == RouteKind::Safe ? activeAttempt.retryAt : silenceDeadline;
            if (now >= retryDue) {
                m_mayHaveExecuted = true;
                channel.close();
                activeAttempt.backend->failed(now);
                Attempt result;
                result.end = AttemptResult::Silent;
                co_return result;
            }
            wake = std::min(wake, retryDue);
        }
        co_await m_caller.changeEvent().waitUntil(wake);
    }
}

void RequestForwarder::handleProgress(ActiveAttempt &activeAttempt)
{
    BackendConnection &channel = *activeAttempt.channel;
    const bool answering = channel.phase() == ExchangePhase::ReceivingBody || channel.phase() == ExchangePhase::Complete;
    if (!answering && !activeAttempt.answer) {
        return;
    }
    if (!activeAttempt.answer) {
        const AnswerHead &head = channel.head();
        activeAttempt.answer = m_state.protocolAdapter.decodeAnswer(head.status, head.reason, head.headers);
        activeAttempt.relaysEvents = !activeAttempt.prefillOnly && m_route->kind == RouteKind::Streaming && activeAttempt.answer->success();
    }
    if (!channel.body().empty()) {
        activeAttempt.lastReceivedAt = m_state.clock.now();
        activeAttempt.backend->lastAnswerByteAt = activeAttempt.lastReceivedAt;
    }
    if (activeAttempt.relaysEvents && activeAttempt.answer->isSigned) {
        relayEvents(activeAttempt);
    }
}

void RequestForwarder::relayEvents(ActiveAttempt &activeAttempt)
{
    const std::uint64_t eventsBefore = m_eventReader.count();
    const std::string events = m_eventReader.append(activeAttempt.channel->body());
    activeAttempt.channel->body().clear();
    if (events.empty()) {
        return;
    }
    activeAttempt.removePromptTokens();
    const TimePoint now = m_state.clock.now();
    if (m_firstEventAt) {
        m_longestGap = std::max<Duration>(m_longestGap, now - m_lastEventAt);
    }
    m_lastEventAt = now;
    if (!m_response.streamStarted()) {
        m_firstEventAt = now;
        m_state.metrics.observe(LatencyKind::FirstToken, *m_firstEventAt - m_request.arrivedAt);
        m_response.beginStream(*activeAttempt.answer);
    }
    m_response.sendEvents(events);
    m_state.eventRates[m_serviceId].add(static_cast<double>(m_eventReader.count() - eventsBefore), m_state.clock.now());
}

RequestForwarder::Attempt RequestForwarder::handleResponse(ActiveAttempt &activeAttempt)
{
    const TimePoint now = m_state.clock.now();
    Attempt result;
    result.answer = *activeAttempt.answer;
    result.body = std::move(activeAttempt.channel->body());
    if (activeAttempt.channel->endExchange()) {
        m_state.backendPool.release(activeAttempt.channel, now);
    }
    const int status = result.answer.status;
    if (result.answer.notExecuted && (status == 503 || status == 429 || status == 421)) {
        result.end = AttemptResult::NotExecuted;
        activeAttempt.backend->failed(now);
        return result;
    }
    const bool endsWithinEvent = activeAttempt.relaysEvents && !m_eventReader.isBetweenEvents();
    const bool isUnverified = result.answer.success() && !activeAttempt.prefillOnly && (!result.answer.isSigned || !result.answer.request);
    if (endsWithinEvent || isUnverified) {
        m_mayHaveExecuted = true;
        result.end = AttemptResult::Broken;
        result.error = Error{ErrorId::MalformedMessage,
            "backend.read",
            activeAttempt.backend->record.address.text(),
            endsWithinEvent ? "the stream ends within an event" : "the response lacks a signature or a request id",
            Delivery::MaybeSent};
        return result;
    }
    m_mayHaveExecuted = true;
    if (status >= 500) {
        result.end = AttemptResult::ServerError;
        return result;
    }
    activeAttempt.backend->succeeded();
    result.end = AttemptResult::Answered;
    return result;
}

RequestForwarder::Attempt RequestForwarder::handleConnectionLoss(ActiveAttempt &activeAttempt)
{
    const TimePoint now = m_state.clock.now();
    Attempt result;
    result.error = activeAttempt.channel->error();
    const bool maybeSent = activeAttempt.channel->maybeSent();
    activeAttempt.channel->close();
    activeAttempt.backend->failed(now);
    if (!maybeSent) {
        result.end = AttemptResult::NotSent;
        return result;
    }
    m_mayHaveExecuted = true;
    result.end = AttemptResult::Broken;
    if (!activeAttempt.prefillOnly && result.error.id == ErrorId::ConnectionLost && now - activeAttempt.startedAt > ShortestTimeToCrash) {
        m_state.crashTracker.crashed(activeAttempt.backend->record.id, m_contentHash, now);
    }
    return result;
}

RequestForwarder::Attempt RequestForwarder::abandonAttempt(ActiveAttempt &activeAttempt)
{
    Attempt result;
    result.finished = true;
    result.end = activeAttempt.channel->maybeSent() ? AttemptResult::Silent : AttemptResult::NotSent;
    m_mayHaveExecuted = m_mayHaveExecuted || (activeAttempt.channel->maybeSent() && !activeAttempt.prefillOnly);
    activeAttempt.channel->close();
    m_caller.isClosed() ? handleCallerDisconnect() : handleTimeout();
    m_finished = true;
    return result;
}

} // namespace apricotarch
