#include "apricotarch/app/usage_reporter.h"

#include <algorithm>
#include <utility>

#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration PollInterval = 300ms;

/// A process whose last renewal is longer ago no longer holds the lease; it may have been suspended.
constexpr std::chrono::milliseconds LongestAuthority = 4500ms;

/// A holder renews the lease at least this often, so that it does not lapse between two windows.
constexpr std::chrono::milliseconds HoldInterval = 3500ms;

/// A node that does not hold the lease asks for it this often.
constexpr std::chrono::milliseconds AcquisitionInterval = 500ms;

/// Actions in one step; there are at most two for each of the seven open windows.
constexpr int MaxActions = 14;

/// Timeout of a call. The report can be repeated after CallInterval.
constexpr Duration CallTimeout = 1500ms;

/// A call ends this long before the authority does.
constexpr Duration AuthorityMargin = 200ms;

/// Calls with less time than this are not made.
constexpr Duration ShortestCall = 200ms;

/// Nodes with missing counts that are named in the log.
constexpr std::size_t MaxNamedNodes = 3;

std::int64_t totalOf(const UsageReport &report)
{
    std::int64_t total = 0;
    for (const auto &[customer, requests] : report.requests) {
        total += requests;
    }
    return total;
}

} // namespace

UsageReporter::UsageReporter(FrontState &state,
    const UsageLedger &ledger,
    TableStore &rows,
    RenewLease renewLease,
    DutyServices &services,
    const TrueTime &time,
    UsageTimes times)
    : m_state(state)
    , m_ledger(ledger)
    , m_rows(rows)
    , m_renewLease(std::move(renewLease))
    , m_services(services)
    , m_time(time)
    , m_times(times)
    , m_plan(times)
{
}

asio::awaitable<void> UsageReporter::run()
{
    while (true) {
        co_await m_state.clock.sleep(PollInterval);
        // A process that becomes the holder later must know when it first saw the store's incarnation.
        m_plan.observeIncarnation(m_rows.incarnation(), m_time.now());
        if (!m_state.isShuttingDown() && m_state.peers.isStageController(m_state.clock.now())) {
            co_await step();
        }
    }
}

asio::awaitable<void> UsageReporter::step()
{
    m_plan.observeIncarnation(m_rows.incarnation(), m_time.now());
    for (int actions = 0; actions < MaxActions; ++actions) {
        // Only a holder that knows the records may decide what to do.
        const std::optional<UsageStep> planned = isHolder() ? nextStep() : std::nullopt;
        if (!planned && !isRenewalDue()) {
            break;
        }
        const std::optional<DutyAuthority> authority = co_await takeAuthority();
        if (!authority) {
            break;
        }
        // The records or the time may have changed.
        const std::optional<UsageStep> step = nextStep();
        if (!step) {
            break;
        }
        bool done = false;
        if (step->action == UsageAction::Record) {
            done = co_await record(*step, *authority);
        } else {
            done = co_await call(*step, *authority);
        }
        if (!done) {
            break;
        }
    }
    logSkipped();
}

std::optional<UsageStep> UsageReporter::nextStep()
{
    return m_plan.next(m_time.now(), [this](std::int64_t window) {
        return stateOf(window);
    });
}

UsageWindowState UsageReporter::stateOf(std::int64_t window) const
{
    return {m_ledger.hasRequests(window), missingNodes(window).size(), m_ledger.collectingSince(m_time.now())};
}

std::vector<Endpoint> UsageReporter::missingNodes(std::int64_t window) const
{
    std::vector<Endpoint> live = m_state.peers.liveAddresses(m_state.clock.now());
    live.push_back(m_state.settings.peerAddress);
    return m_ledger.missing(window, live, m_time.now());
}

bool UsageReporter::isHolder() const
{
    return m_holdsLease && m_loadedToken && m_time.now() - *m_renewedAt < LongestAuthority;
}

bool UsageReporter::isRenewalDue() const
{
    const auto interval = isHolder() ? HoldInterval : AcquisitionInterval;
    const bool isDue = !m_renewedAt || std::chrono::abs(m_time.now() - *m_renewedAt) >= interval;
    return isDue && hasRecentRequests();
}

bool UsageReporter::hasRecentRequests() const
{
    const std::int64_t last = windowOf(m_time.now(), m_times.window);
    for (std::int64_t window = windowOf(m_time.now() - m_times.retention, m_times.window); window <= last; ++window) {
        if (m_ledger.hasRequests(window)) {
            return true;
        }
    }
    return false;
}

