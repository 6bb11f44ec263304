#include "apricotarch/app/request_forwarder.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "active_attempt.h"
#include "apricotarch/app/request_rate_limits.h"
#include "apricotarch/base/background_task.h"
#include "apricotarch/base/log.h"
#include "apricotarch/transport/backend_call.h"

// Sending: the servers that a request is sent to, one after another, until it has its answer.

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// Timeout of a call that frees KV memory, which takes one round trip. The memory expires by itself within seconds.
constexpr Duration ReleaseTimeout = 1s;

} // namespace

asio::awaitable<void> RequestForwarder::sendUntilDone()
{
    while (!m_finished) {
        std::optional<Attempt> attempt = co_await sendToNextServer();
        while (!m_finished && !m_silentAttempts.empty() && !(attempt && attempt->keptOpen)) {
            // The other server has not taken over; the silent one still has the request and may go on.
            if (attempt && !attempt->superseded) {
                logFailedAttempt(*attempt, "wait_for_silent_server");
            }
            attempt = co_await awaitResponse(takeBackSilentAttempt());
        }
        if (m_finished || !attempt) {
            break;
        }
        if (attempt->keptOpen) {
            m_state.metrics.increment(CounterFamily::Retries, attemptResultName(attempt->result));
        } else if (!performNextStep(*attempt)) {
            break;
        }
    }
    closeSilentAttempts();
    if (m_kvLocation) {
        releaseKv();
    }
}

asio::awaitable<std::optional<RequestForwarder::Attempt>> RequestForwarder::sendToNextServer()
{
    if (isStoppedByQuarantine()) {
        co_return std::nullopt;
    }
    Placement placement = co_await selectPlacement();
    while (!placement.server) {
        const bool canRetry = co_await waitForVersion();
        if (m_finished) {
            co_return std::nullopt;
        }
        if (!canRetry) {
            break;
        }
        if (isStoppedByQuarantine()) {
            co_return std::nullopt;
        }
        placement = co_await selectPlacement();
    }
    m_lastPlacement = placement;
    BackendPointer server = placement.server;
    if (server && m_attemptsSent == 0 && exceedsWaitLimit(placement)) {
        refuse(RefusalReason::Overloaded);
        co_return std::nullopt;
    }
    if (server && placement.prefillEngine && !m_kvLocation && takePrefillBudget()) {
        const Attempt attempt = co_await prefill(placement);
        if (m_finished || !m_kvLocation) {
            co_return attempt;
        }
    }
    if (isStoppedByQuarantine()) {
        co_return std::nullopt; // The part was quarantined during the prefill.
    }
    if (m_kvLocation) {
        // During the prefill, engines may have started to drain and loads may have changed.
        const TimePoint now = m_state.clock.now();
        const std::vector<BackendPointer> usable =
            usableInGroup(m_state.backends.selectUsable(m_serviceId, now, m_streamVersion), m_groupRank);
        server = m_state.placementPlanner.selectDecodeEngine(usable, m_triedServers, now);
    }
    if (!server) {
        if (m_silentAttempts.empty()) {
            const bool declined =
                !m_triedServers.empty() || m_state.backends.remainingDeclineTime(m_serviceId, m_state.clock.now()) > Duration::zero();
            refuse(declined ? RefusalReason::ServersFull : RefusalReason::NoServer);
        }
        co_return std::nullopt;
    }
    if (pollSilentAttempts()) {
        co_return std::nullopt; // A silent server went on during the selection.
    }
    AttemptOptions options;
    options.kvSource = m_kvLocation;
    options.lastEventId = m_eventSplitter.lastId();
    if (!m_kvLocation && placement.prefixSource && server == placement.server) {
        options.kvFetchSource = placement.prefixSource->record.address;
    }
    const std::int64_t tokensToPrefill = m_kvLocation ? 0 : placement.tokensToPrefill;
    Attempt attempt = co_await sendAttempt(server, std::move(options), tokensToPrefill, selectAnswerTimeout(placement));
    const bool full = server->load().requests >= server->record.slots;
    if (attempt.result != AttemptResult::NotSent && !(attempt.result == AttemptResult::NotExecuted && full)) {
        // The KV memory has been fetched by the decode engine, was lost with the attempt, or has expired. Expiry is the only
        // reason for which an engine with free slots declines a request.
        m_kvLocation.reset();
    }
    co_return attempt;
}

bool RequestForwarder::isStoppedByQuarantine()
{
    return m_silentAttempts.empty() ? endIfQuarantined() : hasQuarantinedPart();
}

bool RequestForwarder::takePrefillBudget()
{
    const TimePoint now = m_state.clock.now();
    return m_prefillsSent == 0 || m_state.retryBudget.tryTakeRetry(m_serviceId, m_state.peers.countBudgetNodes(now), now);
}

