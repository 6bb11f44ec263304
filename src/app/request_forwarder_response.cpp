#include "apricotarch/app/request_forwarder.h"

#include <cmath>
#include <random>

#include "apricotarch/app/incomplete_close.h"
#include "apricotarch/app/shutdown_refusal.h"
#include "apricotarch/base/log.h"

// Responses: the final answer to the caller, from a server or from this node.

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// When a caller may repeat a request that crashes servers; quarantines last for minutes.
constexpr std::chrono::milliseconds QuarantineRetryDelay = 60s;

} // namespace

void RequestForwarder::deliverResponse(const Attempt &attempt)
{
    if (m_response.streamStarted()) {
        m_response.endStream();
        m_state.streamVersions.markComplete(streamKey(m_request.id));
        m_state.streamVersions.markComplete(streamKey(m_request.resumedRequest));
        recordDuration();
        finishRequest(attempt.answer.status, "streamed");
        return;
    }
    m_response.sendFull(attempt.answer, attempt.body);
    if (attempt.answer.success()) {
        recordDuration();
    }
    finishRequest(attempt.answer.status, "answered");
}

void RequestForwarder::recordDuration()
{
    m_state.routeDurations.record(m_route->name, m_state.clock.now() - m_request.arrivedAt);
}

void RequestForwarder::refuse(RefusalReason reason)
{
    const RefusalResponse &response = refusalResponse(reason);
    // Spreads the retries of refused callers over a second, which is about the time needed to process the backlog
    // of one burst.
    std::chrono::milliseconds delay(std::uniform_int_distribution<int>(200, 1000)(m_state.random));
    if (reason == RefusalReason::Quarantined) {
        delay = QuarantineRetryDelay;
    } else if (reason == RefusalReason::NodeStopping) {
        delay = stoppingRetryDelay(m_state);
    } else if (reason == RefusalReason::ServersFull) {
        delay += std::chrono::ceil<std::chrono::milliseconds>(m_state.backends.remainingDeclineTime(m_serviceId, m_state.clock.now()));
    }
    m_state.metrics.increment(CounterFamily::Refusals, response.reason);
    sendLocalResponse(response.status, response.reason, response.retry ? std::optional<Duration>(delay) : std::nullopt);
}

void RequestForwarder::sendLocalResponse(int status, std::string_view reason, std::optional<Duration> retryAfter)
{
    if (m_response.streamStarted()) {
        abortResponse("answer_already_begun");
        return;
    }
    m_response.sendLocal(status, reason, retryAfter);
    finishRequest(status, reason);
}

void RequestForwarder::reportClose(std::string_view reason)
{
    IncompleteClose close{.reason = reason, .requestId = m_request.id, .server = m_lastServer};
    if (!m_lastServer.value().empty()) {
        close.serverSilence = m_state.clock.now() - m_serverProgressAt;
    }
    reportIncompleteClose(m_state, m_caller, close);
}

void RequestForwarder::abortResponse(const char *outcome)
{
    reportClose(outcome);
    m_response.abort();
    finishRequest(0, outcome);
}

void RequestForwarder::handleTimeout()
{
    // Before its own deadline, a request ends only because the process does.
    const bool isStopping = m_state.clock.now() < m_deadline;
    const char *outcome = isStopping ? "node_stopping" : "out_of_time";
    if (m_mayHaveExecuted) {
        recordDuration(); // It would have taken longer.
    }
    if (m_response.streamStarted()) {
        abortResponse(outcome);
    } else if (m_mayHaveExecuted) {
        sendLocalResponse(504, outcome, std::nullopt);
    } else {
        refuse(isStopping ? RefusalReason::NodeStopping : RefusalReason::TooLate);
    }
}

void RequestForwarder::handleCallerDisconnect()
{
    m_response.disableReuse();
    finishRequest(0, "caller_left");
}

void RequestForwarder::finishRequest(int status, std::string_view outcome)
{
    m_finished = true;
    const Duration duration = m_state.clock.now() - m_request.arrivedAt;
    m_state.metrics.increment(CounterFamily::Answers, outcome);
    m_state.metrics.observe(LatencyKind::Total, duration);
    LogEvent event("request.done");
    event.field("request", m_request.id).field("route", m_route == nullptr ? "" : m_route->name).field("status", status);
    event.field("outcome", outcome).field("server", m_lastServer).field("sends", m_attemptsSent).field("ms", toMilliseconds(duration));
    if (!m_lastVersion.empty()) {
        event.field("version", m_lastVersion);
    }
    if (!m_request.resumedRequest.empty()) {
        event.field("resumes", m_request.resumedRequest);
    }
    if (m_customer != nullptr) {
        event.field("customer", m_customer->id);
    }
    if (m_firstEventAt) {
        event.field("first_ms", toMilliseconds(*m_firstEventAt - m_request.arrivedAt)).field("events", m_eventSplitter.count());
        event.field("longest_gap_ms", toMilliseconds(m_longestGap));
    }
    if (m_request.prompt) {
        event.field("prompt_tokens", m_request.prompt->promptTokens).field("read_tokens", m_lastPlacement.tokensToPrefill);
        event.field("wait_ms", std::lround(m_lastPlacement.waitMs))
            .field("predicted_ms", std::lround(m_lastPlacement.predictedFirstEventMs));
        if (m_lastPlacement.speedFactor != 1) {
            event.field("speed", std::lround(100 * m_lastPlacement.speedFactor));
        }
        event.field("parts_from", m_lastPlacement.prefixSource ? m_lastPlacement.prefixSource->record.id.value() : "");
    }
    if (!m_groups.empty()) {
        event.field("group", m_groups[m_groupRank]).field("group_rank", m_groupRank);
    }
    if (m_prefillDuration) {
        event.field("reader", m_prefillEngine).field("prefill_ms", toMilliseconds(*m_prefillDuration));
    }
    event.field("caller", m_caller.peer()).field("plan", m_plan->version());
}

} // namespace apricotarch
