#pragma once

/**
 * @file
 * Exponentially decaying rate.
 */

#include <cmath>

#include "apricotarch/base/clock.h"

namespace apricotarch
{

/// Measures a rate of amounts with exponential decay. Not thread-safe; used on one event loop.
class RateMeter
{
public:
    /// @param timeConstant time after which the weight of an amount has decayed to 1/e
    explicit RateMeter(Duration timeConstant = std::chrono::seconds(3)) noexcept
        : m_timeConstant(timeConstant)
    {
    }

    /// Adds an amount at the given time.
    void add(double amount, TimePoint now)
    {
        decay(now);
        m_sum += amount;
    }

    /// Returns the rate as amount per millisecond.
    [[nodiscard]] double perMillisecond(TimePoint now)
    {
        decay(now);
        return m_sum / std::chrono::duration<double, std::milli>(m_timeConstant).count();
    }

private:
    void decay(TimePoint now)
    {
        const double elapsed = std::chrono::duration<double>(now - m_updatedAt) / std::chrono::duration<double>(m_timeConstant);
        m_sum *= std::exp(-elapsed);
        m_updatedAt = now;
    }

    Duration m_timeConstant;
    double m_sum = 0;
    TimePoint m_updatedAt;
};

} // namespace apricotarch
