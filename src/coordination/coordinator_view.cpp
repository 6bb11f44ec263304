#include "apricotarch/coordination/coordinator_view.h"

#include <algorithm>
#include <utility>

namespace apricotarch
{

CoordinatorView::CoordinatorView(NodeId self)
    : m_self(std::move(self))
{
}

void CoordinatorView::record(const CoordinatorSighting &sighting, TimePoint now)
{
    if (sighting.node.empty() || sighting.node == m_self || sighting.age >= Timeout) {
        return;
    }
    const TimePoint signAt = now - sighting.age;
    if (sighting.node == m_node) {
        m_lastSignAt = std::max(m_lastSignAt, signAt);
        return;
    }
    const bool expired = m_node.empty() || now - m_lastSignAt >= Timeout;
    if (expired || sighting.node < m_node) {
        m_node = sighting.node;
        m_lastSignAt = signAt;
    }
}

void CoordinatorView::remove(const NodeId &node)
{
    if (node == m_node) {
        m_node = NodeId();
    }
}

CoordinatorSighting CoordinatorView::current(bool selfEligible, TimePoint now) const
{
    const bool otherKnown = !m_node.empty() && now - m_lastSignAt < Timeout;
    if (selfEligible && (!otherKnown || m_self < m_node)) {
        return {m_self, std::chrono::milliseconds(0)};
    }
    if (!otherKnown) {
        return {};
    }
    return {m_node, std::chrono::duration_cast<std::chrono::milliseconds>(now - m_lastSignAt)};
}

} // namespace apricotarch
