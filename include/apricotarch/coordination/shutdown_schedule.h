#pragma once

/**
 * @file
 * Decides when the steps of a planned stop are due.
 */

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

    /// Until when the node serves even if it has no request, so that callers first receive other addresses.
    [[nodiscard]] TimePoint servesUntil() const noexcept;

    /// When requests in progress get their final answer, so that it reaches their callers before the process exits.
    [[nodiscard]] TimePoint answersDueBy() const noexcept;

    /// When the process exits at the latest.
    [[nodiscard]] TimePoint exitsBy() const noexcept;

private:
    TimePoint m_startedAt;
    Duration m_gracePeriod;
};

} // namespace apricotarch
