#include "apricotarch/coordination/language_call.h"

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
constexpr int FirstWaitFactor = 3;

std::string milliseconds(Duration duration)
{
    return std::to_string(toMilliseconds(duration)) + "ms";
}

} // namespace

struct LanguageCalls::Progress
{
    std::string text; ///< Answer so far.
    std::int64_t received = 0; ///< Tokens that the caller has.
    bool wholeText = true; ///< Whether the text begins with the answer's first token.
    std::string stream; ///< Id of the present engine's stream.
    Incarnation engine; ///< Of the present engine's process.
    std::optional<StreamPosition> resume; ///< Stream to go on with, before anything else is tried.
    std::set<ReplicaId> excluded;
    int attempts = 0;
    bool dispatched = false; ///< Whether an engine may ever have run it.
    CallOutcome outcome;
};

LanguageCalls::LanguageCalls(Dependencies dependencies, LanguageCallTimes times)
    : m_use(std::move(dependencies))
    , m_times(times)
{
}

Duration LanguageCalls::left(const LanguageRequest &request) const noexcept
{
    return request.deadline - m_use.clock.now();
}

void LanguageCalls::explain(const LanguageRequest &request, std::string seen, std::string weighed, std::string chosen)
{
    m_use.decisions.add({.kind = DecisionKind::Request,
        .subject = request.id.value(),
        .seen = std::move(seen),
        .weighed = std::move(weighed),
        .chosen = std::move(chosen)});
}

asio::awaitable<CallOutcome> LanguageCalls::run(LanguageRequest request, PieceSink &sink)
{
    Progress progress;
    progress.stream = request.stream;
    if (request.resumeFrom) {
        progress.resume = request.resumeFrom;
        progress.received = request.resumeFrom->offset;
        progress.wholeText = progress.received == 0;
        progress.dispatched = true;
    }
    m_use.retries.admitted();
    Step step = Step::Retry;
    while (step == Step::Retry) {
        ++progress.attempts;
        step = co_await attempt(request, progress, sink);
    }
    progress.outcome.answered = step == Step::Answered;
    progress.outcome.tokens = progress.received;
    if (!progress.outcome.answered) {
        explain(request,
            describe(progress.outcome.error),
            "attempts=" + std::to_string(progress.attempts),
            "refused " + progress.outcome.reason);
    }
    co_return progress.outcome;
}

asio::awaitable<LanguageCalls::Step> LanguageCalls::attempt(const LanguageRequest &request, Progress &progress, PieceSink &sink)
{
    if (m_use.crashes.isConvicted(request.content, m_use.clock.now())) {
        const char *detail = "this content has crashed two backend servers and is refused until its conviction ends or is lifted";
        co_return refuse(progress, "request_convicted", {ErrorId::Refused, "request.convicted", "", detail, Delivery::NotSent});
    }
    const std::optional<RouteChoice> choice = co_await choose(request, progress);
    if (!choice) {
        const char *detail = "no replica could take the request before its deadline";
        const char *reason = progress.resume ? "stream_lost" : "no_replica";
        co_return refuse(progress, reason, {ErrorId::NotFound, "request.choose", request.service.id.value(), detail, Delivery::NotSent});
    }
    const bool first = progress.attempts == 1 && !progress.resume;
    if (first && !canBeInTime(choice->prediction.total, left(request))) {
        progress.outcome.predicted = choice->prediction.total;
        const std::string detail =
            "the answer is predicted to take " + milliseconds(choice->prediction.total) + ", longer than its deadline allows";
        co_return refuse(
            progress, "deadline_unreachable", {ErrorId::Refused, "request.admit", choice->replica.id.value(), detail, Delivery::NotSent});
    }
    explain(request,
        "attempt=" + std::to_string(progress.attempts) + " tokens=" + std::to_string(progress.received),
        "first_token=" + milliseconds(choice->prediction.firstToken) + " total=" + milliseconds(choice->prediction.total),
        "replica " + choice->replica.id.value());
    co_return co_await dispatch(request, progress, sink, *choice);
}

