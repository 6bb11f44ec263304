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

const EngineTarget Version3{{"plan", "", "3"}, EngineRole::Mixed};
const EngineTarget Version4{{"plan", "", "4"}, EngineRole::Mixed};

/// One node that competes for the lease and sends orders.
struct OrderNode
{
    OrderNode(TestLoop &loop, standins::PlatformStore &store, FakeConnector &connector, const char *name)
        : self{NodeId(name), Incarnation(1)}
        , table(store, loop)
        , decisions(loop.clock, 100)
        , lease(table, loop.clock, decisions, metrics, self, LeaseResourceId("cell"), LeaseTimes())
        , orders(table, connector, lease, loop.clock, decisions, metrics, self, [this](const ProcessId &process) {
            return endedNode == process.node;
        })
    {
    }

    ProcessId self;
    NodeId endedNode;
    FakeTable table;
    DecisionLog decisions;
    Metrics metrics;
    LeaseManager lease;
    OrderManager orders;
};

/// Two nodes that send orders to one engine.
struct OrderFixture
{
    explicit OrderFixture(bool checksFencing)
        : engine(loop, checksFencing)
        , replica{ReplicaId("engine"), {"127.0.0.1", 1}, ZoneId("a"), checksFencing}
    {
        connector.engines[replica.id] = &engine;
    }

    /// Runs @p count iterations of the lease and the orders of one node.
    void runIterations(OrderNode &node, const EngineTarget &desired, int count)
    {
        for (int iteration = 0; iteration < count; ++iteration) {
            loop.run(node.lease.step());
            (void)loop.run(node.orders.step(replica, desired, true));
            loop.advanceTime(500ms);
        }
    }

    /// Lets time pass until @p node holds the lease; no other node renews it during this time.
    void takeOver(OrderNode &node)
    {
        while (!node.lease.authority()) {
            loop.run(node.lease.step());
            loop.advanceTime(500ms);
        }
    }

    /// Sends the first node's order for Version3, which arrives after @p delay, loses the answer, and lets the second node take the lease.
    void pauseFirstDuringSend(Duration delay)
    {
        loop.run(first.lease.step());
        engine.nextTransmission = [delay] {
            return OrderTransmission{delay, true};
        };
        (void)loop.run(first.orders.step(replica, Version3, true));
        engine.nextTransmission = [] {
            return OrderTransmission();
        };
        takeOver(second);
    }

    OrderRow row()
    {
        return decodeOrder(store.read({"order", "engine"})->text).value();
    }

    TestLoop loop;
    standins::PlatformStore store{loop.clock, {}};
    FakeConnector connector;
    FakeEngine engine;
    ReplicaSpec replica;
    OrderNode first{loop, store, connector, "first"};
    OrderNode second{loop, store, connector, "second"};
};

bool engineHasReached(FakeEngine &engine, const EngineTarget &target)
{
    return hasReached(target, engine.load());
}

} // namespace

BOOST_AUTO_TEST_SUITE(order)

BOOST_AUTO_TEST_CASE(an_order_is_written_then_sent_then_closed)
{
    OrderFixture setup(true);
    setup.runIterations(setup.first, Version3, 6);
    BOOST_TEST(engineHasReached(setup.engine, Version3));
    BOOST_TEST(setup.engine.acceptedOrders.size() == 1U);
    BOOST_TEST(!setup.row().open);
    BOOST_TEST(setup.row().pending.empty());
    BOOST_TEST(isOrderRowConsistent(setup.row()));
}

BOOST_AUTO_TEST_CASE(no_order_is_sent_without_the_lease)
{
    OrderFixture setup(true);
    const auto step = setup.loop.run(setup.first.orders.step(setup.replica, Version3, true));
    BOOST_TEST((step.error().id == ErrorId::NotHolder));
    BOOST_TEST(setup.engine.acceptedOrders.empty());
}

BOOST_AUTO_TEST_CASE(no_order_is_written_or_sent_to_an_engine_that_is_being_drained)
{
    OrderFixture setup(true);
    setup.loop.run(setup.first.lease.step());
    (void)setup.loop.run(setup.first.orders.step(setup.replica, Version3, false));
    BOOST_TEST(setup.engine.acceptedOrders.empty());
    BOOST_TEST(!setup.store.read({"order", "engine"}).has_value());
}

