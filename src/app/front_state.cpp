#include "apricotarch/app/front_state.h"

#include "apricotarch/app/request_rate_limits.h"
#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

constexpr int FirstFinalStatus = 200;
constexpr int StatusMisdirected = 421; ///< Sent by another server than the intended one.

} // namespace

void FrontState::recordServerStatements(const BackendConnection &connection, const AnswerHead &head)
{
    const BackendAnswer answer = protocolAdapter.decodeAnswer(head.status, head.reason, head.headers);
    const ReplicaId &server = connection.replica();
    const RequestId request = answer.request.value_or(RequestId());
    const TimePoint now = clock.now();
    const StatementOrigin origin{connection.openedAt(), connection.sentAt(request)};
    if (answer.serverIsShuttingDown && backends.recordShutdownStatement(server, origin, now)) {
        backendPool.retireConnections(server, now);
        metrics.increment(CounterFamily::Servers, "leaving");
        LogEvent("server.leaving")
            .field("server", server)
            .field("request", request)
            .field("source", "answer")
            .field("status", answer.status);
    }
    if (answer.serverDeclinesFor && backends.recordDecline(server, origin, now + *answer.serverDeclinesFor)) {
        metrics.increment(CounterFamily::Servers, "declining");
        LogEvent("server.declines").field("server", server).field("request", request).field("for_ms", answer.serverDeclinesFor->count());
    }
    if (!answer.invalidRetryAfter.empty()) {
        metrics.increment(CounterFamily::Servers, "retry_after_ignored");
        LogEvent("server.retry_after_ignored").field("server", server).field("request", request).field("value", answer.invalidRetryAfter);
    }
    if (answer.status >= FirstFinalStatus && answer.status != StatusMisdirected) {
        recordRequestRate(server, answer, origin);
    }
}

void FrontState::recordRequestRate(const ReplicaId &server, const BackendAnswer &answer, const StatementOrigin &origin)
{
    const RequestId request = answer.request.value_or(RequestId());
    if (!answer.invalidRequestRate.empty()) {
        metrics.increment(CounterFamily::Servers, "rate_limit_ignored");
        LogEvent("server.rate_limit_ignored").field("server", server).field("request", request).field("value", answer.invalidRequestRate);
        return;
    }
    if (!answer.requestRateLimit && !answer.request) {
        return;
    }
    if (!backends.recordRequestRate(server, origin, answer.requestRateLimit, clock.now())) {
        return;
    }
    applyRateStatement(*this, *backends.find(server), "answer", request);
    notifyUrgentChange();
}

} // namespace apricotarch
