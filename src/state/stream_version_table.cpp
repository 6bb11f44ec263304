#include "apricotarch/state/stream_version_table.h"

#include <algorithm>

#include "apricotarch/base/hash.h"

namespace apricotarch
{

StreamKey streamKey(const RequestId &request)
{
    return StreamKey(contentHash(request.value()).value());
}

bool StreamVersionTable::record(const StreamRecord &record, TimePoint now)
{
    if (!m_origins.emplace(record.stream, record.origin).second) {
        return false;
    }
    m_ages.push_back({record.stream, now});
    if (m_ages.size() > MaxStreams) {
        removeOldest();
    }
    return true;
}

std::optional<StreamOrigin> StreamVersionTable::find(StreamKey stream) const
{
    const auto found = m_origins.find(stream);
    return found == m_origins.end() ? std::nullopt : std::optional(found->second);
}

bool StreamVersionTable::recordOwn(const StreamRecord &streamRecord, TimePoint now)
{
    m_own.insert(streamRecord.stream);
    return record(streamRecord, now);
}

void StreamVersionTable::markComplete(StreamKey stream)
{
    m_own.erase(stream);
}

std::vector<StreamRecord> StreamVersionTable::ownStreams(TimePoint since) const
{
    std::vector<StreamRecord> records;
    for (auto age = m_ages.rbegin(); age != m_ages.rend() && age->recordedAt > since && records.size() < MaxListedStreams; ++age) {
        if (m_own.contains(age->stream)) {
            records.push_back({age->stream, m_origins.at(age->stream)});
        }
    }
    return records;
}

void StreamVersionTable::keep(const StreamRecord &streamRecord, TimePoint until, TimePoint now)
{
    record(streamRecord, now);
    TimePoint &keptUntil = m_keptUntil[streamRecord.stream];
    keptUntil = std::max(keptUntil, until);
}

std::vector<StreamRecord> StreamVersionTable::keptStreams(TimePoint now, const std::function<bool(StreamKey)> &isWanted) const
{
    std::vector<StreamRecord> records;
    for (auto age = m_ages.rbegin(); age != m_ages.rend() && records.size() < MaxListedStreams; ++age) {
        const auto kept = m_keptUntil.find(age->stream);
        if (kept != m_keptUntil.end() && kept->second > now && isWanted(age->stream)) {
            records.push_back({age->stream, m_origins.at(age->stream)});
        }
    }
    return records;
}

void StreamVersionTable::removeBefore(TimePoint time)
{
    while (!m_ages.empty() && m_ages.front().recordedAt < time) {
        removeOldest();
    }
}

void StreamVersionTable::removeOldest()
{
    m_origins.erase(m_ages.front().stream);
    m_own.erase(m_ages.front().stream);
    m_keptUntil.erase(m_ages.front().stream);
    m_ages.pop_front();
}

} // namespace apricotarch
