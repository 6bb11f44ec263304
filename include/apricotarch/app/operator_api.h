#pragma once

/**
 * @file
 * What operators may do, as JSON texts for the operators' interface.
 */

#include <string>

#include "apricotarch/app/node.h"
#include "apricotarch/protocol/faults.h"

namespace apricotarch
{

/// Whether a request carries the operators' token.
[[nodiscard]] bool isOperator(const Node &node, const HttpRequest &request);

/// Node, configuration, lease, members and replicas as this node sees them.
[[nodiscard]] std::string encodeStatus(Node &node);

/// Decisions of a kind. @param rowText row of the table about the subject, empty where there is none
[[nodiscard]] std::string encodeExplanation(Node &node, DecisionKind kind, const std::string &subject, const std::string &rowText);

/// The row of the table that goes with a subject; nothing for kinds that have none.
[[nodiscard]] asio::awaitable<std::string> rowText(Node &node, DecisionKind kind, std::string subject);

/// The kind of a name on the command line.
[[nodiscard]] std::optional<DecisionKind> decisionKindOf(std::string_view name) noexcept;

/// The configuration in force, with its version; `null` where there is none.
[[nodiscard]] std::string encodeInForce(Node &node);

/// Faults of a questionnaire.
[[nodiscard]] std::string encodeFaults(const Faults &faults);

} // namespace apricotarch
