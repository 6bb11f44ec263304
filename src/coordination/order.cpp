#include "apricotarch/coordination/order.h"

#include <algorithm>
#include <set>
#include <utility>

#include "apricotarch/base/hash.h"
#include "apricotarch/state/row_codec.h"

namespace apricotarch
{

namespace
{

/// Time after which an open order that the engine accepted is sent again, if the engine neither changes nor has reached the target.
constexpr std::chrono::seconds ResendInterval{5};

void addSender(OrderRow &row, const OrderContext &context, const ProcessId &self)
{
    row.fencingToken = row.fencingToken.next();
    row.leaseToken = context.leaseToken;
    row.pending.push_back({self.node, self.incarnation, context.engine.incarnation, row.fencingToken});
}

std::string toString(const EngineTarget &target)
{
    std::string line = target.model.model + '@' + target.model.version + '/' + roleName(target.role);
    return target.model.adapter.empty() ? line : line + '+' + target.model.adapter;
}

std::string toString(const OrderRow &row)
{
    std::string senders;
    for (const PendingSender &sender : row.pending) {
        senders += (senders.empty() ? "" : ",") + sender.node.value() + '#' + std::to_string(sender.fencingToken.value());
    }
    return "order=" + std::to_string(row.number.value()) + " open=" + (row.open ? "true" : "false")
        + " fence=" + std::to_string(row.fencingToken.value()) + " pending=[" + senders + ']';
}

const char *stepName(OrderStep step) noexcept
{
    switch (step) {
    case OrderStep::Idle:
        return "idle";
    case OrderStep::Issue:
        return "issued";
    case OrderStep::Adopt:
        return "adopted";
    case OrderStep::Await:
        return "awaited";
    case OrderStep::Close:
        return "closed";
    case OrderStep::Blocked:
        return "blocked";
    }
    return "unknown";
}

Failure notHolderFailure(const ReplicaSpec &replica)
{
    return fail(ErrorId::NotHolder,
        "order.check_authority",
        replica.id.value(),
        "this process no longer holds the lease; the next holder continues with the order");
}

} // namespace

bool canNoLongerSend(const PendingSender &sender, Incarnation engine, bool senderEnded) noexcept
{
    return senderEnded || sender.engineIncarnation != engine;
}

bool hasReached(const EngineTarget &target, const LoadReport &engine) noexcept
{
    return engine.state == target && !engine.changingStage;
}

OrderStep selectOrderStep(const OrderContext &context)
{
    const OrderRow &row = context.row;
    if (row.open) {
        if (hasReached(row.target, context.engine)) {
            return OrderStep::Close;
        }
        const bool isInProgress = context.engine.changingStage || context.sentRecently;
        return isInProgress ? OrderStep::Await : OrderStep::Adopt;
    }
    if (hasReached(context.desired, context.engine)) {
        return OrderStep::Idle;
    }
    if (context.engine.changingStage) {
        return OrderStep::Await;
    }
    const bool lateOrderPossible = !context.checksFencing && !row.pending.empty();
    if (lateOrderPossible && row.target != context.desired) {
        return OrderStep::Blocked;
    }
    return OrderStep::Issue;
}

OrderRow makeIssueRow(const OrderContext &context, const ProcessId &self, WriteAttemptId attempt)
{
    OrderRow row = context.row;
    row.number = row.number.next();
    row.target = context.desired;
    row.open = true;
    row.attempt = std::move(attempt);
    addSender(row, context, self);
    return row;
}

OrderRow makeAdoptRow(const OrderContext &context, const ProcessId &self, WriteAttemptId attempt)
{
    OrderRow row = context.row;
    row.attempt = std::move(attempt);
    addSender(row, context, self);
    return row;
}

OrderRow makeCloseRow(const OrderContext &context, WriteAttemptId attempt)
{
    OrderRow row = context.row;
    row.open = false;
    row.leaseToken = context.leaseToken;
    row.attempt = std::move(attempt);
    return row;
}

OrderRow removeSender(OrderRow row, const ProcessId &self, FencingToken fencingToken, WriteAttemptId attempt)
{
    std::erase_if(row.pending, [&](const PendingSender &sender) {
        return sender.node == self.node && sender.incarnation == self.incarnation && sender.fencingToken == fencingToken;
    });
    row.attempt = std::move(attempt);
    return row;
}

bool isOrderRowConsistent(const OrderRow &row) noexcept
{
    std::set<FencingToken> fencingTokens;
    return std::ranges::all_of(row.pending, [&](const PendingSender &sender) {
        return sender.fencingToken <= row.fencingToken && fencingTokens.insert(sender.fencingToken).second;
    });
}

OrderManager::OrderManager(TableStore &table,
    EngineConnector &connector,
    LeaseManager &lease,
    Clock &clock,
    DecisionLog &decisions,
    Metrics &metrics,
    ProcessId self,
    HasEndedCheck hasEnded)
    : m_table(table)
    , m_connector(connector)
    , m_lease(lease)
    , m_clock(clock)
    , m_decisions(decisions)
    , m_metrics(metrics)
    , m_self(std::move(self))
    , m_hasEnded(std::move(hasEnded))
{
}

void OrderManager::recordDecision(const ReplicaSpec &replica, const OrderContext &context, const char *chosen)
{
    m_metrics.increment(CounterFamily::Orders, chosen);
    m_decisions.add({.kind = DecisionKind::Order,
        .subject = replica.id.value(),
        .seen = "engine=" + toString(context.engine.state) + (context.engine.changingStage ? " changing " : " ") + toString(context.row),
        .weighed = "wanted=" + toString(context.desired) + " lease_token=" + std::to_string(context.leaseToken.value())
            + " checks_fencing=" + (context.checksFencing ? "true" : "false"),
        .chosen = chosen});
}

asio::awaitable<Result<OrderManager::Snapshot>> OrderManager::readSnapshot(
    const ReplicaSpec &replica, const EngineTarget &desired, const Authority &authority)
{
    Snapshot snapshot;
    const RowKey key{"order", replica.id.value()};
    const Result<std::optional<Row>> read = co_await m_table.read(key);
    if (!read) {
        co_return Failure(read.error());
    }
    if (*read) {
        const Result<OrderRow> row = decodeOrder((*read)->text);
        if (!row) {
            co_return Failure(row.error());
        }
        snapshot.version = (*read)->version;
        snapshot.context.row = *row;
    }
    auto connection = co_await m_connector.connect(replica);
    if (!connection) {
        co_return Failure(connection.error());
    }
    const Result<LoadReport> engine = co_await (*connection)->load();
    if (!engine) {
        co_return Failure(engine.error());
    }
    snapshot.connection = std::move(*connection);
    OrderContext &context = snapshot.context;
    context.engine = *engine;
    context.desired = desired;
    context.checksFencing = replica.checksFencing;
    context.leaseToken = authority.token;
    const auto lastSent = m_lastSent.find(replica.id);
    context.sentRecently = lastSent != m_lastSent.end() && lastSent->second.fencingToken == context.row.fencingToken
        && lastSent->second.engine == engine->incarnation && m_clock.now() - lastSent->second.sentAt < ResendInterval;
    std::erase_if(context.row.pending, [&](const PendingSender &sender) {
        return canNoLongerSend(sender, engine->incarnation, m_hasEnded({sender.node, sender.incarnation}));
    });
    co_return snapshot;
}

asio::awaitable<Result<OrderStep>> OrderManager::step(ReplicaSpec replica, EngineTarget desired, bool maySend)
{
    const std::optional<Authority> authority = m_lease.authority();
    if (!authority) {
        co_return notHolderFailure(replica);
    }
    Result<Snapshot> snapshot = co_await this->readSnapshot(replica, desired, *authority);
    if (!snapshot) {
        co_return Failure(snapshot.error());
    }
    const OrderStep step = selectOrderStep(snapshot->context);
    const bool isSendStep = step == OrderStep::Issue || step == OrderStep::Adopt;
    if (step == OrderStep::Idle || step == OrderStep::Await || (isSendStep && !maySend)) {
        co_return step;
    }
    if (step == OrderStep::Blocked) {
        const std::string reason = toString(snapshot->context.row);
        if (std::exchange(m_lastBlocked[replica.id], reason) != reason) {
            recordDecision(replica, snapshot->context, stepName(step));
        }
        co_return step;
    }
    m_lastBlocked.erase(replica.id);
    co_return co_await writeAndSend(replica, std::move(*snapshot), step);
}

asio::awaitable<Result<OrderStep>> OrderManager::writeAndSend(const ReplicaSpec &replica, Snapshot snapshot, OrderStep step)
{
    const RowKey key{"order", replica.id.value()};
    const WriteAttemptId attempt(generateUniqueId());
    const OrderRow row = step == OrderStep::Issue ? makeIssueRow(snapshot.context, m_self, attempt)
        : step == OrderStep::Adopt                ? makeAdoptRow(snapshot.context, m_self, attempt)
                                                  : makeCloseRow(snapshot.context, attempt);
    const RowWrite intent{key, snapshot.version, encodeOrder(row), std::nullopt};
    const WriteResult written = co_await writeGuarded(intent, snapshot.context.leaseToken);
    if (written.outcome != WriteOutcome::Written && !m_lease.authority()) {
        co_return notHolderFailure(replica);
    }
    if (written.outcome != WriteOutcome::Written) {
        m_metrics.increment(CounterFamily::Orders, "intent_not_written");
        co_return fail(ErrorId::Conflict,
            "order.write_intent",
            replica.id.value(),
            "the order row was not written; the next iteration reads it again");
    }
    recordDecision(replica, snapshot.context, stepName(step));
    if (step == OrderStep::Close) {
        co_return step;
    }
    if (!m_lease.authority()) {
        co_return notHolderFailure(replica);
    }
    const EngineOrder order{row.number, row.fencingToken, row.target};
    const Result<void> sent = co_await snapshot.connection->send(order);
    const bool cannotArriveLater = sent || sent.error().id == ErrorId::StaleToken || sent.error().delivery == Delivery::NotSent;
    if (cannotArriveLater) {
        co_await removePendingSender(key, row, written.version, row.fencingToken);
    }
    if (!sent) {
        m_metrics.increment(CounterFamily::Orders, errorName(sent.error().id));
        co_return Failure(sent.error());
    }
    m_lastSent[replica.id] = {row.fencingToken, snapshot.context.engine.incarnation, m_clock.now()};
    co_return step;
}

asio::awaitable<WriteResult> OrderManager::writeGuarded(RowWrite write, FencingToken token)
{
    WriteResult written;
    written.outcome = WriteOutcome::Lost;
    std::optional<StorePosition> guarded;
    while (written.outcome == WriteOutcome::Lost) {
        const std::optional<Authority> authority = m_lease.authority();
        const bool hasNewGuard = authority && authority->token == token && authority->lease.version != guarded;
        if (!hasNewGuard || (guarded && written.version != write.expected)) {
            break;
        }
        guarded = authority->lease.version;
        write.guard = authority->lease;
        written = co_await writeConditionally(m_table, m_clock, write);
    }
    co_return written;
}

asio::awaitable<void> OrderManager::removePendingSender(const RowKey &key, OrderRow row, StorePosition version, FencingToken fencingToken)
{
    constexpr int Attempts = 3;
    for (int attempt = 0; attempt < Attempts; ++attempt) {
        const OrderRow remaining = removeSender(row, m_self, fencingToken, WriteAttemptId(generateUniqueId()));
        const RowWrite write{key, version, encodeOrder(remaining), std::nullopt};
        const WriteResult written = co_await writeConditionally(m_table, m_clock, write);
        if (written.outcome == WriteOutcome::Written) {
            co_return;
        }
        const Result<OrderRow> present = decodeOrder(written.text);
        if (written.outcome == WriteOutcome::Unknown || !present) {
            co_return;
        }
        row = *present;
        version = written.version;
    }
}

} // namespace apricotarch
