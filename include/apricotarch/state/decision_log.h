#pragma once

/**
 * @file
 * Bounded log of a process's decisions, each with its input, the criteria and the outcome.
 */

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "apricotarch/base/clock.h"

namespace apricotarch
{

/// Subject area of a decision.
enum class DecisionKind {
    Order,
    Lease,
    Configuration,
    Member,
    Request,
};

/// One logged decision.
struct Decision
{
    std::int64_t sequence = 0; ///< Number of the decision among the process's decisions of its kind, from 1.
    std::int64_t ageMs = 0; ///< Age of the decision at the time of the query, in milliseconds.
    DecisionKind kind = DecisionKind::Request;
    std::string subject; ///< Id of the engine, lease, member or request, or the configuration's version.
    std::string seen; ///< Input of the decision.
    std::string weighed; ///< Criteria that were compared.
    std::string chosen; ///< Outcome.
};

/// Thread-safe log of decisions. Each kind has its own ring buffer, so that frequent request decisions do not evict rare order decisions.
class DecisionLog
{
public:
    /**
     * @param clock source of the decisions' times; must outlive the log
     * @param capacity number of decisions kept for each kind; values below 1 count as 1
     */
    DecisionLog(const Clock &clock, std::size_t capacity);

    /// Stores a decision, sets its sequence number, and writes it as one log line.
    void add(Decision decision);

    /**
     * Returns the stored decisions of one kind, with their ages.
     * @param kind kind of the decisions
     * @param subject exact subject; empty for all subjects
     * @return the decisions, oldest first
     */
    [[nodiscard]] std::vector<Decision> find(DecisionKind kind, std::string_view subject) const;

private:
    struct Entry
    {
        Decision decision;
        TimePoint at;
    };
    struct Ring
    {
        mutable std::mutex mutex;
        std::deque<Entry> entries;
        std::int64_t sequence = 0;
    };

    static constexpr std::size_t KindCount = 5;

    const Clock &m_clock;
    std::size_t m_capacity;
    std::array<Ring, KindCount> m_rings;
};

/// Returns the name of a kind as used on the command line, for example `lease`.
[[nodiscard]] const char *decisionKindName(DecisionKind kind) noexcept;

} // namespace apricotarch
