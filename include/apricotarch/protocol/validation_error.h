#pragma once

/**
 * @file
 * Validation errors of hand-written files. All errors of a file are reported together, each with its line and key.
 */

#include <string>
#include <vector>

namespace apricotarch
{

/// One validation error.
struct ValidationError
{
    int line = 0; ///< Line number, from 1; 0 if the error concerns the file as a whole.
    std::string key; ///< Path of the key, for example `services[2].deadline_ms`; empty for the file as a whole.
    std::string message; ///< Description of the error and of the expected value.
};

/// All validation errors of one file.
using ValidationErrors = std::vector<ValidationError>;

/**
 * Formats validation errors for output.
 * @param file name of the file
 * @param errors errors found in the file
 * @return one line per error: `file:line: key: message`
 */
[[nodiscard]] std::string formatErrors(const std::string &file, const ValidationErrors &errors);

} // namespace apricotarch
