#pragma once

/**
 * @file
 * Remembers which software version of which service began a stream.
 */

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// Hash of the id of the request that brought a stream's first event. A caller names this request when it resumes the stream.
using StreamKey = StrongNumber<struct StreamKeyTag>;

/// Returns the key of the stream that a request began.
[[nodiscard]] StreamKey streamKey(const RequestId &request);

/// Where a stream began.
struct StreamOrigin
{
    ServiceId service;
    SoftwareVersion version;

    bool operator==(const StreamOrigin &other) const = default;
};

/// A stream and where it began.
struct StreamRecord
{
    StreamKey stream;
    StreamOrigin origin;
};

/// Origins of recent streams. Not thread-safe; used on one event loop.
class StreamVersionTable
{
public:
    /// Most streams that are kept; beyond it the oldest one is forgotten. One takes about 150 bytes.
    static constexpr std::size_t MaxStreams = 50'000;

    /// Most streams in ownStreams() and in keptStreams().
    static constexpr std::size_t MaxListedStreams = 2000;

    /// Records where a stream began, unless that is known already. @return whether it was not known
    bool record(const StreamRecord &record, TimePoint now);

    /// Returns where a stream began, if that is known.
    [[nodiscard]] std::optional<StreamOrigin> find(StreamKey stream) const;

    /// Records where a stream of this node began. @return whether it was not known
    bool recordOwn(const StreamRecord &record, TimePoint now);

    /// Marks a stream as complete: the caller has all of it, unless its connection was lost at the end.
    void markComplete(StreamKey stream);

    /// Returns the latest streams of this node that are not complete and were recorded after a time, at most MaxListedStreams.
    [[nodiscard]] std::vector<StreamRecord> ownStreams(TimePoint since) const;

    /// Records a stream that another node has begun and that this one keeps for all until a time.
    void keep(const StreamRecord &record, TimePoint until, TimePoint now);

    /// Returns the latest streams that are kept, at most MaxListedStreams. @param isWanted selects streams
    [[nodiscard]] std::vector<StreamRecord> keptStreams(TimePoint now, const std::function<bool(StreamKey)> &isWanted) const;

    /// Forgets the streams that were recorded before a time.
    void removeBefore(TimePoint time);

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_origins.size();
    }

private:
    struct Age
    {
        StreamKey stream;
        TimePoint recordedAt;
    };

    void removeOldest();

    std::map<StreamKey, StreamOrigin> m_origins;
    std::set<StreamKey> m_own; ///< Streams of this node that are not complete.
    std::map<StreamKey, TimePoint> m_keptUntil;
    std::deque<Age> m_ages; ///< Oldest first.
};

} // namespace apricotarch