asio::awaitable<LanguageCalls::Step> LanguageCalls::dispatch(
    const LanguageRequest &request, Progress &progress, PieceSink &sink, RouteChoice choice)
{
    const ReplicaSpec replica = choice.replica;
    const Tokens prompt = estimateTokens(request.prompt);
    const Duration firstWait = std::min(left(request), choice.prediction.firstToken * FirstWaitFactor + m_times.betweenPieces);
    m_use.fleet.dispatched(replica.id, prompt, request.maxOutput, m_use.clock.now());
    m_use.crashes.started(replica.id, request.content);
    Step step = Step::Failed;
    {
        const auto stream = co_await connect(request, progress, replica, firstWait);
        if (stream) {
            progress.dispatched = true;
            step = co_await pump(request, progress, sink, replica, **stream, firstWait);
        } else {
            step = co_await notOpened(request, progress, replica, stream.error());
        }
    }
    m_use.fleet.ended(replica.id, prompt, request.maxOutput, step == Step::Answered);
    m_use.crashes.ended(replica.id, request.content, step == Step::Answered, m_use.clock.now());
    if (step != Step::Answered && progress.dispatched) {
        asio::co_spawn(co_await asio::this_coro::executor, cancelAfterWindow(replica, progress.stream), asio::detached);
    }
    co_return step;
}

RouteRequest LanguageCalls::routeRequest(const LanguageRequest &request, const Progress &progress) const
{
    const TimePoint now = m_use.clock.now();
    RouteRequest wanted;
    wanted.prompt = estimateTokens(request.prompt);
    wanted.output = std::max(Tokens(0), request.maxOutput - Tokens(progress.received));
    wanted.zone = m_use.zone;
    wanted.model = request.service.model;
    wanted.excluded = progress.excluded;
    for (const MemberView &member : m_use.members.view(now)) {
        wanted.nodes += member.status == MemberStatus::Alive ? 1 : 0;
        wanted.excluded.insert(member.last.drainingReplicas.begin(), member.last.drainingReplicas.end());
    }
    if (m_use.crashes.isSuspect(request.content, now)) {
        wanted.excluded.merge(m_use.crashes.replicasWithSuspects(now));
    }
    return wanted;
}

asio::awaitable<std::optional<RouteChoice>> LanguageCalls::choose(const LanguageRequest &request, Progress &progress)
{
    if (progress.resume) {
        const std::optional<ReplicaView> view = m_use.fleet.replica(progress.resume->replica);
        co_return view ? std::optional(RouteChoice{view->spec, Prediction()}) : std::nullopt;
    }
    while (left(request) > Duration::zero()) {
        const RouteRequest wanted = routeRequest(request, progress);
        auto choice = route(m_use.policy, m_use.fleet.replicas(request.service.id), wanted, m_use.clock.now(), m_use.random);
        if (choice) {
            co_return choice;
        }
        progress.excluded.clear();
        co_await m_use.clock.sleep(m_times.waitForReplica);
    }
    co_return std::nullopt;
}

asio::awaitable<Result<std::unique_ptr<EngineStream>>> LanguageCalls::connect(
    const LanguageRequest &request, Progress &progress, const ReplicaSpec &replica, Duration timeout)
{
    if (progress.resume) {
        progress.stream = progress.resume->stream;
        co_return co_await m_use.engines.resume(replica, progress.stream, progress.received, timeout);
    }
    EngineRequest asked;
    asked.stream = progress.attempts == 1 ? request.stream : std::to_string(progress.attempts) + '-' + request.stream;
    asked.prompt = request.prompt;
    asked.prefix = progress.text;
    asked.startOffset = progress.received;
    asked.maxOutput = request.maxOutput;
    asked.priority = request.priority;
    progress.stream = asked.stream;
    co_return co_await m_use.engines.open(replica, std::move(asked), timeout);
}

