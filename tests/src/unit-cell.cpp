#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/cell_controller.h"
#include "apricotarch/state/member_table.h"
#include "fakes/fake_engine.h"
#include "fakes/fake_table.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

EngineStatus makeStatus(const char *id, bool hasDesiredState, bool isUsable)
{
    return {ReplicaId(id), ServiceId("s"), hasDesiredState, isUsable, false};
}

/// A lease holder that controls a cell of three engines.
struct CellFixture
{
    CellFixture()
    {
        ServiceSpec service;
        service.id = ServiceId("s");
        service.model = {"plan", "", "4"};
        for (const char *id : {"e1", "e2", "e3"}) {
            engines[id] = std::make_unique<FakeEngine>(loop, true);
            engines[id]->receiveOrder({OrderNumber(0), FencingToken(0), {{"plan", "", "3"}, EngineRole::Mixed}}, Incarnation(1));
            service.replicas.push_back({ReplicaId(id), {"127.0.0.1", 1}, ZoneId("a"), true});
            connector.engines[ReplicaId(id)] = engines[id].get();
        }
        inForce.configuration.services = {service};
        inForce.configuration.policy.goodputFloor = 0.6;
        fleet.setReplicas(inForce.configuration);
        loop.advanceTime(2s);
        reportLoads(0);
    }

    void reportLoads(int running)
    {
        for (const auto &[id, engine] : engines) {
            LoadReport load = engine->load();
            load.running = running;
            fleet.handleLoadReport(ReplicaId(id), load, loop.clock.now());
        }
    }

    std::size_t changingCount()
    {
        std::size_t count = 0;
        for (const auto &[id, engine] : engines) {
            count += engine->load().changingStage ? 1 : 0;
        }
        return count;
    }

    std::size_t changedCount()
    {
        std::size_t count = 0;
        for (const auto &[id, engine] : engines) {
            count += engine->load().state.model.version == "4" ? 1 : 0;
        }
        return count;
    }

    /// Runs the lease and the cell every 500 ms for @p duration. @param running number of requests that each engine reports
    void run(Duration duration, int running)
    {
        const TimePoint end = loop.clock.now() + duration;
        while (loop.clock.now() < end) {
            loop.run(lease.step());
            reportLoads(running);
            loop.run(cell.reconcile(inForce));
            BOOST_REQUIRE_LE(changingCount(), 1U);
            loop.advanceTime(500ms);
        }
    }

    TestLoop loop;
    standins::PlatformStore store{loop.clock, {}};
    std::map<std::string, std::unique_ptr<FakeEngine>> engines;
    FakeConnector connector;
    FakeTable table{store, loop};
    DecisionLog decisions{loop.clock, 100};
    Metrics metrics;
    ReplicaTable fleet;
    ActiveConfiguration inForce;
    ProcessId self{NodeId("n"), Incarnation(1)};
    LeaseManager lease{table, loop.clock, decisions, metrics, self, LeaseResourceId("cell"), LeaseTimes()};
    OrderManager orders{table, connector, lease, loop.clock, decisions, metrics, self, [](const ProcessId &) {
                            return false;
                        }};
    CellController cell{orders, lease, fleet, loop.clock, metrics, ZoneId(), CellTimes()};
};

} // namespace

BOOST_AUTO_TEST_SUITE(cell)

BOOST_AUTO_TEST_SUITE(the_selected_engine)

BOOST_AUTO_TEST_CASE(stays_the_current_one_until_its_order_is_closed)
{
    BOOST_TEST(selectEngineToChange({makeStatus("a", true, true), makeStatus("b", false, true)}, ReplicaId("a"), 0.5)->value() == "a");
}

BOOST_AUTO_TEST_CASE(is_an_unusable_one_before_a_usable_one)
{
    BOOST_TEST(selectEngineToChange({makeStatus("a", false, true), makeStatus("b", false, false)}, ReplicaId(), 0.5)->value() == "b");
}

BOOST_AUTO_TEST_CASE(is_none_if_the_change_would_violate_the_floor)
{
    const std::vector<EngineStatus> engines = {makeStatus("a", false, true), makeStatus("b", true, false), makeStatus("c", true, true)};
    BOOST_TEST(!selectEngineToChange(engines, ReplicaId(), 0.7).has_value());
    BOOST_TEST(selectEngineToChange(engines, ReplicaId(), 0.3).has_value());
}

BOOST_AUTO_TEST_CASE(is_the_sole_engine_of_a_service_regardless_of_the_floor)
{
    BOOST_TEST(selectEngineToChange({makeStatus("a", false, true)}, ReplicaId(), 1.0)->value() == "a");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_roll_out)

BOOST_AUTO_TEST_CASE(changes_all_engines_one_at_a_time)
{
    CellFixture setup;
    setup.run(40s, 0);
    BOOST_TEST(setup.changedCount() == 3U);
    BOOST_TEST(setup.cell.drainingReplicas().empty());
}

BOOST_AUTO_TEST_CASE(changes_no_engine_that_is_still_busy)
{
    CellFixture setup;
    setup.run(30s, 2);
    BOOST_TEST(setup.changedCount() == 0U);
    BOOST_TEST(setup.cell.drainingReplicas().size() == 1U);
    setup.run(40s, 0);
    BOOST_TEST(setup.changedCount() == 3U);
}

BOOST_AUTO_TEST_CASE(is_completed_after_all_engines_crash_during_it)
{
    CellFixture setup;
    setup.run(4s, 0);
    for (const auto &[id, engine] : setup.engines) {
        engine->restart();
    }
    setup.run(60s, 0);
    BOOST_TEST(setup.changedCount() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(members)

BOOST_AUTO_TEST_CASE(become_suspect_then_gone_and_are_reported_as_ended_once_that_is_certain)
{
    MemberTable members{MemberTimeouts()};
    const TimePoint start(std::chrono::hours(1));
    Heartbeat heartbeat;
    heartbeat.node = NodeId("a");
    heartbeat.incarnation = Incarnation(2);
    heartbeat.sequence = 5;
    BOOST_TEST(members.handleHeartbeat(heartbeat, start, std::nullopt));
    BOOST_TEST(!members.handleHeartbeat(heartbeat, start, std::nullopt));
    heartbeat.incarnation = Incarnation(1);
    heartbeat.sequence = 9;
    BOOST_TEST(!members.handleHeartbeat(heartbeat, start, std::nullopt));
    BOOST_TEST((members.member(NodeId("a"), start)->status == MemberStatus::Alive));
    BOOST_TEST((members.member(NodeId("a"), start + 3s)->status == MemberStatus::Suspect));
    BOOST_TEST((members.member(NodeId("a"), start + 11s)->status == MemberStatus::Gone));
    BOOST_TEST(members.hasEnded(NodeId("a"), Incarnation(1), start));
    BOOST_TEST(!members.hasEnded(NodeId("a"), Incarnation(2), start + 1h));
    members.setVms({{"a", true}}, start);
    BOOST_TEST((members.member(NodeId("a"), start)->status == MemberStatus::Draining));
    members.setVms({}, start + 1s);
    BOOST_TEST(members.isVmShuttingDown("a"));
    BOOST_TEST(!members.hasEnded(NodeId("a"), Incarnation(2), start + 5s));
    BOOST_TEST(members.hasEnded(NodeId("a"), Incarnation(2), start + 60s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
