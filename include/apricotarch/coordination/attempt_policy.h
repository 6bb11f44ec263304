#pragma once

/**
 * @file
 * What follows after a send to a backend server has ended: deliver, send elsewhere, refuse or fail.
 */

#include <cstdint>

#include "apricotarch/state/routing_plan.h"

namespace apricotarch
{

/// How a send ended.
enum class AttemptEnd : std::uint8_t {
    Answered, ///< A whole answer has come, whatever its status below 500.
    ServerError, ///< A whole answer with a status of 500 or more.
    NotSent, ///< No connection could be made; the server knows nothing of the request.
    NotExecuted, ///< The server vouches that it has not run the request.
    Broken, ///< The connection ended or the answer was unreadable; the request may have run.
    Silent, ///< No answer in the time given to this server, with time left for another.
};

/// What to do next.
enum class NextStep : std::uint8_t {
    Deliver, ///< Pass the answer on.
    TryAnother, ///< Send the request to another server.
    Refuse, ///< Answer that the request has not run.
    Fail, ///< Answer that its outcome is unknown.
    Abort, ///< Close the connection in the middle of the answer.
};

/// What is known when a send has ended.
struct AttemptFacts
{
    bool idempotent = false; ///< May run more than once.
    int sends = 0; ///< That reached a server, this one included.
    int maxAttempts = 1;
    bool mayHaveRun = false; ///< Whether any send, this one included, may have run.
    bool answering = false; ///< Whether the caller has got the head of an answer.
    bool anotherServer = false; ///< Whether there is a server that has not had the request.
};

/// Names for logs and counters.
[[nodiscard]] const char *attemptEndName(AttemptEnd end) noexcept;
[[nodiscard]] const char *nextStepName(NextStep next) noexcept;

/// Whether another send counts against the retry budget.
[[nodiscard]] constexpr bool costsBudget(AttemptEnd end) noexcept
{
    return end != AttemptEnd::NotSent;
}

/**
 * Decides after a send.
 * @param end how it ended
 * @param facts what is known
 * @return the next step; TryAnother only where the request can be sent again without running twice when it must not
 */
[[nodiscard]] NextStep nextStep(AttemptEnd end, const AttemptFacts &facts) noexcept;

/// What to answer where TryAnother was chosen but the retry budget is used up.
[[nodiscard]] NextStep withoutBudget(AttemptEnd end, const AttemptFacts &facts) noexcept;

} // namespace apricotarch
