#include <array>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>

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

constexpr int DefaultSchedules = 500;
constexpr std::size_t NodeCount = 3;
constexpr std::size_t EngineCount = 2;

/// Schedules to run; `make soak` asks for more.
int scheduleCount()
{
    const char *asked = std::getenv("APRICOTARCH_SCHEDULES");
    return asked == nullptr ? DefaultSchedules : std::atoi(asked);
}

/// Random faults of one schedule, all from one seed.
class Faults
{
public:
    explicit Faults(unsigned seed)
        : m_random(seed)
    {
    }

    [[nodiscard]] bool chance(int percent)
    {
        return std::uniform_int_distribution<int>(0, 99)(m_random) < percent;
    }

    [[nodiscard]] Duration upTo(Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, most.count())(m_random));
    }

    [[nodiscard]] std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random);
    }

    /// A table request: mostly quick, at times slow, lost, late, or made by a process that pauses.
    [[nodiscard]] TableCourse tableCourse()
    {
        TableCourse course{TableFault::None, upTo(30ms), upTo(30ms)};
        if (chance(4)) {
            course.fault = static_cast<TableFault>(1 + below(4));
            course.before = upTo(3s);
        }
        if (chance(3)) {
            course.after = upTo(12s);
        }
        return course;
    }

    [[nodiscard]] SendCourse sendCourse()
    {
        SendCourse course{upTo(50ms), false};
        if (chance(25)) {
            course.before = upTo(20s);
        }
        course.answerLost = chance(15);
        return course;
    }

private:
    std::mt19937 m_random;
};

/// One node that runs lease and orders by itself.
struct HistoryNode
{
    HistoryNode(Bench &bench, standins::PlatformStore &store, FakeConnector &connector, Faults &faults, std::size_t index)
        : table(store, bench)
        , decisions(bench.clock, 10)
        , lease(table,
              bench.clock,
              decisions,
              metrics,
              {NodeId("node-" + std::to_string(index)), Incarnation(1)},
              DutyId("cell"),
              LeaseTimes())
        , orders(table,
              connector,
              lease,
              bench.clock,
              decisions,
              metrics,
              {NodeId("node-" + std::to_string(index)), Incarnation(1)},
              [](const ProcessId &) {
                  return false;
              })
    {
        table.course = [&faults](bool) {
            return faults.tableCourse();
        };
    }

    FakeTable table;
    DecisionLog decisions;
    Metrics metrics;
    LeaseKeeper lease;
    OrderKeeper orders;
};

/// Three nodes, an engine that checks fencing tokens and one that does not.
class History
{
public:
    explicit History(unsigned seed)
        : m_faults(seed)
    {
        for (std::size_t index = 0; index < EngineCount; ++index) {
            m_engines.at(index) = std::make_unique<FakeEngine>(m_bench, index == 0);
            m_engines.at(index)->course = [this] {
                return m_faults.sendCourse();
            };
            m_connector.engines[replica(index).id] = m_engines.at(index).get();
        }
        for (std::size_t index = 0; index < NodeCount; ++index) {
            m_nodes.at(index) = std::make_unique<HistoryNode>(m_bench, m_store, m_connector, m_faults, index);
        }
    }

    void run()
    {
        for (const auto &node : m_nodes) {
            m_bench.start(keepLease(*node));
            m_bench.start(giveOrders(*node));
        }
        m_bench.start(shiftWishes());
        m_bench.start(crashEngines());
        m_bench.pass(90s, [this] {
            checkAuthority();
            checkIntents();
        });
        m_running = false;
        m_bench.pass(60s);
        for (const auto &engine : m_engines) {
            checkOrders(*engine);
        }
    }

    [[nodiscard]] std::size_t ordersTaken() const
    {
        return m_engines[0]->taken.size() + m_engines[1]->taken.size();
    }

private:
    static ReplicaSpec replica(std::size_t index)
    {
        return {ReplicaId("engine-" + std::to_string(index)), {"127.0.0.1", 1}, ZoneId("a"), index == 0};
    }

    asio::awaitable<void> keepLease(HistoryNode &node)
    {
        while (m_running) {
            co_await node.lease.step();
            co_await m_bench.clock.sleep(500ms + m_faults.upTo(100ms));
        }
    }

    asio::awaitable<void> giveOrders(HistoryNode &node)
    {
        while (m_running) {
            for (std::size_t index = 0; index < EngineCount; ++index) {
                const EngineTarget wanted{{"plan", "", std::to_string(m_wish)}, EngineRole::Mixed};
                (void)co_await node.orders.step(replica(index), wanted, true);
            }
            co_await m_bench.clock.sleep(500ms + m_faults.upTo(100ms));
        }
    }

    asio::awaitable<void> shiftWishes()
    {
        while (m_running) {
            ++m_wish;
            co_await m_bench.clock.sleep(3s + m_faults.upTo(8s));
        }
    }

    asio::awaitable<void> crashEngines()
    {
        while (m_running) {
            co_await m_bench.clock.sleep(10s + m_faults.upTo(30s));
            m_engines.at(m_faults.below(EngineCount))->restart();
        }
    }

    void checkAuthority()
    {
        int holders = 0;
        for (const auto &node : m_nodes) {
            holders += node->lease.authority() ? 1 : 0;
        }
        BOOST_REQUIRE_LE(holders, 1);
    }

    /// A new order is written only under the lease that is in the table at that moment.
    void checkIntents()
    {
        for (std::size_t index = 0; index < EngineCount; ++index) {
            const std::optional<Row> row = m_store.read({"order", replica(index).id.value()});
            const OrderRow order = row ? decodeOrder(row->text).value() : OrderRow();
            if (order.number == m_lastNumbers.at(index)) {
                continue;
            }
            m_lastNumbers.at(index) = order.number;
            const LeaseRow lease = decodeLease(m_store.read({"lease", "cell"})->text).value();
            BOOST_REQUIRE_EQUAL(order.leaseToken, lease.token);
        }
    }

    static void checkOrders(const FakeEngine &engine)
    {
        std::map<OrderNumber, EngineTarget> targets;
        OrderNumber highest;
        Incarnation last(0);
        for (const TakenOrder &taken : engine.taken) {
            const auto known = targets.emplace(taken.order.number, taken.order.target);
            BOOST_REQUIRE_MESSAGE(known.first->second == taken.order.target, "one order number with two targets");
            BOOST_REQUIRE_MESSAGE(taken.order.number >= highest, "an order took effect after a later one");
            BOOST_REQUIRE_MESSAGE(taken.engine >= last, "an order reached a process that had ended");
            highest = taken.order.number;
            last = taken.engine;
        }
    }

    Faults m_faults;
    Bench m_bench;
    standins::PlatformStore m_store{m_bench.clock, {}};
    FakeConnector m_connector;
    std::array<std::unique_ptr<FakeEngine>, EngineCount> m_engines;
    std::array<std::unique_ptr<HistoryNode>, NodeCount> m_nodes;
    std::array<OrderNumber, EngineCount> m_lastNumbers;
    bool m_running = true;
    int m_wish = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(history)

BOOST_AUTO_TEST_CASE(no_engine_gets_conflicting_orders_under_random_faults)
{
    std::size_t orders = 0;
    for (int seed = 1; seed <= scheduleCount(); ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            History history(static_cast<unsigned>(seed));
            history.run();
            orders += history.ordersTaken();
        }
    }
    BOOST_TEST_MESSAGE("orders taken: " << orders);
    BOOST_TEST(orders > static_cast<std::size_t>(scheduleCount()));
}

BOOST_AUTO_TEST_SUITE_END()
