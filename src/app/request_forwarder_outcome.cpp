#include "apricotarch/app/request_forwarder.h"

#include <utility>

#include "active_attempt.h"
#include "apricotarch/app/engine_speeds.h"

// Outcomes: what the end of an attempt says of the request, the server and the prompt.

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// A connection that is lost within this time without a byte of an answer may have been closed before the server had read the request.
constexpr Duration UnreadTime = 5ms;

/// Whether callers take a status for the promise that the request has not run and will not run.
bool promisesNotExecuted(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

RequestForwarder::Attempt RequestForwarder::handleResponse(ActiveAttempt &activeAttempt)
{
    const TimePoint now = m_state.clock.now();
    Attempt attempt;
    attempt.answer = *activeAttempt.answer;
    attempt.body = std::move(activeAttempt.connection->body());
    const char *fault = findFault(activeAttempt, attempt.answer);
    const bool mayHaveCrashed = endsWithoutEvent(activeAttempt);
    if (activeAttempt.connection->endExchange()) {
        m_state.backendPool.release(activeAttempt.connection, now);
    }
    const int status = attempt.answer.status;
    if (attempt.answer.notExecuted && (status == 503 || status == 429 || status == 421)) {
        attempt.result = AttemptResult::NotExecuted;
        activeAttempt.backend->recordFailure(now);
        return attempt;
    }
    recordBeganUnlessStream(activeAttempt);
    if (fault != nullptr) {
        m_mayHaveExecuted = true;
        if (mayHaveCrashed) {
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
        if (attempt.answer.success()) {
            recordSpeedSample(m_state, *activeAttempt.backend, activeAttempt.expectedPrefillMs, now - activeAttempt.startedAt);
        }
    } else {
        recordPromptAnswered(activeAttempt);
    }
    attempt.result = AttemptResult::Answered;
    return attempt;
}

bool RequestForwarder::endsWithoutEvent(const ActiveAttempt &activeAttempt)
{
    // The end of the connection is the only sign of the answer's end then, and an engine that crashes ends its connections too.
    return activeAttempt.relaysEvents && activeAttempt.connection->head().endsWithConnection && !activeAttempt.firstEventAt;
}

const char *RequestForwarder::findFault(const ActiveAttempt &activeAttempt, const BackendAnswer &answer) const
{
    const EventSplitter &stream = activeAttempt.silentStream ? *activeAttempt.silentStream : m_eventSplitter;
    if (answer.success() && !activeAttempt.prefillOnly && (!answer.isSigned || !answer.request)) {
        return "the response lacks a signature or a request id";
    }
    if (activeAttempt.relaysEvents && !stream.isBetweenEvents()) {
        return "the stream ends within an event";
    }
    if (endsWithoutEvent(activeAttempt)) {
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

bool RequestForwarder::hasGoneOn(const ActiveAttempt &activeAttempt) const
{
    if (activeAttempt.prefillOnly || !activeAttempt.answer) {
        return false;
    }
    if (activeAttempt.relaysEvents && activeAttempt.hasNewEvents) {
        return true;
    }
    const ExchangePhase phase = activeAttempt.connection->phase();
    const bool bodyStarted = phase == ExchangePhase::ReceivingBody && !activeAttempt.connection->body().empty();
    if (phase != ExchangePhase::Complete && (activeAttempt.relaysEvents || !bodyStarted)) {
        return false;
    }
    const BackendAnswer &answer = *activeAttempt.answer;
    return answer.status < 500 && !promisesNotExecuted(answer.status) && findFault(activeAttempt, answer) == nullptr;
}

bool RequestForwarder::isUnread(const ActiveAttempt &activeAttempt, TimePoint now)
{
    return !activeAttempt.answer && now - activeAttempt.startedAt <= UnreadTime;
}

void RequestForwarder::recordBegan(TimePoint startedAt)
{
    if (m_customer != nullptr && m_state.onRequestBegan && !std::exchange(m_reportedBegan, true)) {
        m_state.onRequestBegan(m_customer->id, startedAt);
    }
}

void RequestForwarder::recordBeganUnlessStream(const ActiveAttempt &activeAttempt)
{
    // A stream begins with its first event; an error in place of it is no stream.
    if (!activeAttempt.prefillOnly && m_route->kind != RouteKind::Streaming) {
        recordBegan(activeAttempt.startedAt);
    }
}

RequestForwarder::Attempt RequestForwarder::handleConnectionLoss(ActiveAttempt &activeAttempt)
{
    const TimePoint now = m_state.clock.now();
    Attempt attempt;
    attempt.error = activeAttempt.connection->error();
    const bool maybeSent = activeAttempt.connection->maybeSent();
    activeAttempt.connection->close();
    activeAttempt.backend->recordConnectionLoss(now);
    if (!maybeSent) {
        attempt.result = AttemptResult::NotSent;
        return attempt;
    }
    m_mayHaveExecuted = true;
    if (!isUnread(activeAttempt, now)) {
        recordBeganUnlessStream(activeAttempt);
    }
    attempt.result = AttemptResult::Broken;
    attempt.answerStarted = activeAttempt.firstEventAt.has_value();
    if (!activeAttempt.prefillOnly && attempt.error.id == ErrorId::ConnectionLost) {
        recordPossibleCrash(activeAttempt);
    }
    return attempt;
}

void RequestForwarder::recordPossibleCrash(const ActiveAttempt &activeAttempt)
{
    const BackendRecord &server = activeAttempt.backend->record;
    PossibleCrash crash{.server = server.id,
        .address = activeAttempt.connection->endpoint(),
        .content = m_contentHash,
        .prompt = {},
        .at = m_state.clock.now()};
    crash.process = activeAttempt.engineProcess;
    if (!activeAttempt.promptAnswered) {
        crash.prompt = m_request.promptParts;
    }
    if (activeAttempt.firstEventAt) {
        crash.likelihood = crashLikelihood(crash.at - *activeAttempt.firstEventAt);
    }
    crash.mayBeUnread = isUnread(activeAttempt, crash.at);
    recordLoss(m_state, std::move(crash));
}

void RequestForwarder::recordPromptAnswered(ActiveAttempt &activeAttempt)
{
    if (!std::exchange(activeAttempt.promptAnswered, true)) {
        m_state.partQuarantine.recordAnswer(m_request.promptParts, m_state.clock.now());
    }
}

RequestForwarder::Attempt RequestForwarder::abandonAttempt(ActiveAttempt &activeAttempt)
{
    Attempt attempt;
    attempt.finished = true;
    attempt.result = activeAttempt.connection->maybeSent() ? AttemptResult::Silent : AttemptResult::NotSent;
    m_mayHaveExecuted = m_mayHaveExecuted || (activeAttempt.connection->maybeSent() && !activeAttempt.prefillOnly);
    if (activeAttempt.connection->maybeSent() && !isUnread(activeAttempt, m_state.clock.now())) {
        recordBeganUnlessStream(activeAttempt);
    }
    activeAttempt.connection->close();
    m_caller.isClosed() ? handleCallerDisconnect() : handleTimeout();
    m_finished = true;
    return attempt;
}

} // namespace apricotarch
