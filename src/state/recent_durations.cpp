#include "apricotarch/state/recent_durations.h"

#include <algorithm>

namespace apricotarch
{

namespace
{

constexpr double LongShare = 0.9;

} // namespace

void RecentDurations::record(const std::string &route, Duration duration)
{
    if (m_byRoute.size() >= MaxRoutes && !m_byRoute.contains(route)) {
        m_byRoute.clear();
    }
    Durations &durations = m_byRoute[route];
    if (durations.latest.size() < RequestsPerRoute) {
        durations.latest.push_back(duration);
        return;
    }
    durations.latest[durations.next] = duration;
    durations.next = (durations.next + 1) % RequestsPerRoute;
}

std::optional<Duration> RecentDurations::longDuration(const std::string &route) const
{
    const auto found = m_byRoute.find(route);
    if (found == m_byRoute.end() || found->second.latest.size() < MinRequests) {
        return std::nullopt;
    }
    std::vector<Duration> durations = found->second.latest;
    const auto rank = durations.begin() + static_cast<std::ptrdiff_t>(LongShare * static_cast<double>(durations.size() - 1));
    std::nth_element(durations.begin(), rank, durations.end());
    return *rank;
}

} // namespace apricotarch
