#pragma once

/**
 * @file
 * Orders that change the state of engines. An order is written to the table before it is sent, and at most one order per
 * engine is open. If the lease changes hands, the next holder completes an open order without changing it.
 *
 * The pure functions implement the transitions of models/lease_orders.pml.
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

/// The next action for one engine.
enum class OrderStep {
    Idle, ///< The engine is in the desired state and no order is open.
    Issue, ///< Write a new order and send it.
    Adopt, ///< Send the open order unchanged, with a new fencing token.
    Await, ///< Wait: the engine is changing, or has recently accepted the open order.
    Close, ///< Close the open order, because the engine is in the state that it requests.
    Blocked, ///< A different order is required, but an earlier sender may still send the last one.
};

/// The inputs of a decision about one engine.
struct OrderContext
{
    OrderRow row; ///< Default-constructed if the engine never had an order.
    LoadReport engine; ///< Report of the engine, read after the row.
    EngineTarget desired; ///< State in which the engine should be.
    bool checksFencing = false; ///< Whether the engine rejects old fencing tokens.
    bool sentRecently = false; ///< Whether the engine's present process recently accepted the open order from this process.
    FencingToken leaseToken; ///< Token of the lease that this process holds.
};

/**
 * Returns whether it is certain that a sender cannot send its order any more.
 * @param sender the sender
 * @param engine the engine's present incarnation
 * @param senderEnded whether it is certain that the sender's process has ended
 */
[[nodiscard]] bool canNoLongerSend(const PendingSender &sender, Incarnation engine, bool senderEnded) noexcept;

/// Selects the next action for one engine.
[[nodiscard]] OrderStep selectOrderStep(const OrderContext &context);

/// Returns whether an engine is in the target state and not changing.
[[nodiscard]] bool hasReached(const EngineTarget &target, const LoadReport &engine) noexcept;

/// Returns the row to write for an Issue step: the next order number and fencing token.
[[nodiscard]] OrderRow makeIssueRow(const OrderContext &context, const ProcessId &self, WriteAttemptId attempt);

/// Returns the row to write for an Adopt step: the same order with the next fencing token.
[[nodiscard]] OrderRow makeAdoptRow(const OrderContext &context, const ProcessId &self, WriteAttemptId attempt);

/// Returns the row to write for a Close step.
[[nodiscard]] OrderRow makeCloseRow(const OrderContext &context, WriteAttemptId attempt);

/// Returns the row without one pending sender. The sender writes it once it has received the engine's answer.
[[nodiscard]] OrderRow removeSender(OrderRow row, const ProcessId &self, FencingToken fencingToken, WriteAttemptId attempt);

/// Returns whether a row is consistent: at most one sender per fencing token, and none above the row's own token.
[[nodiscard]] bool isOrderRowConsistent(const OrderRow &row) noexcept;

/// Manages the orders of engines: brings each engine into its desired state, one step at a time.
class OrderManager
{
public:
    /// Returns whether it is certain that a process has ended.
    using HasEndedCheck = std::function<bool(const ProcessId &)>;

    /**
     * @param table table that contains the order rows
     * @param connector connects to the engines
     * @param lease lease that gives authority to write and send orders
     * @param clock clock of this process
     * @param decisions log in which orders are recorded
     * @param metrics counters
     * @param self this process
     * @param hasEnded returns whether an earlier sender's process has ended
     */
    OrderManager(TableStore &table,
        EngineConnector &connector,
        LeaseManager &lease,
        Clock &clock,
        DecisionLog &decisions,
        Metrics &metrics,
        ProcessId self,
        HasEndedCheck hasEnded);

    /**
     * Performs one step for one engine.
     * @param replica the engine
     * @param desired state in which the engine should be
     * @param maySend whether an order may be sent now; false while the engine is being drained
     * @return the selected step, which is not performed if it is Issue or Adopt and @p maySend is false; or the error that
     *         prevented a step
     */
    [[nodiscard]] asio::awaitable<Result<OrderStep>> step(ReplicaSpec replica, EngineTarget desired, bool maySend);

private:
    struct SentOrder
    {
        FencingToken fencingToken;
        Incarnation engine; ///< Incarnation of the engine that accepted the order.
        TimePoint sentAt;
    };
    /// The row and the engine as read at the start of a step.
    struct Snapshot
    {
        StorePosition version; ///< Version of the row; 0 if there is no row.
        OrderContext context;
        std::unique_ptr<EngineConnection> connection; ///< Connection to the engine process that reported its state.
    };

    [[nodiscard]] asio::awaitable<Result<Snapshot>> readSnapshot(
        const ReplicaSpec &replica, const EngineTarget &desired, const Authority &authority);
    [[nodiscard]] asio::awaitable<Result<OrderStep>> writeAndSend(const ReplicaSpec &replica, Snapshot snapshot, OrderStep step);
    /// Writes a row with the lease row as the guard. Retries if the guard failed only because this process renewed the lease.
    [[nodiscard]] asio::awaitable<WriteResult> writeGuarded(RowWrite write, FencingToken token);
    /// Removes this process from the row's pending senders; retries when another write comes first.
    [[nodiscard]] asio::awaitable<void> removePendingSender(
        const RowKey &key, OrderRow row, StorePosition version, FencingToken fencingToken);
    void recordDecision(const ReplicaSpec &replica, const OrderContext &context, const char *chosen);

    TableStore &m_table;
    EngineConnector &m_connector;
    LeaseManager &m_lease;
    Clock &m_clock;
    DecisionLog &m_decisions;
    Metrics &m_metrics;
    ProcessId m_self;
    HasEndedCheck m_hasEnded;
    std::map<ReplicaId, SentOrder> m_lastSent; ///< The last order that each engine accepted from this process.
    std::map<ReplicaId, std::string> m_lastBlocked; ///< The last recorded reason per engine, so that a lasting block is recorded once.
};

} // namespace apricotarch
