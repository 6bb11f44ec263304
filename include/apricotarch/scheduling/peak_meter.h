#pragma once

/**
 * @file
 * Highest value of a recent time window.
 */

#include <algorithm>
#include <deque>

#include "apricotarch/base/clock.h"

namespace apricotarch
{

/// Returns the highest of the values recorded within a time window. Its memory is bounded by the window's length over the resolution.
class PeakMeter
{
public:
    /**
     * @param window how long a value counts
     * @param resolution values recorded within this time are merged
     */
    explicit PeakMeter(Duration window, Duration resolution = std::chrono::milliseconds(250)) noexcept
        : m_window(window)
        , m_resolution(resolution)
    {
    }

    void record(double value, TimePoint now)
    {
        while (!m_values.empty() && m_values.back().value <= value) {
            m_values.pop_back(); // A higher value that is newer hides it.
        }
        if (m_values.empty() || now - m_values.back().time >= m_resolution) {
            m_values.push_back({now, value});
        }
        removeOutdated(now);
    }

    /// Returns the highest value, or 0 if there is none.
    [[nodiscard]] double peak(TimePoint now)
    {
        removeOutdated(now);
        return m_values.empty() ? 0 : m_values.front().value;
    }

private:
    struct Value
    {
        TimePoint time;
        double value = 0;
    };

    void removeOutdated(TimePoint now)
    {
        while (!m_values.empty() && now - m_values.front().time > m_window) {
            m_values.pop_front();
        }
    }

    Duration m_window;
    Duration m_resolution;
    std::deque<Value> m_values; ///< Oldest first, in descending order of their values.
};

} // namespace apricotarch
