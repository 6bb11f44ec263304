#pragma once

/**
 * @file
 * Operators' commands that talk to a node.
 */

#include <string>

namespace apricotarch
{

/// How to reach a node and how to print its answer.
struct OperatorAccess
{
    std::string node = "127.0.0.1:8080"; ///< IP:PORT of any node.
    std::string token; ///< Operators' token.
    bool json = false; ///< Print the answer as it came.
};

/// Sends one request and prints the answer. @return an ExitCode
[[nodiscard]] int askNode(
    const OperatorAccess &access, const std::string &method, const std::string &path, const std::string &query, const std::string &body);

/// Prints a JSON text as indented `key: value` lines.
[[nodiscard]] std::string toPlainText(const std::string &json);

} // namespace apricotarch
