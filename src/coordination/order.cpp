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

/// An engine that took an order and neither changes nor is done after this time gets it again.
constexpr std::chrono::seconds ResendAfter{5};

void addSender(OrderRow &row, const OrderSituation &situation, const ProcessId &self)
{
    row.fence = row.fence.next();
    row.leaseToken = situation.leaseToken;
    row.pending.push_back({self.node, self.incarnation, situation.engine.incarnation, row.fence});
}

std::string text(const EngineTarget &target)
{
    std::string line = target.model.model + '@' + target.model.version + '/' + roleName(target.role);
    return target.model.adapter.empty() ? line : line + '+' + target.model.adapter;
}

std::string text(const OrderRow &row)
{
    std::string senders;
    for (const PendingSender &sender : row.pending) {
        senders += (senders.empty() ? "" : ",") + sender.node.value() + '#' + std::to_string(sender.fence.value());
    }
    return "order=" + std::to_string(row.number.value()) + " open=" + (row.open ? "true" : "false")
        + " fence=" + std::to_string(row.fence.value()) + " pending=[" + senders + ']';
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

Failure notHolder(const ReplicaSpec &replica)
{
    return fail(ErrorId::NotHolder, "order.check_authority", replica.id.value(), "the lease is not held any more; its next holder goes on");
}

} // namespace

bool isHarmless(const PendingSender &sender, Incarnation engine, bool senderEnded) noexcept
{
    return senderEnded || sender.engineIncarnation != engine;
}

bool isDone(const EngineTarget &target, const LoadReport &engine) noexcept
{
    return engine.state == target && !engine.changing;
}

OrderStep nextOrderStep(const OrderSituation &situation)
{
    const OrderRow &row = situation.row;
    if (row.open) {
        if (isDone(row.target, situation.engine)) {
            return OrderStep::Close;
        }
        const bool onItsWay = situation.engine.changing || situation.sentLately;
        return onItsWay ? OrderStep::Await : OrderStep::Adopt;
    }
    if (isDone(situation.wanted, situation.engine)) {
        return OrderStep::Idle;
    }
    if (situation.engine.changing) {
        return OrderStep::Await;
    }
    const bool lateSenderPossible = !situation.checksFencing && !row.pending.empty();
    if (lateSenderPossible && row.target != situation.wanted) {
        return OrderStep::Blocked;
    }
    return OrderStep::Issue;
}

OrderRow issueRow(const OrderSituation &situation, const ProcessId &self, AttemptId attempt)
{
    OrderRow row = situation.row;
    row.number = row.number.next();
    row.target = situation.wanted;
    row.open = true;
    row.attempt = std::move(attempt);
    addSender(row, situation, self);
    return row;
}

OrderRow adoptRow(const OrderSituation &situation, const ProcessId &self, AttemptId attempt)
{
    OrderRow row = situation.row;
    row.attempt = std::move(attempt);
    addSender(row, situation, self);
    return row;
}

OrderRow closeRow(const OrderSituation &situation, AttemptId attempt)
{
    OrderRow row = situation.row;
    row.open = false;
    row.leaseToken = situation.leaseToken;
    row.attempt = std::move(attempt);
    return row;
}

OrderRow withoutSender(OrderRow row, const ProcessId &self, FencingToken fence, AttemptId attempt)
{
    std::erase_if(row.pending, [&](const PendingSender &sender) {
        return sender.node == self.node && sender.incarnation == self.incarnation && sender.fence == fence;
    });
    row.attempt = std::move(attempt);
    return row;
}

bool orderRowHolds(const OrderRow &row) noexcept
{
    std::set<FencingToken> fences;
    return std::ranges::all_of(row.pending, [&](const PendingSender &sender) {
        return sender.fence <= row.fence && fences.insert(sender.fence).second;
    });
}

OrderKeeper::OrderKeeper(TableStore &table,
    EngineConnector &connector,
    LeaseKeeper &lease,
    Clock &clock,
    DecisionLog &decisions,
    Metrics &metrics,
    ProcessId self,
    EndedProbe ended)
    : m_table(table)
    , m_connector(connector)
    , m_lease(lease)
    , m_clock(clock)
    , m_decisions(decisions)
    , m_metrics(metrics)
    , m_self(std::move(self))
    , m_ended(std::move(ended))
{
}

void OrderKeeper::explain(const ReplicaSpec &replica, const OrderSituation &situation, const char *chosen)
{
    m_metrics.increment(CounterFamily::Orders, chosen);
    m_decisions.add({.kind = DecisionKind::Order,
        .subject = replica.id.value(),
        .seen = "engine=" + text(situation.engine.state) + (situation.engine.changing ? " changing " : " ") + text(situation.row),
        .weighed = "wanted=" + text(situation.wanted) + " lease_token=" + std::to_string(situation.leaseToken.value())
            + " checks_fencing=" + (situation.checksFencing ? "true" : "false"),
        .chosen = chosen});
}

