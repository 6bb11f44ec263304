#include <boost/test/unit_test.hpp>

#include <deque>

#include "apricotarch/coordination/language_call_executor.h"
#include "engine_model.h"
#include "fakes/manual_clock.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

/// Scripted behavior of one engine for its next streams.
struct EngineScript
{
    Incarnation incarnation{1};
    std::int64_t tokensBeforeLoss = -1; ///< Number of tokens after which streams break; negative for never.
    bool crashes = false; ///< Whether a break is a crash, after which the engine restarts with a new incarnation.
    bool refuses = false;
    bool unreachable = false;
    bool sendsOtherStream = false; ///< Whether chunks carry the id of another stream.
    bool sendsTwice = false; ///< Whether every chunk is sent twice.
    std::string crashMarker; ///< Prompts that contain this text crash the engine; empty for none.
};

/// Streams of scripted engines, with the same answers as the engine stand-in.
class FakeStreams final : public EngineStreamClient
{
public:
    std::map<ReplicaId, EngineScript> engines;
    std::map<std::string, EngineRequest> requests;
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

    [[nodiscard]] asio::awaitable<Result<EngineChunk>> next(Duration /*timeout*/) override
    {
        if (m_script.tokensBeforeLoss >= 0 && m_sent >= m_script.tokensBeforeLoss) {
            if (m_script.crashes && m_script.incarnation == m_incarnation) {
                m_owner.crash(m_script);
            }
            co_return fail(ErrorId::ConnectionLost, "fake.next", "engine", "broken", Delivery::MaybeSent);
        }
        EngineChunk chunk;
        chunk.stream = m_script.sendsOtherStream ? "another" : m_request.stream;
        chunk.offset = m_offset;
        chunk.tokens = 1;
        chunk.text = standins::answerWord(m_request.prompt, m_offset);
        const bool sendAgain = m_script.sendsTwice && !std::exchange(m_repeated, !m_repeated);
        if (!sendAgain) {
            ++m_offset;
            ++m_sent;
        }
        chunk.finishReason = chunk.offset + 1 == m_request.maxOutput.value() ? "length" : "";
        co_return chunk;
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
    requests[request.stream] = request;
    const std::int64_t offset = request.startOffset;
    std::unique_ptr<EngineStream> stream = std::make_unique<FakeStream>(*this, script, std::move(request), offset);
    co_return stream;
}

asio::awaitable<Result<std::unique_ptr<EngineStream>>> FakeStreams::resume(
    ReplicaSpec replica, std::string id, std::int64_t offset, Duration /*timeout*/)
{
    EngineScript &script = engines.at(replica.id);
    if (script.unreachable || !requests.contains(id)) {
        co_return fail(script.unreachable ? ErrorId::ConnectFailed : ErrorId::NotFound, "fake.resume", "engine", "unknown");
    }
    std::unique_ptr<EngineStream> stream = std::make_unique<FakeStream>(*this, script, requests.at(id), offset);
    co_return stream;
}

/// Caller that collects an answer and may disconnect before its end.
class Collector final : public ChunkSink
{
public:
    std::string text;
    std::optional<StreamPosition> lastPosition;
    int disconnectsAfter = -1;

    [[nodiscard]] asio::awaitable<Result<void>> writeChunk(const EngineChunk &chunk, const StreamPosition &next) override
    {
        if (disconnectsAfter == 0) {
            co_return fail(ErrorId::ConnectionLost, "fake.writeChunk", "caller", "disconnected");
        }
        --disconnectsAfter;
        text += chunk.text;
        lastPosition = next;
        co_return Result<void>();
    }
};

/// The parts of one node that execute language requests.
struct CallNode
{
    CallNode(TestLoop &loop, FakeStreams &streams)
        : members(MemberTimeouts())
        , decisions(loop.clock, 100)
        , policy(makeRoundRobinPolicy())
        , calls({streams,
                    fleet,
                    crashes,
                    retries,
                    *policy,
                    members,
                    loop.clock,
                    decisions,
                    metrics,
                    [](std::size_t) {
                        return std::size_t(0);
                    },
                    ZoneId("a")},
              LanguageCallTimeouts())
    {
    }

    ReplicaTable fleet;
    CrashTracker crashes{CrashTrackerPeriods()};
    RetryBudget retries{0.1, 50};
    MemberTable members;
    DecisionLog decisions;
    Metrics metrics;
    std::unique_ptr<RoutingPolicy> policy;
    LanguageCallExecutor calls;
};

struct CallFixture
{
    TestLoop loop;
    FakeStreams streams;
    ServiceSpec service;
    CallNode node{loop, streams};
    CallNode other{loop, streams};

    explicit CallFixture(int engineCount)
    {
        service.id = ServiceId("advice");
        service.model.model = "plan";
        for (int index = 1; index <= engineCount; ++index) {
            const ReplicaId id("engine-" + std::to_string(index));
            service.replicas.push_back({id, {"127.0.0.1", 1}, ZoneId("a"), true});
            streams.engines[id];
        }
        for (CallNode *callNode : {&node, &other}) {
            Configuration configuration;
            configuration.services = {service};
            callNode->fleet.setReplicas(configuration);
        }
        report();
    }

