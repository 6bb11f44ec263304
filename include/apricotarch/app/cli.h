#pragma once

/**
 * @file
 * Command-line interface of the program.
 */

namespace apricotarch
{

/// Exit codes of the program.
enum ExitCode {
    Success = 0,
    Failed = 1, ///< The command was valid but failed.
    InvalidInput = 2, ///< The settings, questionnaire or arguments are invalid; nothing was changed.
    Unreachable = 3, ///< The node did not answer.
    UnknownOutcome = 4, ///< It is unknown whether a change was accepted.
};

/**
 * Parses the command line and runs the command.
 * @param argc as in main()
 * @param argv as in main()
 * @return an ExitCode
 */
[[nodiscard]] int runCommandLine(int argc, char **argv);

} // namespace apricotarch
