#pragma once

/**
 * @file
 * Decides when the steps of a planned stop are due, and which requests are still served.
 */

#include <optional>

#include "apricotarch/base/clock.h"

namespace apricotarch
{

/// Times of one planned stop. A stop begins with a signal and must end within the grace period, after which the process is killed.
class ShutdownSchedule
{
public:
    /**
     * @param startedAt when the signal was handled
     * @param gracePeriod time between the signal and the kill
     */
    ShutdownSchedule(TimePoint startedAt, Duration gracePeriod) noexcept;

    [[nodiscard]] TimePoint startedAt() const noexcept
    {
        return m_startedAt;
    }

    /// Until when the node accepts connections and keeps idle ones open, so that callers first receive other addresses.
    [[nodiscard]] TimePoint servesUntil() const noexcept;

    /// When requests in progress get their final answer, so that it reaches their callers before the process exits.
    [[nodiscard]] TimePoint answersDueBy() const noexcept;

    /// When the process exits at the latest.
    [[nodiscard]] TimePoint exitsBy() const noexcept;

    /**
     * Decides whether a request that arrives during the shutdown is served. Callers that may not have received other addresses yet are
     * served unless their request is unlikely to end in time; later, only requests that must end in time are.
     * @param now current time
     * @param deadline when the request ends at the latest, by the time limits of its caller and its route
     * @param longDuration how long a long request of the route takes, if known
     */
    [[nodiscard]] bool admits(TimePoint now, TimePoint deadline, std::optional<Duration> longDuration) const noexcept;

private:
    TimePoint m_startedAt;
    Duration m_gracePeriod;
};

} // namespace apricotarch
