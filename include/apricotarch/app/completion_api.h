#pragma once

/**
 * @file
 * HTTP handlers for completions, streamed and in full.
 */

#include "apricotarch/app/node.h"
#include "apricotarch/protocol/completion.h"
#include "apricotarch/transport/http_server.h"

namespace apricotarch
{

/// Handles `POST /v1/completions` and `POST /v1/chat/completions`.
[[nodiscard]] asio::awaitable<void> answerCompletion(
    Node &node, const HttpRequest &request, HttpResponder &responder, CompletionStyle style);

} // namespace apricotarch
