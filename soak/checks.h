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

/// Checks when a configuration is in force. @param findings to which broken rules are added
void checkConfiguration(const Evidence &evidence, std::vector<Finding> &findings);

} // namespace apricotarch::soak
