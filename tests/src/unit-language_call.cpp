#include <boost/test/unit_test.hpp>

#include <deque>

#include "apricotarch/coordination/language_call.h"
#include "engine_model.h"
#include "fakes/manual_clock.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

/// How one engine treats its next streams.
struct EngineScript
{
    Incarnation incarnation{1};
    std::int64_t tokensBeforeLoss = -1; ///< Streams break after so many tokens; negative for never.
    bool crashes = false; ///< A break is a crash: the engine comes back with another incarnation.
    bool refuses = false;
    bool unreachable = false;
    bool foreign = false; ///< Pieces name another stream.
    bool repeats = false; ///< Every piece comes twice.
    std::string crashMarker;
};

/// Streams of scripted engines; answers are those of the stand-in.
class FakeStreams final : public EngineStreams
{
public:
    std::map<ReplicaId, EngineScript> engines;
    std::map<std::string, EngineRequest> known;
    std::vector<ReplicaId> opened;
    std::vector<std::string> cancelled;
    int crashes = 0;

    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<EngineStream>>> open(
        ReplicaSpec replica, EngineRequest request, Duration timeout) override;
    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<EngineStream>>> resume(
        ReplicaSpec replica, std::string stream, std::int64_t offset, Duration timeout) override;

    [[nodiscard]] asio::awaitable<void> cancel(ReplicaSpec /*replica*/, std::string stream, bool /*onlyIfDetached*/) override
    {
        cancelled.push_back(std::move(stream));
        co_return;
    }

    [[nodiscard]] asio::awaitable<Result<LoadReport>> load(ReplicaSpec replica) override
    {
        LoadReport report;
        report.incarnation = engines.at(replica.id).incarnation;
        co_return report;
    }

    void crash(EngineScript &script)
    {
        ++crashes;
        script.incarnation = script.incarnation.next();
    }
};

class FakeStream final : public EngineStream
{
public:
    FakeStream(FakeStreams &owner, EngineScript &script, EngineRequest request, std::int64_t offset)
        : m_owner(owner)
        , m_script(script)
        , m_incarnation(script.incarnation)
        , m_request(std::move(request))
        , m_offset(offset)
    {
    }

    [[nodiscard]] Incarnation incarnation() const noexcept override
    {
        return m_incarnation;
    }

    [[nodiscard]] asio::awaitable<Result<EnginePiece>> next(Duration /*timeout*/) override
    {
        if (m_script.tokensBeforeLoss >= 0 && m_sent >= m_script.tokensBeforeLoss) {
            if (m_script.crashes && m_script.incarnation == m_incarnation) {
                m_owner.crash(m_script);
            }
            co_return fail(ErrorId::ConnectionLost, "fake.next", "engine", "broken", Delivery::MaybeSent);
        }
        EnginePiece piece;
        piece.stream = m_script.foreign ? "another" : m_request.stream;
        piece.offset = m_offset;
        piece.tokens = 1;
        piece.text = standins::answerWord(m_request.prompt, m_offset);
        const bool again = m_script.repeats && !std::exchange(m_repeated, !m_repeated);
        if (!again) {
            ++m_offset;
            ++m_sent;
        }
        piece.finishReason = piece.offset + 1 == m_request.maxOutput.value() ? "length" : "";
        co_return piece;
    }

private:
    FakeStreams &m_owner;
    EngineScript &m_script;
    Incarnation m_incarnation;
    EngineRequest m_request;
    std::int64_t m_offset;
    std::int64_t m_sent = 0;
    bool m_repeated = false;
};

asio::awaitable<Result<std::unique_ptr<EngineStream>>> FakeStreams::open(ReplicaSpec replica, EngineRequest request, Duration /*timeout*/)
{
    EngineScript &script = engines.at(replica.id);
    opened.push_back(replica.id);
    if (script.unreachable) {
        co_return fail(ErrorId::ConnectFailed, "fake.open", "engine", "unreachable");
    }
    if (script.refuses) {
        co_return fail(ErrorId::Refused, "fake.open", "engine", "changing");
    }
    if (!script.crashMarker.empty() && request.prompt.find(script.crashMarker) != std::string::npos) {
        crash(script);
        co_return fail(ErrorId::ConnectionLost, "fake.open", "engine", "crashed", Delivery::MaybeSent);
    }
    known[request.stream] = request;
    const std::int64_t offset = request.startOffset;
    std::unique_ptr<EngineStream> stream = std::make_unique<FakeStream>(*this, script, std::move(request), offset);
    co_return stream;
}

