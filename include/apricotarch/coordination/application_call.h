#pragma once

/**
 * @file
 * Calls of application services: idempotent ones are retried, the others are claimed first and sent once.
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

/// A call that has been authenticated.
struct ApplicationRequest
{
    RequestId id;
    CallerId caller;
    ServiceSpec service;
    OperationSpec operation;
    std::string query; ///< Passed on as it is.
    std::string body; ///< Passed on as it is.
    std::string contentType;
    std::string idempotencyKey; ///< Required where the operation is not idempotent.
    TimePoint deadline;
};

/// How a call ended.
struct ApplicationOutcome
{
    bool answered = false;
    CallResult result; ///< Where answered.
    bool replayed = false; ///< The result is that of an earlier request with the same key.
    std::string reason; ///< Where not answered: `in_progress`, `outcome_unknown`, `key_reused` or a refusal reason.
    Error error; ///< Where not answered.
    bool notRun = false; ///< Certain.
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

/// Calls replicas of application services. Tests put fakes in its place.
class ReplicaCaller
{
public:
    ReplicaCaller() = default;
    ReplicaCaller(const ReplicaCaller &) = delete;
    ReplicaCaller &operator=(const ReplicaCaller &) = delete;
    virtual ~ReplicaCaller() = default;

    /// Calls once, on a connection of its own. @return the answer, or an error whose delivery says whether it may have run
    [[nodiscard]] virtual asio::awaitable<Result<CallResult>> call(ReplicaSpec replica, ReplicaCall call, Duration timeout) = 0;
};

/// Runs calls of application services for one node.
class ApplicationCalls
{
public:
    /// What calls work with; all must outlive them.
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

    /// Runs a call to its end.
    [[nodiscard]] asio::awaitable<ApplicationOutcome> run(ApplicationRequest request);

private:
    [[nodiscard]] asio::awaitable<ApplicationOutcome> runIdempotent(ApplicationRequest request);
    [[nodiscard]] asio::awaitable<ApplicationOutcome> runOnce(ApplicationRequest request);
    [[nodiscard]] asio::awaitable<ApplicationOutcome> sendOnce(const ApplicationRequest &request, ClaimTicket ticket);
    [[nodiscard]] asio::awaitable<ApplicationOutcome> meetClaim(const ApplicationRequest &request, ClaimTicket ticket);
    [[nodiscard]] asio::awaitable<ApplicationOutcome> lookUp(const ApplicationRequest &request, ClaimTicket ticket, Error error);
    [[nodiscard]] asio::awaitable<std::optional<ReplicaSpec>> choose(const ApplicationRequest &request, std::set<ReplicaId> &excluded);
    [[nodiscard]] asio::awaitable<Result<CallResult>> callReplica(
        const ApplicationRequest &request, const ReplicaSpec &replica, ReplicaCall call);
    [[nodiscard]] ApplicationOutcome answered(const ApplicationRequest &request, CallResult result, bool replayed);
    [[nodiscard]] ApplicationOutcome refused(const ApplicationRequest &request, std::string reason, Error error, bool notRun);
    [[nodiscard]] Duration left(const ApplicationRequest &request) const noexcept;

    Dependencies m_use;
};

} // namespace apricotarch
