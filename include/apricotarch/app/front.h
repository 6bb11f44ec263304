#pragma once

/**
 * @file
 * A front node as a process.
 */

#include <string>

namespace apricotarch
{

/**
 * Runs a front node until it is told to stop.
 * @param settingsFile path of its settings; empty for the path that the platform gives
 * @return an ExitCode
 */
[[nodiscard]] int runFront(const std::string &settingsFile);

/// Reports every fault of a front node's settings. @return an ExitCode
[[nodiscard]] int checkFrontSettings(const std::string &settingsFile);

} // namespace apricotarch
