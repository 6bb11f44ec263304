#pragma once

/**
 * @file
 * JSON responses of the operators' interface.
 */

#include <string>

#include "apricotarch/app/node.h"
#include "apricotarch/protocol/validation_error.h"

namespace apricotarch
{

/// Whether a request contains the operators' token.
[[nodiscard]] bool hasOperatorToken(const Node &node, const HttpRequest &request);

/// Encodes the state of this node, its configuration and lease, and its view of the members and replicas.
[[nodiscard]] std::string encodeStatus(Node &node);

/**
 * Encodes the recorded decisions of a kind.
 * @param kind the kind of decisions
 * @param subject the subject of the decisions; empty for all
 * @param rowText the subject's row of the platform's table; empty if there is none
 */
[[nodiscard]] std::string encodeExplanation(Node &node, DecisionKind kind, const std::string &subject, const std::string &rowText);

/// Reads the row of the platform's table for a subject. @return the row's text; empty for kinds without rows
[[nodiscard]] asio::awaitable<std::string> readRowText(Node &node, DecisionKind kind, std::string subject);

/// Returns the decision kind with the given name, as used on the command line; nothing for an unknown name.
[[nodiscard]] std::optional<DecisionKind> parseDecisionKind(std::string_view name) noexcept;

/// Encodes the configuration in force and its version; `null` if there is none.
[[nodiscard]] std::string encodeActiveConfiguration(Node &node);

/// Encodes the errors of a questionnaire.
[[nodiscard]] std::string encodeValidationErrors(const ValidationErrors &errors);

} // namespace apricotarch
