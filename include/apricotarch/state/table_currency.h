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
    /// Records that the copy agreed with the store at a time. Earlier times have no effect.
    void recordCurrent(TimePoint time)
    {
        m_currentAsOf = std::max(m_currentAsOf.value_or(time), time);
    }

    /// Records that a call to the store has failed. @param calledAt when it was made, since the store may have recovered after that
    void recordOutage(TimePoint calledAt)
    {
        m_outageAt = std::max(m_outageAt.value_or(calledAt), calledAt);
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
     * Returns since when a row may have been missing that this node has just found to be missing: since the copy last agreed with the store
     * or, as the row may have expired during an outage, since a call to the store last failed. Neither is later than the removal of a row
     * while the store answers, however late this node learns of it, but for the delay of other nodes' messages on their tables.
     * @param now current time, which counts if the table has not been read
     */
    [[nodiscard]] TimePoint missingSince(TimePoint now) const noexcept
    {
        return m_currentAsOf ? std::max(*m_currentAsOf, m_outageAt.value_or(*m_currentAsOf)) : now;
    }

private:
    std::optional<TimePoint> m_currentAsOf;
    std::optional<TimePoint> m_outageAt; ///< When the last failed call to the store was made.
};

} // namespace apricotarch
