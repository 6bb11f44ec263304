#pragma once

/**
 * @file
 * This node's share of a retry budget that all nodes have in common.
 */

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// What all nodes together may send beyond the first send of each request.
struct RetryLimits
{
    double ratio = 0.2; ///< Retries per request.
    double slack = 0; ///< Retries on top, for all nodes together.
    Duration window = std::chrono::seconds(10); ///< In every span of this length.
};

/**
 * Sliding windows by service. A node spends at most its requests' part of the ratio and its part of the slack, so that the
 * nodes together keep the limit without asking each other. Used on one event loop.
 */
class SharedRetryBudget
{
public:
    explicit SharedRetryBudget(RetryLimits limits);

    /// Notes a request for a service.
    void request(const ServiceId &service, TimePoint now);

    /**
     * Takes one retry out.
     * @param nodes how many nodes share the slack, at least 1
     * @return whether there was one
     */
    [[nodiscard]] bool take(const ServiceId &service, std::size_t nodes, TimePoint now);

private:
    struct Window
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    void shrink(Window &window, TimePoint now) const;

    RetryLimits m_limits;
    std::unordered_map<ServiceId, Window> m_services;
};

} // namespace apricotarch