asio::awaitable<Result<std::unique_ptr<EngineStream>>> FakeStreams::resume(
    ReplicaSpec replica, std::string id, std::int64_t offset, Duration /*timeout*/)
{
    EngineScript &script = engines.at(replica.id);
    if (script.unreachable || !known.contains(id)) {
        co_return fail(script.unreachable ? ErrorId::ConnectFailed : ErrorId::NotFound, "fake.resume", "engine", "unknown");
    }
    std::unique_ptr<EngineStream> stream = std::make_unique<FakeStream>(*this, script, known.at(id), offset);
    co_return stream;
}

/// Collects an answer; a caller can go away in the middle.
class Collector final : public PieceSink
{
public:
    std::string text;
    std::optional<StreamPosition> last;
    int goesAfter = -1;

    [[nodiscard]] asio::awaitable<Result<void>> take(const EnginePiece &piece, const StreamPosition &next) override
    {
        if (goesAfter == 0) {
            co_return fail(ErrorId::ConnectionLost, "fake.take", "caller", "gone");
        }
        --goesAfter;
        text += piece.text;
        last = next;
        co_return Result<void>();
    }
};

/// One node.
struct CallNode
{
    CallNode(Bench &bench, FakeStreams &streams)
        : members(MemberTimes())
        , decisions(bench.clock, 100)
        , policy(makeRoundRobinPolicy())
        , calls({streams,
                    fleet,
                    crashes,
                    retries,
                    *policy,
                    members,
                    bench.clock,
                    decisions,
                    metrics,
                    [](std::size_t) {
                        return std::size_t(0);
                    },
                    ZoneId("a")},
              LanguageCallTimes())
    {
    }

    Fleet fleet;
    CrashLedger crashes{CrashTimes()};
    RetryBudget retries{0.1, 50};
    Members members;
    DecisionLog decisions;
    Metrics metrics;
    std::unique_ptr<RoutingPolicy> policy;
    LanguageCalls calls;
};

struct CallBench
{
    Bench bench;
    FakeStreams streams;
    ServiceSpec service;
    CallNode node{bench, streams};
    CallNode other{bench, streams};

    explicit CallBench(int engineCount)
    {
        service.id = ServiceId("advice");
        service.model.model = "plan";
        for (int index = 1; index <= engineCount; ++index) {
            const ReplicaId id("engine-" + std::to_string(index));
            service.replicas.push_back({id, {"127.0.0.1", 1}, ZoneId("a"), true});
            streams.engines[id];
        }
        for (CallNode *each : {&node, &other}) {
            Configuration configuration;
            configuration.services = {service};
            each->fleet.assign(configuration);
        }
        report();
    }

    /// Fresh reports for both nodes.
    void report()
    {
        for (CallNode *each : {&node, &other}) {
            for (const ReplicaSpec &replica : service.replicas) {
                LoadReport load;
                load.incarnation = streams.engines.at(replica.id).incarnation;
                load.state.model = service.model;
                load.slots = 8;
                load.freePieces = KvPieces(2000);
                load.prefillRate = 10'000;
                load.decodeRate = 100;
                each->fleet.report(replica.id, load, bench.clock.now());
            }
        }
    }

    LanguageRequest request(const std::string &prompt, std::int64_t tokens = 10) const
    {
        LanguageRequest made;
        made.id = RequestId("r");
        made.service = service;
        made.prompt = prompt;
        made.maxOutput = Tokens(tokens);
        made.deadline = bench.clock.now() + 10s;
        made.stream = "stream";
        made.content = ContentHash(static_cast<std::int64_t>(std::hash<std::string>()(prompt)));
        return made;
    }

    static std::string whole(const std::string &prompt, std::int64_t tokens = 10)
    {
        std::string text;
        for (std::int64_t index = 0; index < tokens; ++index) {
            text += standins::answerWord(prompt, index);
        }
        return text;
    }

