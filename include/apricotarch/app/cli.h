#pragma once

/**
 * @file
 * The command line of the one binary.
 */

namespace apricotarch
{

/// Exit codes of the program.
enum ExitCode {
    Success = 0,
    Failed = 1, ///< The command was understood and could not be done.
    InvalidInput = 2, ///< Settings, questionnaire or arguments have faults; nothing was changed.
    Unreachable = 3, ///< The node does not answer.
    UnknownOutcome = 4, ///< A change may or may not have been accepted.
};

/**
 * Runs a command.
 * @param argc as in main()
 * @param argv as in main()
 * @return an ExitCode
 */
[[nodiscard]] int runCommandLine(int argc, char **argv);

} // namespace apricotarch
