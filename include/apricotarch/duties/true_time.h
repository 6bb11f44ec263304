#pragma once

/**
 * @file
 * A node's estimate of true time, on which all nodes agree although their time-of-day clocks differ and jump.
 */

#include <cstddef>
#include <map>
#include <optional>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/usage_update.h"

namespace apricotarch
{

/**
 * The time of day is read once, at the start of the process; later times follow from a clock that is never set. The result is corrected to
 * the median of all nodes' uncorrected estimates, so that a node with a wrong clock follows the others. Nodes exchange uncorrected
 * estimates because two nodes that follow each other's corrected ones would exchange their errors. Not thread-safe.
 */
class TrueTime
{
public:
    /// A difference from the median up to this is not corrected; it includes the time that heartbeats take.
    static constexpr std::chrono::milliseconds Tolerance{250};

    /// Estimates of at most this many nodes are kept.
    static constexpr std::size_t MaxPeers = 64;

    /**
     * @param clock clock that counts the time of a suspension, see BootClock; must outlive this object
     * @param timeOfDay the present time of the time-of-day clock
     */
    TrueTime(const Clock &clock, UnixTime timeOfDay);

    /// Returns the estimate of true time.
    [[nodiscard]] UnixTime now() const;

    /// Returns the uncorrected estimate, for the other nodes.
    [[nodiscard]] UnixTime uncorrected() const;

    /// Records another node's uncorrected estimate, unless it may have waited at this node for a second or more.
    void recordPeer(const NodeId &node, UnixTime uncorrected);

    /// Corrects the estimate if it differs by more than Tolerance from the median. To be called several times a second. @return the
    /// correction, if there was one
    std::optional<std::chrono::milliseconds> correct();

private:
    struct Peer
    {
        UnixTime::duration offset{0};
        TimePoint recordedAt;
    };

    [[nodiscard]] UnixTime::duration clockTime() const;

    const Clock &m_clock;
    UnixTime::duration m_ownOffset; ///< Time of day less the clock's time at the start.
    UnixTime::duration m_offset; ///< Corrected offset.
    std::map<NodeId, Peer> m_peers;
    std::optional<TimePoint> m_checkedAt; ///< Time of the last call of correct().
    TimePoint m_trustedFrom; ///< Estimates that are received before this time may have waited.
};

} // namespace apricotarch