    EngineScript &engine(int number)
    {
        return streams.engines.at(ReplicaId("engine-" + std::to_string(number)));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(language_call)

BOOST_AUTO_TEST_SUITE(an_answer)

BOOST_AUTO_TEST_CASE(arrives_whole_and_in_order)
{
    CallBench bench(2);
    Collector caller;
    const CallOutcome outcome = bench.bench.run(bench.node.calls.run(bench.request("p"), caller));
    BOOST_TEST(outcome.answered);
    BOOST_TEST(caller.text == CallBench::whole("p"));
}

BOOST_AUTO_TEST_CASE(is_continued_by_another_engine_from_the_text_so_far)
{
    CallBench bench(2);
    bench.engine(1).tokensBeforeLoss = 4;
    bench.engine(1).crashes = true;
    Collector caller;
    const CallOutcome outcome = bench.bench.run(bench.node.calls.run(bench.request("p"), caller));
    BOOST_TEST(outcome.answered);
    BOOST_TEST(caller.text == CallBench::whole("p"));
    BOOST_TEST(bench.node.metrics.count(CounterFamily::Retries, "engine_crashed") == 1U);
}

BOOST_AUTO_TEST_CASE(that_was_continued_elsewhere_is_cancelled_where_it_broke)
{
    CallBench bench(2);
    bench.engine(1).tokensBeforeLoss = 4;
    Collector caller;
    BOOST_TEST(bench.bench.run(bench.node.calls.run(bench.request("p"), caller)).answered);
    bench.bench.pass(LanguageCallTimes().resumeWindow + 1s);
    BOOST_TEST(bench.streams.cancelled.size() == 1U);
}

BOOST_AUTO_TEST_CASE(breaks_off_clearly_where_the_service_forbids_another_engine)
{
    CallBench bench(2);
    bench.service.continueElsewhere = false;
    bench.engine(1).tokensBeforeLoss = 4;
    bench.engine(2).tokensBeforeLoss = 4;
    Collector caller;
    const CallOutcome outcome = bench.bench.run(bench.node.calls.run(bench.request("p"), caller));
    BOOST_TEST(outcome.reason == "stream_lost");
    BOOST_TEST(!outcome.notRun);
}

BOOST_AUTO_TEST_CASE(with_repeated_pieces_reaches_the_caller_once)
{
    CallBench bench(1);
    bench.engine(1).repeats = true;
    Collector caller;
    BOOST_TEST(bench.bench.run(bench.node.calls.run(bench.request("p"), caller)).answered);
    BOOST_TEST(caller.text == CallBench::whole("p"));
}

BOOST_AUTO_TEST_CASE(of_another_request_never_reaches_the_caller)
{
    CallBench bench(1);
    bench.engine(1).foreign = true;
    Collector caller;
    const CallOutcome outcome = bench.bench.run(bench.node.calls.run(bench.request("p"), caller));
    BOOST_TEST(outcome.reason == "foreign_piece");
    BOOST_TEST(caller.text.empty());
}

BOOST_AUTO_TEST_CASE(goes_on_at_another_node_where_the_caller_left_off)
{
    CallBench bench(2);
    Collector caller;
    caller.goesAfter = 6;
    (void)bench.bench.run(bench.node.calls.run(bench.request("p"), caller));
    BOOST_REQUIRE(caller.last.has_value());
    LanguageRequest again = bench.request("p");
    again.resumeFrom = caller.last;
    caller.goesAfter = -1;
    BOOST_TEST(bench.bench.run(bench.other.calls.run(again, caller)).answered);
    BOOST_TEST(caller.text == CallBench::whole("p"));
}

BOOST_AUTO_TEST_CASE(whose_engine_has_restarted_is_not_resumed_with_another_text)
{
    CallBench bench(1);
    Collector caller;
    caller.goesAfter = 6;
    (void)bench.bench.run(bench.node.calls.run(bench.request("p"), caller));
    bench.streams.crash(bench.engine(1));
    LanguageRequest again = bench.request("p");
    again.resumeFrom = caller.last;
    caller.goesAfter = -1;
    const CallOutcome outcome = bench.bench.run(bench.other.calls.run(again, caller));
    BOOST_TEST(outcome.reason == "stream_lost");
    BOOST_TEST(!outcome.notRun);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_refusal)

BOOST_AUTO_TEST_CASE(comes_early_where_the_answer_would_be_late)
{
    CallBench bench(1);
    Collector caller;
    const CallOutcome outcome = bench.bench.run(bench.node.calls.run(bench.request("p", 5000), caller));
    BOOST_TEST(outcome.reason == "deadline_unreachable");
    BOOST_TEST(outcome.notRun);
    BOOST_TEST(bench.streams.opened.empty());
}

BOOST_AUTO_TEST_CASE(after_engines_that_cannot_be_reached_says_that_nothing_ran)
{
    CallBench bench(2);
    bench.engine(1).unreachable = true;
    bench.engine(2).unreachable = true;
    Collector caller;
    const CallOutcome outcome = bench.bench.run(bench.node.calls.run(bench.request("p"), caller));
    BOOST_TEST(!outcome.answered);
    BOOST_TEST(outcome.notRun);
}

BOOST_AUTO_TEST_CASE(by_one_engine_is_tried_at_another)
{
    CallBench bench(2);
    bench.engine(1).refuses = true;
    Collector caller;
    BOOST_TEST(bench.bench.run(bench.node.calls.run(bench.request("p"), caller)).answered);
    BOOST_TEST(bench.node.metrics.count(CounterFamily::Retries, "replica_refused") <= 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_that_crashes_engines)

BOOST_AUTO_TEST_CASE(resent_twenty_times_through_two_nodes_costs_two_engines)
{
    CallBench bench(4);
    for (int number = 1; number <= 4; ++number) {
        bench.engine(number).crashMarker = "poison";
    }
    for (int attempt = 0; attempt < 20; ++attempt) {
        CallNode &node = attempt % 2 == 0 ? bench.node : bench.other;
        Collector caller;
        const CallOutcome outcome = bench.bench.run(node.calls.run(bench.request("poison"), caller));
        BOOST_TEST(!outcome.answered);
        bench.other.crashes.learn(bench.node.crashes.ownRecords(bench.bench.clock.now()), bench.bench.clock.now());
        bench.node.crashes.learn(bench.other.crashes.ownRecords(bench.bench.clock.now()), bench.bench.clock.now());
        bench.bench.pass(1s);
        bench.report();
    }
    BOOST_TEST(bench.streams.crashes == 2);
}

BOOST_AUTO_TEST_CASE(is_refused_until_its_conviction_ends_or_is_lifted)
{
    CallBench bench(4);
    const ContentHash content(7);
    const TimePoint now = bench.bench.clock.now();
    bench.node.crashes.crashed(ReplicaId("engine-1"), content, now);
    BOOST_TEST(bench.node.crashes.isSuspect(content, now));
    BOOST_TEST(!bench.node.crashes.isConvicted(content, now));
    bench.node.crashes.crashed(ReplicaId("engine-2"), content, now);
    BOOST_TEST(bench.node.crashes.isConvicted(content, now));
    BOOST_TEST(!bench.node.crashes.isConvicted(content, now + CrashTimes().conviction));
    bench.other.crashes.learn(bench.node.crashes.ownRecords(now), now);
    BOOST_TEST(bench.other.crashes.isConvicted(content, now));
    BOOST_TEST(bench.node.crashes.lift(content, now));
    bench.other.crashes.learn(bench.node.crashes.ownRecords(now), now);
    BOOST_TEST(!bench.other.crashes.isConvicted(content, now));
}

BOOST_AUTO_TEST_CASE(leaves_the_requests_beside_it_answered_and_cleared)
{
    CallBench bench(3);
    bench.engine(1).tokensBeforeLoss = 2;
    bench.engine(1).crashes = true;
    Collector caller;
    const LanguageRequest beside = bench.request("beside");
    BOOST_TEST(bench.bench.run(bench.node.calls.run(beside, caller)).answered);
    BOOST_TEST(!bench.node.crashes.isSuspect(beside.content, bench.bench.clock.now()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