bool RequestForwarder::performNextStep(const Attempt &attempt)
{
    const RequestProgress progress = collectProgress();
    NextStep next = chooseNextStep(attempt.result, progress);
    if (next == NextStep::Deliver && m_response.streamStarted() && !attempt.answer.success()) {
        next = NextStep::Abort; // The server that should have continued the stream has returned an error.
    }
    const bool isCharged = m_attemptsSent > 0 && isChargedToRetryBudget(attempt.result) && !std::exchange(m_retryReserved, false);
    if (next == NextStep::TryAnother && isCharged
        && !m_state.retryBudget.tryTakeRetry(m_serviceId, m_state.peers.countBudgetNodes(m_state.clock.now()), m_state.clock.now())) {
        next = chooseStepWithoutRetry(attempt.result, progress);
        m_state.metrics.increment(CounterFamily::Retries, "no_budget");
    }
    if (attempt.result != AttemptResult::Answered) {
        logFailedAttempt(attempt, nextStepName(next));
    }
    switch (next) {
    case NextStep::TryAnother:
        m_state.metrics.increment(CounterFamily::Retries, attemptResultName(attempt.result));
        return true;
    case NextStep::Deliver:
        deliverResponse(attempt);
        break;
    case NextStep::Refuse:
        refuse(RefusalReason::ServersFull);
        break;
    case NextStep::Fail:
        sendLocalResponse(502, attemptResultName(attempt.result), std::nullopt);
        break;
    case NextStep::Abort:
        abortResponse(attemptResultName(attempt.result));
        break;
    }
    return false;
}

void RequestForwarder::logFailedAttempt(const Attempt &attempt, const char *next) const
{
    LogEvent event("request.attempt_failed");
    event.field("request", m_request.id).field("server", m_lastServer).field("end", attemptResultName(attempt.result));
    event.field("status", attempt.answer.status).field("sends", m_attemptsSent).field("next", next);
    if (m_request.prompt && attempt.result == AttemptResult::Broken) {
        event.field("parts", sharedPartsText(m_request.prompt->parts)).field("answer_started", attempt.answerStarted);
    }
    if (!attempt.error.step.empty()) {
        event.error(attempt.error);
    }
}

asio::awaitable<RequestForwarder::Attempt> RequestForwarder::prefill(const Placement &placement)
{
    AttemptOptions options;
    options.prefillOnly = true;
    if (placement.prefixSource) {
        options.kvFetchSource = placement.prefixSource->record.address;
    }
    const TimePoint startedAt = m_state.clock.now();
    const bool isFirst = m_prefillsSent == 0;
    const int attemptsSentBefore = m_attemptsSent;
    const bool mayHaveExecutedBefore = m_mayHaveExecuted;
    const Attempt attempt =
        co_await sendAttempt(placement.prefillEngine, std::move(options), placement.tokensToPrefill, LongestRequestTime);
    m_mayHaveExecuted = mayHaveExecutedBefore; // A prefill does not execute the request.
    m_prefillsSent += m_attemptsSent - attemptsSentBefore;
    if (attempt.finished) {
        co_return attempt;
    }
    if (attempt.result == AttemptResult::Answered && attempt.answer.success()) {
        const Result<PrefillReceipt> receipt =
            m_state.protocolAdapter.decodePrefill(attempt.body, placement.prefillEngine->record.address.text());
        if (receipt) {
            m_attemptsSent = attemptsSentBefore; // An accepted prefill does not count as an attempt of the request.
            m_kvLocation = KvLocation{placement.prefillEngine->record.address, receipt->handle};
            m_prefillEngine = placement.prefillEngine->record.id;
            m_prefillDuration = m_state.clock.now() - startedAt;
            co_return attempt;
        }
    }
    if (isFirst && m_prefillsSent > 0) {
        m_retryReserved = false; // Only an accepted first prefill is free; see takePrefillBudget().
    }
    Attempt declined;
    declined.result = attempt.result == AttemptResult::NotSent ? AttemptResult::NotSent : AttemptResult::NotExecuted;
    declined.error = attempt.error;
    declined.answer = attempt.answer;
    declined.superseded = attempt.superseded;
    co_return declined;
}

void RequestForwarder::releaseKv()
{
    const BackendPointer engine = m_state.backends.find(m_prefillEngine);
    const bool declines = engine && engine->declines(m_state.clock.now());
    if (engine && (declines || !takeFromRateShare(m_state, *engine))) {
        LogEvent("kv.not_released")
            .field("request", m_request.id)
            .field("server", m_prefillEngine)
            .field("reason", declines ? "server_declines" : "server_rate_limited");
        return; // The memory is freed when it expires.
    }
    // If the call fails, the memory is freed when it expires.
    BackendCall call{m_prefillEngine, m_kvLocation->engine, m_state.protocolAdapter.encodeRelease(*m_kvLocation), false, ReleaseTimeout};
    const auto release = [](FrontState &state, BackendCall releaseCall) -> asio::awaitable<void> {
        (void)co_await callBackend(state.backendPool, state.clock, std::move(releaseCall));
    };
    asio::co_spawn(m_caller.executor(), release(m_state, std::move(call)), LogFailure("release_kv"));
}

} // namespace apricotarch
