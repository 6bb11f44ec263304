#pragma once

/**
 * @file
 * One language request from admission to its last piece: routing, retries, continuation and suspicion.
 */

#include <functional>
#include <optional>
#include <string>

#include "apricotarch/coordination/crash_ledger.h"
#include "apricotarch/coordination/engine_streams.h"
#include "apricotarch/coordination/retry_budget.h"
#include "apricotarch/coordination/routing.h"
#include "apricotarch/state/decision_log.h"
#include "apricotarch/state/fleet.h"
#include "apricotarch/state/members.h"
#include "apricotarch/state/metrics.h"

namespace apricotarch
{

/// A request that has been authenticated and decoded.
struct LanguageRequest
{
    RequestId id;
    ServiceSpec service;
    std::string prompt;
    Tokens maxOutput;
    int priority = 0;
    TimePoint deadline;
    std::string stream; ///< Id for a new stream.
    std::optional<StreamPosition> resumeFrom; ///< Set where the caller goes on after a loss.
    ContentHash content;
};

/// Takes the pieces of an answer, in order, each once.
class PieceSink
{
public:
    PieceSink() = default;
    PieceSink(const PieceSink &) = delete;
    PieceSink &operator=(const PieceSink &) = delete;
    virtual ~PieceSink() = default;

    /// Takes a piece. @param next where the caller goes on after it. @return an error where the caller has gone
    [[nodiscard]] virtual asio::awaitable<Result<void>> take(const EnginePiece &piece, const StreamPosition &next) = 0;
};

/// How a call ended.
struct CallOutcome
{
    bool answered = false;
    std::string reason; ///< Where not answered: the refusal reason.
    Error error; ///< Where not answered: step, peer and detail.
    bool notRun = false; ///< Certain only where nothing was ever dispatched, or every replica said so.
    Duration predicted{0}; ///< Where refused as too late: time predicted.
    std::string finishReason;
    std::int64_t tokens = 0;
};

/// Settings of language calls.
struct LanguageCallTimes
{
    Duration connect = std::chrono::milliseconds(500);
    Duration betweenPieces = std::chrono::seconds(2); ///< A stream silent for longer counts as lost.
    Duration waitForReplica = std::chrono::milliseconds(25); ///< Pause while none is eligible.
    Duration resumeWindow = std::chrono::seconds(5); ///< How long an answer is kept for a caller that has gone.
};

/// Runs language requests of one node.
class LanguageCalls
{
public:
    /// What calls work with; all must outlive them.
    struct Dependencies
    {
        EngineStreams &engines;
        Fleet &fleet;
        CrashLedger &crashes;
        RetryBudget &retries;
        RoutingPolicy &policy;
        Members &members;
        Clock &clock;
        DecisionLog &decisions;
        Metrics &metrics;
        RandomIndex random;
        ZoneId zone;
    };

    LanguageCalls(Dependencies dependencies, LanguageCallTimes times);

    /// Runs a request to its end. Pieces go to @p sink; after an outcome that is not answered, no more will.
    [[nodiscard]] asio::awaitable<CallOutcome> run(LanguageRequest request, PieceSink &sink);

private:
    struct Progress;
    enum class Step {
        Answered,
        Retry,
        Failed,
    };

    // ---- one attempt ----

    [[nodiscard]] asio::awaitable<Step> attempt(const LanguageRequest &request, Progress &progress, PieceSink &sink);
    [[nodiscard]] asio::awaitable<Step> dispatch(const LanguageRequest &request, Progress &progress, PieceSink &sink, RouteChoice choice);
    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<EngineStream>>> connect(
        const LanguageRequest &request, Progress &progress, const ReplicaSpec &replica, Duration timeout);
    [[nodiscard]] asio::awaitable<Step> pump(const LanguageRequest &request,
        Progress &progress,
        PieceSink &sink,
        const ReplicaSpec &replica,
        EngineStream &stream,
        Duration firstWait);

    // ---- choosing ----

    [[nodiscard]] asio::awaitable<std::optional<RouteChoice>> choose(const LanguageRequest &request, Progress &progress);
    [[nodiscard]] RouteRequest routeRequest(const LanguageRequest &request, const Progress &progress) const;

    // ---- failures ----

    [[nodiscard]] asio::awaitable<Step> notOpened(
        const LanguageRequest &request, Progress &progress, const ReplicaSpec &replica, Error error);
    [[nodiscard]] asio::awaitable<Step> afterLoss(
        const LanguageRequest &request, Progress &progress, const ReplicaSpec &replica, Error error);
    [[nodiscard]] asio::awaitable<bool> hasCrashed(ReplicaSpec replica, Incarnation incarnation);
    [[nodiscard]] Step retry(Progress &progress, const char *reason, Error error);
    [[nodiscard]] static Step refuse(Progress &progress, std::string reason, Error error);

    [[nodiscard]] Duration left(const LanguageRequest &request) const noexcept;
    void explain(const LanguageRequest &request, std::string seen, std::string weighed, std::string chosen);
    /// Frees an answer that nobody has gone on with; a member, since a lambda would end before its coroutine.
    [[nodiscard]] asio::awaitable<void> cancelAfterWindow(ReplicaSpec replica, std::string stream);

    Dependencies m_use;
    LanguageCallTimes m_times;
};

} // namespace apricotarch
