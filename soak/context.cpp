#include "context.h"

#include <algorithm>

#include "front.h"

namespace apricotarch::soak
{

namespace
{

constexpr milliseconds StopSlack{1000}; ///< After the grace period.

} // namespace

std::int64_t toMs(Clock::duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

const Stop *Context::stopOf(const Call &call) const
{
    const auto found = std::find_if(m_evidence.stops().begin(), m_evidence.stops().end(), [&call](const Stop &stop) {
        return stop.node == call.node && call.end >= stop.begin && call.begin <= stop.end;
    });
    return found == m_evidence.stops().end() ? nullptr : &*found;
}

const Stop *Context::nearestStop(const Call &call) const
{
    const Stop *nearest = stopOf(call);
    if (nearest != nullptr) {
        return nearest;
    }
    const auto distance = [&call](const Stop &stop) {
        return std::abs(toMs(call.end - stop.begin));
    };
    for (const Stop &stop : m_evidence.stops()) {
        if (stop.node == call.node && (nearest == nullptr || distance(stop) < distance(*nearest))) {
            nearest = &stop;
        }
    }
    return nearest;
}

bool Context::isPlannedWork(const Call &call) const
{
    const bool stops = std::any_of(m_evidence.stops().begin(), m_evidence.stops().end(), [&call](const Stop &stop) {
        return stop.node == call.node && call.end >= stop.begin && call.begin <= stop.begin + GracePeriod + StopSlack;
    });
    return stops || std::any_of(m_evidence.hups().begin(), m_evidence.hups().end(), [&call](const Hup &hup) {
        return hup.node == call.node && call.end >= hup.at && call.begin <= hup.at + ConfigTime;
    });
}

bool Context::isDisturbed(std::size_t node, TimePoint from, TimePoint to) const
{
    const auto &disturbances = m_evidence.disturbances();
    return std::any_of(disturbances.begin(), disturbances.end(), [=](const Disturbance &disturbance) {
        return disturbance.node == node && !disturbance.isStart && disturbance.begin <= to && disturbance.end >= from - ContactTime;
    });
}

bool Context::isInterrupted(std::size_t node, TimePoint from, TimePoint to) const
{
    const auto isOverlapping = [=](const auto &span) {
        return span.node == node && span.begin <= to && span.end >= from;
    };
    return std::ranges::any_of(m_evidence.disturbances(), isOverlapping) || std::ranges::any_of(m_evidence.stops(), isOverlapping);
}

bool Context::isInTouch(std::size_t node, TimePoint from, TimePoint to) const
{
    const auto &disturbances = m_evidence.disturbances();
    const bool isDisturbed = std::any_of(disturbances.begin(), disturbances.end(), [=](const Disturbance &disturbance) {
        return disturbance.node.value_or(node) == node && disturbance.begin <= to && disturbance.end >= from - ContactTime;
    });
    const auto &stops = m_evidence.stops();
    return !isDisturbed && std::none_of(stops.begin(), stops.end(), [=](const Stop &stop) {
        return stop.node == node && stop.begin <= to && stop.end >= from - ContactTime;
    });
}

TimePoint Context::startBefore(std::size_t node, TimePoint time) const
{
    TimePoint start = TimePoint::min();
    for (const Disturbance &disturbance : m_evidence.disturbances()) {
        if (disturbance.node == node && disturbance.isStart && disturbance.begin <= time) {
            start = std::max(start, disturbance.begin);
        }
    }
    return start;
}

} // namespace apricotarch::soak
