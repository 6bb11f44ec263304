#include "apricotarch/coordination/shared_retry_budget.h"

#include <algorithm>

namespace apricotarch
{

namespace
{

/// Share of the common slack that is used. The rest covers nodes that this one has no heartbeat from, and restarted nodes,
/// which have lost the count of the retries that they have sent.
constexpr double UsableSlack = 0.5;

/// Share of the ratio that is used. The rest covers requests that are counted in another window than their retries.
constexpr double UsableRatio = 0.85;

void removeBefore(std::deque<TimePoint> &times, TimePoint start)
{
    while (!times.empty() && times.front() < start) {
        times.pop_front();
    }
}

} // namespace

SharedRetryBudget::SharedRetryBudget(RetryLimits limits)
    : m_limits(limits)
{
}

void SharedRetryBudget::recordRequest(const ServiceId &service, TimePoint now)
{
    Window &window = m_services[service];
    removeExpired(window, now);
    window.requests.push_back(now);
}

bool SharedRetryBudget::tryTakeRetry(const ServiceId &service, std::size_t nodes, TimePoint now)
{
    Window &window = m_services[service];
    removeExpired(window, now);
    const double allowed = UsableRatio * m_limits.ratio * static_cast<double>(window.requests.size())
        + UsableSlack * m_limits.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
    if (static_cast<double>(window.retries.size()) + 1 > allowed) {
        return false;
    }
    window.retries.push_back(now);
    return true;
}

void SharedRetryBudget::removeExpired(Window &window, TimePoint now) const
{
    removeBefore(window.requests, now - m_limits.window);
    removeBefore(window.retries, now - m_limits.window);
}

} // namespace apricotarch
