#pragma once

/**
 * @file
 * Runs a front node as a process.
 */

#include <string>

namespace apricotarch
{

/**
 * Runs a front node until it receives SIGTERM or SIGINT.
 * @param settingsFile path of the settings file; if empty, the path in the platform's environment variable, or else front.yaml
 * @return an ExitCode
 */
[[nodiscard]] int runFront(const std::string &settingsFile);

/**
 * Checks a front node's settings and lists all errors on standard error.
 * @param settingsFile as for runFront()
 * @return an ExitCode
 */
[[nodiscard]] int checkFrontSettings(const std::string &settingsFile);

} // namespace apricotarch
