#include "apricotarch/state/stream_version_table.h"

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

std::vector<StreamRecord> StreamVersionTable::ofService(const ServiceId &service) const
{
    std::vector<StreamRecord> records;
    for (const auto &[stream, origin] : m_origins) {
        if (origin.service == service) {
            records.push_back({stream, origin});
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
    m_ages.pop_front();
}

} // namespace apricotarch
