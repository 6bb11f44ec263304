#include "apricotarch/app/request_forwarder.h"

#include <algorithm>
#include <utility>

#include <boost/asio/this_coro.hpp>

#include "active_attempt.h"
#include "apricotarch/app/engine_speeds.h"
#include "apricotarch/app/request_rate_limits.h"
#include "apricotarch/app/stream_origin.h"
#include "apricotarch/base/log.h"

// Attempts: sending a request to a backend server and waiting for its answer.

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// Connections within an installation's region are established in a few milliseconds; a lost packet is retransmitted after a second.
constexpr Duration ConnectTimeout = 300ms;

/// A server that has a request and has sent nothing for this long may have failed without closing its connections.
constexpr Duration SilenceTimeout = 1200ms;

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

/// A prefill is a sample of the engine's speed only if its predicted wait is at most this share of its duration, and if at most this share
/// of its tokens may be cached unexpectedly.
constexpr double MaxSampleWaitShare = 0.1;
constexpr double MaxSampleSharedTokens = 0.25;

/// Lowest priority that servers support; 0 is the most urgent.
constexpr int LowestPriority = 9;

} // namespace

asio::awaitable<RequestForwarder::Attempt> RequestForwarder::sendAttempt(
    BackendPointer backend, AttemptOptions options, std::int64_t tokensToPrefill, Duration answerTimeout)
{
    const TimePoint now = m_state.clock.now();
    m_lastServer = backend->record.id;
    m_lastVersion = backend->record.softwareVersion;
    m_serverProgressAt = now;
    m_triedServers.insert(backend->record.id);
    if (!m_state.backends.isUsable(backend, now, m_streamVersion)) {
        Attempt attempt;
        attempt.error = Error{ErrorId::Refused,
            "backend.send",
            backend->record.address.text(),
            "the server takes no more requests since it was selected",
            Delivery::NotSent};
        co_return attempt;
    }
    takeFromRateShare(m_state, *backend);
    const std::vector<PromptPart> prompt = m_request.prompt ? m_request.prompt->parts : std::vector<PromptPart>();
    auto newAttempt = std::make_unique<ActiveAttempt>(m_state, backend, tokensToPrefill, prompt);
    ActiveAttempt &activeAttempt = *newAttempt;
    activeAttempt.prefillOnly = options.prefillOnly;
    activeAttempt.startedAt = now;
    activeAttempt.lastReceivedAt = now;
    activeAttempt.softwareVersion = backend->record.softwareVersion;
    activeAttempt.engineProcess = engineProcessHash(backend->record);
    activeAttempt.expectedPrefillMs = expectedPrefillMs(*backend, options, tokensToPrefill);
    activeAttempt.retryAt = answerTimeout >= LongestRequestTime ? TimePoint::max() : now + answerTimeout;
    options.replica = backend->record.id;
    options.remainingTime = remainingTime();
    options.identity = callerIdentity();
    if (m_request.prompt) {
        if (m_state.settings.engineCosts.forwardPriorities) {
            options.priority = std::clamp(effectivePriority(), 0, LowestPriority);
        }
        backend->cache.recordPrompt(m_request.prompt->parts);
        m_state.prefillRates[m_serviceId].add(static_cast<double>(tokensToPrefill), now);
        m_state.promptRates[m_serviceId].add(!options.prefillOnly && m_attemptsSent == 0 ? 1 : 0, now);
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
    co_return co_await awaitResponse(std::move(newAttempt));
}

double RequestForwarder::expectedPrefillMs(const Backend &engine, const AttemptOptions &options, std::int64_t tokens) const
{
    if (!isPrompt() || m_response.streamStarted() || options.kvSource || options.kvFetchSource) {
        return 0;
    }
    // Another node may have sent the shared parts to the engine. Only this request has the last part.
    const std::vector<PromptPart> &parts = m_request.prompt->parts;
    const std::int64_t sharedTokens = parts.empty() ? 0 : tokens - parts.back().tokens;
    if (static_cast<double>(sharedTokens) > MaxSampleSharedTokens * static_cast<double>(tokens)) {
        return 0;
    }
    const double expected = m_state.placementPlanner.estimateUsualPrefillMs(engine.record.stage, tokens)
        + (options.prefillOnly ? 0 : m_state.settings.engineCosts.stepMs);
    return m_lastPlacement.waitMs <= MaxSampleWaitShare * expected ? expected : 0;
}

asio::awaitable<RequestForwarder::Attempt> RequestForwarder::awaitResponse(std::unique_ptr<ActiveAttempt> activeAttempt)
{
    Attempt attempt = co_await awaitEnd(*activeAttempt);
    if (attempt.keptOpen) {
        keepSilentAttempt(std::move(activeAttempt));
    } else {
        recordEnd(*activeAttempt, attempt.result == AttemptResult::Answered);
    }
    co_return attempt;
}

asio::awaitable<RequestForwarder::Attempt> RequestForwarder::awaitEnd(ActiveAttempt &activeAttempt)
{
    BackendConnection &connection = *activeAttempt.connection;
    while (true) {
        recordSend(activeAttempt);
        if (pollSilentAttempts()) {
            connection.close();
            Attempt attempt;
            attempt.result = activeAttempt.sent ? AttemptResult::Silent : AttemptResult::NotSent;
            attempt.superseded = true;
            co_return attempt;
        }
        handleProgress(activeAttempt);
        if (!m_silentAttempts.empty() && hasGoneOn(activeAttempt)) {
            replaceSilentServers(activeAttempt);
        }
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
        if (activeAttempt.sent && activeAttempt.retryAt != TimePoint::max()) {
            const TimePoint silenceDeadline = std::max(
                activeAttempt.retryAt, std::max(activeAttempt.lastReceivedAt, activeAttempt.backend->lastAnswerByteAt) + SilenceTimeout);
            const bool waitsForAnswer = m_route->kind == RouteKind::Safe && !activeAttempt.answer;
            const TimePoint retryDue = waitsForAnswer ? activeAttempt.retryAt : silenceDeadline;
            if (now >= retryDue && reserveRetryAfterSilence(activeAttempt)) {
                m_mayHaveExecuted = true;
                Attempt attempt;
                attempt.result = AttemptResult::Silent;
                attempt.keptOpen = true;
                co_return attempt;
            }
            wake = std::min<TimePoint>(wake, std::max<TimePoint>(retryDue, now + SilencePollInterval));
        }
        co_await m_caller.changeEvent().waitUntil(wake);
    }
}

void RequestForwarder::recordSend(ActiveAttempt &activeAttempt)
{
    if (activeAttempt.sent || !activeAttempt.connection->maybeSent()) {
        return;
    }
    activeAttempt.sent = true;
    ++m_attemptsSent;
    if (!activeAttempt.prefillOnly) {
        m_retryReserved = false;
    }
}

void RequestForwarder::recordEnd(const ActiveAttempt &activeAttempt, bool answered)
{
    if (!activeAttempt.prefillOnly) {
        m_state.crashTracker.recordEnd(activeAttempt.backend->record.id, m_contentHash, answered, m_state.clock.now());
    }
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

void RequestForwarder::decodeHead(ActiveAttempt &activeAttempt)
{
    BackendConnection &connection = *activeAttempt.connection;
    const bool bodyStarted = connection.phase() == ExchangePhase::ReceivingBody || connection.phase() == ExchangePhase::Complete;
    if (bodyStarted && !activeAttempt.answer) {
        const AnswerHead &head = connection.head();
        activeAttempt.answer = m_state.protocolAdapter.decodeAnswer(head.status, head.reason, head.headers);
        activeAttempt.relaysEvents = !activeAttempt.prefillOnly && m_route->kind == RouteKind::Streaming && activeAttempt.answer->success();
    }
}

void RequestForwarder::handleProgress(ActiveAttempt &activeAttempt)
{
    BackendConnection &connection = *activeAttempt.connection;
    decodeHead(activeAttempt);
    if (!activeAttempt.answer) {
        return;
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
    } else {
        activeAttempt.connection->setRetainedBytes(m_eventSplitter.retainedBytes());
    }
    if (events.empty()) {
        return; // Bytes that complete no event are no progress.
    }
    recordReceipt(activeAttempt);
    activeAttempt.hasNewEvents = true;
    const TimePoint now = m_state.clock.now();
    if (!activeAttempt.firstEventAt) {
        recordSpeedSample(m_state, *activeAttempt.backend, activeAttempt.expectedPrefillMs, now - activeAttempt.startedAt);
    }
    activeAttempt.removePromptTokens();
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
        m_streamVersion = activeAttempt.softwareVersion;
        if (m_route->resumable) {
            recordStreamOrigin(m_state, m_request.id, m_request.resumedRequest, {m_serviceId, activeAttempt.softwareVersion});
        }
        recordBegan(now);
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

} // namespace apricotarch
