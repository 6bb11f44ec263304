#pragma once

/**
 * @file
 * Execution of calls to application services. Idempotent calls are retried; all others are claimed by their idempotency key
 * before they are sent, and run at most once.
 */

#include <string>

#include "apricotarch/coordination/claim_manager.h"
#include "apricotarch/coordination/language_call_executor.h"
#include "apricotarch/coordination/retry_budget.h"
#include "apricotarch/coordination/routing.h"
#include "apricotarch/state/decision_log.h"
#include "apricotarch/state/metrics.h"
#include "apricotarch/state/replica_table.h"

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
struct ApplicationCallOutcome
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
class ApplicationClient
{
public:
    ApplicationClient() = default;
    ApplicationClient(const ApplicationClient &) = delete;
    ApplicationClient &operator=(const ApplicationClient &) = delete;
    virtual ~ApplicationClient() = default;

    /// Sends a call once, on a separate connection. @return the answer, or an error whose delivery states whether the call may have run
    [[nodiscard]] virtual asio::awaitable<Result<CallResult>> call(ReplicaSpec replica, ReplicaCall call, Duration timeout) = 0;
};

/// Executes the calls to application services for one node.
class ApplicationCallExecutor
{
public:
    /// Dependencies of the calls; they must outlive the object.
    struct Dependencies
    {
        ApplicationClient &replicas;
        ClaimManager &claims;
        ReplicaTable &fleet;
        RetryBudget &retries;
        RoutingPolicy &policy;
        Clock &clock;
        DecisionLog &decisions;
        Metrics &metrics;
        RandomIndex random;
        ZoneId zone;
    };

    explicit ApplicationCallExecutor(Dependencies dependencies);

    /// Executes a call to its end.
    [[nodiscard]] asio::awaitable<ApplicationCallOutcome> execute(ApplicationRequest request);

private:
    [[nodiscard]] asio::awaitable<ApplicationCallOutcome> executeIdempotent(ApplicationRequest request);
    [[nodiscard]] asio::awaitable<ApplicationCallOutcome> executeClaimed(ApplicationRequest request);
    [[nodiscard]] asio::awaitable<ApplicationCallOutcome> sendOnce(const ApplicationRequest &request, ClaimTicket ticket);
    [[nodiscard]] asio::awaitable<ApplicationCallOutcome> handleExistingClaim(const ApplicationRequest &request, ClaimTicket ticket);
    [[nodiscard]] asio::awaitable<ApplicationCallOutcome> lookUpResult(const ApplicationRequest &request, ClaimTicket ticket, Error error);
    [[nodiscard]] asio::awaitable<std::optional<ReplicaSpec>> chooseReplica(
        const ApplicationRequest &request, std::set<ReplicaId> &excluded);
    [[nodiscard]] asio::awaitable<Result<CallResult>> callReplica(
        const ApplicationRequest &request, const ReplicaSpec &replica, ReplicaCall call);
    [[nodiscard]] ApplicationCallOutcome finishAnswered(const ApplicationRequest &request, CallResult result, bool replayed);
    [[nodiscard]] ApplicationCallOutcome finishRefused(const ApplicationRequest &request, std::string reason, Error error, bool notRun);
    [[nodiscard]] Duration remainingTime(const ApplicationRequest &request) const noexcept;

    Dependencies m_dependencies;
};

} // namespace apricotarch
