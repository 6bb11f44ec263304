#include "apricotarch/coordination/crash_ledger.h"

#include <algorithm>

namespace apricotarch
{

namespace
{

constexpr int QuarantineThreshold = 2;

} // namespace

CrashLedger::CrashLedger(CrashTimes times)
    : m_times(times)
{
}

void CrashLedger::started(const ReplicaId &replica, ContentHash content)
{
    const std::lock_guard lock(m_mutex);
    m_running[replica].insert(content);
}

int CrashLedger::crashCount(ContentHash content, TimePoint now) const
{
    const auto found = m_records.find(content);
    return found == m_records.end() || found->second.expiresAt <= now ? 0 : found->second.crashes;
}

void CrashLedger::clear(ContentHash content, TimePoint now)
{
    const auto found = m_records.find(content);
    if (found != m_records.end()) {
        found->second = {0, now + m_times.clearancePeriod, true};
    }
}

void CrashLedger::removeExpired(TimePoint now)
{
    std::erase_if(m_records, [now](const auto &entry) {
        return entry.second.expiresAt <= now;
    });
}

void CrashLedger::ended(const ReplicaId &replica, ContentHash content, bool answered, TimePoint now)
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

void CrashLedger::crashed(const ReplicaId &replica, ContentHash content, TimePoint now)
{
    ended(replica, content, false, now);
    const std::lock_guard lock(m_mutex);
    removeExpired(now);
    Record &record = m_records[content];
    record.local = true;
    ++record.crashes;
    record.expiresAt = now + (record.crashes >= QuarantineThreshold ? m_times.quarantinePeriod : m_times.suspectPeriod);
}

bool CrashLedger::isConvicted(ContentHash content, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return crashCount(content, now) >= QuarantineThreshold;
}

bool CrashLedger::isSuspect(ContentHash content, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return crashCount(content, now) > 0;
}

std::set<ReplicaId> CrashLedger::replicasWithSuspects(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::set<ReplicaId> replicas;
    for (const auto &[replica, contents] : m_running) {
        const bool suspected = std::ranges::any_of(contents, [&](ContentHash content) {
            return crashCount(content, now) > 0;
        });
        if (suspected) {
            replicas.insert(replica);
        }
    }
    return replicas;
}

std::vector<CrashRecord> CrashLedger::ownRecords(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<CrashRecord> records;
    for (const auto &[content, record] : m_records) {
        if (record.local && now < record.expiresAt) {
            records.push_back({content, record.crashes, std::chrono::duration_cast<std::chrono::milliseconds>(record.expiresAt - now)});
        }
    }
    return records;
}

void CrashLedger::learn(const std::vector<CrashRecord> &records, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    removeExpired(now);
    for (const CrashRecord &reported : records) {
        const auto found = m_records.find(reported.content);
        const bool clearedHere = found != m_records.end() && found->second.crashes == 0;
        if (reported.crashes == 0) {
            m_records.erase(reported.content);
        } else if (!clearedHere && crashCount(reported.content, now) < reported.crashes) {
            m_records[reported.content] = {reported.crashes, now + reported.remaining, false};
        }
    }
}

bool CrashLedger::lift(ContentHash content, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const bool found = crashCount(content, now) > 0;
    clear(content, now);
    return found;
}

} // namespace apricotarch