asio::awaitable<Result<OrderKeeper::Look>> OrderKeeper::look(
    const ReplicaSpec &replica, const EngineTarget &wanted, const Authority &authority)
{
    Look look;
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
        look.version = (*read)->version;
        look.situation.row = *row;
    }
    auto channel = co_await m_connector.connect(replica);
    if (!channel) {
        co_return Failure(channel.error());
    }
    const Result<LoadReport> engine = co_await (*channel)->load();
    if (!engine) {
        co_return Failure(engine.error());
    }
    look.channel = std::move(*channel);
    OrderSituation &situation = look.situation;
    situation.engine = *engine;
    situation.wanted = wanted;
    situation.checksFencing = replica.checksFencing;
    situation.leaseToken = authority.token;
    const auto sent = m_sent.find(replica.id);
    situation.sentLately = sent != m_sent.end() && sent->second.fence == situation.row.fence && sent->second.engine == engine->incarnation
        && m_clock.now() - sent->second.at < ResendAfter;
    std::erase_if(situation.row.pending, [&](const PendingSender &sender) {
        return isHarmless(sender, engine->incarnation, m_ended({sender.node, sender.incarnation}));
    });
    co_return look;
}

asio::awaitable<Result<OrderStep>> OrderKeeper::step(ReplicaSpec replica, EngineTarget wanted, bool maySend)
{
    const std::optional<Authority> authority = m_lease.authority();
    if (!authority) {
        co_return notHolder(replica);
    }
    Result<Look> look = co_await this->look(replica, wanted, *authority);
    if (!look) {
        co_return Failure(look.error());
    }
    const OrderStep step = nextOrderStep(look->situation);
    const bool sends = step == OrderStep::Issue || step == OrderStep::Adopt;
    if (step == OrderStep::Idle || step == OrderStep::Await || (sends && !maySend)) {
        co_return step;
    }
    if (step == OrderStep::Blocked) {
        const std::string reason = text(look->situation.row);
        if (std::exchange(m_lastBlocked[replica.id], reason) != reason) {
            explain(replica, look->situation, stepName(step));
        }
        co_return step;
    }
    m_lastBlocked.erase(replica.id);
    co_return co_await writeAndSend(replica, std::move(*look), step);
}

asio::awaitable<Result<OrderStep>> OrderKeeper::writeAndSend(const ReplicaSpec &replica, Look look, OrderStep step)
{
    const RowKey key{"order", replica.id.value()};
    const AttemptId attempt(uniqueId());
    const OrderRow row = step == OrderStep::Issue ? issueRow(look.situation, m_self, attempt)
        : step == OrderStep::Adopt                ? adoptRow(look.situation, m_self, attempt)
                                                  : closeRow(look.situation, attempt);
    const RowWrite intent{key, look.version, encodeOrder(row), std::nullopt};
    const WriteResult written = co_await writeGuarded(intent, look.situation.leaseToken);
    if (written.outcome != WriteOutcome::Written && !m_lease.authority()) {
        co_return notHolder(replica);
    }
    if (written.outcome != WriteOutcome::Written) {
        m_metrics.increment(CounterFamily::Orders, "intent_not_written");
        co_return fail(
            ErrorId::Conflict, "order.write_intent", replica.id.value(), "the intent was not written; the next round looks again");
    }
    explain(replica, look.situation, stepName(step));
    if (step == OrderStep::Close) {
        co_return step;
    }
    if (!m_lease.authority()) {
        co_return notHolder(replica);
    }
    const EngineOrder order{row.number, row.fence, row.target};
    const Result<void> sent = co_await look.channel->send(order);
    const bool answered = sent || sent.error().id == ErrorId::StaleToken || sent.error().delivery == Delivery::NotSent;
    if (answered) {
        co_await forgetSender(key, row, written.version, row.fence);
    }
    if (!sent) {
        m_metrics.increment(CounterFamily::Orders, errorName(sent.error().id));
        co_return Failure(sent.error());
    }
    m_sent[replica.id] = {row.fence, look.situation.engine.incarnation, m_clock.now()};
    co_return step;
}

asio::awaitable<WriteResult> OrderKeeper::writeGuarded(RowWrite write, FencingToken token)
{
    WriteResult written;
    written.outcome = WriteOutcome::Lost;
    std::optional<RowVersion> guarded;
    while (written.outcome == WriteOutcome::Lost) {
        const std::optional<Authority> authority = m_lease.authority();
        const bool renewedSince = authority && authority->token == token && authority->lease.version != guarded;
        if (!renewedSince || (guarded && written.version != write.expected)) {
            break;
        }
        guarded = authority->lease.version;
        write.guard = authority->lease;
        written = co_await writeSettled(m_table, m_clock, write);
    }
    co_return written;
}

asio::awaitable<void> OrderKeeper::forgetSender(const RowKey &key, OrderRow row, RowVersion version, FencingToken fence)
{
    constexpr int Attempts = 3;
    for (int attempt = 0; attempt < Attempts; ++attempt) {
        const OrderRow shorter = withoutSender(row, m_self, fence, AttemptId(uniqueId()));
        const RowWrite write{key, version, encodeOrder(shorter), std::nullopt};
        const WriteResult written = co_await writeSettled(m_table, m_clock, write);
        if (written.outcome == WriteOutcome::Written) {
            co_return;
        }
        const Result<OrderRow> now = decodeOrder(written.text);
        if (written.outcome == WriteOutcome::Unknown || !now) {
            co_return;
        }
        row = *now;
        version = written.version;
    }
}

} // namespace apricotarch
