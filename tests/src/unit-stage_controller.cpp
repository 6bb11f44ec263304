#include <boost/test/unit_test.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "apricotarch/app/stage_controller.h"
#include "fakes/scripted_server.h"
#include "platform/protocol_adapter.h"
#include "platform_store.h"

using namespace apricotarch;
using namespace std::chrono_literals;
using fakes::ScriptedAnswer;
using fakes::ScriptedServer;

namespace
{

const ServiceId Service("engines");

/// A connection to the store without delays and faults.
class ImmediateTable final : public TableStore
{
public:
    explicit ImmediateTable(const Clock &clock)
        : m_store(clock, {})
    {
    }

    [[nodiscard]] asio::awaitable<Result<std::optional<Row>>> read(RowKey key) override
    {
        co_return m_store.read(key);
    }

    [[nodiscard]] asio::awaitable<Result<StorePosition>> write(RowWrite write) override
    {
        StorePosition version;
        if (m_store.write(write, version) != standins::StoreOutcome::Done) {
            co_return fail(ErrorId::Conflict, "table.write", "", "a condition of the write is not met");
        }
        co_return version;
    }

private:
    standins::PlatformStore m_store;
};

/// A front node that controls the stages of four decode engines, two of which are to become prefill engines.
class ControllerFixture
{
public:
    explicit ControllerFixture(const ScriptedServer::Script &script)
        : state(m_loop.get_executor(), FrontSettings(), m_clock, m_protocolAdapter, 1)
        , m_lease(m_table, m_clock, state.metrics, {NodeId("n"), Incarnation(1)}, Duration::zero())
        , m_controller(state, m_lease, {platform::encodeStageOrder, platform::encodeReportRequest, platform::decodeReport})
    {
        RoutedService service;
        service.id = Service;
        service.engine = EngineSpec{64, 491'264, 327'680, 3'200'000};
        Route route;
        route.name = "plans";
        route.host = "desk";
        route.prefix = "/";
        route.services = {{Service, 1}};
        state.plan = std::make_shared<RoutingPlan>(1, std::vector<Route>{route}, std::vector<RoutedService>{service}, CallerLimits());
        state.serversLoaded = true;
        for (const char *id : {"i-1", "i-2", "i-3", "i-4"}) {
            engines.push_back(std::make_unique<ScriptedServer>(m_loop, script));
            BackendRecord record;
            record.id = ReplicaId(id);
            record.service = Service;
            record.address = engines.back()->endpoint();
            record.stage = EngineStage::Decode;
            state.backends.update(record, m_clock.now());
        }
        asio::co_spawn(m_loop, m_controller.run(), asio::detached);
    }

    ~ControllerFixture()
    {
        m_loop.stop();
    }

    /// Runs the controller for a while.
    void runFor(std::chrono::milliseconds duration)
    {
        const auto until = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < until) {
            m_loop.run_one_for(10ms);
        }
    }

    /// Returns the number of requests for a target that all engines have received.
    [[nodiscard]] std::ptrdiff_t count(const std::string &target) const
    {
        std::ptrdiff_t total = 0;
        for (const auto &engine : engines) {
            total += std::ranges::count(engine->targets, target);
        }
        return total;
    }

private:
    asio::io_context m_loop;
    SystemClock m_clock;
    platform::ProtocolAdapter m_protocolAdapter;
    ImmediateTable m_table{m_clock};

public:
    FrontState state;
    std::vector<std::unique_ptr<ScriptedServer>> engines;

private:
    DutyLease m_lease;
    StageController m_controller;
};

/// An answer with the report of an idle decode engine or, to an order, the acceptance.
ScriptedAnswer answerCall(const RequestHead &head, const std::string &extraHeader = {})
{
    const std::string body = head.target == "/v1/report" ? R"({"stage":"decode","busy":false,"sequence":0})" : "";
    return ScriptedAnswer{std::string(body.empty() ? "HTTP/1.1 202 Accepted\r\n" : "HTTP/1.1 200 OK\r\n") + extraHeader
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
}

/// Longer than the time after which a node orders changes, and some polls.
constexpr auto SomePolls = 5s;

} // namespace

