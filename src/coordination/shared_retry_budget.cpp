#include "apricotarch/coordination/shared_retry_budget.h"

#include <algorithm>

namespace apricotarch
{

namespace
{

/// Part of the common slack that is spent; the rest covers nodes that this one has not heard of and restarted nodes, which
/// have forgotten what they spent.
constexpr double SlackUsed = 0.5;

/// Part of the ratio that is spent; the rest covers requests that are counted in another window than their retries.
constexpr double RatioUsed = 0.85;

void dropBefore(std::deque<TimePoint> &moments, TimePoint start)
{
    while (!moments.empty() && moments.front() < start) {
        moments.pop_front();
    }
}

} // namespace

SharedRetryBudget::SharedRetryBudget(RetryLimits limits)
    : m_limits(limits)
{
}

void SharedRetryBudget::request(const ServiceId &service, TimePoint now)
{
    Window &window = m_services[service];
    shrink(window, now);
    window.requests.push_back(now);
}

bool SharedRetryBudget::take(const ServiceId &service, std::size_t nodes, TimePoint now)
{
    Window &window = m_services[service];
    shrink(window, now);
    const double allowed = RatioUsed * m_limits.ratio * static_cast<double>(window.requests.size())
        + SlackUsed * m_limits.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
    if (static_cast<double>(window.retries.size()) + 1 > allowed) {
        return false;
    }
    window.retries.push_back(now);
    return true;
}

void SharedRetryBudget::shrink(Window &window, TimePoint now) const
{
    dropBefore(window.requests, now - m_limits.window);
    dropBefore(window.retries, now - m_limits.window);
}

} // namespace apricotarch
