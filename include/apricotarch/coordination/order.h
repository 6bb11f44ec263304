#pragma once

/**
 * @file
 * Orders to engines: the intent is written before anything is sent, one order is open per engine, and a successor finishes
 * an open order as it stands.
 *
 * The pure functions have the names of the transitions in models/lease_orders.pml.
 */

#include <functional>
#include <map>
#include <string>

#include "apricotarch/coordination/conditional_write.h"
#include "apricotarch/coordination/engines.h"
#include "apricotarch/coordination/lease.h"
#include "apricotarch/state/decision_log.h"
#include "apricotarch/state/metrics.h"
#include "apricotarch/state/order_row.h"

namespace apricotarch
{

/// What to do with one engine now.
enum class OrderStep {
    Idle, ///< It is as wanted and nothing is open.
    Issue, ///< Write a new intent and send it.
    Adopt, ///< Send the open order as it stands, under a new fencing token.
    Await, ///< The open order is on its way.
    Close, ///< The open order is seen done.
    Blocked, ///< A different order is wanted, but an earlier sender may still send the last one.
};

/// What is known when deciding about one engine.
struct OrderSituation
{
    OrderRow row; ///< Default for an engine that never had an order.
    LoadReport engine; ///< Read after the row.
    EngineTarget wanted;
    bool checksFencing = false;
    bool sentLately = false; ///< Whether the engine's present process has just taken the open order from this process.
    FencingToken leaseToken; ///< Token that this process holds.
};

/**
 * Whether a sender is certain not to send any more.
 * @param sender the sender
 * @param engine the engine's present incarnation
 * @param senderEnded whether the sender's process is certain to have ended
 */
[[nodiscard]] bool isHarmless(const PendingSender &sender, Incarnation engine, bool senderEnded) noexcept;

/// Decides about one engine.
[[nodiscard]] OrderStep nextOrderStep(const OrderSituation &situation);

/// Whether an engine is as an order wants it.
[[nodiscard]] bool isDone(const EngineTarget &target, const LoadReport &engine) noexcept;

/// The row that Issue writes.
[[nodiscard]] OrderRow issueRow(const OrderSituation &situation, const ProcessId &self, AttemptId attempt);

/// The row that Adopt writes: same order, next fencing token.
[[nodiscard]] OrderRow adoptRow(const OrderSituation &situation, const ProcessId &self, AttemptId attempt);

/// The row that Close writes.
[[nodiscard]] OrderRow closeRow(const OrderSituation &situation, AttemptId attempt);

/// The row without one sender, written by that sender once it has its answer.
[[nodiscard]] OrderRow withoutSender(OrderRow row, const ProcessId &self, FencingToken fence, AttemptId attempt);

/// Whether rows hold what must always hold of them: at most one sender for each fence, and no fence above the row's.
[[nodiscard]] bool orderRowHolds(const OrderRow &row) noexcept;

/// Brings engines into the states wanted, one step at a time.
class OrderKeeper
{
public:
    /// Tells whether a process is certain to have ended.
    using EndedProbe = std::function<bool(const ProcessId &)>;

    /**
     * @param table where the rows are
     * @param connector to the engines
     * @param lease proof of authority
     * @param clock this process's clock
     * @param decisions where orders are explained
     * @param metrics counters
     * @param self this process
     * @param ended tells whether an earlier sender has ended
     */
    OrderKeeper(TableStore &table,
        EngineConnector &connector,
        LeaseKeeper &lease,
        Clock &clock,
        DecisionLog &decisions,
        Metrics &metrics,
        ProcessId self,
        EndedProbe ended);

    /**
     * One step for one engine.
     * @param replica the engine
     * @param wanted the state it should be in
     * @param maySend whether an order may be sent now; nothing is sent to an engine that is still being drained
     * @return the step taken, or why none could be
     */
    [[nodiscard]] asio::awaitable<Result<OrderStep>> step(ReplicaSpec replica, EngineTarget wanted, bool maySend);

private:
    struct SentOrder
    {
        FencingToken fence;
        Incarnation engine;
        TimePoint at;
    };
    struct Look
    {
        RowVersion version;
        OrderSituation situation;
        std::unique_ptr<EngineChannel> channel;
    };

    [[nodiscard]] asio::awaitable<Result<Look>> look(const ReplicaSpec &replica, const EngineTarget &wanted, const Authority &authority);
    [[nodiscard]] asio::awaitable<Result<OrderStep>> writeAndSend(const ReplicaSpec &replica, Look look, OrderStep step);
    /// Writes under the lease's guard, and again where only this process's own renewal came between.
    [[nodiscard]] asio::awaitable<WriteResult> writeGuarded(RowWrite write, FencingToken token);
    [[nodiscard]] asio::awaitable<void> forgetSender(const RowKey &key, OrderRow row, RowVersion version, FencingToken fence);
    void explain(const ReplicaSpec &replica, const OrderSituation &situation, const char *chosen);

    TableStore &m_table;
    EngineConnector &m_connector;
    LeaseKeeper &m_lease;
    Clock &m_clock;
    DecisionLog &m_decisions;
    Metrics &m_metrics;
    ProcessId m_self;
    EndedProbe m_ended;
    std::map<ReplicaId, SentOrder> m_sent; ///< The last order that each engine took from this process.
    std::map<ReplicaId, std::string> m_lastBlocked; ///< So that a lasting block is explained once.
};

} // namespace apricotarch
