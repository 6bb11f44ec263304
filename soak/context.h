#pragma once

/**
 * @file
 * What went on around a request.
 */

#include "evidence.h"

namespace apricotarch::soak
{

[[nodiscard]] std::int64_t toMs(Clock::duration duration);

class Context
{
public:
    explicit Context(const Evidence &evidence)
        : m_evidence(evidence)
    {
    }

    /// Returns the stop of the call's node in which the call or a part of it lies.
    [[nodiscard]] const Stop *stopOf(const Call &call) const;

    /// Returns the stop in which the call lies, or else the one of its node whose SIGTERM is next to the call's end.
    [[nodiscard]] const Stop *nearestStop(const Call &call) const;

    /// Returns whether planned work went on at the call's node: a stop, or a change of its settings.
    [[nodiscard]] bool isPlannedWork(const Call &call) const;

    /// Returns whether a node was killed, frozen or unable to run in a span of time or soon before it.
    [[nodiscard]] bool isDisturbed(std::size_t node, TimePoint from, TimePoint to) const;

    /// Returns whether a node was killed, frozen, stopped or started in a span of time.
    [[nodiscard]] bool isInterrupted(std::size_t node, TimePoint from, TimePoint to) const;

    /// Returns whether rules with a time bound hold for a node in a span of time: it and the store were undisturbed, and it did not stop or
    /// start, for the contact time before the span and in it.
    [[nodiscard]] bool isInTouch(std::size_t node, TimePoint from, TimePoint to) const;

    /// Returns the time of the last start of a node before a time.
    [[nodiscard]] TimePoint startBefore(std::size_t node, TimePoint time) const;

private:
    const Evidence &m_evidence;
};

} // namespace apricotarch::soak
