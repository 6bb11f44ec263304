#include "apricotarch/coordination/lease.h"

#include <utility>

#include "apricotarch/base/hash.h"
#include "apricotarch/state/row_codec.h"

namespace apricotarch
{

namespace
{

bool holds(const LeaseRow &row, const ProcessId &self)
{
    return row.holder == self.node && row.incarnation == self.incarnation;
}

} // namespace

LeaseView observeLease(LeaseView view, RowVersion version, std::optional<LeaseRow> row, TimePoint now)
{
    const bool firstLook = view.unchangedSince == TimePoint();
    if (!firstLook && version == view.version) {
        return view;
    }
    view.version = version;
    view.row = std::move(row);
    view.unchangedSince = now;
    view.actingUntil.reset();
    return view;
}

LeaseStep nextLeaseStep(const LeaseView &view, const ProcessId &self, TimePoint now, const LeaseTimes &times)
{
    if (view.actingUntil) {
        return now - view.renewedAt >= times.renewal ? LeaseStep::Renew : LeaseStep::Wait;
    }
    const bool isFree = !view.row || view.row->holder.empty();
    if (isFree) {
        return LeaseStep::Take;
    }
    if (holds(*view.row, self)) {
        return LeaseStep::Renew;
    }
    return now - view.unchangedSince >= times.lease ? LeaseStep::Take : LeaseStep::Wait;
}

LeaseRow nextLeaseRow(const LeaseView &view, const ProcessId &self, LeaseStep step, AttemptId attempt)
{
    LeaseRow row = view.row.value_or(LeaseRow());
    row.holder = self.node;
    row.incarnation = self.incarnation;
    row.renewals = row.renewals.next();
    row.attempt = std::move(attempt);
    if (step == LeaseStep::Take) {
        row.token = row.token.next();
    }
    return row;
}

LeaseView leaseWritten(LeaseView view, RowVersion version, LeaseRow row, TimePoint sentAt, TimePoint now, const LeaseTimes &times)
{
    view.version = version;
    view.row = std::move(row);
    view.unchangedSince = now;
    view.renewedAt = sentAt;
    view.actingUntil = sentAt + times.lease - times.margin;
    return view;
}

LeaseView leaseNotWritten(LeaseView view, WriteOutcome outcome)
{
    const bool another = outcome == WriteOutcome::Lost || outcome == WriteOutcome::Overtaken;
    if (another) {
        view.actingUntil.reset();
    }
    return view;
}

bool mayAct(const LeaseView &view, TimePoint now) noexcept
{
    return view.actingUntil && now < *view.actingUntil;
}

LeaseKeeper::LeaseKeeper(
    TableStore &table, Clock &clock, DecisionLog &decisions, Metrics &metrics, ProcessId self, DutyId duty, LeaseTimes times)
    : m_table(table)
    , m_clock(clock)
    , m_decisions(decisions)
    , m_metrics(metrics)
    , m_self(std::move(self))
    , m_duty(std::move(duty))
    , m_times(times)
    , m_key{"lease", m_duty.value()}
{
}

LeaseView LeaseKeeper::view() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

void LeaseKeeper::setView(LeaseView view)
{
    const std::lock_guard lock(m_mutex);
    m_view = std::move(view);
}

std::optional<Authority> LeaseKeeper::authority() const
{
    const LeaseView seen = view();
    if (!mayAct(seen, m_clock.now())) {
        return std::nullopt;
    }
    return Authority{seen.row->token, {m_key, seen.version}};
}

std::optional<LeaseRow> LeaseKeeper::lastRow() const
{
    return view().row;
}

void LeaseKeeper::explain(const char *seen, std::string weighed, const char *chosen)
{
    m_metrics.increment(CounterFamily::Leases, chosen);
    m_decisions.add(
        {.kind = DecisionKind::Lease, .subject = m_duty.value(), .seen = seen, .weighed = std::move(weighed), .chosen = chosen});
}

asio::awaitable<bool> LeaseKeeper::observe()
{
    const Result<std::optional<Row>> read = co_await m_table.read(m_key);
    if (!read) {
        m_metrics.increment(CounterFamily::Leases, "read_failed");
        co_return false;
    }
    std::optional<LeaseRow> row;
    RowVersion version;
    if (*read) {
        const Result<LeaseRow> decoded = decodeLease((*read)->text);
        if (!decoded) {
            m_metrics.increment(CounterFamily::Leases, "row_malformed");
            co_return false;
        }
        row = *decoded;
        version = (*read)->version;
    }
    const bool held = view().actingUntil.has_value();
    setView(observeLease(view(), version, row, m_clock.now()));
    if (held && !view().actingUntil) {
        explain("the row was written by another process", "holder=" + (row ? row->holder.value() : std::string()), "lost");
    }
    co_return true;
}

asio::awaitable<void> LeaseKeeper::step()
{
    if (m_released) {
        co_return;
    }
    const bool seen = co_await observe();
    if (!seen) {
        co_return;
    }
    const LeaseStep due = nextLeaseStep(view(), m_self, m_clock.now(), m_times);
    if (due != LeaseStep::Wait) {
        co_await writeRow(due);
    }
}

asio::awaitable<void> LeaseKeeper::writeRow(LeaseStep step)
{
    const LeaseView before = view();
    const LeaseRow row = nextLeaseRow(before, m_self, step, AttemptId(uniqueId()));
    const TimePoint sentAt = m_clock.now();
    const RowWrite write{m_key, before.version, encodeLease(row), std::nullopt};
    const WriteResult result = co_await writeSettled(m_table, m_clock, write);
    if (result.outcome != WriteOutcome::Written) {
        setView(leaseNotWritten(before, result.outcome));
        m_metrics.increment(CounterFamily::Leases, step == LeaseStep::Take ? "take_not_written" : "renewal_not_written");
        co_return;
    }
    setView(leaseWritten(before, result.version, row, sentAt, m_clock.now(), m_times));
    if (step == LeaseStep::Take) {
        const char *seen = before.row && !before.row->holder.empty() ? "the holder's renewals stood still for a whole lease" : "no holder";
        explain(seen, "token=" + std::to_string(row.token.value()), "taken");
    } else {
        m_metrics.increment(CounterFamily::Leases, "renewed");
    }
}

asio::awaitable<void> LeaseKeeper::release()
{
    m_released = true;
    LeaseView held = view();
    if (!held.actingUntil) {
        co_return;
    }
    held.actingUntil.reset();
    setView(held);
    LeaseRow row = *held.row;
    row.holder = NodeId();
    row.renewals = row.renewals.next();
    row.attempt = AttemptId(uniqueId());
    const RowWrite write{m_key, held.version, encodeLease(row), std::nullopt};
    const WriteResult result = co_await writeSettled(m_table, m_clock, write);
    explain("shutting down", "", result.outcome == WriteOutcome::Written ? "released" : "left_to_lapse");
}

} // namespace apricotarch
