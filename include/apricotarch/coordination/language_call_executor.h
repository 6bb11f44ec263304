#pragma once

/**
 * @file
 * Execution of language requests, from admission to the last chunk of the answer: routing, retries, continuation at another
 * engine, and tracking of crashes.
 */

#include <functional>
#include <optional>
#include <string>

#include "apricotarch/coordination/crash_tracker.h"
#include "apricotarch/coordination/engine_streams.h"
#include "apricotarch/coordination/retry_budget.h"
#include "apricotarch/coordination/routing.h"
#include "apricotarch/state/decision_log.h"
#include "apricotarch/state/member_table.h"
#include "apricotarch/state/metrics.h"
#include "apricotarch/state/replica_table.h"

namespace apricotarch
{

/// An authenticated and decoded language request.
struct LanguageRequest
{
    RequestId id;
    ServiceSpec service;
    std::string prompt;
    Tokens maxOutput;
    int priority = 0;
    TimePoint deadline;
    std::string stream; ///< Id of the stream if a new one is opened.
    std::optional<StreamPosition> resumeFrom; ///< Set if the caller resumes a stream after a lost connection.
    ContentHash content; ///< Identifies requests with the same content.
};

/// Receiver of an answer's chunks, in order and without duplicates.
class ChunkSink
{
public:
    ChunkSink() = default;
    ChunkSink(const ChunkSink &) = delete;
    ChunkSink &operator=(const ChunkSink &) = delete;
    virtual ~ChunkSink() = default;

    /**
     * Passes a chunk to the caller.
     * @param chunk the chunk
     * @param next position from which the caller can resume after this chunk
     * @return an error if the caller has disconnected
     */
    [[nodiscard]] virtual asio::awaitable<Result<void>> writeChunk(const EngineChunk &chunk, const StreamPosition &next) = 0;
};

/// Outcome of a language request.
struct LanguageCallOutcome
{
    bool answered = false;
    std::string reason; ///< Refusal reason if not answered.
    Error error; ///< Step, peer and detail of the failure if not answered.
    bool notRun = false; ///< Whether the request has certainly not run: it was never dispatched, or every replica refused it.
    Duration predicted{0}; ///< Predicted total time, if the request was refused because of its deadline.
    std::string finishReason; ///< The engine's finish reason if answered.
    std::int64_t tokens = 0; ///< Number of tokens that the caller has received.
};

/// Timeouts and intervals of language requests.
struct LanguageCallTimeouts
{
    Duration connect = std::chrono::milliseconds(500); ///< Timeout of a connection attempt.
    Duration chunkTimeout = std::chrono::seconds(2); ///< A stream without a chunk for this long is treated as lost.
    Duration replicaPollInterval = std::chrono::milliseconds(25); ///< Interval between searches while no replica is eligible.
    Duration resumeWindow = std::chrono::seconds(5); ///< How long a stream is kept for a caller that has disconnected.
};

/// Executes the language requests of one node.
class LanguageCallExecutor
{
public:
    /// Dependencies of the calls; they must outlive the object.
    struct Dependencies
    {
        EngineStreamClient &engines;
        ReplicaTable &fleet;
        CrashTracker &crashes;
        RetryBudget &retries;
        RoutingPolicy &policy;
        MemberTable &members;
        Clock &clock;
        DecisionLog &decisions;
        Metrics &metrics;
        RandomIndex random;
        ZoneId zone;
    };

    LanguageCallExecutor(Dependencies dependencies, LanguageCallTimeouts timeouts);

    /// Executes a request to its end. The answer's chunks are passed to @p sink; none is passed after the outcome is returned.
    [[nodiscard]] asio::awaitable<LanguageCallOutcome> execute(LanguageRequest request, ChunkSink &sink);

private:
    struct Progress;
    enum class Step {
        Answered,
        Retry,
        Failed,
    };

    // ---- one attempt ----

    [[nodiscard]] asio::awaitable<Step> attempt(const LanguageRequest &request, Progress &progress, ChunkSink &sink);
    [[nodiscard]] asio::awaitable<Step> dispatch(const LanguageRequest &request, Progress &progress, ChunkSink &sink, RouteChoice choice);
    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<EngineStream>>> connect(
        const LanguageRequest &request, Progress &progress, const ReplicaSpec &replica, Duration timeout);
    [[nodiscard]] asio::awaitable<Step> relayChunks(const LanguageRequest &request,
        Progress &progress,
        ChunkSink &sink,
        const ReplicaSpec &replica,
        EngineStream &stream,
        Duration firstChunkTimeout);

    // ---- choice of the replica ----

    [[nodiscard]] asio::awaitable<std::optional<RouteChoice>> chooseReplica(const LanguageRequest &request, Progress &progress);
    [[nodiscard]] RouteRequest makeRouteRequest(const LanguageRequest &request, const Progress &progress) const;

    // ---- failures ----

    [[nodiscard]] asio::awaitable<Step> handleOpenFailure(
        const LanguageRequest &request, Progress &progress, const ReplicaSpec &replica, Error error);
    [[nodiscard]] asio::awaitable<Step> handleStreamLoss(
        const LanguageRequest &request, Progress &progress, const ReplicaSpec &replica, Error error);
    [[nodiscard]] asio::awaitable<bool> hasCrashed(ReplicaSpec replica, Incarnation incarnation);
    [[nodiscard]] Step retry(Progress &progress, const char *reason, Error error);
    [[nodiscard]] static Step refuse(Progress &progress, std::string reason, Error error);

    [[nodiscard]] Duration remainingTime(const LanguageRequest &request) const noexcept;
    void recordDecision(const LanguageRequest &request, std::string seen, std::string weighed, std::string chosen);
    /// Cancels a stream that is not resumed within the resume window. A member function, since a lambda would be destroyed before
    /// its coroutine ends.
    [[nodiscard]] asio::awaitable<void> cancelAfterWindow(ReplicaSpec replica, std::string stream);

    Dependencies m_dependencies;
    LanguageCallTimeouts m_timeouts;
};

} // namespace apricotarch
