#pragma once

/**
 * @file
 * Retry budget: limits retries to a share of the admitted requests, so that failures do not multiply the load.
 */

#include <algorithm>
#include <mutex>

namespace apricotarch
{

/// Token bucket for retries. Each admitted request adds a fraction of a token, and each retry takes one token. Thread-safe.
class RetryBudget
{
public:
    /**
     * @param tokensPerRequest tokens added for each admitted request, 0 to 1
     * @param capacity capacity of the bucket, at least 1: the number of retries allowed in a burst
     */
    RetryBudget(double tokensPerRequest, double capacity) noexcept
        : m_tokensPerRequest(tokensPerRequest)
        , m_capacity(capacity)
        , m_tokens(capacity)
    {
    }

    /// Adds the tokens for an admitted request.
    void recordAdmission() noexcept
    {
        const std::lock_guard lock(m_mutex);
        m_tokens = std::min(m_capacity, m_tokens + m_tokensPerRequest);
    }

    /// Takes a token for a retry. @return whether one was available
    [[nodiscard]] bool tryTakeRetry() noexcept
    {
        const std::lock_guard lock(m_mutex);
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    std::mutex m_mutex;
    double m_tokensPerRequest;
    double m_capacity;
    double m_tokens;
};

} // namespace apricotarch
