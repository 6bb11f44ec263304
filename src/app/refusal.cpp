#include "apricotarch/app/refusal.h"

#include <algorithm>
#include <array>
#include <utility>

#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

/// HTTP status of a refusal reason.
struct ReasonStatus
{
    std::string_view reason;
    int status;
};

constexpr std::array ReasonStatuses = {
    ReasonStatus{"unauthenticated", 401},
    ReasonStatus{"service_not_allowed", 403},
    ReasonStatus{"unknown_service", 404},
    ReasonStatus{"unknown_operation", 404},
    ReasonStatus{"invalid_request", 400},
    ReasonStatus{"idempotency_key_missing", 400},
    ReasonStatus{"in_progress", 409},
    ReasonStatus{"foreign_stream", 409},
    ReasonStatus{"stream_lost", 410},
    ReasonStatus{"prompt_too_long", 413},
    ReasonStatus{"key_reused", 422},
    ReasonStatus{"request_convicted", 422},
    ReasonStatus{"node_full", 429},
    ReasonStatus{"caller_share_used", 429},
    ReasonStatus{"foreign_piece", 502},
    ReasonStatus{"attempts_used_up", 502},
    ReasonStatus{"outcome_unknown", 502},
    ReasonStatus{"deadline_passed", 504},
};

} // namespace

int refusalStatus(std::string_view reason) noexcept
{
    constexpr int Unavailable = 503;
    const auto *found = std::ranges::find(ReasonStatuses, reason, &ReasonStatus::reason);
    return found == ReasonStatuses.end() ? Unavailable : found->status;
}

Problem makeRefusal(std::string reason, std::string detail, std::string step)
{
    Problem problem;
    problem.status = refusalStatus(reason);
    problem.reason = std::move(reason);
    problem.detail = std::move(detail);
    problem.notRun = true;
    problem.step = std::move(step);
    return problem;
}

asio::awaitable<void> sendProblem(Node &node, HttpResponder &responder, Problem problem)
{
    node.metrics().increment(CounterFamily::Refusals, problem.reason);
    LogEvent("request.refused")
        .field("request", problem.request)
        .field("reason", problem.reason)
        .field("not_run", std::string_view(problem.notRun ? "true" : "false"))
        .field("step", problem.step)
        .field("peer", problem.peer);
    HttpResponse response{problem.status, {{"Content-Type", std::string(ProblemMediaType)}}, encodeProblem(problem)};
    if (problem.retryAfter) {
        response.headers.add("Retry-After", std::to_string(problem.retryAfter->count()));
    }
    (void)co_await responder.respond(std::move(response));
}

asio::awaitable<void> sendRefusal(Node &node, HttpResponder &responder, Problem problem, RequestId id)
{
    problem.request = id.value();
    co_await sendProblem(node, responder, std::move(problem));
}

} // namespace apricotarch
