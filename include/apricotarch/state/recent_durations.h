#pragma once

/**
 * @file
 * How long the latest requests of each route took.
 */

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "apricotarch/base/clock.h"

namespace apricotarch
{

/// Keeps the durations of the latest answered requests by route, for a prediction of how long the next one takes.
class RecentDurations
{
public:
    /// Records the time from the arrival of a request to the end of its answer.
    void record(const std::string &route, Duration duration);

    /// Returns the duration that nine of ten requests of a route stay below; empty if too few were recorded. Linear in the requests kept.
    [[nodiscard]] std::optional<Duration> longDuration(const std::string &route) const;

private:
    static constexpr std::size_t RequestsPerRoute = 64;
    static constexpr std::size_t MinRequests = 8; ///< Fewer requests predict nothing.
    static constexpr std::size_t MaxRoutes = 2000; ///< All routes are forgotten beyond, since names of routes change with configurations.

    struct Durations
    {
        std::vector<Duration> latest; ///< Up to RequestsPerRoute, as a ring.
        std::size_t next = 0; ///< Index of the oldest in a full ring.
    };

    std::map<std::string, Durations> m_byRoute;
};

} // namespace apricotarch
