#pragma once

/**
 * @file
 * What callers may do: find a node, ask for completions, and call application services.
 */

#include "apricotarch/app/node.h"
#include "apricotarch/protocol/completion.h"
#include "apricotarch/protocol/problem.h"
#include "apricotarch/transport/http_server.h"

namespace apricotarch
{

/// Sends a problem as the whole answer. Counts it as a refusal.
[[nodiscard]] asio::awaitable<void> sendProblem(Node &node, HttpResponder &responder, Problem problem);

/// The status that a refusal reason is sent with. Unknown reasons give 503.
[[nodiscard]] int statusOfReason(std::string_view reason) noexcept;

/// The key in an `Authorization: Bearer` header, or an empty text.
[[nodiscard]] std::string bearerKey(const HttpRequest &request);

/// `GET /v1/entry`: which addresses to use and how long to keep them.
[[nodiscard]] std::string encodeEntry(Node &node, const ZoneId &callerZone);

/// `POST /v1/completions` and `POST /v1/chat/completions`.
[[nodiscard]] asio::awaitable<void> answerCompletion(
    Node &node, const HttpRequest &request, HttpResponder &responder, CompletionStyle style);

/// Any method on `/v1/services/{service}/...`.
[[nodiscard]] asio::awaitable<void> answerServiceCall(Node &node, const HttpRequest &request, HttpResponder &responder);

} // namespace apricotarch
