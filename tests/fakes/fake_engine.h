#pragma once

/**
 * @file
 * Fake engine that records the orders it receives and can delay orders and restart.
 */

#include <functional>
#include <memory>
#include <vector>

#include "apricotarch/coordination/engines.h"
#include "fakes/manual_clock.h"

namespace apricotarch::fakes
{

/// Scripted transmission of one order from its sender to the engine.
struct OrderTransmission
{
    Duration delay{0}; ///< Delay between the sender's last check and the arrival, as with a paused sender or a slow network.
    bool answerLost = false; ///< Whether the sender gets a timeout although the order arrives.
};

/// An order that the engine has accepted.
struct AcceptedOrder
{
    EngineOrder order;
    Incarnation engine; ///< Incarnation of the engine that accepted the order.
};

/// Fake engine with a state, an incarnation and optional checks of fencing tokens.
class FakeEngine
{
public:
    using TransmissionScript = std::function<OrderTransmission()>;

    FakeEngine(TestLoop &loop, bool checksFencing)
        : m_loop(loop)
        , m_checksFencing(checksFencing)
    {
    }

    TransmissionScript nextTransmission = [] {
        return OrderTransmission();
    };
    Duration changeTime = std::chrono::seconds(1);
    std::vector<AcceptedOrder> acceptedOrders;
    int refusedOrders = 0;

    [[nodiscard]] bool checksFencing() const noexcept
    {
        return m_checksFencing;
    }

    [[nodiscard]] Incarnation incarnation() const noexcept
    {
        return m_incarnation;
    }

    /// Simulates a crash and an immediate restart: a change in progress and all connections are lost.
    void restart()
    {
        m_incarnation = m_incarnation.next();
        m_changing = false;
        m_highestToken = FencingToken();
    }

    [[nodiscard]] LoadReport load()
    {
        finishChange();
        LoadReport report;
        report.incarnation = m_incarnation;
        report.changingStage = m_changing;
        report.state = m_state;
        return report;
    }

    /// Processes an order that arrives on a connection to @p incarnation. @return whether it was accepted
    bool receiveOrder(const EngineOrder &order, Incarnation incarnation)
    {
        if (incarnation != m_incarnation) {
            return false;
        }
        finishChange();
        if (m_checksFencing && order.fencingToken < m_highestToken) {
            ++refusedOrders;
            return false;
        }
        m_highestToken = std::max(m_highestToken, order.fencingToken);
        acceptedOrders.push_back({order, m_incarnation});
        if (m_state != order.target) {
            m_changing = true;
            m_target = order.target;
            m_changeEndsAt = m_loop.clock.now() + changeTime;
        }
        return true;
    }

    TestLoop &loop() noexcept
    {
        return m_loop;
    }

private:
    void finishChange()
    {
        if (m_changing && m_loop.clock.now() >= m_changeEndsAt) {
            m_changing = false;
            m_state = m_target;
        }
    }

    TestLoop &m_loop;
    bool m_checksFencing;
    Incarnation m_incarnation{1};
    FencingToken m_highestToken;
    EngineTarget m_state;
    EngineTarget m_target;
    bool m_changing = false;
    TimePoint m_changeEndsAt;
};

/// Connection to the incarnation of the engine that existed when the connection was established.
class FakeEngineConnection final : public EngineConnection
{
public:
    explicit FakeEngineConnection(FakeEngine &engine)
        : m_engine(engine)
        , m_incarnation(engine.incarnation())
    {
    }

    [[nodiscard]] asio::awaitable<Result<LoadReport>> load() override
    {
        if (m_engine.incarnation() != m_incarnation) {
            co_return fail(ErrorId::ConnectionLost, "fake.load", "engine", "restarted", Delivery::MaybeSent);
        }
        co_return m_engine.load();
    }

    [[nodiscard]] asio::awaitable<Result<void>> send(EngineOrder order) override
    {
        const OrderTransmission transmission = m_engine.nextTransmission();
        if (transmission.answerLost) {
            m_engine.loop().start(deliverAfterDelay(m_engine, order, m_incarnation, transmission.delay));
            co_return fail(ErrorId::TimedOut, "fake.send", "engine", "no answer", Delivery::MaybeSent);
        }
        co_await m_engine.loop().clock.sleep(transmission.delay);
        if (m_engine.incarnation() != m_incarnation) {
            co_return fail(ErrorId::ConnectionLost, "fake.send", "engine", "restarted", Delivery::MaybeSent);
        }
        if (!m_engine.receiveOrder(order, m_incarnation)) {
            co_return fail(ErrorId::StaleToken, "fake.send", "engine", "old fencing token");
        }
        co_return Result<void>();
    }

private:
    static asio::awaitable<void> deliverAfterDelay(FakeEngine &engine, EngineOrder order, Incarnation incarnation, Duration delay)
    {
        co_await engine.loop().clock.sleep(delay);
        (void)engine.receiveOrder(order, incarnation);
    }

    FakeEngine &m_engine;
    Incarnation m_incarnation;
};

/// Connects to a test's fake engines by replica id.
class FakeConnector final : public EngineConnector
{
public:
    std::map<ReplicaId, FakeEngine *> engines;

    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<EngineConnection>>> connect(ReplicaSpec replica) override
    {
        std::unique_ptr<EngineConnection> connection = std::make_unique<FakeEngineConnection>(*engines.at(replica.id));
        co_return connection;
    }
};

} // namespace apricotarch::fakes
