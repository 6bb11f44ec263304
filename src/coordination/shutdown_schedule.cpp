#include "apricotarch/coordination/shutdown_schedule.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// Shortest time for which a node keeps serving.
constexpr Duration MinimumServiceTime = 3500ms;

/// The process exits this much before the end of the grace period.
constexpr Duration ExitMargin = 400ms;

/// Requests get their final answer this much before the process exits.
constexpr Duration LastAnswersMargin = 400ms;

} // namespace

ShutdownSchedule::ShutdownSchedule(TimePoint startedAt, Duration gracePeriod) noexcept
    : m_startedAt(startedAt)
    , m_gracePeriod(gracePeriod)
{
}

TimePoint ShutdownSchedule::servesUntil() const noexcept
{
    return m_startedAt + MinimumServiceTime;
}

TimePoint ShutdownSchedule::answersDueBy() const noexcept
{
    return exitsBy() - LastAnswersMargin;
}

TimePoint ShutdownSchedule::exitsBy() const noexcept
{
    return m_startedAt + m_gracePeriod - ExitMargin;
}

} // namespace apricotarch
