#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/order.h"
#include "apricotarch/state/row_codec.h"
#include "fakes/fake_engine.h"
#include "fakes/fake_table.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

const EngineTarget Third{{"plan", "", "3"}, EngineRole::Mixed};
const EngineTarget Fourth{{"plan", "", "4"}, EngineRole::Mixed};

/// One node with a lease and its orders.
struct Commander
{
    Commander(Bench &bench, standins::PlatformStore &store, FakeConnector &connector, const char *name)
        : self{NodeId(name), Incarnation(1)}
        , table(store, bench)
        , decisions(bench.clock, 100)
        , lease(table, bench.clock, decisions, metrics, self, DutyId("cell"), LeaseTimes())
        , orders(table, connector, lease, bench.clock, decisions, metrics, self, [this](const ProcessId &process) {
            return ended == process.node;
        })
    {
    }

    ProcessId self;
    NodeId ended;
    FakeTable table;
    DecisionLog decisions;
    Metrics metrics;
    LeaseKeeper lease;
    OrderKeeper orders;
};

struct OrderBench
{
    explicit OrderBench(bool checksFencing)
        : engine(bench, checksFencing)
        , replica{ReplicaId("engine"), {"127.0.0.1", 1}, ZoneId("a"), checksFencing}
    {
        connector.engines[replica.id] = &engine;
    }

    /// Rounds of lease and order for one node.
    void rounds(Commander &node, const EngineTarget &wanted, int count)
    {
        for (int round = 0; round < count; ++round) {
            bench.run(node.lease.step());
            (void)bench.run(node.orders.step(replica, wanted, true));
            bench.pass(500ms);
        }
    }

    /// Time passes in which only @p node looks at the lease.
    void takeOver(Commander &node)
    {
        while (!node.lease.authority()) {
            bench.run(node.lease.step());
            bench.pass(500ms);
        }
    }

    /// The first node sends the order for Third, which arrives late, and the second takes over.
    void pausedInTheSend(Duration late)
    {
        bench.run(first.lease.step());
        engine.course = [late] {
            return SendCourse{late, true};
        };
        (void)bench.run(first.orders.step(replica, Third, true));
        engine.course = [] {
            return SendCourse();
        };
        takeOver(second);
    }

    OrderRow row()
    {
        return decodeOrder(store.read({"order", "engine"})->text).value();
    }

    Bench bench;
    standins::PlatformStore store{bench.clock, {}};
    FakeConnector connector;
    FakeEngine engine;
    ReplicaSpec replica;
    Commander first{bench, store, connector, "first"};
    Commander second{bench, store, connector, "second"};
};

bool isDoneAt(FakeEngine &engine, const EngineTarget &target)
{
    return isDone(target, engine.load());
}

} // namespace

BOOST_AUTO_TEST_SUITE(order)

BOOST_AUTO_TEST_CASE(an_order_is_written_sent_and_closed)
{
    OrderBench bench(true);
    bench.rounds(bench.first, Third, 6);
    BOOST_TEST(isDoneAt(bench.engine, Third));
    BOOST_TEST(bench.engine.taken.size() == 1U);
    BOOST_TEST(!bench.row().open);
    BOOST_TEST(bench.row().pending.empty());
    BOOST_TEST(orderRowHolds(bench.row()));
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_without_the_lease)
{
    OrderBench bench(true);
    const auto step = bench.bench.run(bench.first.orders.step(bench.replica, Third, true));
    BOOST_TEST((step.error().id == ErrorId::NotHolder));
    BOOST_TEST(bench.engine.taken.empty());
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_to_an_engine_that_is_still_being_drained)
{
    OrderBench bench(true);
    bench.bench.run(bench.first.lease.step());
    (void)bench.bench.run(bench.first.orders.step(bench.replica, Third, false));
    BOOST_TEST(bench.engine.taken.empty());
    BOOST_TEST(!bench.store.read({"order", "engine"}).has_value());
}

