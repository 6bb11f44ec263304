#pragma once

/**
 * @file
 * Leases stored in the platform's table. The protocol never compares the clocks of different VMs.
 *
 * The holder measures the duration of the lease from a moment before it sent its last successful write. Any other process
 * measures it from a moment after it first read the row in its present version. The first moment precedes the second, and the
 * holder stops acting a safety margin before the lease ends. Therefore the periods of authority of two processes do not overlap.
 *
 * A restored store may have lost the row's last writes. A new incarnation of the store therefore ends authority, and no process takes the
 * lease in it before the duration of a lease has passed since the process first saw it, even if the copy shows a free lease. Fencing tokens
 * contain the incarnation, so they exceed those that were lost.
 *
 * The pure functions implement the transitions of models/lease_orders.pml.
 */

#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "apricotarch/base/clock.h"
#include "apricotarch/coordination/conditional_write.h"
#include "apricotarch/coordination/platform_services.h"
#include "apricotarch/state/decision_log.h"
#include "apricotarch/state/lease_row.h"
#include "apricotarch/state/metrics.h"

namespace apricotarch
{

/// Durations and intervals of a lease.
struct LeaseTimes
{
    Duration duration = std::chrono::seconds(5); ///< Another process takes the lease once the row has been unchanged for this long.
    Duration safetyMargin = std::chrono::seconds(1); ///< The holder stops acting this much earlier, to allow for clock drift.
    Duration renewalInterval = std::chrono::milliseconds(1500); ///< Time between two renewals.
    Duration pollInterval = std::chrono::milliseconds(500); ///< Time between two reads of the row.
    /// A process does not take the lease within this time after its start or after the end of its last authority, even if the lease is
    /// free. Needed if receivers of calls do not check fencing tokens: a former holder must not act shortly before and after another one.
    Duration returnInterval{0};
};

/// Identifies one process of a node by the node and its incarnation.
struct ProcessId
{
    NodeId node;
    Incarnation incarnation;

    auto operator<=>(const ProcessId &) const = default;
};

/// The state of one lease as last observed by one process.
struct LeaseView
{
    StorePosition version; ///< Position of the row at the last read or write; without a version if there was no row.
    std::optional<LeaseRow> row; ///< Content of the row at the last read or write.
    std::optional<TimePoint>
        restoredAt; ///< When this process first saw the present incarnation of the store, unless that is the first one.
    TimePoint unchangedSince; ///< Time after the first read that returned the row in this version.
    std::optional<TimePoint> authorityExpiresAt; ///< Set while this process holds the lease.
    TimePoint renewedAt; ///< Time before this process sent its last successful write.
    TimePoint inactiveSince; ///< Start of this process, or the latest time at which its last authority can have ended.
};

/// The next action on a lease.
enum class LeaseStep {
    Wait, ///< Do not write the row now.
    Renew, ///< Extend the lease that this process holds.
    Take, ///< Become the holder, with the next fencing token.
};

/**
 * Updates a view with the result of a read.
 * @param view the view before the read
 * @param version position of the row; only the incarnation of the store if there is no row
 * @param row content of the row, if there is one
 * @param now a moment after the read
 */
[[nodiscard]] LeaseView observeLease(LeaseView view, StorePosition version, std::optional<LeaseRow> row, TimePoint now);

/// Returns the token that every token of earlier incarnations of the store is below.
[[nodiscard]] FencingToken firstToken(StoreIncarnation incarnation) noexcept;

/// Selects the next action for the process @p self.
[[nodiscard]] LeaseStep selectLeaseStep(const LeaseView &view, const ProcessId &self, TimePoint now, const LeaseTimes &times);

/// Returns the row to write for a Renew or Take step.
[[nodiscard]] LeaseRow makeLeaseRow(const LeaseView &view, const ProcessId &self, LeaseStep step, WriteAttemptId attempt);

/**
 * Updates a view after a successful Renew or Take.
 * @param view the view before the write
 * @param version version of the row after the write
 * @param row content that was written
 * @param sentAt a moment before the first request was sent
 * @param now a moment after the write
 * @param times durations of the lease
 */
[[nodiscard]] LeaseView recordLeaseWrite(
    LeaseView view, StorePosition version, LeaseRow row, TimePoint sentAt, TimePoint now, const LeaseTimes &times);

/// Updates a view after a failed write. Authority ends if another write came first; it is kept if the outcome is unknown.
[[nodiscard]] LeaseView recordFailedLeaseWrite(LeaseView view, WriteOutcome outcome);

/// Returns whether this process holds the lease and has authority to act at @p now.
[[nodiscard]] bool hasAuthority(const LeaseView &view, TimePoint now) noexcept;

/// Proof that this process held the lease at one moment. Every order row is written with it as a guard.
struct Authority
{
    FencingToken token;
    RowGuard lease; ///< The lease row in the version that this process wrote last.
    TimePoint expiresAt; ///< End of the authority unless the lease is renewed, on the clock of the LeaseManager.
};

/// Manages one lease: takes it when it is free, renews it while it is held and releases it at shutdown.
class LeaseManager
{
public:
    /**
     * @param table table that contains the lease row
     * @param clock clock of this process
     * @param decisions log in which takeovers and losses are recorded
     * @param metrics counters
     * @param self this process
     * @param resource resource that the lease protects
     * @param times durations and intervals of the lease
     */
    LeaseManager(TableStore &table,
        Clock &clock,
        DecisionLog &decisions,
        Metrics &metrics,
        ProcessId self,
        LeaseResourceId resource,
        LeaseTimes times);

    // ---- authority ----

    /// Returns proof of authority, or nothing while the lease is not held. Thread-safe.
    [[nodiscard]] std::optional<Authority> authority() const;

    /// Returns the row that was last read or written. Thread-safe.
    [[nodiscard]] std::optional<LeaseRow> lastObservedRow() const;

    // ---- actions ----

    /// Reads the row once and writes it if a renewal or takeover is due.
    [[nodiscard]] asio::awaitable<void> step();

    /// Releases the lease so that another node can take it without waiting for its expiry. Authority ends before the write.
    [[nodiscard]] asio::awaitable<void> release();

private:
    [[nodiscard]] asio::awaitable<bool> readRow();
    [[nodiscard]] asio::awaitable<void> writeRow(LeaseStep step);
    void recordDecision(const char *seen, std::string weighed, const char *chosen);
    [[nodiscard]] LeaseView view() const;
    void setView(LeaseView view);

    TableStore &m_table;
    Clock &m_clock;
    DecisionLog &m_decisions;
    Metrics &m_metrics;
    ProcessId m_self;
    LeaseResourceId m_resource;
    LeaseTimes m_times;
    RowKey m_key;
    bool m_released = false;
    mutable std::mutex m_mutex;
    LeaseView m_view;
};

} // namespace apricotarch