    /// Gives both nodes a new load report of each engine.
    void report()
    {
        for (CallNode *callNode : {&node, &other}) {
            for (const ReplicaSpec &replica : service.replicas) {
                LoadReport load;
                load.incarnation = streams.engines.at(replica.id).incarnation;
                load.state.model = service.model;
                load.slots = 8;
                load.freeKvBlocks = KvBlocks(2000);
                load.prefillRate = 10'000;
                load.decodeRate = 100;
                callNode->fleet.handleLoadReport(replica.id, load, loop.clock.now());
            }
        }
    }

    LanguageRequest request(const std::string &prompt, std::int64_t tokens = 10) const
    {
        LanguageRequest languageRequest;
        languageRequest.id = RequestId("r");
        languageRequest.service = service;
        languageRequest.prompt = prompt;
        languageRequest.maxOutput = Tokens(tokens);
        languageRequest.deadline = loop.clock.now() + 10s;
        languageRequest.stream = "stream";
        languageRequest.content = ContentHash(static_cast<std::int64_t>(std::hash<std::string>()(prompt)));
        return languageRequest;
    }

    static std::string fullAnswer(const std::string &prompt, std::int64_t tokens = 10)
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

BOOST_AUTO_TEST_CASE(arrives_completely_and_in_order)
{
    CallFixture fixture(2);
    Collector caller;
    const LanguageCallOutcome outcome = fixture.loop.run(fixture.node.calls.execute(fixture.request("p"), caller));
    BOOST_TEST(outcome.answered);
    BOOST_TEST(caller.text == CallFixture::fullAnswer("p"));
}

BOOST_AUTO_TEST_CASE(is_continued_by_another_engine_after_the_received_text)
{
    CallFixture fixture(2);
    fixture.engine(1).tokensBeforeLoss = 4;
    fixture.engine(1).crashes = true;
    Collector caller;
    const LanguageCallOutcome outcome = fixture.loop.run(fixture.node.calls.execute(fixture.request("p"), caller));
    BOOST_TEST(outcome.answered);
    BOOST_TEST(caller.text == CallFixture::fullAnswer("p"));
    BOOST_TEST(fixture.node.metrics.count(CounterFamily::Retries, "engine_crashed") == 1U);
}

BOOST_AUTO_TEST_CASE(is_cancelled_at_the_lost_engine_after_its_continuation_at_another)
{
    CallFixture fixture(2);
    fixture.engine(1).tokensBeforeLoss = 4;
    Collector caller;
    BOOST_TEST(fixture.loop.run(fixture.node.calls.execute(fixture.request("p"), caller)).answered);
    fixture.loop.advanceTime(LanguageCallTimeouts().resumeWindow + 1s);
    BOOST_TEST(fixture.streams.cancelled.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ends_with_stream_lost_if_the_service_forbids_continuation_at_another_engine)
{
    CallFixture fixture(2);
    fixture.service.continueElsewhere = false;
    fixture.engine(1).tokensBeforeLoss = 4;
    fixture.engine(2).tokensBeforeLoss = 4;
    Collector caller;
    const LanguageCallOutcome outcome = fixture.loop.run(fixture.node.calls.execute(fixture.request("p"), caller));
    BOOST_TEST(outcome.reason == "stream_lost");
    BOOST_TEST(!outcome.notRun);
}

BOOST_AUTO_TEST_CASE(with_duplicate_chunks_reaches_the_caller_without_duplicates)
{
    CallFixture fixture(1);
    fixture.engine(1).sendsTwice = true;
    Collector caller;
    BOOST_TEST(fixture.loop.run(fixture.node.calls.execute(fixture.request("p"), caller)).answered);
    BOOST_TEST(caller.text == CallFixture::fullAnswer("p"));
}

BOOST_AUTO_TEST_CASE(of_another_request_never_reaches_the_caller)
{
    CallFixture fixture(1);
    fixture.engine(1).sendsOtherStream = true;
    Collector caller;
    const LanguageCallOutcome outcome = fixture.loop.run(fixture.node.calls.execute(fixture.request("p"), caller));
    BOOST_TEST(outcome.reason == "foreign_piece");
    BOOST_TEST(caller.text.empty());
}

BOOST_AUTO_TEST_CASE(is_resumed_through_another_node_from_the_position_where_the_caller_disconnected)
{
    CallFixture fixture(2);
    Collector caller;
    caller.disconnectsAfter = 6;
    (void)fixture.loop.run(fixture.node.calls.execute(fixture.request("p"), caller));
    BOOST_REQUIRE(caller.lastPosition.has_value());
    LanguageRequest resumed = fixture.request("p");
    resumed.resumeFrom = caller.lastPosition;
    caller.disconnectsAfter = -1;
    BOOST_TEST(fixture.loop.run(fixture.other.calls.execute(resumed, caller)).answered);
    BOOST_TEST(caller.text == CallFixture::fullAnswer("p"));
}

BOOST_AUTO_TEST_CASE(is_not_resumed_if_the_engine_has_restarted)
{
    CallFixture fixture(1);
    Collector caller;
    caller.disconnectsAfter = 6;
    (void)fixture.loop.run(fixture.node.calls.execute(fixture.request("p"), caller));
    fixture.streams.crash(fixture.engine(1));
    LanguageRequest resumed = fixture.request("p");
    resumed.resumeFrom = caller.lastPosition;
    caller.disconnectsAfter = -1;
    const LanguageCallOutcome outcome = fixture.loop.run(fixture.other.calls.execute(resumed, caller));
    BOOST_TEST(outcome.reason == "stream_lost");
    BOOST_TEST(!outcome.notRun);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_refusal)

BOOST_AUTO_TEST_CASE(is_sent_early_if_the_answer_would_miss_its_deadline)
{
    CallFixture fixture(1);
    Collector caller;
    const LanguageCallOutcome outcome = fixture.loop.run(fixture.node.calls.execute(fixture.request("p", 5000), caller));
    BOOST_TEST(outcome.reason == "deadline_unreachable");
    BOOST_TEST(outcome.notRun);
    BOOST_TEST(fixture.streams.opened.empty());
}

BOOST_AUTO_TEST_CASE(after_failed_connections_reports_that_nothing_ran)
{
    CallFixture fixture(2);
    fixture.engine(1).unreachable = true;
    fixture.engine(2).unreachable = true;
    Collector caller;
    const LanguageCallOutcome outcome = fixture.loop.run(fixture.node.calls.execute(fixture.request("p"), caller));
    BOOST_TEST(!outcome.answered);
    BOOST_TEST(outcome.notRun);
}

BOOST_AUTO_TEST_CASE(by_one_engine_leads_to_an_attempt_at_another)
{
    CallFixture fixture(2);
    fixture.engine(1).refuses = true;
    Collector caller;
    BOOST_TEST(fixture.loop.run(fixture.node.calls.execute(fixture.request("p"), caller)).answered);
    BOOST_TEST(fixture.node.metrics.count(CounterFamily::Retries, "replica_refused") <= 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_that_crashes_engines)

BOOST_AUTO_TEST_CASE(crashes_only_two_engines_if_it_is_sent_twenty_times_through_two_nodes)
{
    CallFixture fixture(4);
    for (int number = 1; number <= 4; ++number) {
        fixture.engine(number).crashMarker = "poison";
    }
    for (int attempt = 0; attempt < 20; ++attempt) {
        CallNode &node = attempt % 2 == 0 ? fixture.node : fixture.other;
        Collector caller;
        const LanguageCallOutcome outcome = fixture.loop.run(node.calls.execute(fixture.request("poison"), caller));
        BOOST_TEST(!outcome.answered);
        fixture.other.crashes.mergeRecords(fixture.node.crashes.nextReports(fixture.loop.clock.now()), fixture.loop.clock.now());
        fixture.node.crashes.mergeRecords(fixture.other.crashes.nextReports(fixture.loop.clock.now()), fixture.loop.clock.now());
        fixture.loop.advanceTime(1s);
        fixture.report();
    }
    BOOST_TEST(fixture.streams.crashes == 2);
}

BOOST_AUTO_TEST_CASE(is_refused_until_its_quarantine_expires_or_is_released)
{
    CallFixture fixture(4);
    const ContentHash content(7);
    const TimePoint now = fixture.loop.clock.now();
    fixture.node.crashes.recordCrash(ReplicaId("engine-1"), content, now);
    BOOST_TEST(fixture.node.crashes.isSuspect(content, now));
    BOOST_TEST(!fixture.node.crashes.isQuarantined(content, now));
    fixture.node.crashes.recordCrash(ReplicaId("engine-2"), content, now);
    BOOST_TEST(fixture.node.crashes.isQuarantined(content, now));
    BOOST_TEST(!fixture.node.crashes.isQuarantined(content, now + CrashTrackerPeriods().quarantinePeriod));
    fixture.other.crashes.mergeRecords(fixture.node.crashes.nextReports(now), now);
    BOOST_TEST(fixture.other.crashes.isQuarantined(content, now));
    BOOST_TEST(fixture.node.crashes.release(content, now));
    fixture.other.crashes.mergeRecords(fixture.node.crashes.nextReports(now), now);
    BOOST_TEST(!fixture.other.crashes.isQuarantined(content, now));
}

BOOST_AUTO_TEST_CASE(does_not_leave_other_requests_suspected_after_they_are_answered)
{
    CallFixture fixture(3);
    fixture.engine(1).tokensBeforeLoss = 2;
    fixture.engine(1).crashes = true;
    Collector caller;
    const LanguageRequest otherRequest = fixture.request("beside");
    BOOST_TEST(fixture.loop.run(fixture.node.calls.execute(otherRequest, caller)).answered);
    BOOST_TEST(!fixture.node.crashes.isSuspect(otherRequest.content, fixture.loop.clock.now()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
