#pragma once

/**
 * @file
 * This node's share of a retry budget that is common to all nodes.
 */

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// Limits of the retries that all nodes together may send in a time window.
struct RetryLimits
{
    double ratio = 0.2; ///< Retries allowed per request.
    double slack = 0; ///< Additional retries allowed, for all nodes together.
    Duration window = std::chrono::seconds(10); ///< Length of the sliding window.
};

/**
 * Sliding windows of requests and retries, one for each service. A node uses at most the ratio of its own requests and its
 * share of the slack, so that all nodes together stay within the limits without coordination. Not thread-safe; used on one
 * event loop.
 */
class SharedRetryBudget
{
public:
    explicit SharedRetryBudget(RetryLimits limits);

    /// Records a request for a service.
    void recordRequest(const ServiceId &service, TimePoint now);

    /**
     * Takes one retry from the budget.
     * @param service service of the request
     * @param nodes number of nodes that share the slack, at least 1
     * @param now current time
     * @return whether the budget allows the retry
     */
    [[nodiscard]] bool tryTakeRetry(const ServiceId &service, std::size_t nodes, TimePoint now);

private:
    struct Window
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    void removeExpired(Window &window, TimePoint now) const;

    RetryLimits m_limits;
    std::unordered_map<ServiceId, Window> m_services;
};

} // namespace apricotarch
