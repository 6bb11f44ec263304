#pragma once

/**
 * @file
 * What the soak prints at its end.
 */

#include "checks.h"

namespace apricotarch::soak
{

/// Prints counts of calls and runs, and how each kind of request ended.
void printCounts(const Evidence &evidence);

/// Prints the broken rules by kind of request, with the range of their times after the SIGTERM that is next to them.
void printSummary(const Evidence &evidence, const std::vector<Finding> &findings);

/// Describes a call, with its times relative to the stop of its node that is next to it.
[[nodiscard]] std::string describe(const Evidence &evidence, const Call &call);

} // namespace apricotarch::soak
