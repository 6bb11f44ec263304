#pragma once

/**
 * @file
 * The users' rules, as callers and replicas see them.
 */

#include "evidence.h"

namespace apricotarch::soak
{

/// A rule that was broken.
struct Finding
{
    std::string rule;
    std::string text; ///< What was seen, in key=value pairs.
    const Call *call = nullptr; ///< The request, if it is about one.
    std::size_t node = 0;
};

/// Checks all rules. @param evidence is complete
[[nodiscard]] std::vector<Finding> findBrokenRules(const Evidence &evidence);

/// Prints counts of calls and runs, and how each kind of request ended.
void printCounts(const Evidence &evidence);

/// Prints the broken rules by kind of request, with the range of their times after the SIGTERM that is next to them.
void printSummary(const Evidence &evidence, const std::vector<Finding> &findings);

/// Describes a call, with its times relative to the stop of its node that is next to it.
[[nodiscard]] std::string describe(const Evidence &evidence, const Call &call);

} // namespace apricotarch::soak
