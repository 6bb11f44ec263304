#include "apricotarch/coordination/lease.h"

#include <algorithm>
#include <utility>

#include "apricotarch/base/hash.h"
#include "apricotarch/state/row_codec.h"

namespace apricotarch
{

namespace
{

/// Bits of a fencing token that count the holders within one incarnation of the store. The others hold the incarnation; a token stays below
/// 2^53 and can be represented in JSON for 2 million restores.
constexpr int TokenCountBits = 32;

/// Incarnation of a store that has never been restored.
constexpr StoreIncarnation FirstIncarnation(1);

bool isHeldBy(const LeaseRow &row, const ProcessId &self)
{
    return row.holder == self.node && row.incarnation == self.incarnation;
}

} // namespace

LeaseView observeLease(LeaseView view, StorePosition version, std::optional<LeaseRow> row, TimePoint now)
{
    const bool isFirstRead = view.unchangedSince == TimePoint();
    if (!isFirstRead && version == view.version) {
        return view;
    }
    const bool isRestored = isFirstRead ? version.incarnation() > FirstIncarnation : version.incarnation() != view.version.incarnation();
    if (isRestored) {
        view.restoredAt = now;
    }
    view.version = version;
    view.row = std::move(row);
    view.unchangedSince = now;
    view.authorityExpiresAt.reset();
    return view;
}

FencingToken firstToken(StoreIncarnation incarnation) noexcept
{
    return FencingToken(incarnation.value() << TokenCountBits);
}

LeaseStep selectLeaseStep(const LeaseView &view, const ProcessId &self, TimePoint now, const LeaseTimes &times)
{
    const LeaseStep takeStep = now - view.inactiveSince >= times.returnInterval ? LeaseStep::Take : LeaseStep::Wait;
    if (view.authorityExpiresAt) {
        return now - view.renewedAt >= times.renewalInterval ? LeaseStep::Renew : LeaseStep::Wait;
    }
    if (view.restoredAt && now - *view.restoredAt < times.duration) {
        return LeaseStep::Wait; // A holder whose writes are lost may still have authority.
    }
    const bool isFree = !view.row || view.row->holder.empty();
    if (isFree) {
        return takeStep;
    }
    if (isHeldBy(*view.row, self)) {
        const bool precedesRestore = view.row->token < firstToken(view.version.incarnation());
        return precedesRestore ? takeStep : LeaseStep::Renew;
    }
    return now - view.unchangedSince >= times.duration ? takeStep : LeaseStep::Wait;
}

LeaseRow makeLeaseRow(const LeaseView &view, const ProcessId &self, LeaseStep step, WriteAttemptId attempt)
{
    LeaseRow row = view.row.value_or(LeaseRow());
    row.holder = self.node;
    row.incarnation = self.incarnation;
    row.renewals = row.renewals.next();
    row.attempt = std::move(attempt);
    if (step == LeaseStep::Take) {
        row.token = std::max(row.token, firstToken(view.version.incarnation())).next();
    }
    return row;
}

LeaseView recordLeaseWrite(LeaseView view, StorePosition version, LeaseRow row, TimePoint sentAt, TimePoint now, const LeaseTimes &times)
{
    if (version.incarnation() != view.version.incarnation()) {
        return observeLease(std::move(view), version, std::move(row), now);
    }
    view.version = version;
    view.row = std::move(row);
    view.unchangedSince = now;
    view.renewedAt = sentAt;
    view.authorityExpiresAt = sentAt + times.duration - times.safetyMargin;
    view.inactiveSince = *view.authorityExpiresAt;
    return view;
}

LeaseView recordFailedLeaseWrite(LeaseView view, WriteOutcome outcome)
{
    const bool writtenByOther = outcome == WriteOutcome::Lost || outcome == WriteOutcome::Superseded;
    if (writtenByOther) {
        view.authorityExpiresAt.reset();
    }
    return view;
}

bool hasAuthority(const LeaseView &view, TimePoint now) noexcept
{
    return view.authorityExpiresAt && now < *view.authorityExpiresAt;
}

LeaseManager::LeaseManager(
    TableStore &table, Clock &clock, DecisionLog &decisions, Metrics &metrics, ProcessId self, LeaseResourceId resource, LeaseTimes times)
    : m_table(table)
    , m_clock(clock)
    , m_decisions(decisions)
    , m_metrics(metrics)
    , m_self(std::move(self))
    , m_resource(std::move(resource))
    , m_times(times)
    , m_key{"lease", m_resource.value()}
{
    m_view.inactiveSince = m_clock.now();
}

LeaseView LeaseManager::view() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

void LeaseManager::setView(LeaseView view)
{
    const std::lock_guard lock(m_mutex);
    m_view = std::move(view);
}

std::optional<Authority> LeaseManager::authority() const
{
    const LeaseView current = view();
    const bool isOutdated = m_table.incarnation() != current.version.incarnation();
    if (!hasAuthority(current, m_clock.now()) || isOutdated) {
        return std::nullopt;
    }
    return Authority{current.row->token, {m_key, current.version}, *current.authorityExpiresAt};
}

std::optional<LeaseRow> LeaseManager::lastObservedRow() const
{
    return view().row;
}

void LeaseManager::recordDecision(const char *seen, std::string weighed, const char *chosen)
{
    m_metrics.increment(CounterFamily::Leases, chosen);
    m_decisions.add(
        {.kind = DecisionKind::Lease, .subject = m_resource.value(), .seen = seen, .weighed = std::move(weighed), .chosen = chosen});
}

asio::awaitable<bool> LeaseManager::readRow()
{
    const Result<std::optional<Row>> read = co_await m_table.read(m_key);
    if (!read) {
        m_metrics.increment(CounterFamily::Leases, "read_failed");
        co_return false;
    }
    std::optional<LeaseRow> row;
    StorePosition version(m_table.incarnation(), RowVersion());
    if (*read) {
        const Result<LeaseRow> decoded = decodeLease((*read)->text);
        if (!decoded) {
            m_metrics.increment(CounterFamily::Leases, "row_malformed");
            co_return false;
        }
        row = *decoded;
        version = (*read)->version;
    }
    const bool wasHeld = view().authorityExpiresAt.has_value();
    const StorePosition before = view().version;
    setView(observeLease(view(), version, row, m_clock.now()));
    if (wasHeld && !view().authorityExpiresAt) {
        const char *seen =
            view().version.incarnation() == before.incarnation() ? "the row was written by another process" : "the store was restored";
        recordDecision(seen, "holder=" + (row ? row->holder.value() : std::string()), "lost");
    }
    co_return true;
}

asio::awaitable<void> LeaseManager::step()
{
    if (m_released) {
        co_return;
    }
    const bool wasRead = co_await readRow();
    if (!wasRead) {
        co_return;
    }
    const LeaseStep next = selectLeaseStep(view(), m_self, m_clock.now(), m_times);
    if (next != LeaseStep::Wait) {
        co_await writeRow(next);
    }
}

asio::awaitable<void> LeaseManager::writeRow(LeaseStep step)
{
    const LeaseView before = view();
    const LeaseRow row = makeLeaseRow(before, m_self, step, WriteAttemptId(generateUniqueId()));
    const TimePoint sentAt = m_clock.now();
    const RowWrite write{m_key, before.version, encodeLease(row), std::nullopt};
    const WriteResult result = co_await writeConditionally(m_table, m_clock, write);
    if (result.outcome != WriteOutcome::Written) {
        setView(recordFailedLeaseWrite(before, result.outcome));
        m_metrics.increment(CounterFamily::Leases, step == LeaseStep::Take ? "take_not_written" : "renewal_not_written");
        co_return;
    }
    setView(recordLeaseWrite(before, result.version, row, sentAt, m_clock.now(), m_times));
    if (!view().authorityExpiresAt) {
        recordDecision("the store was restored during the write", "token=" + std::to_string(row.token.value()), "not_taken");
        co_return;
    }
    if (step == LeaseStep::Take) {
        const char *seen =
            before.row && !before.row->holder.empty() ? "the holder did not renew the lease before it expired" : "the lease had no holder";
        recordDecision(seen, "token=" + std::to_string(row.token.value()), "taken");
    } else {
        m_metrics.increment(CounterFamily::Leases, "renewed");
    }
}

asio::awaitable<void> LeaseManager::release()
{
    m_released = true;
    LeaseView held = view();
    if (!held.authorityExpiresAt) {
        co_return;
    }
    held.authorityExpiresAt.reset();
    setView(held);
    LeaseRow row = *held.row;
    row.holder = NodeId();
    row.renewals = row.renewals.next();
    row.attempt = WriteAttemptId(generateUniqueId());
    const RowWrite write{m_key, held.version, encodeLease(row), std::nullopt};
    const WriteResult result = co_await writeConditionally(m_table, m_clock, write);
    recordDecision("this process is shutting down", "", result.outcome == WriteOutcome::Written ? "released" : "left_to_lapse");
}

} // namespace apricotarch
