#pragma once

/**
 * @file
 * Error responses as problem details (RFC 9457).
 */

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "apricotarch/base/error.h"

namespace apricotarch
{

/// An error response to a caller or an operator.
struct Problem
{
    int status = 500; ///< HTTP status.
    std::string reason; ///< Stable short name; also the label of the refusal counter.
    std::string detail; ///< Description of the error and of how to proceed.
    bool notRun = false; ///< Whether it is certain that the request had no effect.
    std::string step; ///< Processing step in which the error occurred.
    std::string peer; ///< Remote side of the step.
    std::optional<std::chrono::seconds> retryAfter; ///< Time after which a retry is useful.
    std::string request = {}; ///< Id of the request; empty if the error occurred before the id was read.
};

/// Media type of a problem.
inline constexpr std::string_view ProblemMediaType = "application/problem+json";

/**
 * Encodes a problem as JSON.
 * @return a JSON object with `type`, `title`, `status`, `detail`, `reason`, `not_run`, `step`, `peer`, `request`; with `retry_after_s`
 * if Problem::retryAfter is set
 */
[[nodiscard]] std::string encodeProblem(const Problem &problem);

/// Converts an error to a problem. @param notRun whether it is certain that the request had no effect
[[nodiscard]] Problem toProblem(int status, const Error &error, bool notRun);

} // namespace apricotarch
