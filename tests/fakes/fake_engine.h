#pragma once

/**
 * @file
 * An engine that records the orders that reach it, with late arrivals and restarts on demand.
 */

#include <functional>
#include <memory>
#include <vector>

#include "apricotarch/coordination/engines.h"
#include "fakes/manual_clock.h"

namespace apricotarch::fakes
{

/// How one order goes from its sender to the engine.
struct SendCourse
{
    Duration before{0}; ///< From the sender's last check to the engine; a paused sender or a slow network.
    bool answerLost = false;
};

/// An order that took effect.
struct TakenOrder
{
    EngineOrder order;
    Incarnation engine;
};

/// One engine.
class FakeEngine
{
public:
    using Course = std::function<SendCourse()>;

    FakeEngine(Bench &bench, bool checksFencing)
        : m_bench(bench)
        , m_checksFencing(checksFencing)
    {
    }

    Course course = [] {
        return SendCourse();
    };
    Duration changeTime = std::chrono::seconds(1);
    std::vector<TakenOrder> taken;
    int refused = 0;

    [[nodiscard]] bool checksFencing() const noexcept
    {
        return m_checksFencing;
    }

    [[nodiscard]] Incarnation incarnation() const noexcept
    {
        return m_incarnation;
    }

    /// A crash and a restart at once: a change that is going on is lost, and so is every connection.
    void restart()
    {
        m_incarnation = m_incarnation.next();
        m_changing = false;
        m_highest = FencingToken();
    }

    [[nodiscard]] LoadReport load()
    {
        finishChange();
        LoadReport report;
        report.incarnation = m_incarnation;
        report.changing = m_changing;
        report.state = m_state;
        return report;
    }

    /// Takes an order in that arrives now on a connection to @p incarnation. @return whether it was taken
    bool arrive(const EngineOrder &order, Incarnation incarnation)
    {
        if (incarnation != m_incarnation) {
            return false;
        }
        finishChange();
        if (m_checksFencing && order.fence < m_highest) {
            ++refused;
            return false;
        }
        m_highest = std::max(m_highest, order.fence);
        taken.push_back({order, m_incarnation});
        if (m_state != order.target) {
            m_changing = true;
            m_target = order.target;
            m_doneAt = m_bench.clock.now() + changeTime;
        }
        return true;
    }

    Bench &bench() noexcept
    {
        return m_bench;
    }

private:
    void finishChange()
    {
        if (m_changing && m_bench.clock.now() >= m_doneAt) {
            m_changing = false;
            m_state = m_target;
        }
    }

    Bench &m_bench;
    bool m_checksFencing;
    Incarnation m_incarnation{1};
    FencingToken m_highest;
    EngineTarget m_state;
    EngineTarget m_target;
    bool m_changing = false;
    TimePoint m_doneAt;
};

/// A connection to the engine's process as it was when the connection was made.
class FakeChannel final : public EngineChannel
{
public:
    explicit FakeChannel(FakeEngine &engine)
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
        const SendCourse now = m_engine.course();
        if (now.answerLost) {
            m_engine.bench().start(arriveLater(m_engine, order, m_incarnation, now.before));
            co_return fail(ErrorId::TimedOut, "fake.send", "engine", "no answer", Delivery::MaybeSent);
        }
        co_await m_engine.bench().clock.sleep(now.before);
        if (m_engine.incarnation() != m_incarnation) {
            co_return fail(ErrorId::ConnectionLost, "fake.send", "engine", "restarted", Delivery::MaybeSent);
        }
        if (!m_engine.arrive(order, m_incarnation)) {
            co_return fail(ErrorId::StaleToken, "fake.send", "engine", "old fencing token");
        }
        co_return Result<void>();
    }

private:
    static asio::awaitable<void> arriveLater(FakeEngine &engine, EngineOrder order, Incarnation incarnation, Duration delay)
    {
        co_await engine.bench().clock.sleep(delay);
        (void)engine.arrive(order, incarnation);
    }

    FakeEngine &m_engine;
    Incarnation m_incarnation;
};

/// Connects to the engines of a test by replica id.
class FakeConnector final : public EngineConnector
{
public:
    std::map<ReplicaId, FakeEngine *> engines;

    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<EngineChannel>>> connect(ReplicaSpec replica) override
    {
        std::unique_ptr<EngineChannel> channel = std::make_unique<FakeChannel>(*engines.at(replica.id));
        co_return channel;
    }
};

} // namespace apricotarch::fakes
