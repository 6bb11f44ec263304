#include "platform_store.h"

#include <algorithm>
#include <utility>

namespace apricotarch::standins
{

bool PlatformStore::TokenBucket::tryTake(double rate, TimePoint now)
{
    if (rate <= 0) {
        return true;
    }
    const double refill = std::chrono::duration<double>(now - at).count() * rate;
    tokens = at == TimePoint() ? rate : std::min(rate, tokens + refill);
    at = now;
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

PlatformStore::PlatformStore(const Clock &clock, PlatformLimits limits)
    : m_clock(clock)
    , m_limits(limits)
{
}

bool PlatformStore::hasVersion(const RowKey &key, const StorePosition &position) const
{
    const auto found = m_rows.find(key);
    const std::int64_t present = found == m_rows.end() ? 0 : found->second.version.version().value();
    return present == position.version().value();
}

void PlatformStore::copyRows()
{
    const std::lock_guard lock(m_mutex);
    m_copiedRows = m_rows;
}

void PlatformStore::restoreRows()
{
    const std::lock_guard lock(m_mutex);
    m_incarnation = m_incarnation.next();
    m_rows = m_copiedRows;
    for (auto &[key, row] : m_rows) {
        row.version = {m_incarnation, row.version.version()};
    }
}

StoreIncarnation PlatformStore::incarnation() const
{
    const std::lock_guard lock(m_mutex);
    return m_incarnation;
}

std::optional<Row> PlatformStore::read(const RowKey &key) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? std::nullopt : std::optional(found->second);
}

bool PlatformStore::tryTakeRead()
{
    const std::lock_guard lock(m_mutex);
    return m_readBucket.tryTake(m_limits.readsPerSecond, m_clock.now());
}

StoreOutcome PlatformStore::write(const RowWrite &write, StorePosition &version)
{
    const std::lock_guard lock(m_mutex);
    if (!m_writeBucket.tryTake(m_limits.writesPerSecond, m_clock.now())) {
        return StoreOutcome::RateLimited;
    }
    const bool guardHolds = !write.guard || hasVersion(write.guard->key, write.guard->version);
    if (!hasVersion(write.key, write.expected) || !guardHolds) {
        return StoreOutcome::Conflict;
    }
    version = {m_incarnation, write.expected.next().version()};
    m_rows[write.key] = {version, write.text};
    ++m_writes;
    return StoreOutcome::Done;
}

std::optional<std::string> PlatformStore::object(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find(name);
    return found == m_objects.end() ? std::nullopt : std::optional(found->second);
}

void PlatformStore::putObject(const std::string &name, std::string body)
{
    const std::lock_guard lock(m_mutex);
    m_objects[name] = std::move(body);
}

void PlatformStore::setVms(std::vector<VmEntry> vms, std::chrono::milliseconds lag)
{
    const std::lock_guard lock(m_mutex);
    m_nextVms = std::move(vms);
    m_vmsChangeAt = m_clock.now() + lag;
}

std::vector<VmEntry> PlatformStore::vms() const
{
    const std::lock_guard lock(m_mutex);
    return m_clock.now() >= m_vmsChangeAt ? m_nextVms : m_vms;
}

void PlatformStore::setFaults(const PlatformFaults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
}

PlatformFaults PlatformStore::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

bool PlatformStore::dropNextAnswer()
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.answersToDrop <= 0) {
        return false;
    }
    --m_faults.answersToDrop;
    return true;
}

std::int64_t PlatformStore::writes() const
{
    const std::lock_guard lock(m_mutex);
    return m_writes;
}

} // namespace apricotarch::standins
