#pragma once

/**
 * @file
 * The command `serve`, which runs one node until its graceful shutdown.
 */

#include <string>

namespace apricotarch
{

/**
 * Runs a node until it receives SIGTERM, SIGINT or an operator's drain command.
 * @param settingsFile path of the YAML file
 * @return an ExitCode
 */
[[nodiscard]] int serve(const std::string &settingsFile);

/**
 * Checks a settings file and lists all errors on standard error.
 * @param settingsFile path of the YAML file
 * @return an ExitCode
 */
[[nodiscard]] int checkSettings(const std::string &settingsFile);

} // namespace apricotarch
