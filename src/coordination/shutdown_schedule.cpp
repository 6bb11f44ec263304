#include "apricotarch/coordination/shutdown_schedule.h"

#include <algorithm>

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// Callers that use the node after this time have had the time to receive other addresses.
constexpr Duration AnnouncementTime = 2800ms;

/// How long a node accepts connections.
constexpr Duration ServiceTime = 3500ms;

/// The process exits this much before the end of the grace period.
constexpr Duration ExitMargin = 400ms;

/// Requests get their final answer this much before the process exits.
constexpr Duration LastAnswersMargin = 400ms;

// In a short grace period, each step takes at most this share of it.
constexpr int AnnouncementShare = 3;
constexpr int ServiceShare = 2;
constexpr int ExitShare = 20;
constexpr int LastAnswersShare = 12;

} // namespace

ShutdownSchedule::ShutdownSchedule(TimePoint startedAt, Duration gracePeriod) noexcept
    : m_startedAt(startedAt)
    , m_gracePeriod(gracePeriod)
{
}

TimePoint ShutdownSchedule::servesUntil() const noexcept
{
    return m_startedAt + std::min(ServiceTime, m_gracePeriod / ServiceShare);
}

TimePoint ShutdownSchedule::answersDueBy() const noexcept
{
    return exitsBy() - std::min(LastAnswersMargin, m_gracePeriod / LastAnswersShare);
}

TimePoint ShutdownSchedule::exitsBy() const noexcept
{
    return m_startedAt + m_gracePeriod - std::min(ExitMargin, m_gracePeriod / ExitShare);
}

bool ShutdownSchedule::admits(TimePoint now, TimePoint deadline, std::optional<Duration> longDuration) const noexcept
{
    if (deadline <= answersDueBy()) {
        return true;
    }
    if (now >= m_startedAt + std::min(AnnouncementTime, m_gracePeriod / AnnouncementShare)) {
        return false;
    }
    return now + longDuration.value_or(Duration::zero()) <= answersDueBy();
}

} // namespace apricotarch
