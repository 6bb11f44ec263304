#include "apricotarch/coordination/application_call.h"

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
constexpr std::chrono::milliseconds WaitForReplica{25};
constexpr std::chrono::milliseconds LookUpTime{1000};

ReplicaCall callOf(const ApplicationRequest &request)
{
    return {request.operation.method, request.operation.path, request.query, request.body, request.contentType, request.idempotencyKey};
}

/// The call together with everything that makes it another call.
ContentHash contentOf(const ApplicationRequest &request)
{
    return contentHash(request.operation.name + '\n' + request.query + '\n' + request.body);
}

Error notChosen(const ApplicationRequest &request)
{
    return {ErrorId::NotFound,
        "request.choose",
        request.service.id.value(),
        "no replica could be reached before the deadline",
        Delivery::NotSent};
}

} // namespace

ApplicationCalls::ApplicationCalls(Dependencies dependencies)
    : m_use(std::move(dependencies))
{
}

Duration ApplicationCalls::left(const ApplicationRequest &request) const noexcept
{
    return request.deadline - m_use.clock.now();
}

ApplicationOutcome ApplicationCalls::answered(const ApplicationRequest &request, CallResult result, bool replayed)
{
    m_use.decisions.add({.kind = DecisionKind::Request,
        .subject = request.id.value(),
        .seen = "status=" + std::to_string(result.status),
        .weighed = "operation=" + request.operation.name,
        .chosen = replayed ? "replayed" : "answered"});
    ApplicationOutcome outcome;
    outcome.answered = true;
    outcome.result = std::move(result);
    outcome.replayed = replayed;
    return outcome;
}

ApplicationOutcome ApplicationCalls::refused(const ApplicationRequest &request, std::string reason, Error error, bool notRun)
{
    m_use.decisions.add({.kind = DecisionKind::Request,
        .subject = request.id.value(),
        .seen = describe(error),
        .weighed = "operation=" + request.operation.name + " not_run=" + (notRun ? "true" : "false"),
        .chosen = "refused " + reason});
    ApplicationOutcome outcome;
    outcome.reason = std::move(reason);
    outcome.error = std::move(error);
    outcome.notRun = notRun;
    return outcome;
}

asio::awaitable<ApplicationOutcome> ApplicationCalls::run(ApplicationRequest request)
{
    m_use.retries.admitted();
    if (request.operation.idempotent) {
        co_return co_await runIdempotent(std::move(request));
    }
    co_return co_await runOnce(std::move(request));
}

asio::awaitable<std::optional<ReplicaSpec>> ApplicationCalls::choose(const ApplicationRequest &request, std::set<ReplicaId> &excluded)
{
    while (left(request) > Duration::zero()) {
        RouteRequest wanted;
        wanted.zone = m_use.zone;
        wanted.excluded = excluded;
        const auto choice = route(m_use.policy, m_use.fleet.replicas(request.service.id), wanted, m_use.clock.now(), m_use.random);
        if (choice) {
            co_return choice->replica;
        }
        excluded.clear();
        co_await m_use.clock.sleep(WaitForReplica);
    }
    co_return std::nullopt;
}

asio::awaitable<Result<CallResult>> ApplicationCalls::callReplica(
    const ApplicationRequest &request, const ReplicaSpec &replica, ReplicaCall call)
{
    m_use.fleet.dispatched(replica.id, Tokens(), Tokens(), m_use.clock.now());
    Result<CallResult> result = co_await m_use.replicas.call(replica, std::move(call), left(request));
    m_use.fleet.ended(replica.id, Tokens(), Tokens(), result.has_value());
    if (!result) {
        m_use.fleet.fail(replica.id, m_use.clock.now());
    }
    co_return result;
}

asio::awaitable<ApplicationOutcome> ApplicationCalls::runIdempotent(ApplicationRequest request)
{
    std::set<ReplicaId> excluded;
    bool mayHaveRun = false;
    Error last = notChosen(request);
    for (int attempt = 1; attempt <= MaxAttempts; ++attempt) {
        const std::optional<ReplicaSpec> replica = co_await choose(request, excluded);
        if (!replica) {
            co_return refused(request, "no_replica", last, !mayHaveRun);
        }
        Result<CallResult> result = co_await callReplica(request, *replica, callOf(request));
        if (result && result->status < FirstServerError) {
            co_return answered(request, std::move(*result), false);
        }
        const bool sent = result || result.error().delivery == Delivery::MaybeSent;
        mayHaveRun = mayHaveRun || sent;
        last = result ? Error{ErrorId::UnexpectedStatus,
                   "request.call",
                   replica->id.value(),
                   "status " + std::to_string(result->status),
                   Delivery::MaybeSent}
                      : result.error();
        excluded.insert(replica->id);
        if (!m_use.retries.takeRetry()) {
            co_return refused(request, "retry_budget_used_up", last, !mayHaveRun);
        }
        m_use.metrics.increment(CounterFamily::Retries, result ? "server_error" : sent ? "call_broken" : "connect_failed");
    }
    co_return refused(request, "attempts_used_up", last, !mayHaveRun);
}

