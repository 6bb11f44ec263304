#include "apricotarch/coordination/application_call_executor.h"

#include <algorithm>
#include <utility>

#include "apricotarch/base/hash.h"

namespace apricotarch
{

namespace
{

constexpr int MaxAttempts = 5;
constexpr int FirstServerError = 500;
constexpr int NotFoundStatus = 404;
constexpr std::chrono::milliseconds ReplicaPollInterval{25};
constexpr std::chrono::milliseconds LookUpTimeout{1000};

ReplicaCall makeReplicaCall(const ApplicationRequest &request)
{
    return {request.operation.method, request.operation.path, request.query, request.body, request.contentType, request.idempotencyKey};
}

/// Returns a hash of all parts of a call that distinguish it from other calls with the same idempotency key.
ContentHash hashContent(const ApplicationRequest &request)
{
    return contentHash(request.operation.name + '\n' + request.query + '\n' + request.body);
}

Error noReplicaError(const ApplicationRequest &request)
{
    return {ErrorId::NotFound,
        "request.choose",
        request.service.id.value(),
        "no replica could be reached before the deadline",
        Delivery::NotSent};
}

} // namespace

ApplicationCallExecutor::ApplicationCallExecutor(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

Duration ApplicationCallExecutor::remainingTime(const ApplicationRequest &request) const noexcept
{
    return request.deadline - m_dependencies.clock.now();
}

ApplicationCallOutcome ApplicationCallExecutor::finishAnswered(const ApplicationRequest &request, CallResult result, bool replayed)
{
    m_dependencies.decisions.add({.kind = DecisionKind::Request,
        .subject = request.id.value(),
        .seen = "status=" + std::to_string(result.status),
        .weighed = "operation=" + request.operation.name,
        .chosen = replayed ? "replayed" : "answered"});
    ApplicationCallOutcome outcome;
    outcome.answered = true;
    outcome.result = std::move(result);
    outcome.replayed = replayed;
    return outcome;
}

ApplicationCallOutcome ApplicationCallExecutor::finishRefused(
    const ApplicationRequest &request, std::string reason, Error error, bool notRun)
{
    m_dependencies.decisions.add({.kind = DecisionKind::Request,
        .subject = request.id.value(),
        .seen = formatError(error),
        .weighed = "operation=" + request.operation.name + " not_run=" + (notRun ? "true" : "false"),
        .chosen = "refused " + reason});
    ApplicationCallOutcome outcome;
    outcome.reason = std::move(reason);
    outcome.error = std::move(error);
    outcome.notRun = notRun;
    return outcome;
}

asio::awaitable<ApplicationCallOutcome> ApplicationCallExecutor::execute(ApplicationRequest request)
{
    m_dependencies.retries.recordAdmission();
    if (request.operation.idempotent) {
        co_return co_await executeIdempotent(std::move(request));
    }
    co_return co_await executeClaimed(std::move(request));
}

asio::awaitable<std::optional<ReplicaSpec>> ApplicationCallExecutor::chooseReplica(
    const ApplicationRequest &request, std::set<ReplicaId> &excluded)
{
    while (remainingTime(request) > Duration::zero()) {
        RouteRequest routeRequest;
        routeRequest.zone = m_dependencies.zone;
        routeRequest.excluded = excluded;
        const auto choice = route(m_dependencies.policy,
            m_dependencies.fleet.replicas(request.service.id),
            routeRequest,
            m_dependencies.clock.now(),
            m_dependencies.random);
        if (choice) {
            co_return choice->replica;
        }
        excluded.clear();
        co_await m_dependencies.clock.sleep(ReplicaPollInterval);
    }
    co_return std::nullopt;
}

asio::awaitable<Result<CallResult>> ApplicationCallExecutor::callReplica(
    const ApplicationRequest &request, const ReplicaSpec &replica, ReplicaCall call)
{
    m_dependencies.fleet.addDispatch(replica.id, Tokens(), Tokens(), m_dependencies.clock.now());
    Result<CallResult> result = co_await m_dependencies.replicas.call(replica, std::move(call), remainingTime(request));
    m_dependencies.fleet.removeDispatch(replica.id, Tokens(), Tokens(), result.has_value());
    if (!result) {
        m_dependencies.fleet.handleFailure(replica.id, m_dependencies.clock.now());
    }
    co_return result;
}

asio::awaitable<ApplicationCallOutcome> ApplicationCallExecutor::executeIdempotent(ApplicationRequest request)
{
    std::set<ReplicaId> excluded;
    bool mayHaveRun = false;
    Error lastError = noReplicaError(request);
    for (int attempt = 1; attempt <= MaxAttempts; ++attempt) {
        const std::optional<ReplicaSpec> replica = co_await chooseReplica(request, excluded);
        if (!replica) {
            co_return finishRefused(request, "no_replica", lastError, !mayHaveRun);
        }
        Result<CallResult> result = co_await callReplica(request, *replica, makeReplicaCall(request));
        if (result && result->status < FirstServerError) {
            co_return finishAnswered(request, std::move(*result), false);
        }
        const bool sent = result || result.error().delivery == Delivery::MaybeSent;
        mayHaveRun = mayHaveRun || sent;
        lastError = result ? Error{ErrorId::UnexpectedStatus,
                        "request.call",
                        replica->id.value(),
                        "status " + std::to_string(result->status),
                        Delivery::MaybeSent}
                           : result.error();
        excluded.insert(replica->id);
        if (!m_dependencies.retries.tryTakeRetry()) {
            co_return finishRefused(request, "retry_budget_used_up", lastError, !mayHaveRun);
        }
        m_dependencies.metrics.increment(CounterFamily::Retries, result ? "server_error" : sent ? "call_broken" : "connect_failed");
    }
    co_return finishRefused(request, "attempts_used_up", lastError, !mayHaveRun);
}

asio::awaitable<ApplicationCallOutcome> ApplicationCallExecutor::executeClaimed(ApplicationRequest request)
{
    const ClaimKey key{request.service.id, request.caller, request.idempotencyKey};
    ClaimTicket ticket = co_await m_dependencies.claims.acquire(key, hashContent(request));
    if (ticket.decision == ClaimDecision::Send) {
        co_return co_await sendOnce(request, std::move(ticket));
    }
    co_return co_await handleExistingClaim(request, std::move(ticket));
}

asio::awaitable<ApplicationCallOutcome> ApplicationCallExecutor::sendOnce(const ApplicationRequest &request, ClaimTicket ticket)
{
    std::set<ReplicaId> excluded;
    Error lastError = noReplicaError(request);
    for (int attempt = 1; attempt <= MaxAttempts; ++attempt) {
        const std::optional<ReplicaSpec> replica = co_await chooseReplica(request, excluded);
        if (!replica) {
            break;
        }
        Result<CallResult> result = co_await callReplica(request, *replica, makeReplicaCall(request));
        if (result && result->status < FirstServerError) {
            co_await m_dependencies.claims.storeResult(std::move(ticket), replica->id, *result);
            co_return finishAnswered(request, std::move(*result), false);
        }
        const bool notSent = !result && result.error().delivery == Delivery::NotSent;
        lastError = result ? Error{ErrorId::UnexpectedStatus,
                        "request.call",
                        replica->id.value(),
                        "status " + std::to_string(result->status),
                        Delivery::MaybeSent}
                           : result.error();
        if (!notSent) {
            co_return co_await lookUpResult(request, std::move(ticket), lastError);
        }
        excluded.insert(replica->id);
        m_dependencies.metrics.increment(CounterFamily::Retries, "connect_failed");
    }
    co_await m_dependencies.claims.releaseUnsent(std::move(ticket));
    co_return finishRefused(request, "no_replica", lastError, true);
}

asio::awaitable<ApplicationCallOutcome> ApplicationCallExecutor::lookUpResult(
    const ApplicationRequest &request, ClaimTicket ticket, Error error)
{
    std::set<ReplicaId> excluded;
    ReplicaCall call{"GET", request.operation.lookupPath, "", "", "", request.idempotencyKey};
    for (int attempt = 1; attempt <= MaxAttempts && !call.path.empty(); ++attempt) {
        ApplicationRequest lookUpRequest = request;
        lookUpRequest.deadline = m_dependencies.clock.now() + LookUpTimeout;
        const std::optional<ReplicaSpec> replica = co_await chooseReplica(lookUpRequest, excluded);
        if (!replica) {
            break;
        }
        Result<CallResult> found = co_await callReplica(lookUpRequest, *replica, call);
        m_dependencies.metrics.increment(CounterFamily::Retries, "look_up");
        if (found && found->status < FirstServerError && found->status != NotFoundStatus) {
            co_await m_dependencies.claims.storeResult(std::move(ticket), replica->id, *found);
            co_return finishAnswered(request, std::move(*found), false);
        }
        if (found && found->status == NotFoundStatus) {
            break;
        }
        excluded.insert(replica->id);
    }
    co_await m_dependencies.claims.markOutcomeUnknown(std::move(ticket));
    co_return finishRefused(request, "outcome_unknown", std::move(error), false);
}

asio::awaitable<ApplicationCallOutcome> ApplicationCallExecutor::handleExistingClaim(const ApplicationRequest &request, ClaimTicket ticket)
{
    const std::string peer = ticket.row.owner.value();
    const Error outcomeUnknown{
        ErrorId::OutcomeUnknown, "claim.begin", peer, "the call may have run and is not sent again", Delivery::MaybeSent};
    switch (ticket.decision) {
    case ClaimDecision::Replay:
        co_return finishAnswered(request, ticket.row.result, true);
    case ClaimDecision::InProgress:
        co_return finishRefused(request,
            "in_progress",
            {ErrorId::Refused,
                "claim.begin",
                peer,
                "a request with this idempotency key is in progress; retry with the same key",
                Delivery::NotSent},
            false);
    case ClaimDecision::KeyReused:
        co_return finishRefused(request,
            "key_reused",
            {ErrorId::Refused,
                "claim.begin",
                peer,
                "this idempotency key was used for a different call; use a new key for a new booking",
                Delivery::NotSent},
            true);
    case ClaimDecision::OutcomeUnknown:
        co_return co_await lookUpResult(request, std::move(ticket), outcomeUnknown);
    case ClaimDecision::NotRun:
    case ClaimDecision::Send:
        break;
    }
    co_return finishRefused(request, "store_unavailable", ticket.error, true);
}

} // namespace apricotarch
