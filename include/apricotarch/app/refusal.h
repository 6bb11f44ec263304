#pragma once

/**
 * @file
 * Refusals of requests: their reasons, HTTP statuses and transmission to the caller.
 */

#include <string>
#include <string_view>

#include "apricotarch/app/node.h"
#include "apricotarch/protocol/problem.h"
#include "apricotarch/transport/http_server.h"

namespace apricotarch
{

/// Returns the HTTP status of a refusal reason; 503 for an unknown reason.
[[nodiscard]] int refusalStatus(std::string_view reason) noexcept;

/**
 * Makes a problem that states that the request was not run.
 * @param reason machine-readable reason
 * @param detail explanation for a person
 * @param step processing step that refused the request
 */
[[nodiscard]] Problem makeRefusal(std::string reason, std::string detail, std::string step);

/// Sends a problem as the response. Counts and logs it as a refusal.
[[nodiscard]] asio::awaitable<void> sendProblem(Node &node, HttpResponder &responder, Problem problem);

/// Sends a refusal that contains the request's id.
[[nodiscard]] asio::awaitable<void> sendRefusal(Node &node, HttpResponder &responder, Problem problem, RequestId id);

} // namespace apricotarch
