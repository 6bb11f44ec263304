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

/// Returns the number of schedules to run; `make soak` sets a higher one in the environment.
int scheduleCount()
{
    const char *requested = std::getenv("APRICOTARCH_SCHEDULES");
    return requested == nullptr ? DefaultSchedules : std::atoi(requested);
}

/// Generates the random faults of one schedule from its seed.
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

    [[nodiscard]] Duration randomDuration(Duration maximum)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, maximum.count())(m_random));
    }

    [[nodiscard]] std::size_t randomIndex(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random);
    }

    /// Returns the behavior of a table request: usually fast, sometimes slow, lost, late, or followed by a pause of the process.
    [[nodiscard]] TableBehavior tableBehavior()
    {
        TableBehavior behavior{TableFault::None, randomDuration(30ms), randomDuration(30ms)};
        if (chance(4)) {
            behavior.fault = static_cast<TableFault>(1 + randomIndex(4));
            behavior.requestDelay = randomDuration(3s);
        }
        if (chance(3)) {
            behavior.answerDelay = randomDuration(12s);
        }
        return behavior;
    }

    [[nodiscard]] OrderTransmission makeTransmission()
    {
        OrderTransmission transmission{randomDuration(50ms), false};
        if (chance(25)) {
            transmission.delay = randomDuration(20s);
        }
        transmission.answerLost = chance(15);
        return transmission;
    }

private:
    std::mt19937 m_random;
};

/// One node with a lease manager and an order manager.
struct HistoryNode
{
    HistoryNode(TestLoop &loop, standins::PlatformStore &store, FakeConnector &connector, Faults &faults, std::size_t index)
        : table(store, loop)
        , decisions(loop.clock, 10)
        , lease(table,
              loop.clock,
              decisions,
              metrics,
              {NodeId("node-" + std::to_string(index)), Incarnation(1)},
              LeaseResourceId("cell"),
              LeaseTimes())
        , orders(table,
              connector,
              lease,
              loop.clock,
              decisions,
              metrics,
              {NodeId("node-" + std::to_string(index)), Incarnation(1)},
              [](const ProcessId &) {
                  return false;
              })
    {
        table.behavior = [&faults](bool) {
            return faults.tableBehavior();
        };
    }

    FakeTable table;
    DecisionLog decisions;
    Metrics metrics;
    LeaseManager lease;
    OrderManager orders;
};

/// Runs one random schedule with three nodes, an engine that checks fencing tokens and one that does not, and checks its history.
class History
{
public:
    explicit History(unsigned seed)
        : m_faults(seed)
    {
        for (std::size_t index = 0; index < EngineCount; ++index) {
            m_engines.at(index) = std::make_unique<FakeEngine>(m_loop, index == 0);
            m_engines.at(index)->nextTransmission = [this] {
                return m_faults.makeTransmission();
            };
            m_connector.engines[replica(index).id] = m_engines.at(index).get();
        }
        for (std::size_t index = 0; index < NodeCount; ++index) {
            m_nodes.at(index) = std::make_unique<HistoryNode>(m_loop, m_store, m_connector, m_faults, index);
        }
    }

    void run()
    {
        for (const auto &node : m_nodes) {
            m_loop.start(maintainLease(*node));
            m_loop.start(sendOrders(*node));
        }
        m_loop.start(changeDesiredVersions());
        m_loop.start(crashEngines());
        m_loop.advanceTime(90s, [this] {
            checkAuthority();
            checkOrderRows();
        });
        m_running = false;
        m_loop.advanceTime(60s);
        for (const auto &engine : m_engines) {
            checkOrders(*engine);
        }
    }

    [[nodiscard]] std::size_t acceptedOrderCount() const
    {
        return m_engines[0]->acceptedOrders.size() + m_engines[1]->acceptedOrders.size();
    }

private:
    static ReplicaSpec replica(std::size_t index)
    {
        return {ReplicaId("engine-" + std::to_string(index)), {"127.0.0.1", 1}, ZoneId("a"), index == 0};
    }

    asio::awaitable<void> maintainLease(HistoryNode &node)
    {
        while (m_running) {
            co_await node.lease.step();
            co_await m_loop.clock.sleep(500ms + m_faults.randomDuration(100ms));
        }
    }

    asio::awaitable<void> sendOrders(HistoryNode &node)
    {
        while (m_running) {
            for (std::size_t index = 0; index < EngineCount; ++index) {
                const EngineTarget desired{{"plan", "", std::to_string(m_desiredVersion)}, EngineRole::Mixed};
                (void)co_await node.orders.step(replica(index), desired, true);
            }
            co_await m_loop.clock.sleep(500ms + m_faults.randomDuration(100ms));
        }
    }

    asio::awaitable<void> changeDesiredVersions()
    {
        while (m_running) {
            ++m_desiredVersion;
            co_await m_loop.clock.sleep(3s + m_faults.randomDuration(8s));
        }
    }

    asio::awaitable<void> crashEngines()
    {
        while (m_running) {
            co_await m_loop.clock.sleep(10s + m_faults.randomDuration(30s));
            m_engines.at(m_faults.randomIndex(EngineCount))->restart();
        }
    }

    void checkAuthority()
    {
        int holderCount = 0;
        for (const auto &node : m_nodes) {
            holderCount += node->lease.authority() ? 1 : 0;
        }
        BOOST_REQUIRE_LE(holderCount, 1);
    }

    /// Checks that each new order was written under the lease that the table contained at that moment.
    void checkOrderRows()
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
        Incarnation lastEngine(0);
        for (const AcceptedOrder &accepted : engine.acceptedOrders) {
            const auto recorded = targets.emplace(accepted.order.number, accepted.order.target);
            BOOST_REQUIRE_MESSAGE(recorded.first->second == accepted.order.target, "one order number was sent with two targets");
            BOOST_REQUIRE_MESSAGE(accepted.order.number >= highest, "an order took effect after a later order");
            BOOST_REQUIRE_MESSAGE(accepted.engine >= lastEngine, "an order reached an engine process that had ended");
            highest = accepted.order.number;
            lastEngine = accepted.engine;
        }
    }

    Faults m_faults;
    TestLoop m_loop;
    standins::PlatformStore m_store{m_loop.clock, {}};
    FakeConnector m_connector;
    std::array<std::unique_ptr<FakeEngine>, EngineCount> m_engines;
    std::array<std::unique_ptr<HistoryNode>, NodeCount> m_nodes;
    std::array<OrderNumber, EngineCount> m_lastNumbers;
    bool m_running = true;
    int m_desiredVersion = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(history)

BOOST_AUTO_TEST_CASE(no_engine_receives_conflicting_orders_under_random_faults)
{
    std::size_t orders = 0;
    for (int seed = 1; seed <= scheduleCount(); ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            History history(static_cast<unsigned>(seed));
            history.run();
            orders += history.acceptedOrderCount();
        }
    }
    BOOST_TEST_MESSAGE("orders accepted by the engines: " << orders);
    BOOST_TEST(orders > static_cast<std::size_t>(scheduleCount()));
}

BOOST_AUTO_TEST_SUITE_END()
