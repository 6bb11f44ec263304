#include "apricotarch/duties/usage_report_plan.h"

#include <algorithm>
#include <utility>

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// A window is recorded at the latest this long after its end, if its counts have been collected from its beginning. Live nodes whose
/// counts are missing then are most likely about to be declared dead.
constexpr std::chrono::milliseconds LongestWait = 6s;

/// Time that the record and the call take; incomplete counts are recorded this long before the report is due.
constexpr std::chrono::milliseconds ReportTime = 1500ms;

/// After this time a new collector has got the open windows of all live nodes that it knows: two updates of each.
constexpr std::chrono::milliseconds CatchUpTime = 2s;

/// Interval between two calls for one window.
constexpr std::chrono::milliseconds CallInterval = 1s;

/// Number of dropped windows with a report that are remembered: those of ten minutes, far more than a correction of the time.
constexpr std::size_t MaxDroppedReports = 120;

/// Incarnation of a store that has never been restored.
constexpr StoreIncarnation FirstIncarnation(1);

} // namespace

UsageReportPlan::UsageReportPlan(UsageTimes times)
    : m_times(times)
{
}

UnixTime UsageReportPlan::endOf(std::int64_t window) const
{
    return windowStart(window + 1, m_times.window);
}

void UsageReportPlan::observeIncarnation(StoreIncarnation incarnation, UnixTime now)
{
    if (incarnation <= m_incarnation) {
        return; // 0 before the first answer of the store.
    }
    if (incarnation > FirstIncarnation) {
        m_restoreSeenAt = now;
    }
    m_incarnation = incarnation;
}

void UsageReportPlan::load(const std::vector<UsageRecord> &records, UnixTime now)
{
    m_closedAtLoad = 0;
    for (const UsageRecord &record : records) {
        m_closedAtLoad = std::max(m_closedAtLoad, record.closedUpTo);
    }
    for (auto &[number, window] : m_windows) {
        window.written = false;
    }
    const std::int64_t firstKept = windowOf(now - m_times.retention, m_times.window);
    for (const UsageRecord &record : records) {
        if (record.report.window < firstKept) {
            continue;
        }
        Window &window = m_windows[record.report.window];
        if (!record.readable) {
            giveUp(record.report.window, "record_unreadable");
            continue;
        }
        if (!window.report) {
            window.report = record.report;
            window.inherited = true;
            window.closed = record.report.window <= m_closedAtLoad;
        } else if (*window.report != record.report) {
            giveUp(record.report.window, "records_differ");
        }
        window.written = true;
    }
}

void UsageReportPlan::giveUp(std::int64_t number, const char *reason)
{
    m_windows[number].closed = true;
    m_skipped.push_back({number, reason});
}

void UsageReportPlan::removeExpired(UnixTime now)
{
    const std::int64_t firstKept = windowOf(now - m_times.retention, m_times.window);
    while (!m_windows.empty() && m_windows.begin()->first < firstKept) {
        const auto &[number, window] = *m_windows.begin();
        if (window.report && !window.closed) {
            m_skipped.push_back({number, "not_confirmed"});
        }
        if (window.report) {
            m_droppedReports.insert(number);
        }
        m_windows.erase(m_windows.begin());
    }
    while (m_droppedReports.size() > MaxDroppedReports) {
        m_droppedReports.erase(m_droppedReports.begin());
    }
}

std::optional<UsageStep> UsageReportPlan::next(UnixTime now, const std::function<UsageWindowState(std::int64_t)> &stateOf)
{
    removeExpired(now);
    const std::int64_t first = windowOf(now - m_times.retention, m_times.window);
    for (std::int64_t number = first; endOf(number) <= now; ++number) {
        const Window &window = m_windows[number];
        if (window.closed || m_droppedReports.contains(number)) {
            continue;
        }
        const std::optional<UsageStep> step =
            window.report ? nextForRecorded(number, window, now) : nextForUnrecorded(number, stateOf(number), now);
        if (step) {
            return step;
        }
    }
    return std::nullopt;
}

