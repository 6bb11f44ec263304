#include "apricotarch/coordination/crash_ledger.h"

#include <algorithm>

namespace apricotarch
{

namespace
{

constexpr int CrashesToConvict = 2;

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

int CrashLedger::crashesOf(ContentHash content, TimePoint now) const
{
    const auto found = m_records.find(content);
    return found == m_records.end() || found->second.until <= now ? 0 : found->second.crashes;
}

void CrashLedger::clear(ContentHash content, TimePoint now)
{
    const auto found = m_records.find(content);
    if (found != m_records.end()) {
        found->second = {0, now + m_times.clearing, true};
    }
}

void CrashLedger::forgetPast(TimePoint now)
{
    std::erase_if(m_records, [now](const auto &entry) {
        return entry.second.until <= now;
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
    forgetPast(now);
    Record &record = m_records[content];
    record.own = true;
    ++record.crashes;
    record.until = now + (record.crashes >= CrashesToConvict ? m_times.conviction : m_times.suspicion);
}

bool CrashLedger::isConvicted(ContentHash content, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return crashesOf(content, now) >= CrashesToConvict;
}

bool CrashLedger::isSuspect(ContentHash content, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return crashesOf(content, now) > 0;
}

std::set<ReplicaId> CrashLedger::replicasWithSuspects(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::set<ReplicaId> replicas;
    for (const auto &[replica, contents] : m_running) {
        const bool suspected = std::ranges::any_of(contents, [&](ContentHash content) {
            return crashesOf(content, now) > 0;
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
    std::vector<CrashRecord> told;
    for (const auto &[content, record] : m_records) {
        if (record.own && now < record.until) {
            told.push_back({content, record.crashes, std::chrono::duration_cast<std::chrono::milliseconds>(record.until - now)});
        }
    }
    return told;
}

void CrashLedger::learn(const std::vector<CrashRecord> &records, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    forgetPast(now);
    for (const CrashRecord &told : records) {
        const auto found = m_records.find(told.content);
        const bool clearedHere = found != m_records.end() && found->second.crashes == 0;
        if (told.crashes == 0) {
            m_records.erase(told.content);
        } else if (!clearedHere && crashesOf(told.content, now) < told.crashes) {
            m_records[told.content] = {told.crashes, now + told.remaining, false};
        }
    }
}

bool CrashLedger::lift(ContentHash content, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const bool found = crashesOf(content, now) > 0;
    clear(content, now);
    return found;
}

} // namespace apricotarch
