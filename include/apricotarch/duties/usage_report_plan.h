#pragma once

/**
 * @file
 * Decides which windows are recorded and reported, and when.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "apricotarch/duties/usage_counter.h"
#include "apricotarch/duties/usage_record.h"

namespace apricotarch
{

/// What a collector knows of a window.
struct UsageWindowState
{
    bool hasRequests = false;
    std::size_t missingNodes = 0; ///< Live nodes whose counts are not final.
    std::optional<UnixTime> collectingSince; ///< See UsageLedger::collectingSince().
};

/// What the holder of the lease does next.
enum class UsageAction : std::uint8_t {
    Record, ///< Write the counts of the ledger, or the report that is known already, to the store.
    Call, ///< Send the recorded report to the platform.
};

/// An action on one window.
struct UsageStep
{
    UsageAction action = UsageAction::Record;
    std::int64_t window = 0;
    const char *reason = ""; ///< Why it is done now.
};

/// A window that is not reported, or not confirmed.
struct SkippedWindow
{
    std::int64_t window = 0;
    const char *reason = "";
};

/**
 * State of the last windows at one process, whether it holds the lease or not. Pure: the caller writes, calls and tells the results.
 * A window is reported only from its record, so two reports of a window never differ. After a restore of the store a record may have been
 * lost; a window that ended before the restore was seen is then reported only if this process knows its record. Not thread-safe.
 */
class UsageReportPlan
{
public:
    explicit UsageReportPlan(UsageTimes times);

    /// Records the incarnation of the store. To be called regularly, whether this process holds the lease or not.
    void observeIncarnation(StoreIncarnation incarnation, UnixTime now);

    /// Records what the store contains. To be called whenever this process has become the holder, before next().
    void load(const std::vector<UsageRecord> &records, UnixTime now);

    /**
     * Returns the next action.
     * @param now current time
     * @param stateOf returns what is known of a window
     * @return the action; nothing if there is none at present
     */
    [[nodiscard]] std::optional<UsageStep> next(UnixTime now, const std::function<UsageWindowState(std::int64_t)> &stateOf);

    /// Returns the windows that have been given up since the last call.
    [[nodiscard]] std::vector<SkippedWindow> takeSkipped();

    /// Returns the recorded report of a window; null if there is none.
    [[nodiscard]] const UsageReport *report(std::int64_t window) const;

    /// Returns the number of calls made for a window, those of other holders not included.
    [[nodiscard]] int calls(std::int64_t window) const;

    /// Whether the record of a window was written by another holder.
    [[nodiscard]] bool isInherited(std::int64_t window) const;

    /// Records that a report is in the store.
    void recordWritten(const UsageReport &report);

    /// Records the result of a call.
    void recordCall(std::int64_t window, DutyCallOutcome outcome, UnixTime now);

    /// Returns the last window up to which all are confirmed or given up.
    [[nodiscard]] std::int64_t closedUpTo(UnixTime now) const;

private:
    struct Window
    {
        std::optional<UsageReport> report;
        bool written = false; ///< The report is in the store as far as this process knows.
        bool inherited = false; ///< The record was written by another holder.
        bool closed = false; ///< Confirmed or given up.
        int calls = 0;
        std::optional<UnixTime> lastCallAt;
    };

    [[nodiscard]] UnixTime endOf(std::int64_t window) const;
    void giveUp(std::int64_t number, const char *reason);
    /// Drops windows that are too old for a repeat.
    void removeExpired(UnixTime now);
    [[nodiscard]] std::optional<UsageStep> nextForRecorded(std::int64_t number, const Window &window, UnixTime now) const;
    [[nodiscard]] std::optional<UsageStep> nextForUnrecorded(std::int64_t number, const UsageWindowState &state, UnixTime now);
    /// Returns why a window can be recorded now; null if it must wait.
    [[nodiscard]] const char *readiness(std::int64_t number, const UsageWindowState &state, UnixTime now) const;

    UsageTimes m_times;
    std::map<std::int64_t, Window> m_windows;
    std::set<std::int64_t> m_droppedReports; ///< The latest dropped windows that had a report. A correction may set the time back to them.
    std::vector<SkippedWindow> m_skipped;
    StoreIncarnation m_incarnation;
    std::optional<UnixTime> m_restoreSeenAt; ///< When the present incarnation of the store was first seen, unless it is the first one.
    std::int64_t m_closedAtLoad = 0; ///< Windows up to this one were closed by former holders.
};

} // namespace apricotarch