BOOST_AUTO_TEST_SUITE(stage_controller)

BOOST_AUTO_TEST_CASE(orders_changes_from_engines_after_reading_their_reports)
{
    ControllerFixture fixture([](const RequestHead &head, const std::string &) {
        return answerCall(head);
    });
    fixture.runFor(SomePolls);
    BOOST_TEST(fixture.count("/v1/order") >= 1);
    BOOST_TEST(fixture.count("/v1/report") >= fixture.count("/v1/order"));
}

BOOST_AUTO_TEST_SUITE(an_engine)

BOOST_AUTO_TEST_CASE(whose_report_says_that_it_is_shutting_down_is_ordered_to_change)
{
    ControllerFixture fixture([](const RequestHead &head, const std::string &) {
        return answerCall(head, "Server-Leaving: 1\r\n");
    });
    fixture.runFor(SomePolls);
    BOOST_TEST(fixture.count("/v1/report") >= 1);
    BOOST_TEST(fixture.count("/v1/order") == 0);
    for (const auto &engine : fixture.engines) {
        BOOST_TEST(engine->targets.size() <= 1U);
    }
}

BOOST_AUTO_TEST_CASE(that_limits_its_request_rate_is_planned_for_as_if_it_took_any_number)
{
    // Two of four decode engines of twelve engines limited their rate; all streams went to the two others, which were overloaded.
    ControllerFixture fixture([](const RequestHead &head, const std::string &) {
        const std::string body = head.target == "/v1/report" ? R"({"stage":"prefill","busy":false,"sequence":0})" : "";
        return ScriptedAnswer{"HTTP/1.1 " + std::string(body.empty() ? "202" : "200")
            + " OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
    });
    const TimePoint now = fixture.state.clock.now();
    for (const char *id : {"i-1", "i-2", "i-3"}) {
        BackendRecord record = fixture.state.backends.find(ReplicaId(id))->record;
        record.stage = EngineStage::Prefill;
        fixture.state.backends.update(record, now);
    }
    fixture.state.backends.recordRequestRate(ReplicaId("i-4"), now, 2.0, now);
    fixture.runFor(SomePolls);
    BOOST_TEST(fixture.count("/v1/order") == 1);
    BOOST_TEST(fixture.engines.back()->targets.empty());
}

BOOST_AUTO_TEST_CASE(that_declines_after_the_announcement_of_its_change_is_asked_for_its_report)
{
    ControllerFixture fixture([](const RequestHead &head, const std::string &) {
        return answerCall(head);
    });
    const auto until = std::chrono::steady_clock::now() + SomePolls;
    while (fixture.state.changingEngines.empty() && std::chrono::steady_clock::now() < until) {
        fixture.runFor(10ms);
    }
    BOOST_REQUIRE(!fixture.state.changingEngines.empty());
    const TimePoint now = fixture.state.clock.now();
    for (const auto &[id, engine] : fixture.state.backends.all()) {
        fixture.state.backends.recordDecline(id, now, now + 30s);
    }
    fixture.runFor(2s);
    BOOST_TEST(fixture.count("/v1/report") == 0);
    BOOST_TEST(fixture.count("/v1/order") == 0);
}

BOOST_AUTO_TEST_CASE(that_declines_for_a_time_is_asked_for_its_report_again)
{
    ControllerFixture fixture([](const RequestHead &, const std::string &) {
        return ScriptedAnswer{"HTTP/1.1 503 Busy\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"};
    });
    fixture.runFor(SomePolls);
    BOOST_TEST(fixture.count("/v1/report") >= 1);
    BOOST_TEST(fixture.count("/v1/order") == 0);
    for (const auto &engine : fixture.engines) {
        BOOST_TEST(engine->targets.size() <= 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
