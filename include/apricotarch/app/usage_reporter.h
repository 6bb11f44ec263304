#pragma once

/**
 * @file
 * Reports the usage of the installation's customers to the platform while this process holds the lease for duties.
 */

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "apricotarch/app/front_state.h"
#include "apricotarch/coordination/conditional_write.h"
#include "apricotarch/duties/duty_lease.h"
#include "apricotarch/duties/true_time.h"
#include "apricotarch/duties/usage_ledger.h"
#include "apricotarch/duties/usage_report_plan.h"

namespace apricotarch
{

/// Name of the table of records.
inline constexpr const char *UsageTable = "apricotarch-usage";

/**
 * Records each window in the store and then sends the recorded report, see UsageReportPlan. Each window costs one write, and more only for
 * more than about 10,000 customers; a process that has become the holder reads all records once.
 */
class UsageReporter
{
public:
    /// Returns the authority if this process holds the lease, see DutyLease::renew().
    using RenewLease = std::function<asio::awaitable<std::optional<DutyAuthority>>()>;

    /**
     * @param state the node's state
     * @param ledger counts of all nodes, filled by a UsageExchange
     * @param rows the store
     * @param renewLease reads and renews the lease
     * @param services the platform's calls
     * @param time this node's estimate of true time
     * @param times times of usage windows
     * All objects must outlive this one.
     */
    UsageReporter(FrontState &state,
        const UsageLedger &ledger,
        TableStore &rows,
        RenewLease renewLease,
        DutyServices &services,
        const TrueTime &time,
        UsageTimes times);

    /// Reports usage whenever this node is the coordinator; never ends. Must be run by a node that counts usage, and by no other.
    [[nodiscard]] asio::awaitable<void> run();

    /// Records the incarnation of the store that this node has learned of. A node that does not read the store learns of it from others.
    void observeIncarnation(StoreIncarnation incarnation)
    {
        m_plan.observeIncarnation(incarnation, m_time.now());
    }

    /// Takes the next actions, if there are any and this process holds the lease.
    [[nodiscard]] asio::awaitable<void> step();

private:
    [[nodiscard]] UsageWindowState stateOf(std::int64_t window) const;
    [[nodiscard]] std::vector<Endpoint> missingNodes(std::int64_t window) const;
    [[nodiscard]] std::optional<UsageStep> nextStep();
    /// Whether this process held the lease at the last renewal, which was not too long ago, and knows the records.
    [[nodiscard]] bool isHolder() const;
    /// Whether the lease has to be renewed or asked for.
    [[nodiscard]] bool isRenewalDue() const;
    /// Whether there are requests that will have to be reported.
    [[nodiscard]] bool hasRecentRequests() const;
    /// Renews the lease and reads the records if this process has become the holder.
    [[nodiscard]] asio::awaitable<std::optional<DutyAuthority>> takeAuthority();
    [[nodiscard]] asio::awaitable<bool> loadRecords();
    [[nodiscard]] asio::awaitable<Result<std::optional<UsageRow>>> readRow(std::string key);
    /// Reads the further rows of a record. @return the record, or StoreUnavailable
    [[nodiscard]] asio::awaitable<Result<UsageRecord>> readRecord(UsageRow first);
    /// @return whether the record is in the store
    [[nodiscard]] asio::awaitable<bool> record(UsageStep step, DutyAuthority authority);
    [[nodiscard]] asio::awaitable<bool> writeRow(std::string key, std::string text, RowGuard guard);
    /// @return whether the call was made
    [[nodiscard]] asio::awaitable<bool> call(UsageStep step, DutyAuthority authority);
    void logRecorded(const UsageStep &step, const UsageReport &report) const;
    void logSkipped();
    [[nodiscard]] std::int64_t ageMs(std::int64_t window) const;

    FrontState &m_state;
    const UsageLedger &m_ledger;
    TableStore &m_rows;
    RenewLease m_renewLease;
    DutyServices &m_services;
    const TrueTime &m_time;
    UsageTimes m_times;
    UsageReportPlan m_plan;
    std::optional<FencingToken> m_loadedToken; ///< Token under which the records were read; empty if they have to be read again.
    std::map<std::string, StorePosition> m_positions; ///< Positions of the rows by key.
    std::optional<UnixTime> m_renewedAt; ///< When the lease was last renewed or asked for.
    bool m_holdsLease = false; ///< As of the last renewal.
    std::int64_t m_lastAttempt = 0;
};

} // namespace apricotarch
