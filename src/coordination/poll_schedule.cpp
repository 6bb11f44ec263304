#include "apricotarch/coordination/poll_schedule.h"

#include <algorithm>

namespace apricotarch
{

namespace
{

constexpr Duration HalfPollTime = PollSchedule::LongPollTime / 2;

/// Answers come somewhat early or late. Within this tolerance the polls count as evenly spread.
constexpr std::chrono::milliseconds SpreadTolerance{50};

} // namespace

Duration PollSchedule::begin(std::size_t poll, TimePoint now)
{
    const TimePoint otherEndsAt = m_endsAt.at(1 - poll).value_or(now);
    const Duration otherRemaining = std::max(otherEndsAt - now, Duration::zero());
    const bool otherEndsSoon = otherRemaining <= HalfPollTime + SpreadTolerance;
    const Duration wait = otherEndsSoon ? std::min<Duration>(LongPollTime, otherRemaining + HalfPollTime) : HalfPollTime;
    m_endsAt.at(poll) = now + wait;
    return wait;
}

void PollSchedule::end(std::size_t poll)
{
    m_endsAt.at(poll).reset();
}

} // namespace apricotarch
