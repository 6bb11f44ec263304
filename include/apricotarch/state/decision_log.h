#pragma once

/**
 * @file
 * A bounded memory of decisions: what was seen, what was weighed and what was chosen.
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

/// What a decision is about.
enum class DecisionKind {
    Order,
    Lease,
    Configuration,
    Member,
    Request,
};

/// One decision.
struct Decision
{
    std::int64_t sequence = 0; ///< Counts this process's decisions, from 1.
    std::int64_t ageMs = 0; ///< Milliseconds from the decision to the reading.
    DecisionKind kind = DecisionKind::Request;
    std::string subject; ///< Id of the engine, duty, member or request; version of the configuration.
    std::string seen;
    std::string weighed;
    std::string chosen;
};

/// Thread-safe; one ring for each kind, so that many requests cannot push out the few orders.
class DecisionLog
{
public:
    /**
     * @param clock gives the decisions' times; must outlive the log
     * @param capacity decisions kept of each kind, at least 1
     */
    DecisionLog(const Clock &clock, std::size_t capacity);

    /// Keeps a decision and writes it as one log line. sequence and ageMs are set here.
    void add(Decision decision);

    /**
     * Reads decisions.
     * @param kind which ring
     * @param subject exact subject; empty for all
     * @return the kept ones, oldest first
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

/// Name of a kind as on the command line, for example `lease`.
[[nodiscard]] const char *decisionKindName(DecisionKind kind) noexcept;

} // namespace apricotarch
