#include "apricotarch/duties/true_time.h"

#include <algorithm>
#include <vector>

namespace apricotarch
{

namespace
{

/// The estimate of a node that has sent none for this long is dropped.
constexpr Duration PeerTimeout = std::chrono::seconds(60);

/// After a longer pause between two checks, for example a suspension, received messages have waited and are older than they seem.
constexpr Duration LongestPause = std::chrono::seconds(1);

/// Time after a pause in which the messages that have waited are handled.
constexpr Duration BacklogTime = std::chrono::seconds(1);

} // namespace

TrueTime::TrueTime(const Clock &clock, UnixTime timeOfDay)
    : m_clock(clock)
    , m_ownOffset(timeOfDay.time_since_epoch() - clockTime())
    , m_offset(m_ownOffset)
{
}

UnixTime::duration TrueTime::clockTime() const
{
    return std::chrono::duration_cast<UnixTime::duration>(m_clock.now().time_since_epoch());
}

UnixTime TrueTime::now() const
{
    return UnixTime(clockTime() + m_offset);
}

UnixTime TrueTime::uncorrected() const
{
    return UnixTime(clockTime() + m_ownOffset);
}

void TrueTime::recordPeer(const NodeId &node, UnixTime uncorrected)
{
    const TimePoint now = m_clock.now();
    const bool hasPaused = m_checkedAt && now - *m_checkedAt > LongestPause;
    if (hasPaused || now < m_trustedFrom) {
        return;
    }
    if (m_peers.size() >= MaxPeers && !m_peers.contains(node)) {
        m_peers.erase(std::ranges::min_element(m_peers, {}, [](const auto &entry) {
            return entry.second.recordedAt;
        }));
    }
    m_peers[node] = {uncorrected.time_since_epoch() - clockTime(), now};
}

std::optional<std::chrono::milliseconds> TrueTime::correct()
{
    const TimePoint now = m_clock.now();
    if (m_checkedAt && now - *m_checkedAt > LongestPause) {
        m_trustedFrom = now + BacklogTime;
    }
    m_checkedAt = now;
    std::erase_if(m_peers, [now](const auto &entry) {
        return now - entry.second.recordedAt > PeerTimeout;
    });
    if (m_peers.empty()) {
        return std::nullopt; // What was learned from the other nodes is better than the own clock.
    }
    std::vector<UnixTime::duration> offsets{m_ownOffset};
    for (const auto &[node, peer] : m_peers) {
        offsets.push_back(peer.offset);
    }
    // Of an even number, the lower middle one: all nodes then choose the same.
    const auto median = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
    std::nth_element(offsets.begin(), median, offsets.end());
    const UnixTime::duration correction = *median - m_offset;
    if (std::chrono::abs(correction) <= Tolerance) {
        return std::nullopt;
    }
    m_offset = *median;
    return correction;
}

} // namespace apricotarch
