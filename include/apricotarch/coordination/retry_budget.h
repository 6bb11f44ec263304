#pragma once

/**
 * @file
 * A budget that keeps retries to a small share of the admitted work, so that failures do not multiply load.
 */

#include <algorithm>
#include <mutex>

namespace apricotarch
{

/// Thread-safe. Every admitted request pays a share in; every retry takes one out.
class RetryBudget
{
public:
    /**
     * @param share retries allowed per admitted request, 0 to 1
     * @param reserve retries allowed at once, at least 1
     */
    RetryBudget(double share, double reserve) noexcept
        : m_share(share)
        , m_reserve(reserve)
        , m_left(reserve)
    {
    }

    /// Pays in for an admitted request.
    void admitted() noexcept
    {
        const std::lock_guard lock(m_mutex);
        m_left = std::min(m_reserve, m_left + m_share);
    }

    /// Takes a retry out. @return whether there was one
    [[nodiscard]] bool takeRetry() noexcept
    {
        const std::lock_guard lock(m_mutex);
        if (m_left < 1) {
            return false;
        }
        m_left -= 1;
        return true;
    }

private:
    std::mutex m_mutex;
    double m_share;
    double m_reserve;
    double m_left;
};

} // namespace apricotarch
