#pragma once

/**
 * @file
 * Problem details (RFC 9457) as the system's error answers.
 */

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "apricotarch/base/error.h"

namespace apricotarch
{

/// An error answer to a caller or an operator.
struct Problem
{
    int status = 500; ///< HTTP status.
    std::string reason; ///< Stable short name, also the label of the refusal counter.
    std::string detail; ///< What happened and what to do next.
    bool notRun = false; ///< True only if it is certain that the request had no effect.
    std::string step; ///< Where it arose.
    std::string peer; ///< With whom.
    std::optional<std::chrono::seconds> retryAfter;
    std::string request = {}; ///< Id of the request; empty where it was not read that far.
};

/// Media type of a problem.
inline constexpr std::string_view ProblemMediaType = "application/problem+json";

/**
 * Encodes a problem.
 * @return a JSON object with `type`, `title`, `status`, `detail`, `reason`, `not_run`, `step`, `peer`, `request`
 */
[[nodiscard]] std::string encodeProblem(const Problem &problem);

/// A problem made of an error. @param notRun whether it is certain that nothing ran
[[nodiscard]] Problem problemOf(int status, const Error &error, bool notRun);

} // namespace apricotarch
