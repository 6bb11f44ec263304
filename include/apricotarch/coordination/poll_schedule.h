#pragma once

/**
 * @file
 * When the long polls of the store end.
 */

#include <array>
#include <cstddef>
#include <optional>

#include "apricotarch/base/clock.h"

namespace apricotarch
{

/**
 * Times two long polls so that one of them is due to end within half of LongPollTime at any moment. A poll whose answer is late shows
 * that connections to the store have gone silent, those of both polls, so each poll can be twice as long.
 */
class PollSchedule
{
public:
    /// Longest time for which the store may hold a long poll.
    static constexpr std::chrono::milliseconds LongPollTime{2700};

    /// @param poll index of the poll, 0 or 1
    /// @return how long the store may hold a poll that begins now
    [[nodiscard]] Duration begin(std::size_t poll, TimePoint now);

    /// Records that a poll has ended.
    void end(std::size_t poll);

private:
    std::array<std::optional<TimePoint>, 2> m_endsAt; ///< Of the polls in progress.
};

} // namespace apricotarch
