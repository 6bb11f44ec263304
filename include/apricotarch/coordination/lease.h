#pragma once

/**
 * @file
 * Leases in the platform's table, without comparing clocks of different VMs.
 *
 * The holder counts its time from the moment before it sent its last successful write; a taker counts from the moment
 * after it first saw the row as it stands. Since the first moment comes before the second, and the holder stops a margin
 * earlier, their times do not overlap.
 *
 * The pure functions have the names of the transitions in models/lease_orders.pml.
 */

#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "apricotarch/base/clock.h"
#include "apricotarch/coordination/conditional_write.h"
#include "apricotarch/coordination/platform.h"
#include "apricotarch/state/decision_log.h"
#include "apricotarch/state/lease_row.h"
#include "apricotarch/state/metrics.h"

namespace apricotarch
{

/// The times of a lease.
struct LeaseTimes
{
    Duration lease = std::chrono::seconds(5); ///< A taker waits this long on an unchanged row.
    Duration margin = std::chrono::seconds(1); ///< The holder stops acting this much earlier; covers clock drift.
    Duration renewal = std::chrono::milliseconds(1500); ///< Between two renewals.
    Duration poll = std::chrono::milliseconds(500); ///< Between two looks at the row.
};

/// One process: a node and its incarnation.
struct ProcessId
{
    NodeId node;
    Incarnation incarnation;

    auto operator<=>(const ProcessId &) const = default;
};

/// What one process knows of one lease.
struct LeaseView
{
    RowVersion version; ///< Of the row last seen; 0 for no row.
    std::optional<LeaseRow> row; ///< Last seen.
    TimePoint unchangedSince; ///< When the row was first seen as it stands, after the read.
    std::optional<TimePoint> actingUntil; ///< Set while this process holds the lease.
    TimePoint renewedAt; ///< When this process last wrote the row.
};

/// What to do with a lease now.
enum class LeaseStep {
    Wait,
    Renew,
    Take,
};

/// What a view makes of a row that has been read. @param now a moment after the read
[[nodiscard]] LeaseView observeLease(LeaseView view, RowVersion version, std::optional<LeaseRow> row, TimePoint now);

/// What to do next. @param self this process
[[nodiscard]] LeaseStep nextLeaseStep(const LeaseView &view, const ProcessId &self, TimePoint now, const LeaseTimes &times);

/// The row that a Renew or Take writes.
[[nodiscard]] LeaseRow nextLeaseRow(const LeaseView &view, const ProcessId &self, LeaseStep step, AttemptId attempt);

/// What a view becomes when a Renew or Take was written. @param sentAt a moment before the first send
[[nodiscard]] LeaseView leaseWritten(
    LeaseView view, RowVersion version, LeaseRow row, TimePoint sentAt, TimePoint now, const LeaseTimes &times);

/// What a view becomes when a write was lost or its outcome is unknown.
[[nodiscard]] LeaseView leaseNotWritten(LeaseView view, WriteOutcome outcome);

/// Whether this process may act.
[[nodiscard]] bool mayAct(const LeaseView &view, TimePoint now) noexcept;

/// Proof of authority at one moment; shown to the table as a guard with every order.
struct Authority
{
    FencingToken token;
    RowGuard lease; ///< The lease row as this process wrote it last.
};

/// Keeps one lease: takes it when it is free, renews it while it is held, releases it at the end.
class LeaseKeeper
{
public:
    /**
     * @param table where the row is
     * @param clock this process's clock
     * @param decisions where takeovers and losses are explained
     * @param metrics counters
     * @param self this process
     * @param duty what the lease is for
     * @param times of the lease
     */
    LeaseKeeper(TableStore &table, Clock &clock, DecisionLog &decisions, Metrics &metrics, ProcessId self, DutyId duty, LeaseTimes times);

    // ---- authority ----

    /// Proof of authority, or nothing while the lease is not held. From any thread.
    [[nodiscard]] std::optional<Authority> authority() const;

    /// The row as last seen. From any thread.
    [[nodiscard]] std::optional<LeaseRow> lastRow() const;

    // ---- work ----

    /// One look at the row, and one write where it is due.
    [[nodiscard]] asio::awaitable<void> step();

    /// Gives the lease up at once, so that another node need not wait for it to lapse. Authority ends before the write.
    [[nodiscard]] asio::awaitable<void> release();

private:
    [[nodiscard]] asio::awaitable<bool> observe();
    [[nodiscard]] asio::awaitable<void> writeRow(LeaseStep step);
    void explain(const char *seen, std::string weighed, const char *chosen);
    [[nodiscard]] LeaseView view() const;
    void setView(LeaseView view);

    TableStore &m_table;
    Clock &m_clock;
    DecisionLog &m_decisions;
    Metrics &m_metrics;
    ProcessId m_self;
    DutyId m_duty;
    LeaseTimes m_times;
    RowKey m_key;
    bool m_released = false;
    mutable std::mutex m_mutex;
    LeaseView m_view;
};

} // namespace apricotarch
