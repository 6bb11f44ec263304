#include "apricotarch/state/backend.h"

#include <algorithm>
#include <set>

namespace apricotarch
{

namespace
{

constexpr std::chrono::milliseconds FirstAvoidance{200}; ///< Longer than a round trip and a restart of a connection.
constexpr int MostDoublings = 4; ///< So that a server is tried again after at most 3.2 s.
constexpr std::chrono::seconds ForgetAfter{30}; ///< Longer than any answer that may still be under way.

} // namespace

void PrefixCacheModel::resize(std::int64_t capacity)
{
    m_capacity = capacity;
    shrink();
}

void PrefixCacheModel::use(const std::vector<PromptPart> &prompt)
{
    // The first part is touched last, since a part is of no use without those before it.
    for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
        if (const auto found = m_index.find(part->id); found != m_index.end()) {
            m_used += part->tokens - found->second->tokens;
            found->second->tokens = part->tokens;
            m_parts.splice(m_parts.begin(), m_parts, found->second);
            continue;
        }
        m_parts.push_front(*part);
        m_index[part->id] = m_parts.begin();
        m_used += part->tokens;
    }
    shrink();
}

std::int64_t PrefixCacheModel::cachedTokens(const std::vector<PromptPart> &prompt) const
{
    std::int64_t tokens = 0;
    for (const PromptPart &part : prompt) {
        if (!m_index.contains(part.id)) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

void PrefixCacheModel::clear()
{
    m_parts.clear();
    m_index.clear();
    m_used = 0;
}

void PrefixCacheModel::shrink()
{
    while (m_used > m_capacity && !m_parts.empty()) {
        m_used -= m_parts.back().tokens;
        m_index.erase(m_parts.back().id);
        m_parts.pop_back();
    }
}

void Backend::failed(TimePoint now)
{
    const int doublings = std::min(failures, MostDoublings);
    ++failures;
    avoidUntil = now + FirstAvoidance * (1 << doublings);
}

bool BackendTable::put(const BackendRecord &record, TimePoint now)
{
    BackendPointer &backend = m_all[record.id];
    if (!backend) {
        backend = new Backend();
        backend->record = record;
        backend->cache.resize(m_cacheTokens[record.service]);
        m_byService[record.service].push_back(backend);
        return true;
    }
    BackendRecord &known = backend->record;
    if (record.startedAt < known.startedAt) {
        return false; // Written by an earlier start of the server.
    }
    const bool reborn = record.startedAt != known.startedAt;
    const bool changed = reborn || known.state != record.state || known.stage != record.stage || known.address != record.address
        || known.service != record.service;
    if (reborn) {
        backend->cache.clear();
        backend->failures = 0;
        backend->avoidUntil = now;
    }
    if (known.service != record.service) {
        std::erase(m_byService[known.service], backend);
        m_byService[record.service].push_back(backend);
    }
    if (known.stage != record.stage) {
        backend->changingUntil = now;
        backend->changedAt = now;
    }
    known = record;
    return changed;
}

void BackendTable::remove(const ReplicaId &id, TimePoint now)
{
    const auto found = m_all.find(id);
    if (found == m_all.end() || found->second->record.state == BackendState::Gone) {
        return;
    }
    Backend &backend = *found->second;
    // A server that announced its leaving does not come back; its time has been counted since then.
    backend.goneSince = backend.record.state == BackendState::Draining ? now - LapsedUse : now;
    backend.record.state = BackendState::Gone;
}

void BackendTable::replaceAll(const std::vector<BackendRecord> &records, TimePoint now)
{
    std::set<ReplicaId> present;
    for (const BackendRecord &record : records) {
        present.insert(record.id);
        put(record, now);
    }
    for (const auto &[id, backend] : m_all) {
        if (!present.contains(id)) {
            remove(id, now);
        }
    }
}

void BackendTable::forgetGone(TimePoint now)
{
    std::erase_if(m_all, [&](const auto &entry) {
        const BackendPointer &backend = entry.second;
        const bool forgotten =
            backend->record.state == BackendState::Gone && backend->own.requests == 0 && now - backend->goneSince > ForgetAfter;
        if (forgotten) {
            std::erase(m_byService[backend->record.service], backend);
        }
        return forgotten;
    });
}

void BackendTable::resizeCaches(const ServiceId &service, std::int64_t tokens)
{
    m_cacheTokens[service] = tokens;
    for (const BackendPointer &backend : m_byService[service]) {
        backend->cache.resize(tokens);
    }
}

BackendPointer BackendTable::find(const ReplicaId &id) const
{
    const auto found = m_all.find(id);
    return found == m_all.end() ? nullptr : found->second;
}

std::vector<BackendPointer> BackendTable::ready(const ServiceId &service) const
{
    std::vector<BackendPointer> ready;
    if (const auto found = m_byService.find(service); found != m_byService.end()) {
        std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(ready), [](const BackendPointer &backend) {
            return backend->record.state == BackendState::Ready;
        });
    }
    return ready;
}

std::vector<BackendPointer> BackendTable::usable(const ServiceId &service, TimePoint now) const
{
    std::vector<BackendPointer> ready;
    std::vector<BackendPointer> lapsed;
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return ready;
    }
    for (const BackendPointer &backend : found->second) {
        if (backend->record.state == BackendState::Ready) {
            if (backend->changingUntil <= now) {
                ready.push_back(backend);
            }
        } else if (backend->record.state == BackendState::Gone && now - backend->goneSince < LapsedUse) {
            lapsed.push_back(backend);
        }
    }
    return ready.empty() ? lapsed : ready;
}

} // namespace apricotarch
