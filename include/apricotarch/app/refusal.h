#pragma once

/**
 * @file
 * Refusals: their reasons, statuses and way to the caller.
 */

#include <string>
#include <string_view>

#include "apricotarch/app/node.h"
#include "apricotarch/protocol/problem.h"
#include "apricotarch/transport/http_server.h"

namespace apricotarch
{

/// The status that a refusal reason is sent with. Unknown reasons give 503.
[[nodiscard]] int statusOfReason(std::string_view reason) noexcept;

/// A problem that says that the request was not run. @param step where it arose
[[nodiscard]] Problem refusal(std::string reason, std::string detail, std::string step);

/// Sends a problem as the whole answer. Counts and logs it as a refusal.
[[nodiscard]] asio::awaitable<void> sendProblem(Node &node, HttpResponder &responder, Problem problem);

/// Sends a refusal under the request's id.
[[nodiscard]] asio::awaitable<void> sendRefusal(Node &node, HttpResponder &responder, Problem problem, RequestId id);

} // namespace apricotarch