BOOST_AUTO_TEST_CASE(a_renewal_by_the_holder_between_reading_and_writing_the_order_row_causes_no_conflict)
{
    OrderFixture setup(true);
    setup.runIterations(setup.first, Version3, 6);
    setup.first.table.behavior = [](bool) {
        return TableBehavior{TableFault::None, Duration(200ms), Duration(0)};
    };
    for (int iteration = 0; iteration < 40; ++iteration) {
        setup.loop.start(setup.first.lease.step());
        (void)setup.loop.run(setup.first.orders.step(setup.replica, iteration % 2 == 0 ? Version4 : Version3, true));
        setup.loop.advanceTime(300ms);
    }
    BOOST_TEST(setup.first.metrics.count(CounterFamily::Orders, "intent_not_written") == 0U);
}

BOOST_AUTO_TEST_SUITE(a_crashed_engine)

BOOST_AUTO_TEST_CASE(is_returned_to_its_desired_state_without_an_operator)
{
    OrderFixture setup(true);
    setup.runIterations(setup.first, Version3, 1);
    setup.engine.restart();
    setup.runIterations(setup.first, Version3, 8);
    BOOST_TEST(engineHasReached(setup.engine, Version3));
    BOOST_TEST((setup.row().number == OrderNumber(1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_next_lease_holder)

BOOST_AUTO_TEST_CASE(completes_the_open_order_unchanged_before_it_sends_its_own)
{
    OrderFixture setup(true);
    setup.pauseFirstDuringSend(1h);
    setup.runIterations(setup.second, Version4, 12);
    BOOST_REQUIRE(setup.engine.acceptedOrders.size() >= 2U);
    BOOST_TEST((setup.engine.acceptedOrders[0].order.target == Version3));
    BOOST_TEST((setup.engine.acceptedOrders.back().order.target == Version4));
}

BOOST_AUTO_TEST_CASE(is_protected_from_a_late_order_of_a_paused_sender_by_an_engine_that_checks_fencing_tokens)
{
    OrderFixture setup(true);
    setup.pauseFirstDuringSend(60s);
    setup.runIterations(setup.second, Version4, 12);
    BOOST_TEST(engineHasReached(setup.engine, Version4));
    setup.loop.advanceTime(120s);
    BOOST_TEST(engineHasReached(setup.engine, Version4));
    BOOST_TEST(setup.engine.refusedOrders == 1);
}

BOOST_AUTO_TEST_CASE(sends_no_different_order_while_a_paused_sender_may_still_send_to_an_engine_that_does_not_check_fencing_tokens)
{
    OrderFixture setup(false);
    setup.pauseFirstDuringSend(60s);
    setup.runIterations(setup.second, Version4, 12);
    BOOST_TEST(engineHasReached(setup.engine, Version3));
    const auto blocked = setup.loop.run(setup.second.orders.step(setup.replica, Version4, true));
    BOOST_TEST((blocked.value() == OrderStep::Blocked));
}

BOOST_AUTO_TEST_CASE(sends_its_order_once_the_engine_has_restarted)
{
    OrderFixture setup(false);
    setup.pauseFirstDuringSend(1h);
    setup.runIterations(setup.second, Version4, 6);
    setup.engine.restart();
    setup.runIterations(setup.second, Version4, 12);
    BOOST_TEST(engineHasReached(setup.engine, Version4));
}

BOOST_AUTO_TEST_CASE(sends_its_order_once_the_senders_vm_has_ended)
{
    OrderFixture setup(false);
    setup.pauseFirstDuringSend(1h);
    setup.second.endedNode = NodeId("first");
    setup.runIterations(setup.second, Version4, 12);
    BOOST_TEST(engineHasReached(setup.engine, Version4));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(an_order_row_is_unchanged_by_encoding_and_decoding)
{
    OrderRow row;
    row.number = OrderNumber(7);
    row.target = Version3;
    row.open = true;
    row.fencingToken = FencingToken(9);
    row.pending.push_back({NodeId("a"), Incarnation(2), Incarnation(3), FencingToken(9)});
    BOOST_TEST((decodeOrder(encodeOrder(row)).value() == row));
}

BOOST_AUTO_TEST_SUITE_END()
