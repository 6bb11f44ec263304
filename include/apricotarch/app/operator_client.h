#pragma once

/**
 * @file
 * Client for the operators' interface of a node.
 */

#include <string>

namespace apricotarch
{

/// Options for sending a request to a node and printing the response.
struct OperatorClientOptions
{
    std::string node = "127.0.0.1:8080"; ///< IP:PORT of any node.
    std::string token; ///< The operators' token.
    bool json = false; ///< Whether to print the JSON response unchanged.
};

/// Sends one request to a node and prints the response. @return an ExitCode
[[nodiscard]] int sendToNode(const OperatorClientOptions &access,
    const std::string &method,
    const std::string &path,
    const std::string &query,
    const std::string &body);

/// Converts JSON to indented `key: value` lines. Text that is not JSON is returned unchanged with a line break.
[[nodiscard]] std::string toPlainText(const std::string &json);

} // namespace apricotarch