asio::awaitable<ApplicationOutcome> ApplicationCalls::runOnce(ApplicationRequest request)
{
    const ClaimKey key{request.service.id, request.caller, request.idempotencyKey};
    ClaimTicket ticket = co_await m_use.claims.begin(key, contentOf(request));
    if (ticket.decision == ClaimDecision::Send) {
        co_return co_await sendOnce(request, std::move(ticket));
    }
    co_return co_await meetClaim(request, std::move(ticket));
}

asio::awaitable<ApplicationOutcome> ApplicationCalls::sendOnce(const ApplicationRequest &request, ClaimTicket ticket)
{
    std::set<ReplicaId> excluded;
    Error last = notChosen(request);
    for (int attempt = 1; attempt <= MaxAttempts; ++attempt) {
        const std::optional<ReplicaSpec> replica = co_await choose(request, excluded);
        if (!replica) {
            break;
        }
        Result<CallResult> result = co_await callReplica(request, *replica, callOf(request));
        if (result && result->status < FirstServerError) {
            co_await m_use.claims.finish(std::move(ticket), replica->id, *result);
            co_return answered(request, std::move(*result), false);
        }
        const bool certainlyNotSent = !result && result.error().delivery == Delivery::NotSent;
        last = result ? Error{ErrorId::UnexpectedStatus,
                   "request.call",
                   replica->id.value(),
                   "status " + std::to_string(result->status),
                   Delivery::MaybeSent}
                      : result.error();
        if (!certainlyNotSent) {
            co_return co_await lookUp(request, std::move(ticket), last);
        }
        excluded.insert(replica->id);
        m_use.metrics.increment(CounterFamily::Retries, "connect_failed");
    }
    co_await m_use.claims.abandon(std::move(ticket));
    co_return refused(request, "no_replica", last, true);
}

asio::awaitable<ApplicationOutcome> ApplicationCalls::lookUp(const ApplicationRequest &request, ClaimTicket ticket, Error error)
{
    std::set<ReplicaId> excluded;
    ReplicaCall call{"GET", request.operation.lookupPath, "", "", "", request.idempotencyKey};
    for (int attempt = 1; attempt <= MaxAttempts && !call.path.empty(); ++attempt) {
        ApplicationRequest asked = request;
        asked.deadline = m_use.clock.now() + LookUpTime;
        const std::optional<ReplicaSpec> replica = co_await choose(asked, excluded);
        if (!replica) {
            break;
        }
        Result<CallResult> found = co_await callReplica(asked, *replica, call);
        m_use.metrics.increment(CounterFamily::Retries, "look_up");
        if (found && found->status < FirstServerError && found->status != NotFoundStatus) {
            co_await m_use.claims.finish(std::move(ticket), replica->id, *found);
            co_return answered(request, std::move(*found), false);
        }
        if (found && found->status == NotFoundStatus) {
            break;
        }
        excluded.insert(replica->id);
    }
    co_await m_use.claims.leaveUnknown(std::move(ticket));
    co_return refused(request, "outcome_unknown", std::move(error), false);
}

asio::awaitable<ApplicationOutcome> ApplicationCalls::meetClaim(const ApplicationRequest &request, ClaimTicket ticket)
{
    const std::string peer = ticket.row.owner.value();
    const Error unknown{
        ErrorId::OutcomeUnknown, "claim.begin", peer, "the call may have run; it will not be sent again", Delivery::MaybeSent};
    switch (ticket.decision) {
    case ClaimDecision::Replay:
        co_return answered(request, ticket.row.result, true);
    case ClaimDecision::InProgress:
        co_return refused(request,
            "in_progress",
            {ErrorId::Refused, "claim.begin", peer, "a request with this key is being run; ask again with the same key", Delivery::NotSent},
            false);
    case ClaimDecision::KeyReused:
        co_return refused(request,
            "key_reused",
            {ErrorId::Refused,
                "claim.begin",
                peer,
                "this key was used for another call; use a new key for a new booking",
                Delivery::NotSent},
            true);
    case ClaimDecision::OutcomeUnknown:
        co_return co_await lookUp(request, std::move(ticket), unknown);
    case ClaimDecision::NotRun:
    case ClaimDecision::Send:
        break;
    }
    co_return refused(request, "store_unavailable", ticket.error, true);
}

} // namespace apricotarch
