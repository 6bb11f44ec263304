#pragma once

/**
 * @file
 * Faults of a file that a person wrote: all are listed at once, each with its line and key.
 */

#include <string>
#include <vector>

namespace apricotarch
{

/// One fault.
struct Fault
{
    int line = 0; ///< Counted from 1; 0 where the file as a whole is meant.
    std::string key; ///< Path of the key, for example `services[2].deadline_ms`.
    std::string message; ///< What is wrong and what is expected.
};

/// All faults of one file.
using Faults = std::vector<Fault>;

/**
 * Lists faults for a person.
 * @param file name of the file
 * @param faults what is wrong
 * @return one line each: `file:line: key: message`
 */
[[nodiscard]] std::string describe(const std::string &file, const Faults &faults);

} // namespace apricotarch
