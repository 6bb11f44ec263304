#include "apricotarch/coordination/crash_tracker.h"

#include <algorithm>

namespace apricotarch
{

namespace
{

constexpr int QuarantineThreshold = 2;

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

int CrashTracker::crashCount(ContentHash content, TimePoint now) const
{
    const auto found = m_records.find(content);
    return found == m_records.end() || found->second.expiresAt <= now ? 0 : found->second.crashes;
}

void CrashTracker::clear(ContentHash content, TimePoint now)
{
    const auto found = m_records.find(content);
    if (found != m_records.end()) {
        found->second = {0, now + m_periods.clearancePeriod, true};
    }
}

void CrashTracker::removeExpired(TimePoint now)
{
    std::erase_if(m_records, [now](const auto &entry) {
        return entry.second.expiresAt <= now;
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
    record.local = true;
    ++record.crashes;
    record.expiresAt = now + (record.crashes >= QuarantineThreshold ? m_periods.quarantinePeriod : m_periods.suspectPeriod);
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

std::vector<CrashRecord> CrashTracker::localRecords(TimePoint now) const
{
    return selectRecords(now, true);
}

std::vector<CrashRecord> CrashTracker::records(TimePoint now) const
{
    return selectRecords(now, false);
}

std::vector<CrashRecord> CrashTracker::selectRecords(TimePoint now, bool onlyLocal) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<CrashRecord> records;
    for (const auto &[content, record] : m_records) {
        if ((record.local || !onlyLocal) && now < record.expiresAt) {
            records.push_back({content, record.crashes, std::chrono::duration_cast<std::chrono::milliseconds>(record.expiresAt - now)});
        }
    }
    return records;
}

bool CrashTracker::mergeRecords(const std::vector<CrashRecord> &records, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    removeExpired(now);
    bool changed = false;
    for (const CrashRecord &reported : records) {
        const auto found = m_records.find(reported.content);
        const bool cleared = found != m_records.end() && found->second.crashes == 0;
        if (reported.crashes == 0) {
            // The clearance is kept, since the record that it clears may still arrive from a third node.
            if (found != m_records.end() && !cleared) {
                found->second = {0, now + reported.remaining, false};
                changed = true;
            }
        } else if (!cleared && crashCount(reported.content, now) < reported.crashes) {
            m_records[reported.content] = {reported.crashes, now + reported.remaining, false};
            changed = true;
        }
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
