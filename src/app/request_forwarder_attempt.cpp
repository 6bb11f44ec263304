#include "apricotarch/app/request_forwarder.h"

#include <algorithm>
#include <utility>

#include <boost/asio/this_coro.hpp>

#include "apricotarch/base/log.h"

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

/// Interval at which it is checked whether another server can take over from a silent one.
constexpr Duration SilencePollInterval = 100ms;

/// A connection that is lost within this time was closed before the server had read the request, so it is no sign of a crash.
constexpr Duration ShortestTimeToCrash = 5ms;

/// A stream that has gone on for this long after its first event does not crash its engine.
constexpr Duration SafeAnswerTime = 300ms;

/// A prefill is taken for lost if it is overdue by this factor of its prediction, and at least by the time MinPrefillTime, and the engine
/// has answered this many prefills that were sent later.
constexpr double OverduePrefillFactor = 2;
constexpr Duration MinPrefillTime = 250ms;
constexpr std::size_t LaterPrefillsAnswered = 2;

/// Interval at which an overdue prefill is checked.
constexpr Duration OverduePollInterval = 50ms;

/// A caller that reads so slowly that more than this waits to be sent is disconnected.
constexpr std::size_t MaxUnsentBytes = 4UL * 1024 * 1024;

/// Interval at which a waiting request checks its deadline, which a shutdown brings forward.
constexpr Duration DeadlineCheckInterval = 250ms;

/// Lowest priority that servers support; 0 is the most urgent.
constexpr int LowestPriority = 9;