asio::awaitable<LanguageCalls::Step> LanguageCalls::pump(const LanguageRequest &request,
    Progress &progress,
    PieceSink &sink,
    const ReplicaSpec &replica,
    EngineStream &stream,
    Duration firstWait)
{
    const std::optional<StreamPosition> resumed = std::exchange(progress.resume, std::nullopt);
    progress.engine = stream.incarnation();
    if (resumed && resumed->incarnation != progress.engine) {
        co_return refuse(progress,
            "stream_lost",
            {ErrorId::NotFound, "request.resume", replica.id.value(), "the engine has restarted since", Delivery::NotSent});
    }
    StreamPosition position{replica.id, progress.engine, progress.stream, progress.received};
    Duration wait = firstWait;
    while (left(request) > Duration::zero()) {
        const Result<EnginePiece> piece = co_await stream.next(std::min(wait, left(request)));
        if (!piece) {
            co_return co_await afterLoss(request, progress, replica, piece.error());
        }
        wait = m_times.betweenPieces;
        const PieceCheck check = checkPiece(*piece, progress.stream, progress.received);
        const bool tooLong = piece->offset + piece->tokens > request.maxOutput.value();
        if (check == PieceCheck::Foreign || tooLong) {
            co_return refuse(progress,
                "foreign_piece",
                {ErrorId::ForeignMessage,
                    "request.pump",
                    replica.id.value(),
                    "a piece of another answer arrived and was dropped",
                    Delivery::MaybeSent});
        }
        if (check == PieceCheck::Repeated) {
            continue;
        }
        progress.text += piece->text;
        progress.received += piece->tokens;
        position.offset = progress.received;
        const Result<void> taken = co_await sink.take(*piece, position);
        if (!taken) {
            co_return refuse(progress, "caller_gone", taken.error());
        }
        if (!piece->finishReason.empty()) {
            progress.outcome.finishReason = piece->finishReason;
            co_return Step::Answered;
        }
    }
    co_return refuse(progress,
        "deadline_passed",
        {ErrorId::TimedOut, "request.pump", replica.id.value(), "the deadline passed before the answer was complete", Delivery::MaybeSent});
}

asio::awaitable<LanguageCalls::Step> LanguageCalls::notOpened(
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
        m_use.fleet.fail(replica.id, m_use.clock.now());
        progress.excluded.insert(replica.id);
        co_return retry(progress, "connect_failed", std::move(error));
    }
    progress.dispatched = true;
    const std::optional<ReplicaView> view = m_use.fleet.replica(replica.id);
    progress.engine = view && view->report ? view->report->incarnation : Incarnation();
    co_return co_await afterLoss(request, progress, replica, std::move(error));
}

asio::awaitable<bool> LanguageCalls::hasCrashed(ReplicaSpec replica, Incarnation incarnation)
{
    const Result<LoadReport> report = co_await m_use.engines.load(std::move(replica));
    co_return report ? report->incarnation != incarnation : report.error().delivery == Delivery::NotSent;
}

asio::awaitable<LanguageCalls::Step> LanguageCalls::afterLoss(
    const LanguageRequest &request, Progress &progress, const ReplicaSpec &replica, Error error)
{
    const bool crashed = co_await hasCrashed(replica, progress.engine);
    const TimePoint now = m_use.clock.now();
    if (crashed) {
        m_use.crashes.crashed(replica.id, request.content, now);
        explain(request,
            "engine " + replica.id.value() + " crashed",
            "content=" + std::to_string(request.content.value()),
            m_use.crashes.isConvicted(request.content, now) ? "content convicted" : "content suspected");
    }
    m_use.fleet.fail(replica.id, now);
    progress.excluded.insert(replica.id);
    const bool mayContinue = progress.received == 0 || (request.service.continueElsewhere && progress.wholeText);
    if (!mayContinue) {
        co_return refuse(progress, "stream_lost", std::move(error));
    }
    co_return retry(progress, crashed ? "engine_crashed" : "stream_broken", std::move(error));
}

LanguageCalls::Step LanguageCalls::retry(Progress &progress, const char *reason, Error error)
{
    if (progress.attempts >= MaxAttempts) {
        return refuse(progress, "attempts_used_up", std::move(error));
    }
    if (!m_use.retries.takeRetry()) {
        return refuse(progress, "retry_budget_used_up", std::move(error));
    }
    m_use.metrics.increment(CounterFamily::Retries, reason);
    return Step::Retry;
}

LanguageCalls::Step LanguageCalls::refuse(Progress &progress, std::string reason, Error error)
{
    progress.outcome.reason = std::move(reason);
    progress.outcome.error = std::move(error);
    progress.outcome.notRun = !progress.dispatched;
    return Step::Failed;
}

asio::awaitable<void> LanguageCalls::cancelAfterWindow(ReplicaSpec replica, std::string stream)
{
    co_await m_use.clock.sleep(m_times.resumeWindow);
    co_await m_use.engines.cancel(std::move(replica), std::move(stream), true);
}

} // namespace apricotarch
