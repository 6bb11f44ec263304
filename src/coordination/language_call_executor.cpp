#include "apricotarch/coordination/language_call_executor.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "apricotarch/coordination/admission.h"

namespace apricotarch
{

namespace
{

constexpr int MaxAttempts = 8;
constexpr int FirstChunkTimeoutFactor = 3; ///< Multiple of the predicted time of the first token.

std::string formatMilliseconds(Duration duration)
{
    return std::to_string(toMilliseconds(duration)) + "ms";
}

} // namespace

struct LanguageCallExecutor::Progress
{
    std::string text; ///< Text of the answer received so far.
    std::int64_t receivedTokens = 0; ///< Number of tokens that the caller has received.
    bool textFromStart = true; ///< Whether the text begins with the answer's first token.
    std::string stream; ///< Id of the current engine's stream.
    Incarnation engineIncarnation; ///< Incarnation of the current engine's process.
    std::optional<StreamPosition> resume; ///< Stream to resume before other engines are tried.
    std::set<ReplicaId> excluded; ///< Replicas that failed or refused the request; cleared if no other one is eligible.
    int attempts = 0;
    bool mayHaveRun = false; ///< Whether an engine may have run the request.
    LanguageCallOutcome outcome;
};

LanguageCallExecutor::LanguageCallExecutor(Dependencies dependencies, LanguageCallTimeouts timeouts)
    : m_dependencies(std::move(dependencies))
    , m_timeouts(timeouts)
{
}

Duration LanguageCallExecutor::remainingTime(const LanguageRequest &request) const noexcept
{
    return request.deadline - m_dependencies.clock.now();
}

void LanguageCallExecutor::recordDecision(const LanguageRequest &request, std::string seen, std::string weighed, std::string chosen)
{
    m_dependencies.decisions.add({.kind = DecisionKind::Request,
        .subject = request.id.value(),
        .seen = std::move(seen),
        .weighed = std::move(weighed),
        .chosen = std::move(chosen)});
}

asio::awaitable<LanguageCallOutcome> LanguageCallExecutor::execute(LanguageRequest request, ChunkSink &sink)
{
    Progress progress;
    progress.stream = request.stream;
    if (request.resumeFrom) {
        progress.resume = request.resumeFrom;
        progress.receivedTokens = request.resumeFrom->offset;
        progress.textFromStart = progress.receivedTokens == 0;
        progress.mayHaveRun = true;
    }
    m_dependencies.retries.recordAdmission();
    Step step = Step::Retry;
    while (step == Step::Retry) {
        ++progress.attempts;
        step = co_await attempt(request, progress, sink);
    }
    progress.outcome.answered = step == Step::Answered;
    progress.outcome.tokens = progress.receivedTokens;
    if (!progress.outcome.answered) {
        recordDecision(request,
            formatError(progress.outcome.error),
            "attempts=" + std::to_string(progress.attempts),
            "refused " + progress.outcome.reason);
    }
    co_return progress.outcome;
}

asio::awaitable<LanguageCallExecutor::Step> LanguageCallExecutor::attempt(
    const LanguageRequest &request, Progress &progress, ChunkSink &sink)
{
    if (m_dependencies.crashes.isQuarantined(request.content, m_dependencies.clock.now())) {
        const char *detail = "this content has crashed two backend servers; it is refused until its quarantine expires or is released";
        co_return refuse(progress, "request_convicted", {ErrorId::Refused, "request.convicted", "", detail, Delivery::NotSent});
    }
    const std::optional<RouteChoice> choice = co_await chooseReplica(request, progress);
    if (!choice) {
        const char *detail = "no replica could accept the request before its deadline";
        const char *reason = progress.resume ? "stream_lost" : "no_replica";
        co_return refuse(progress, reason, {ErrorId::NotFound, "request.choose", request.service.id.value(), detail, Delivery::NotSent});
    }
    const bool firstAttempt = progress.attempts == 1 && !progress.resume;
    if (firstAttempt && !canMeetDeadline(choice->prediction.total, remainingTime(request))) {
        progress.outcome.predicted = choice->prediction.total;
        const std::string detail = "the predicted time of the answer is " + formatMilliseconds(choice->prediction.total)
            + ", longer than the time until the deadline";
        co_return refuse(
            progress, "deadline_unreachable", {ErrorId::Refused, "request.admit", choice->replica.id.value(), detail, Delivery::NotSent});
    }
    recordDecision(request,
        "attempt=" + std::to_string(progress.attempts) + " tokens=" + std::to_string(progress.receivedTokens),
        "first_token=" + formatMilliseconds(choice->prediction.firstToken) + " total=" + formatMilliseconds(choice->prediction.total),
        "replica " + choice->replica.id.value());
    co_return co_await dispatch(request, progress, sink, *choice);
}

asio::awaitable<LanguageCallExecutor::Step> LanguageCallExecutor::dispatch(
    const LanguageRequest &request, Progress &progress, ChunkSink &sink, RouteChoice choice)
{
    const ReplicaSpec replica = choice.replica;
    const Tokens prompt = estimateTokens(request.prompt);
    const Duration firstChunkTimeout =
        std::min(remainingTime(request), choice.prediction.firstToken * FirstChunkTimeoutFactor + m_timeouts.chunkTimeout);
    m_dependencies.fleet.addDispatch(replica.id, prompt, request.maxOutput, m_dependencies.clock.now());
    m_dependencies.crashes.recordStart(replica.id, request.content);
    Step step = Step::Failed;
    {
        const auto stream = co_await connect(request, progress, replica, firstChunkTimeout);
        if (stream) {
            progress.mayHaveRun = true;
            step = co_await relayChunks(request, progress, sink, replica, **stream, firstChunkTimeout);
        } else {
            step = co_await handleOpenFailure(request, progress, replica, stream.error());
        }
    }
    m_dependencies.fleet.removeDispatch(replica.id, prompt, request.maxOutput, step == Step::Answered);
    m_dependencies.crashes.recordEnd(replica.id, request.content, step == Step::Answered, m_dependencies.clock.now());
    if (step != Step::Answered && progress.mayHaveRun) {
        asio::co_spawn(co_await asio::this_coro::executor, cancelAfterWindow(replica, progress.stream), asio::detached);
    }
    co_return step;
}

RouteRequest LanguageCallExecutor::makeRouteRequest(const LanguageRequest &request, const Progress &progress) const
{
    const TimePoint now = m_dependencies.clock.now();
    RouteRequest routeRequest;
    routeRequest.prompt = estimateTokens(request.prompt);
    routeRequest.output = std::max(Tokens(0), request.maxOutput - Tokens(progress.receivedTokens));
    routeRequest.zone = m_dependencies.zone;
    routeRequest.model = request.service.model;
    routeRequest.excluded = progress.excluded;
    for (const MemberView &member : m_dependencies.members.view(now)) {
        routeRequest.dispatchingNodes += member.status == MemberStatus::Alive ? 1 : 0;
        routeRequest.excluded.insert(member.last.drainingReplicas.begin(), member.last.drainingReplicas.end());
    }
    if (m_dependencies.crashes.isSuspect(request.content, now)) {
        routeRequest.excluded.merge(m_dependencies.crashes.replicasWithSuspects(now));
    }
    return routeRequest;
}

asio::awaitable<std::optional<RouteChoice>> LanguageCallExecutor::chooseReplica(const LanguageRequest &request, Progress &progress)
{
    if (progress.resume) {
        const std::optional<ReplicaView> view = m_dependencies.fleet.replica(progress.resume->replica);
        co_return view ? std::optional(RouteChoice{view->spec, Prediction()}) : std::nullopt;
    }
    while (remainingTime(request) > Duration::zero()) {
        const RouteRequest routeRequest = makeRouteRequest(request, progress);
        auto choice = route(m_dependencies.policy,
            m_dependencies.fleet.replicas(request.service.id),
            routeRequest,
            m_dependencies.clock.now(),
            m_dependencies.random);
        if (choice) {
            co_return choice;
        }
        progress.excluded.clear();
        co_await m_dependencies.clock.sleep(m_timeouts.replicaPollInterval);
    }
    co_return std::nullopt;
}

asio::awaitable<Result<std::unique_ptr<EngineStream>>> LanguageCallExecutor::connect(
    const LanguageRequest &request, Progress &progress, const ReplicaSpec &replica, Duration timeout)
{
    if (progress.resume) {
        progress.stream = progress.resume->stream;
        co_return co_await m_dependencies.engines.resume(replica, progress.stream, progress.receivedTokens, timeout);
    }
    EngineRequest engineRequest;
    engineRequest.stream = progress.attempts == 1 ? request.stream : std::to_string(progress.attempts) + '-' + request.stream;
    engineRequest.prompt = request.prompt;
    engineRequest.prefix = progress.text;
    engineRequest.startOffset = progress.receivedTokens;
    engineRequest.maxOutput = request.maxOutput;
    engineRequest.priority = request.priority;
    progress.stream = engineRequest.stream;
    co_return co_await m_dependencies.engines.open(replica, std::move(engineRequest), timeout);
}

asio::awaitable<LanguageCallExecutor::Step> LanguageCallExecutor::relayChunks(const LanguageRequest &request,
    Progress &progress,
    ChunkSink &sink,
    const ReplicaSpec &replica,
    EngineStream &stream,
    Duration firstChunkTimeout)
{
    const std::optional<StreamPosition> resumedFrom = std::exchange(progress.resume, std::nullopt);
    progress.engineIncarnation = stream.incarnation();
    if (resumedFrom && resumedFrom->incarnation != progress.engineIncarnation) {
        co_return refuse(progress,
            "stream_lost",
            {ErrorId::NotFound,
                "request.resume",
                replica.id.value(),
                "the engine has restarted since the stream was opened",
                Delivery::NotSent});
    }
    StreamPosition position{replica.id, progress.engineIncarnation, progress.stream, progress.receivedTokens};
    Duration timeout = firstChunkTimeout;
    while (remainingTime(request) > Duration::zero()) {
        const Result<EngineChunk> chunk = co_await stream.next(std::min(timeout, remainingTime(request)));
        if (!chunk) {
            co_return co_await handleStreamLoss(request, progress, replica, chunk.error());
        }
        timeout = m_timeouts.chunkTimeout;
        const ChunkCheck check = checkChunk(*chunk, progress.stream, progress.receivedTokens);
        const bool exceedsMaxOutput = chunk->offset + chunk->tokens > request.maxOutput.value();
        if (check == ChunkCheck::Mismatch || exceedsMaxOutput) {
            co_return refuse(progress,
                "foreign_piece",
                {ErrorId::MisdirectedMessage,
                    "request.pump",
                    replica.id.value(),
                    "dropped a chunk that does not continue this answer",
                    Delivery::MaybeSent});
        }
        if (check == ChunkCheck::Duplicate) {
            continue;
        }
        progress.text += chunk->text;
        progress.receivedTokens += chunk->tokens;
        position.offset = progress.receivedTokens;
        const Result<void> written = co_await sink.writeChunk(*chunk, position);
        if (!written) {
            co_return refuse(progress, "caller_gone", written.error());
        }
        if (!chunk->finishReason.empty()) {
            progress.outcome.finishReason = chunk->finishReason;
            co_return Step::Answered;
        }
    }
    co_return refuse(progress,
        "deadline_passed",
        {ErrorId::TimedOut, "request.pump", replica.id.value(), "the deadline passed before the answer was complete", Delivery::MaybeSent});
}

asio::awaitable<LanguageCallExecutor::Step> LanguageCallExecutor::handleOpenFailure(
    const LanguageRequest &request, Progress &progress, const ReplicaSpec &replica, Error error)
{
    if (error.id == ErrorId::Refused) {
        progress.excluded.insert(replica.id);
        co_return retry(progress, "replica_refused", std::move(error));
    }
    if (progress.resume) {
        co_return refuse(progress, "stream_lost", std::move(error));
    }
    if (error.delivery == Delivery::NotSent) {
        m_dependencies.fleet.handleFailure(replica.id, m_dependencies.clock.now());
        progress.excluded.insert(replica.id);
        co_return retry(progress, "connect_failed", std::move(error));
    }
    progress.mayHaveRun = true;
    const std::optional<ReplicaView> view = m_dependencies.fleet.replica(replica.id);
    progress.engineIncarnation = view && view->report ? view->report->incarnation : Incarnation();
    co_return co_await handleStreamLoss(request, progress, replica, std::move(error));
}

asio::awaitable<bool> LanguageCallExecutor::hasCrashed(ReplicaSpec replica, Incarnation incarnation)
{
    const Result<LoadReport> report = co_await m_dependencies.engines.load(std::move(replica));
    co_return report ? report->incarnation != incarnation : report.error().delivery == Delivery::NotSent;
}

asio::awaitable<LanguageCallExecutor::Step> LanguageCallExecutor::handleStreamLoss(
    const LanguageRequest &request, Progress &progress, const ReplicaSpec &replica, Error error)
{
    const bool crashed = co_await hasCrashed(replica, progress.engineIncarnation);
    const TimePoint now = m_dependencies.clock.now();
    if (crashed) {
        m_dependencies.crashes.recordCrash(replica.id, request.content, now);
        recordDecision(request,
            "engine " + replica.id.value() + " crashed",
            "content=" + std::to_string(request.content.value()),
            m_dependencies.crashes.isQuarantined(request.content, now) ? "content quarantined" : "content suspected");
    }
    m_dependencies.fleet.handleFailure(replica.id, now);
    progress.excluded.insert(replica.id);
    const bool canContinue = progress.receivedTokens == 0 || (request.service.continueElsewhere && progress.textFromStart);
    if (!canContinue) {
        co_return refuse(progress, "stream_lost", std::move(error));
    }
    co_return retry(progress, crashed ? "engine_crashed" : "stream_broken", std::move(error));
}

LanguageCallExecutor::Step LanguageCallExecutor::retry(Progress &progress, const char *reason, Error error)
{
    if (progress.attempts >= MaxAttempts) {
        return refuse(progress, "attempts_used_up", std::move(error));
    }
    if (!m_dependencies.retries.tryTakeRetry()) {
        return refuse(progress, "retry_budget_used_up", std::move(error));
    }
    m_dependencies.metrics.increment(CounterFamily::Retries, reason);
    return Step::Retry;
}

LanguageCallExecutor::Step LanguageCallExecutor::refuse(Progress &progress, std::string reason, Error error)
{
    progress.outcome.reason = std::move(reason);
    progress.outcome.error = std::move(error);
    progress.outcome.notRun = !progress.mayHaveRun;
    return Step::Failed;
}

asio::awaitable<void> LanguageCallExecutor::cancelAfterWindow(ReplicaSpec replica, std::string stream)
{
    co_await m_dependencies.clock.sleep(m_timeouts.resumeWindow);
    co_await m_dependencies.engines.cancel(std::move(replica), std::move(stream), true);
}

} // namespace apricotarch