// ---- the lease and the records ----

asio::awaitable<std::optional<DutyAuthority>> UsageReporter::takeAuthority()
{
    m_renewedAt = m_time.now();
    const std::optional<DutyAuthority> authority = co_await m_renewLease();
    m_plan.observeIncarnation(m_rows.incarnation(), m_time.now());
    m_holdsLease = authority.has_value();
    if (!authority) {
        co_return std::nullopt;
    }
    if (m_loadedToken != authority->stamp.token) {
        m_loadedToken.reset();
        const bool isLoaded = co_await loadRecords();
        if (!isLoaded) {
            co_return std::nullopt;
        }
        m_loadedToken = authority->stamp.token;
        std::optional<DutyAuthority> renewed = co_await m_renewLease(); // The reads may have taken long.
        m_holdsLease = renewed && renewed->stamp.token == authority->stamp.token;
        if (!m_holdsLease) {
            co_return std::nullopt;
        }
        co_return renewed;
    }
    co_return authority;
}

asio::awaitable<bool> UsageReporter::loadRecords()
{
    m_positions.clear();
    std::vector<UsageRecord> records;
    for (std::int64_t slot = 0; slot < UsageRingSlots; ++slot) {
        const Result<std::optional<UsageRow>> first = co_await readRow(usageRowKey(slot, 0));
        if (!first) {
            LogEvent("usage.not_loaded", LogEvent::Level::Warning).error(first.error());
            co_return false;
        }
        if (!*first) {
            continue;
        }
        const Result<UsageRecord> record = co_await readRecord(**first);
        if (!record) {
            LogEvent("usage.not_loaded", LogEvent::Level::Warning).error(record.error());
            co_return false;
        }
        records.push_back(*record);
    }
    m_plan.load(records, m_time.now());
    LogEvent("usage.loaded").field("records", records.size());
    co_return true;
}

asio::awaitable<Result<std::optional<UsageRow>>> UsageReporter::readRow(std::string key)
{
    const RowKey rowKey{UsageTable, key};
    const Result<std::optional<Row>> row = co_await m_rows.read(rowKey);
    if (!row) {
        co_return Failure(row.error());
    }
    m_positions[key] = *row ? (*row)->version : StorePosition();
    if (!*row) {
        co_return std::optional<UsageRow>();
    }
    Result<UsageRow> decoded = decodeUsageRow((*row)->text, key);
    if (!decoded) {
        // Nothing can be repeated from it, and the next record of the slot replaces it.
        LogEvent("usage.unreadable_record", LogEvent::Level::Error).error(decoded.error());
        co_return std::optional<UsageRow>();
    }
    co_return std::optional<UsageRow>(std::move(*decoded));
}

asio::awaitable<Result<UsageRecord>> UsageReporter::readRecord(UsageRow first)
{
    std::vector<UsageRow> rows{std::move(first)};
    const UsageRowHead head = rows.front().head;
    const std::string key = usageRowKey(head.window, 0);
    const UsageRecord unreadable{{head.window, {}}, head.closedUpTo, false};
    if (windowStart(head.window + 1, m_times.window) + m_times.retention <= m_time.now()) {
        co_return unreadable; // Too old for a repeat.
    }
    for (std::size_t part = 1; part < static_cast<std::size_t>(head.rows); ++part) {
        const Result<std::optional<UsageRow>> row = co_await readRow(usageRowKey(head.window, part));
        if (!row) {
            co_return Failure(row.error());
        }
        if (*row) {
            rows.push_back(**row);
        }
    }
    const Result<UsageRecord> record = joinUsageRows(rows, key);
    if (!record) {
        LogEvent("usage.unreadable_record", LogEvent::Level::Error).error(record.error());
        co_return unreadable;
    }
    co_return *record;
}

asio::awaitable<bool> UsageReporter::record(UsageStep step, DutyAuthority authority)
{
    const UsageReport *known = m_plan.report(step.window);
    const UsageReport report = known != nullptr ? *known : UsageReport{step.window, m_ledger.sum(step.window)};
    const std::string attempt =
        authority.stamp.holder.value() + '/' + std::to_string(authority.stamp.token.value()) + '/' + std::to_string(++m_lastAttempt);
    const std::vector<std::string> texts = encodeUsageRecord({report, m_plan.closedUpTo(m_time.now()), true}, attempt);
    for (std::size_t part = texts.size(); part-- > 0;) {
        const bool isWritten = co_await writeRow(usageRowKey(step.window, part), texts[part], authority.lease);
        if (!isWritten) {
            m_state.metrics.increment(CounterFamily::Orders, "usage_not_recorded");
            co_return false;
        }
    }
    m_plan.recordWritten(report);
    m_state.metrics.increment(CounterFamily::Orders, "usage_recorded");
    logRecorded(step, report);
    co_return true;
}

