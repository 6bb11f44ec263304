#include "apricotarch/coordination/crash_tracker.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace apricotarch
{

namespace
{

constexpr int QuarantineThreshold = 2;

/// Heartbeats in which a changed record is reported ahead of others, since datagrams may be lost.
constexpr int ReportsPerChange = 3;

/// Records that expire within this time are not reported. It exceeds the delay of a message, so that no record is reported back to a node
/// at which it has just expired.
constexpr Duration MinReportedTime = std::chrono::seconds(5);

} // namespace

CrashTracker::CrashTracker(CrashTrackerPeriods periods)
    : m_periods(periods)
{
}

void CrashTracker::recordStart(const ReplicaId &replica, ContentHash content)
{
    const std::lock_guard lock(m_mutex);
    m_running[replica].insert(content);
}

Duration CrashTracker::period(int crashes) const noexcept
{
    if (crashes == 0) {
        return m_periods.clearancePeriod;
    }
    return crashes >= QuarantineThreshold ? m_periods.quarantinePeriod : m_periods.suspectPeriod;
}

TimePoint CrashTracker::expiryTime(const Record &record) const noexcept
{
    return record.at + period(record.crashes);
}

int CrashTracker::crashCount(ContentHash content, TimePoint now) const
{
    const int unconfirmed = static_cast<int>(m_unconfirmed.count(content));
    const auto found = m_records.find(content);
    return unconfirmed + (found == m_records.end() || expiryTime(found->second) <= now ? 0 : found->second.crashes);
}

void CrashTracker::clear(ContentHash content, TimePoint now)
{
    m_unconfirmed.erase(content);
    const auto found = m_records.find(content);
    if (found != m_records.end()) {
        found->second = {0, now, ReportsPerChange};
    }
}

void CrashTracker::removeExpired(TimePoint now)
{
    std::erase_if(m_records, [this, now](const auto &entry) {
        return expiryTime(entry.second) <= now;
    });
}

void CrashTracker::recordEnd(const ReplicaId &replica, ContentHash content, bool answered, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto running = m_running.find(replica);
    if (running != m_running.end()) {
        const auto found = running->second.find(content);
        if (found != running->second.end()) {
            running->second.erase(found);
        }
        if (running->second.empty()) {
            m_running.erase(running);
        }
    }
    if (answered) {
        clear(content, now);
    }
}

void CrashTracker::recordCrash(const ReplicaId &replica, ContentHash content, TimePoint now)
{
    recordEnd(replica, content, false, now);
    const std::lock_guard lock(m_mutex);
    removeExpired(now);
    Record &record = m_records[content];
    record = {record.crashes + 1, now, ReportsPerChange};
}

void CrashTracker::recordUnconfirmedCrash(const ReplicaId &replica, ContentHash content, TimePoint now)
{
    recordEnd(replica, content, false, now);
    const std::lock_guard lock(m_mutex);
    m_unconfirmed.insert(content);
}

void CrashTracker::confirmCrash(ContentHash content, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_unconfirmed.find(content); found != m_unconfirmed.end()) {
        m_unconfirmed.erase(found);
        removeExpired(at);
        Record &record = m_records[content];
        record = {record.crashes + 1, std::max(record.at, at), ReportsPerChange};
    }
}

void CrashTracker::refuteCrash(ContentHash content)
{
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_unconfirmed.find(content); found != m_unconfirmed.end()) {
        m_unconfirmed.erase(found);
    }
}

bool CrashTracker::isQuarantined(ContentHash content, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return crashCount(content, now) >= QuarantineThreshold;
}

bool CrashTracker::isSuspect(ContentHash content, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return crashCount(content, now) > 0;
}

std::set<ReplicaId> CrashTracker::replicasWithSuspects(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::set<ReplicaId> replicas;
    for (const auto &[replica, contents] : m_running) {
        const bool runsSuspect = std::ranges::any_of(contents, [&](ContentHash content) {
            return crashCount(content, now) > 0;
        });
        if (runsSuspect) {
            replicas.insert(replica);
        }
    }
    return replicas;
}

std::vector<CrashRecord> CrashTracker::nextReports(TimePoint now)
{
    using Entry = std::pair<const ContentHash, Record>;
    const std::lock_guard lock(m_mutex);
    std::vector<Entry *> entries;
    const auto next = m_records.upper_bound(m_lastReported);
    for (const auto &[begin, end] : {std::pair(next, m_records.end()), std::pair(m_records.begin(), next)}) {
        for (auto entry = begin; entry != end; ++entry) {
            if (expiryTime(entry->second) - now >= MinReportedTime) {
                entries.push_back(&*entry);
            }
        }
    }
    const auto isChanged = [](const Entry *entry) {
        return entry->second.reportsLeft > 0;
    };
    const auto isQuarantine = [](const Entry *entry) {
        return entry->second.crashes >= QuarantineThreshold;
    };
    std::ranges::stable_sort(entries, std::greater(), [&](const Entry *entry) {
        return std::pair(isChanged(entry), isQuarantine(entry));
    });
    std::size_t quarantinesLeft = MaxRepeatedQuarantines;
    std::size_t othersLeft = MaxOtherRepetitions;
    std::vector<CrashRecord> reports;
    for (Entry *entry : entries) {
        if (reports.size() == MaxReportedRecords) {
            break;
        }
        auto &[content, record] = *entry;
        if (!isChanged(entry)) {
            std::size_t &left = isQuarantine(entry) ? quarantinesLeft : othersLeft;
            if (left == 0) {
                continue;
            }
            --left;
            m_lastReported = content;
        }
        record.reportsLeft = std::max(0, record.reportsLeft - 1);
        reports.push_back({content, record.crashes, std::chrono::duration_cast<std::chrono::milliseconds>(expiryTime(record) - now)});
    }
    return reports;
}

bool CrashTracker::mergeRecord(const CrashRecord &reported, TimePoint now, bool passOn)
{
    const TimePoint at = now - std::max<Duration>(period(reported.crashes) - reported.remaining, Duration::zero());
    const auto found = m_records.find(reported.content);
    if (found != m_records.end()) {
        const Record &known = found->second;
        const bool isClearance = reported.crashes == 0;
        if (isClearance != (known.crashes == 0)) {
            // A clearance holds for the crashes before it.
            if (isClearance ? at < known.at : at <= known.at) {
                return false;
            }
        } else if (reported.crashes <= known.crashes) {
            return false;
        }
    }
    m_records[reported.content] = {reported.crashes, at, passOn ? ReportsPerChange : 0};
    return true;
}

bool CrashTracker::mergeRecords(const std::vector<CrashRecord> &records, TimePoint now, bool passOn)
{
    const std::lock_guard lock(m_mutex);
    removeExpired(now);
    bool changed = false;
    for (const CrashRecord &reported : records) {
        changed = (reported.remaining >= MinReportedTime && mergeRecord(reported, now, passOn)) || changed;
    }
    return changed;
}

bool CrashTracker::release(ContentHash content, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const bool found = crashCount(content, now) > 0;
    clear(content, now);
    return found;
}

} // namespace apricotarch
