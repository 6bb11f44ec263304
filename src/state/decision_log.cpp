#include "apricotarch/state/decision_log.h"

#include <algorithm>

#include "apricotarch/base/log.h"

namespace apricotarch
{

DecisionLog::DecisionLog(const Clock &clock, std::size_t capacity)
    : m_clock(clock)
    , m_capacity(std::max<std::size_t>(capacity, 1))
{
}

void DecisionLog::add(Decision decision)
{
    LogEvent(std::string("decision.") + decisionKindName(decision.kind))
        .field("subject", decision.subject)
        .field("seen", decision.seen)
        .field("weighed", decision.weighed)
        .field("chosen", decision.chosen);
    Ring &ring = m_rings.at(static_cast<std::size_t>(decision.kind));
    const std::lock_guard lock(ring.mutex);
    decision.sequence = ++ring.sequence;
    ring.entries.push_back({std::move(decision), m_clock.now()});
    if (ring.entries.size() > m_capacity) {
        ring.entries.pop_front();
    }
}

std::vector<Decision> DecisionLog::find(DecisionKind kind, std::string_view subject) const
{
    const Ring &ring = m_rings.at(static_cast<std::size_t>(kind));
    const TimePoint now = m_clock.now();
    std::vector<Decision> found;
    const std::lock_guard lock(ring.mutex);
    for (const Entry &entry : ring.entries) {
        if (!subject.empty() && entry.decision.subject != subject) {
            continue;
        }
        found.push_back(entry.decision);
        found.back().ageMs = toMilliseconds(now - entry.at);
    }
    return found;
}

const char *decisionKindName(DecisionKind kind) noexcept
{
    switch (kind) {
    case DecisionKind::Order:
        return "order";
    case DecisionKind::Lease:
        return "lease";
    case DecisionKind::Configuration:
        return "config";
    case DecisionKind::Member:
        return "member";
    case DecisionKind::Request:
        return "request";
    }
    return "unknown";
}

} // namespace apricotarch