asio::awaitable<bool> UsageReporter::writeRow(std::string key, std::string text, RowGuard guard)
{
    if (!m_positions.contains(key)) {
        const Result<std::optional<UsageRow>> present = co_await readRow(key);
        if (!present) {
            co_return false;
        }
    }
    const StoreIncarnation incarnation = guard.version.incarnation();
    const StorePosition expected = m_positions[key];
    RowWrite write;
    write.key = {UsageTable, key};
    write.expected = expected;
    write.text = std::move(text);
    write.guard = std::move(guard);
    const WriteResult result = co_await writeConditionally(m_rows, m_state.clock, std::move(write));
    if (result.outcome == WriteOutcome::Written && result.version.incarnation() == incarnation) {
        m_positions[key] = result.version;
        co_return true;
    }
    LogEvent("usage.not_recorded", LogEvent::Level::Warning)
        .field("row", key)
        .field("expected", expected)
        .field("found", result.version)
        .error(result.error);
    const bool onlyGuardFailed = result.outcome == WriteOutcome::Lost && result.version == expected;
    if (!onlyGuardFailed) {
        m_loadedToken.reset(); // The row may have this or another record.
    }
    co_return false;
}

// ---- the call ----

asio::awaitable<bool> UsageReporter::call(UsageStep step, DutyAuthority authority)
{
    const Duration timeout = std::min<Duration>(CallTimeout, authority.remaining - AuthorityMargin);
    const UsageReport *recorded = m_plan.report(step.window);
    if (timeout < ShortestCall || recorded == nullptr) {
        co_return false;
    }
    const UsageReport report = *recorded;
    const bool isRepeat = m_plan.calls(step.window) > 0 || m_plan.isInherited(step.window);
    const DutyCallOutcome outcome = co_await m_services.reportUsage(report, authority.stamp, timeout);
    m_plan.recordCall(step.window, outcome, m_time.now());
    m_state.metrics.increment(CounterFamily::Orders, std::string("usage_") + outcomeName(outcome));
    LogEvent(isRepeat ? "usage.repeated" : "usage.reported")
        .field("window", step.window)
        .field("customers", report.requests.size())
        .field("total", totalOf(report))
        .field("outcome", outcomeName(outcome))
        .field("reason", step.reason)
        .field("calls", m_plan.calls(step.window))
        .field("fence", authority.stamp.token)
        .field("age_ms", ageMs(step.window));
    co_return true;
}

// ---- logs ----

std::int64_t UsageReporter::ageMs(std::int64_t window) const
{
    return (m_time.now() - windowStart(window + 1, m_times.window)).count();
}

void UsageReporter::logRecorded(const UsageStep &step, const UsageReport &report) const
{
    const std::vector<Endpoint> missing = missingNodes(step.window);
    std::string names;
    for (std::size_t index = 0; index < std::min(missing.size(), MaxNamedNodes); ++index) {
        names += (index > 0 ? "," : "") + missing[index].text();
    }
    LogEvent("usage.recorded")
        .field("window", step.window)
        .field("customers", report.requests.size())
        .field("total", totalOf(report))
        .field("missing", missing.size())
        .field("missing_nodes", names)
        .field("reason", step.reason)
        .field("age_ms", ageMs(step.window));
}

void UsageReporter::logSkipped()
{
    for (const SkippedWindow &skipped : m_plan.takeSkipped()) {
        m_state.metrics.increment(CounterFamily::Orders, "usage_skipped");
        std::int64_t total = 0;
        std::size_t customers = 0;
        for (const auto &[customer, requests] : m_ledger.sum(skipped.window)) {
            total += requests;
            ++customers;
        }
        LogEvent("usage.skipped", LogEvent::Level::Warning)
            .field("window", skipped.window)
            .field("customers", customers)
            .field("total", total)
            .field("missing", missingNodes(skipped.window).size())
            .field("reason", skipped.reason)
            .field("age_ms", ageMs(skipped.window));
    }
}

} // namespace apricotarch