std::optional<UsageStep> UsageReportPlan::nextForRecorded(std::int64_t number, const Window &window, UnixTime now) const
{
    if (!window.written) {
        return UsageStep{UsageAction::Record, number, "record_lost"};
    }
    // A correction may have set the time back.
    if (!window.lastCallAt || now < *window.lastCallAt || now - *window.lastCallAt >= CallInterval) {
        return UsageStep{UsageAction::Call, number, window.calls > 0 ? "not_confirmed" : window.inherited ? "inherited" : "recorded"};
    }
    return std::nullopt;
}

std::optional<UsageStep> UsageReportPlan::nextForUnrecorded(std::int64_t number, const UsageWindowState &state, UnixTime now)
{
    if (number <= m_closedAtLoad) {
        m_windows[number].closed = true;
        return std::nullopt;
    }
    if (m_restoreSeenAt && endOf(number) <= *m_restoreSeenAt) {
        if (state.hasRequests) {
            giveUp(number, "store_restored");
        }
        m_windows[number].closed = true;
        return std::nullopt;
    }
    if (now > endOf(number) + m_times.late) {
        if (state.hasRequests) {
            giveUp(number, "overdue");
        }
        m_windows[number].closed = true;
        return std::nullopt;
    }
    const char *reason = readiness(number, state, now);
    if (reason == nullptr) {
        return std::nullopt;
    }
    if (!state.hasRequests) {
        m_windows[number].closed = true;
        return std::nullopt;
    }
    return UsageStep{UsageAction::Record, number, reason};
}

const char *UsageReportPlan::readiness(std::int64_t number, const UsageWindowState &state, UnixTime now) const
{
    if (state.missingNodes == 0 && state.collectingSince && now - *state.collectingSince >= CatchUpTime) {
        return "complete";
    }
    const bool collectedAll = state.collectingSince && *state.collectingSince <= windowStart(number, m_times.window);
    if (collectedAll && now >= endOf(number) + LongestWait) {
        return "nodes_missing";
    }
    return now >= endOf(number) + m_times.late - ReportTime ? "due" : nullptr;
}

std::vector<SkippedWindow> UsageReportPlan::takeSkipped()
{
    return std::exchange(m_skipped, {});
}

const UsageReport *UsageReportPlan::report(std::int64_t number) const
{
    const auto window = m_windows.find(number);
    return window == m_windows.end() || !window->second.report ? nullptr : &*window->second.report;
}

int UsageReportPlan::calls(std::int64_t number) const
{
    const auto window = m_windows.find(number);
    return window == m_windows.end() ? 0 : window->second.calls;
}

bool UsageReportPlan::isInherited(std::int64_t number) const
{
    const auto window = m_windows.find(number);
    return window != m_windows.end() && window->second.inherited;
}

void UsageReportPlan::recordWritten(const UsageReport &report)
{
    Window &window = m_windows[report.window];
    window.report = report;
    window.written = true;
}

void UsageReportPlan::recordCall(std::int64_t number, DutyCallOutcome outcome, UnixTime now)
{
    Window &window = m_windows[number];
    ++window.calls;
    window.lastCallAt = now;
    if (outcome == DutyCallOutcome::Accepted) {
        window.closed = true;
    } else if (outcome == DutyCallOutcome::Rejected || outcome == DutyCallOutcome::NoneAvailable) {
        giveUp(number, "rejected");
    }
}

std::int64_t UsageReportPlan::closedUpTo(UnixTime now) const
{
    std::int64_t closed = windowOf(now - m_times.retention, m_times.window) - 1;
    for (auto window = m_windows.find(closed + 1); window != m_windows.end() && window->first == closed + 1 && window->second.closed;
         ++window) {
        ++closed;
    }
    return closed;
}

} // namespace apricotarch