/// Whether callers take a status for the promise that the request has not run and will not run.
bool promisesNotExecuted(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

/// State of one attempt at one server. Counts the request in this node's load on the server until destruction.
struct RequestForwarder::ActiveAttempt
{
    ActiveAttempt(FrontState &node, BackendPointer server, std::int64_t tokens, const std::vector<PromptPart> &prompt)
        : state(node)
        , backend(std::move(server))
        , tokensToPrefill(tokens)
    {
        backend->localLoad.requests += 1;
        backend->localLoad.promptTokens += tokensToPrefill;
        state.notifyLoadChanged(*backend, tokensToPrefill, prompt);
    }
    ActiveAttempt(const ActiveAttempt &) = delete;
    ActiveAttempt &operator=(const ActiveAttempt &) = delete;
    ~ActiveAttempt()
    {
        backend->localLoad.requests -= 1;
        backend->localLoad.promptTokens -= tokensToPrefill;
        state.notifyLoadChanged(*backend, tokensToPrefill);
    }

    /// Removes the prompt tokens from the server's load once the prefill is done.
    void removePromptTokens()
    {
        const std::int64_t prefilled = std::exchange(tokensToPrefill, 0);
        if (prefilled == 0) {
            return;
        }
        backend->localLoad.promptTokens -= prefilled;
        state.notifyLoadChanged(*backend, prefilled);
    }

    FrontState &state;
    BackendPointer backend;
    std::int64_t tokensToPrefill;
    BackendConnection::Pointer connection;
    std::optional<BackendAnswer> answer;
    bool prefillOnly = false;
    bool relaysEvents = false;
    bool silenceNoticed = false; ///< The server's silence has been logged and counted as a failure of the server.
    std::uint32_t engineProcess = 0; ///< Process of the engine when the attempt began, see engineProcessHash().
    bool promptAnswered = false; ///< The answer has been recorded for the quarantine of parts.
    std::optional<TimePoint> firstEventAt; ///< When the first event of this attempt was received.
    TimePoint startedAt;
    TimePoint retryAt; ///< When another server may be tried; TimePoint::max() for never.
    TimePoint lastReceivedAt; ///< When the last bytes were received.
};

asio::awaitable<RequestForwarder::Attempt> RequestForwarder::sendAttempt(
    BackendPointer backend, AttemptOptions options, std::int64_t tokensToPrefill, Duration answerTimeout)
{
    const TimePoint now = m_state.clock.now();
    m_lastServer = backend->record.id;
    m_serverProgressAt = now;
    m_triedServers.insert(backend->record.id);
    if (!m_state.backends.isUsable(backend, now)) {
        Attempt attempt;
        attempt.error = Error{ErrorId::Refused,
            "backend.send",
            backend->record.address.text(),
            "the server takes no more requests since it was selected",
            Delivery::NotSent};
        co_return attempt;
    }
    const std::vector<PromptPart> prompt = m_request.prompt ? m_request.prompt->parts : std::vector<PromptPart>();
    ActiveAttempt activeAttempt(m_state, backend, tokensToPrefill, prompt);
    activeAttempt.prefillOnly = options.prefillOnly;
    activeAttempt.startedAt = now;
    activeAttempt.lastReceivedAt = now;
    activeAttempt.engineProcess = engineProcessHash(backend->record);
    activeAttempt.retryAt = answerTimeout >= LongestRequestTime ? TimePoint::max() : now + answerTimeout;
    options.replica = backend->record.id;
    options.remainingTime = remainingTime();
    if (m_request.prompt) {
        if (m_state.settings.engineCosts.forwardPriorities) {
            options.priority = std::clamp(m_route->priority, 0, LowestPriority);
        }
        backend->cache.recordPrompt(m_request.prompt->parts);
        m_state.prefillRates[m_serviceId].add(static_cast<double>(tokensToPrefill), now);
        m_state.sentPrompts.push_back({backend->record.id, m_request.prompt->parts});
    }
    if (!options.prefillOnly) {
        m_eventSplitter.startStream();
        m_state.crashTracker.recordStart(backend->record.id, m_contentHash);
    }
    const ConnectionReuse reuse = m_request.id.empty() ? ConnectionReuse::None
        : m_route->idempotent() || options.prefillOnly ? ConnectionReuse::Any
                                                       : ConnectionReuse::RecentlyUsed;
    activeAttempt.connection = m_state.backendPool.acquire(
        co_await asio::this_coro::executor, backend->record.id, backend->record.address, reuse, now, m_request.id);
    const auto belongsToRequest = [this, &connection = *activeAttempt.connection](const AnswerHead &head) {
        if (head.status < 200) {
            return false; // Informational answers precede the final one.
        }
        const BackendAnswer answer = m_state.protocolAdapter.decodeAnswer(head.status, head.reason, head.headers);
        if (answer.request) {
            return *answer.request == m_request.id;
        }
        // Without an id, it may answer an earlier request on the connection.
        return !answer.success() && connection.isFirstExchange();
    };
    activeAttempt.connection->startExchange(m_state.protocolAdapter.encodeRequest(m_request, options),
        m_request.method == "HEAD",
        belongsToRequest,
        ConnectTimeout,
        m_caller.changeEvent());
    Attempt attempt = co_await awaitResponse(activeAttempt);
    if (!options.prefillOnly) {
        m_state.crashTracker.recordEnd(backend->record.id, m_contentHash, attempt.result == AttemptResult::Answered, m_state.clock.now());
    }
    co_return attempt;
}

asio::awaitable<RequestForwarder::Attempt> RequestForwarder::awaitResponse(ActiveAttempt &activeAttempt)
{
    BackendConnection &connection = *activeAttempt.connection;
    bool attemptCounted = false;
    while (true) {
        if (!attemptCounted && connection.maybeSent()) {
            attemptCounted = true;
            ++m_attemptsSent;
        }
        handleProgress(activeAttempt);
        if (connection.phase() == ExchangePhase::Complete) {
            co_return handleResponse(activeAttempt);
        }
        if (connection.phase() == ExchangePhase::Failed) {
            co_return handleConnectionLoss(activeAttempt);
        }
        const TimePoint now = m_state.clock.now();
        if (m_caller.isClosed() || now >= deadline()) {
            co_return abandonAttempt(activeAttempt);
        }
        TimePoint wake = std::min<TimePoint>(deadline(), now + DeadlineCheckInterval);
        if (activeAttempt.prefillOnly) {
            if (isPrefillLost(activeAttempt)) {
                co_return abandonLostPrefill(activeAttempt);
            }
            wake = std::min<TimePoint>(wake, std::max<TimePoint>(overdueAt(activeAttempt), now + OverduePollInterval));
        }
        if (activeAttempt.retryAt != TimePoint::max()) {
            const TimePoint silenceDeadline = std::max(
                activeAttempt.retryAt, std::max(activeAttempt.lastReceivedAt, activeAttempt.backend->lastAnswerByteAt) + SilenceTimeout);
            const bool waitsForAnswer = m_route->kind == RouteKind::Safe && !activeAttempt.answer;
            const TimePoint retryDue = waitsForAnswer ? activeAttempt.retryAt : silenceDeadline;
            if (now >= retryDue && reserveRetryAfterSilence(activeAttempt)) {
                m_mayHaveExecuted = true;
                connection.close();
                Attempt attempt;
                attempt.result = AttemptResult::Silent;
                co_return attempt;
            }
            wake = std::min<TimePoint>(wake, std::max<TimePoint>(retryDue, now + SilencePollInterval));
        }
        co_await m_caller.changeEvent().waitUntil(wake);
    }
}

bool RequestForwarder::reserveRetryAfterSilence(ActiveAttempt &activeAttempt)
{
    const TimePoint now = m_state.clock.now();
    if (!std::exchange(activeAttempt.silenceNoticed, true)) {
        activeAttempt.backend->recordFailure(now);
        LogEvent("request.server_silent")
            .field("request", m_request.id)
            .field("server", activeAttempt.backend->record.id)
            .field("silent_ms", toMilliseconds(now - m_serverProgressAt))
            .field("answer_started", m_response.streamStarted() ? "yes" : "no");
    }
    if (hasQuarantinedPart() || chooseNextStep(AttemptResult::Silent, collectProgress()) != NextStep::TryAnother) {
        return false;
    }
    const BackendPointer next = placeInGroup(m_groupRank).server;
    if (!next || next->avoidUntil > now || next->load().requests >= next->record.slots) {
        return false;
    }
    m_retryReserved = m_state.retryBudget.tryTakeRetry(m_serviceId, m_state.peers.countBudgetNodes(now), now);
    return m_retryReserved;
}

TimePoint RequestForwarder::overdueAt(const ActiveAttempt &activeAttempt) const
{
    const auto predicted = std::chrono::duration<double, std::milli>(OverduePrefillFactor * m_lastPlacement.predictedFirstEventMs);
    return activeAttempt.startedAt + std::max(MinPrefillTime, std::chrono::duration_cast<Duration>(predicted));
}

bool RequestForwarder::isPrefillLost(const ActiveAttempt &activeAttempt) const
{
    return m_state.clock.now() >= overdueAt(activeAttempt)
        && activeAttempt.backend->answeredPrefills.countSentAfter(activeAttempt.startedAt) >= LaterPrefillsAnswered;
}

RequestForwarder::Attempt RequestForwarder::abandonLostPrefill(ActiveAttempt &activeAttempt)
{
    activeAttempt.connection->close();
    m_state.metrics.increment(CounterFamily::Retries, "prefill_lost");
    Attempt attempt;
    attempt.result = AttemptResult::Silent;
    attempt.error = Error{ErrorId::TimedOut,
        "backend.prefill",
        activeAttempt.backend->record.address.text(),
        "prefills that were sent later have been answered",
        Delivery::MaybeSent};
    return attempt;
}

void RequestForwarder::handleProgress(ActiveAttempt &activeAttempt)
{
    BackendConnection &connection = *activeAttempt.connection;
    const bool bodyStarted = connection.phase() == ExchangePhase::ReceivingBody || connection.phase() == ExchangePhase::Complete;
    if (!bodyStarted && !activeAttempt.answer) {
        return;
    }
    if (!activeAttempt.answer) {
        const AnswerHead &head = connection.head();
        activeAttempt.answer = m_state.protocolAdapter.decodeAnswer(head.status, head.reason, head.headers);
        activeAttempt.relaysEvents = !activeAttempt.prefillOnly && m_route->kind == RouteKind::Streaming && activeAttempt.answer->success();
    }
    if (activeAttempt.relaysEvents && activeAttempt.answer->isSigned) {
        relayEvents(activeAttempt);
    } else if (!connection.body().empty()) {
        recordReceipt(activeAttempt);
    }
}

void RequestForwarder::recordReceipt(ActiveAttempt &activeAttempt)
{
    activeAttempt.lastReceivedAt = m_state.clock.now();
    activeAttempt.backend->lastAnswerByteAt = activeAttempt.lastReceivedAt;
    m_serverProgressAt = activeAttempt.lastReceivedAt;
}

void RequestForwarder::relayEvents(ActiveAttempt &activeAttempt)
{
    const std::uint64_t eventsBefore = m_eventSplitter.count();
    const std::string events = m_eventSplitter.append(activeAttempt.connection->body());
    activeAttempt.connection->body().clear();
    if (const std::optional<StreamFault> &fault = m_eventSplitter.fault()) {
        activeAttempt.connection->fail(fault->error, fault->detail);
    }
    if (events.empty()) {
        return; // Bytes that complete no event are no progress.
    }
    recordReceipt(activeAttempt);
    activeAttempt.removePromptTokens();
    const TimePoint now = m_state.clock.now();
    activeAttempt.firstEventAt = activeAttempt.firstEventAt.value_or(now);
    if (now - *activeAttempt.firstEventAt >= SafeAnswerTime) {
        recordPromptAnswered(activeAttempt);
    }
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
    if (m_caller.pending() > MaxUnsentBytes) {
        LogEvent("request.caller_too_slow", LogEvent::Level::Warning)
            .field("request", m_request.id)
            .field("server", activeAttempt.backend->record.id)
            .field("unsent_bytes", m_caller.pending());
        reportClose("caller_too_slow");
        m_caller.close();
    }
    m_state.eventRates[m_serviceId].add(static_cast<double>(m_eventSplitter.count() - eventsBefore), m_state.clock.now());
}

RequestForwarder::Attempt RequestForwarder::handleResponse(ActiveAttempt &activeAttempt)
{
    const TimePoint now = m_state.clock.now();
    Attempt attempt;
    attempt.answer = *activeAttempt.answer;
    attempt.body = std::move(activeAttempt.connection->body());
    // The end of the connection is the only sign of the answer's end then, and an engine that crashes ends its connections too.
    const bool endsWithoutEvent =
        activeAttempt.relaysEvents && activeAttempt.connection->head().endsWithConnection && !activeAttempt.firstEventAt;
    if (activeAttempt.connection->endExchange()) {
        m_state.backendPool.release(activeAttempt.connection, now);
    }
    const int status = attempt.answer.status;
    if (attempt.answer.notExecuted && (status == 503 || status == 429 || status == 421)) {
        attempt.result = AttemptResult::NotExecuted;
        activeAttempt.backend->recordFailure(now);
        return attempt;
    }
    if (const char *fault = findFault(activeAttempt, attempt.answer, endsWithoutEvent)) {
        m_mayHaveExecuted = true;
        if (endsWithoutEvent) {
            recordPossibleCrash(activeAttempt);
        }
        attempt.result = AttemptResult::Broken;
        attempt.error =
            Error{ErrorId::MalformedMessage, "backend.read", activeAttempt.backend->record.address.text(), fault, Delivery::MaybeSent};
        return attempt;
    }
    m_mayHaveExecuted = true;
    if (status >= 500) {
        attempt.result = AttemptResult::ServerError;
        return attempt;
    }
    activeAttempt.backend->recordSuccess();
    if (activeAttempt.prefillOnly) {
        activeAttempt.backend->answeredPrefills.record(activeAttempt.startedAt);
    } else {
        recordPromptAnswered(activeAttempt);
    }
    attempt.result = AttemptResult::Answered;
    return attempt;
}

const char *RequestForwarder::findFault(const ActiveAttempt &activeAttempt, const BackendAnswer &answer, bool endsWithoutEvent) const
{
    if (answer.success() && !activeAttempt.prefillOnly && (!answer.isSigned || !answer.request)) {
        return "the response lacks a signature or a request id";
    }
    if (activeAttempt.relaysEvents && !m_eventSplitter.isBetweenEvents()) {
        return "the stream ends within an event";
    }
    if (endsWithoutEvent) {
        return "the stream ends with its connection before the first event";
    }
    const bool continuesStream = m_response.streamStarted() && !activeAttempt.prefillOnly;
    if (continuesStream && answer.success() && !activeAttempt.firstEventAt && !answer.isEventStream) {
        return "the response does not continue the stream";
    }
    if (continuesStream && !answer.success() && answer.status < 500) {
        return "the server has answered the rest of the stream with an error";
    }
    const bool mayBeRepeated = m_route->idempotent() || activeAttempt.prefillOnly;
    if (promisesNotExecuted(answer.status) && !answer.notExecuted && !mayBeRepeated) {
        return "the status promises that the request has not run, but the response does not state it";
    }
    return nullptr;
}

RequestForwarder::Attempt RequestForwarder::handleConnectionLoss(ActiveAttempt &activeAttempt)
{
    const TimePoint now = m_state.clock.now();
    Attempt attempt;
    attempt.error = activeAttempt.connection->error();
    const bool maybeSent = activeAttempt.connection->maybeSent();
    activeAttempt.connection->close();
    activeAttempt.backend->recordFailure(now);
    if (!maybeSent) {
        attempt.result = AttemptResult::NotSent;
        return attempt;
    }
    m_mayHaveExecuted = true;
    attempt.result = AttemptResult::Broken;
    attempt.answerStarted = activeAttempt.firstEventAt.has_value();
    if (!activeAttempt.prefillOnly && attempt.error.id == ErrorId::ConnectionLost && now - activeAttempt.startedAt > ShortestTimeToCrash) {
        recordPossibleCrash(activeAttempt);
    }
    return attempt;
}

void RequestForwarder::recordPossibleCrash(const ActiveAttempt &activeAttempt)
{
    const TimePoint now = m_state.clock.now();
    m_state.crashTracker.recordCrash(activeAttempt.backend->record.id, m_contentHash, now);
    // An engine crashes when it begins the answer, so a prompt whose answer had begun is not the cause.
    if (m_request.prompt && !activeAttempt.firstEventAt) {
        m_state.partQuarantine.recordCrash(m_request.prompt->parts, activeAttempt.engineProcess, now);
        m_state.notifyUrgentChange();
    }
}

void RequestForwarder::recordPromptAnswered(ActiveAttempt &activeAttempt)
{
    if (m_request.prompt && !std::exchange(activeAttempt.promptAnswered, true)) {
        m_state.partQuarantine.recordAnswer(m_request.prompt->parts, m_state.clock.now());
    }
}

RequestForwarder::Attempt RequestForwarder::abandonAttempt(ActiveAttempt &activeAttempt)
{
    Attempt attempt;
    attempt.finished = true;
    attempt.result = activeAttempt.connection->maybeSent() ? AttemptResult::Silent : AttemptResult::NotSent;
    m_mayHaveExecuted = m_mayHaveExecuted || (activeAttempt.connection->maybeSent() && !activeAttempt.prefillOnly);
    activeAttempt.connection->close();
    m_caller.isClosed() ? handleCallerDisconnect() : handleTimeout();
    m_finished = true;
    return attempt;
}

} // namespace apricotarch