BOOST_AUTO_TEST_CASE(the_holders_own_renewal_between_look_and_intent_is_no_conflict)
{
    OrderBench bench(true);
    bench.rounds(bench.first, Third, 6);
    bench.first.table.course = [](bool) {
        return TableCourse{TableFault::None, Duration(200ms), Duration(0)};
    };
    for (int round = 0; round < 40; ++round) {
        bench.bench.start(bench.first.lease.step());
        (void)bench.bench.run(bench.first.orders.step(bench.replica, round % 2 == 0 ? Fourth : Third, true));
        bench.bench.pass(300ms);
    }
    BOOST_TEST(bench.first.metrics.count(CounterFamily::Orders, "intent_not_written") == 0U);
}

BOOST_AUTO_TEST_SUITE(a_crashed_engine)

BOOST_AUTO_TEST_CASE(is_brought_into_its_state_again_without_an_operator)
{
    OrderBench bench(true);
    bench.rounds(bench.first, Third, 1);
    bench.engine.restart();
    bench.rounds(bench.first, Third, 8);
    BOOST_TEST(isDoneAt(bench.engine, Third));
    BOOST_TEST((bench.row().number == OrderNumber(1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_successor)

BOOST_AUTO_TEST_CASE(finishes_the_open_order_as_it_stands_before_its_own)
{
    OrderBench bench(true);
    bench.pausedInTheSend(1h);
    bench.rounds(bench.second, Fourth, 12);
    BOOST_REQUIRE(bench.engine.taken.size() >= 2U);
    BOOST_TEST((bench.engine.taken[0].order.target == Third));
    BOOST_TEST((bench.engine.taken.back().order.target == Fourth));
}

BOOST_AUTO_TEST_CASE(of_a_paused_sender_is_safe_at_an_engine_that_checks)
{
    OrderBench bench(true);
    bench.pausedInTheSend(60s);
    bench.rounds(bench.second, Fourth, 12);
    BOOST_TEST(isDoneAt(bench.engine, Fourth));
    bench.bench.pass(120s);
    BOOST_TEST(isDoneAt(bench.engine, Fourth));
    BOOST_TEST(bench.engine.refused == 1);
}

BOOST_AUTO_TEST_CASE(of_a_paused_sender_sends_no_other_order_to_an_engine_that_does_not_check)
{
    OrderBench bench(false);
    bench.pausedInTheSend(60s);
    bench.rounds(bench.second, Fourth, 12);
    BOOST_TEST(isDoneAt(bench.engine, Third));
    const auto blocked = bench.bench.run(bench.second.orders.step(bench.replica, Fourth, true));
    BOOST_TEST((blocked.value() == OrderStep::Blocked));
}

BOOST_AUTO_TEST_CASE(goes_on_once_the_engine_has_restarted)
{
    OrderBench bench(false);
    bench.pausedInTheSend(1h);
    bench.rounds(bench.second, Fourth, 6);
    bench.engine.restart();
    bench.rounds(bench.second, Fourth, 12);
    BOOST_TEST(isDoneAt(bench.engine, Fourth));
}

BOOST_AUTO_TEST_CASE(goes_on_once_the_senders_vm_has_ended)
{
    OrderBench bench(false);
    bench.pausedInTheSend(1h);
    bench.second.ended = NodeId("first");
    bench.rounds(bench.second, Fourth, 12);
    BOOST_TEST(isDoneAt(bench.engine, Fourth));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(rows_survive_their_codec)
{
    OrderRow row;
    row.number = OrderNumber(7);
    row.target = Third;
    row.open = true;
    row.fence = FencingToken(9);
    row.pending.push_back({NodeId("a"), Incarnation(2), Incarnation(3), FencingToken(9)});
    BOOST_TEST((decodeOrder(encodeOrder(row)).value() == row));
}

BOOST_AUTO_TEST_SUITE_END()
