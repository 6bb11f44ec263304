#pragma once

/**
 * @file
 * The command `serve`: one node from start to graceful shutdown.
 */

#include <string>

namespace apricotarch
{

/// Runs a node until SIGTERM, SIGINT or an operator's drain. @param settingsFile path of the YAML file @return an ExitCode
[[nodiscard]] int serve(const std::string &settingsFile);

/// Checks a settings file and lists its faults on standard error. @return an ExitCode
[[nodiscard]] int checkSettings(const std::string &settingsFile);

} // namespace apricotarch
