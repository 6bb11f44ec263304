#pragma once

/**
 * @file
 * Up to which time a copy of one of the store's tables is known to agree with the store.
 */

#include <algorithm>
#include <chrono>
#include <optional>

#include "apricotarch/base/clock.h"

namespace apricotarch
{

/**
 * What a node knows of the age of its copy of a table. The proof is an answer of the store, or of a node that has had one. Whoever
 * concludes from a copy that something has not happened must ask for the time up to which that is proved. Not thread-safe.
 */
class TableCurrency
{
public:
    /// Servers whose rows have expired during an outage of the store write them again within this time after its end.
    static constexpr std::chrono::milliseconds RewriteTime{2000};

    /// Records that the copy agreed with the store at a time. Earlier times have no effect.
    void recordCurrent(TimePoint time)
    {
        m_currentAsOf = std::max(m_currentAsOf.value_or(time), time);
    }

    /// Records that the store has not answered.
    void recordOutage(TimePoint now)
    {
        m_outageAt = now;
    }

    /// Returns the last time at which the copy is known to have agreed with the store; nothing before the table was first read.
    [[nodiscard]] std::optional<TimePoint> currentAsOf() const noexcept
    {
        return m_currentAsOf;
    }

    /// Whether the copy is known to have agreed with the store at a time or later.
    [[nodiscard]] bool isCurrentSince(TimePoint time) const noexcept
    {
        return m_currentAsOf && *m_currentAsOf >= time;
    }

    /**
     * Returns since when a row may have been missing that this node has just found to be missing. A row that may have expired during an
     * outage counts from now on.
     */
    [[nodiscard]] TimePoint missingSince(TimePoint now) const noexcept
    {
        const bool mayHaveExpired = !m_currentAsOf || (m_outageAt && *m_currentAsOf < *m_outageAt + RewriteTime);
        return mayHaveExpired ? now : *m_currentAsOf;
    }

private:
    std::optional<TimePoint> m_currentAsOf;
    std::optional<TimePoint> m_outageAt; ///< Last time at which the store did not answer.
};

} // namespace apricotarch
