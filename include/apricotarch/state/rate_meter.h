#pragma once

/**
 * @file
 * A rate that forgets the past exponentially.
 */

#include <cmath>

#include "apricotarch/base/clock.h"

namespace apricotarch
{

/// Sums amounts over time. Used on one event loop.
class RateMeter
{
public:
    /// @param memory time after which an amount counts 1/e
    explicit RateMeter(Duration memory = std::chrono::seconds(3)) noexcept
        : m_memory(memory)
    {
    }

    /// Adds an amount.
    void add(double amount, TimePoint now)
    {
        decay(now);
        m_sum += amount;
    }

    /// Amount per millisecond.
    [[nodiscard]] double perMillisecond(TimePoint now)
    {
        decay(now);
        return m_sum / std::chrono::duration<double, std::milli>(m_memory).count();
    }

private:
    void decay(TimePoint now)
    {
        const double passed = std::chrono::duration<double>(now - m_at) / std::chrono::duration<double>(m_memory);
        m_sum *= std::exp(-passed);
        m_at = now;
    }

    Duration m_memory;
    double m_sum = 0;
    TimePoint m_at;
};

} // namespace apricotarch
