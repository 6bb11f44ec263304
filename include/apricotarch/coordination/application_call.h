#pragma once

/**
 * @file
 * Execution of calls to application services. Idempotent calls are retried; all others are claimed by their idempotency key
 * before they are sent, and run at most once.
 */

#include <string>

#include "apricotarch/coordination/claims.h"
#include "apricotarch/coordination/language_call.h"
#include "apricotarch/coordination/retry_budget.h"
#include "apricotarch/coordination/routing.h"
#include "apricotarch/state/decision_log.h"
#include "apricotarch/state/fleet.h"
#include "apricotarch/state/metrics.h"

namespace apricotarch
{

/// An authenticated call.
struct ApplicationRequest
{
    RequestId id;
    CallerId caller;
    ServiceSpec service;
    OperationSpec operation;
    std::string query; ///< Forwarded unchanged.
    std::string body; ///< Forwarded unchanged.
    std::string contentType;
    std::string idempotencyKey; ///< Required if the operation is not idempotent.
    TimePoint deadline;
};

/// Outcome of a call.
struct ApplicationOutcome
{
    bool answered = false;
    CallResult result; ///< The replica's answer if answered.
    bool replayed = false; ///< Whether the result is that of an earlier request with the same idempotency key.
    std::string reason; ///< If not answered: `in_progress`, `outcome_unknown`, `key_reused` or a refusal reason.
    Error error; ///< The failure if not answered.
    bool notRun = false; ///< Whether the call has certainly not run.
};

/// One HTTP call to a replica.
struct ReplicaCall
{
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    std::string contentType;
    std::string idempotencyKey; ///< Empty for none.
};

/// Interface for calls to replicas of application services. Tests substitute fake replicas.
class ReplicaCaller
{
public:
    ReplicaCaller() = default;
    ReplicaCaller(const ReplicaCaller &) = delete;
    ReplicaCaller &operator=(const ReplicaCaller &) = delete;
    virtual ~ReplicaCaller() = default;

    /// Sends a call once, on a separate connection. @return the answer, or an error whose delivery states whether the call may have run
    [[nodiscard]] virtual asio::awaitable<Result<CallResult>> call(ReplicaSpec replica, ReplicaCall call, Duration timeout) = 0;
};

/// Executes the calls to application services for one node.
class ApplicationCalls
{
public:
    /// Dependencies of the calls; they must outlive the object.
    struct Dependencies
    {
        ReplicaCaller &replicas;
        ClaimKeeper &claims;
        Fleet &fleet;
        RetryBudget &retries;
        RoutingPolicy &policy;
        Clock &clock;
        DecisionLog &decisions;
        Metrics &metrics;
        RandomIndex random;
        ZoneId zone;
    };

    explicit ApplicationCalls(Dependencies dependencies);

    /// Executes a call to its end.
    [[nodiscard]] asio::awaitable<ApplicationOutcome> run(ApplicationRequest request);

private:
    [[nodiscard]] asio::awaitable<ApplicationOutcome> runIdempotent(ApplicationRequest request);
    [[nodiscard]] asio::awaitable<ApplicationOutcome> runClaimed(ApplicationRequest request);
    [[nodiscard]] asio::awaitable<ApplicationOutcome> sendOnce(const ApplicationRequest &request, ClaimTicket ticket);
    [[nodiscard]] asio::awaitable<ApplicationOutcome> handleExistingClaim(const ApplicationRequest &request, ClaimTicket ticket);
    [[nodiscard]] asio::awaitable<ApplicationOutcome> lookUpResult(const ApplicationRequest &request, ClaimTicket ticket, Error error);
    [[nodiscard]] asio::awaitable<std::optional<ReplicaSpec>> chooseReplica(
        const ApplicationRequest &request, std::set<ReplicaId> &excluded);
    [[nodiscard]] asio::awaitable<Result<CallResult>> callReplica(
        const ApplicationRequest &request, const ReplicaSpec &replica, ReplicaCall call);
    [[nodiscard]] ApplicationOutcome finishAnswered(const ApplicationRequest &request, CallResult result, bool replayed);
    [[nodiscard]] ApplicationOutcome finishRefused(const ApplicationRequest &request, std::string reason, Error error, bool notRun);
    [[nodiscard]] Duration remainingTime(const ApplicationRequest &request) const noexcept;

    Dependencies m_dependencies;
};

} // namespace apricotarch
