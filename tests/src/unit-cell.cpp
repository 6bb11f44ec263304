#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/cell_keeper.h"
#include "apricotarch/state/members.h"
#include "fakes/fake_engine.h"
#include "fakes/fake_table.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

EngineNeed need(const char *id, bool asWanted, bool usable)
{
    return {ReplicaId(id), ServiceId("s"), asWanted, usable, false};
}

/// A holder of the duty over three engines.
struct CellBench
{
    CellBench()
    {
        ServiceSpec service;
        service.id = ServiceId("s");
        service.model = {"plan", "", "4"};
        for (const char *id : {"e1", "e2", "e3"}) {
            engines[id] = std::make_unique<FakeEngine>(bench, true);
            engines[id]->arrive({OrderNumber(0), FencingToken(0), {{"plan", "", "3"}, EngineRole::Mixed}}, Incarnation(1));
            service.replicas.push_back({ReplicaId(id), {"127.0.0.1", 1}, ZoneId("a"), true});
            connector.engines[ReplicaId(id)] = engines[id].get();
        }
        inForce.configuration.services = {service};
        inForce.configuration.policy.goodputFloor = 0.6;
        fleet.assign(inForce.configuration);
        bench.pass(2s);
        report(0);
    }

    void report(int running)
    {
        for (const auto &[id, engine] : engines) {
            LoadReport load = engine->load();
            load.running = running;
            fleet.report(ReplicaId(id), load, bench.clock.now());
        }
    }

    std::size_t changing()
    {
        std::size_t count = 0;
        for (const auto &[id, engine] : engines) {
            count += engine->load().changing ? 1 : 0;
        }
        return count;
    }

    std::size_t changed()
    {
        std::size_t count = 0;
        for (const auto &[id, engine] : engines) {
            count += engine->load().state.model.version == "4" ? 1 : 0;
        }
        return count;
    }

    /// Rounds of the duty. @param running requests that every engine reports
    void live(Duration duration, int running)
    {
        const TimePoint end = bench.clock.now() + duration;
        while (bench.clock.now() < end) {
            bench.run(lease.step());
            report(running);
            bench.run(cell.round(inForce));
            BOOST_REQUIRE_LE(changing(), 1U);
            bench.pass(500ms);
        }
    }

    Bench bench;
    standins::PlatformStore store{bench.clock, {}};
    std::map<std::string, std::unique_ptr<FakeEngine>> engines;
    FakeConnector connector;
    FakeTable table{store, bench};
    DecisionLog decisions{bench.clock, 100};
    Metrics metrics;
    Fleet fleet;
    ConfigurationInForce inForce;
    ProcessId self{NodeId("n"), Incarnation(1)};
    LeaseKeeper lease{table, bench.clock, decisions, metrics, self, DutyId("cell"), LeaseTimes()};
    OrderKeeper orders{table, connector, lease, bench.clock, decisions, metrics, self, [](const ProcessId &) {
                           return false;
                       }};
    CellKeeper cell{orders, lease, fleet, bench.clock, metrics, ZoneId(), CellTimes()};
};

} // namespace

BOOST_AUTO_TEST_SUITE(cell)

BOOST_AUTO_TEST_SUITE(the_next_engine)

BOOST_AUTO_TEST_CASE(is_the_present_one_until_its_order_is_closed)
{
    BOOST_TEST(nextToChange({need("a", true, true), need("b", false, true)}, ReplicaId("a"), 0.5)->value() == "a");
}

BOOST_AUTO_TEST_CASE(is_one_that_is_of_no_use_before_one_that_is)
{
    BOOST_TEST(nextToChange({need("a", false, true), need("b", false, false)}, ReplicaId(), 0.5)->value() == "b");
}

BOOST_AUTO_TEST_CASE(is_none_where_the_floor_would_be_broken)
{
    const std::vector<EngineNeed> engines = {need("a", false, true), need("b", true, false), need("c", true, true)};
    BOOST_TEST(!nextToChange(engines, ReplicaId(), 0.7).has_value());
    BOOST_TEST(nextToChange(engines, ReplicaId(), 0.3).has_value());
}

BOOST_AUTO_TEST_CASE(is_a_lone_engine_whatever_the_floor)
{
    BOOST_TEST(nextToChange({need("a", false, true)}, ReplicaId(), 1.0)->value() == "a");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_roll_out)

BOOST_AUTO_TEST_CASE(goes_through_all_engines_one_at_a_time)
{
    CellBench bench;
    bench.live(40s, 0);
    BOOST_TEST(bench.changed() == 3U);
    BOOST_TEST(bench.cell.drainingReplicas().empty());
}

BOOST_AUTO_TEST_CASE(changes_no_engine_that_is_still_at_work)
{
    CellBench bench;
    bench.live(30s, 2);
    BOOST_TEST(bench.changed() == 0U);
    BOOST_TEST(bench.cell.drainingReplicas().size() == 1U);
    bench.live(40s, 0);
    BOOST_TEST(bench.changed() == 3U);
}

BOOST_AUTO_TEST_CASE(is_repaired_after_a_crash_in_the_middle)
{
    CellBench bench;
    bench.live(4s, 0);
    for (const auto &[id, engine] : bench.engines) {
        engine->restart();
    }
    bench.live(60s, 0);
    BOOST_TEST(bench.changed() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(members)

BOOST_AUTO_TEST_CASE(are_suspected_given_up_and_known_to_have_ended)
{
    Members members{MemberTimes()};
    const TimePoint start(std::chrono::hours(1));
    Heartbeat beat;
    beat.node = NodeId("a");
    beat.incarnation = Incarnation(2);
    beat.sequence = 5;
    BOOST_TEST(members.hear(beat, start, std::nullopt));
    BOOST_TEST(!members.hear(beat, start, std::nullopt));
    beat.incarnation = Incarnation(1);
    beat.sequence = 9;
    BOOST_TEST(!members.hear(beat, start, std::nullopt));
    BOOST_TEST((members.member(NodeId("a"), start)->status == MemberStatus::Alive));
    BOOST_TEST((members.member(NodeId("a"), start + 3s)->status == MemberStatus::Suspect));
    BOOST_TEST((members.member(NodeId("a"), start + 11s)->status == MemberStatus::Gone));
    BOOST_TEST(members.ended(NodeId("a"), Incarnation(1), start));
    BOOST_TEST(!members.ended(NodeId("a"), Incarnation(2), start + 1h));
    members.setVms({{"a", true}}, start);
    BOOST_TEST((members.member(NodeId("a"), start)->status == MemberStatus::Draining));
    members.setVms({}, start + 1s);
    BOOST_TEST(members.vmLeaving("a"));
    BOOST_TEST(!members.ended(NodeId("a"), Incarnation(2), start + 5s));
    BOOST_TEST(members.ended(NodeId("a"), Incarnation(2), start + 60s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
