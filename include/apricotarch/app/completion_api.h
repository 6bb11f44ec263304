#pragma once

/**
 * @file
 * Completions, streamed and whole.
 */

#include "apricotarch/app/node.h"
#include "apricotarch/protocol/completion.h"
#include "apricotarch/transport/http_server.h"

namespace apricotarch
{

/// `POST /v1/completions` and `POST /v1/chat/completions`.
[[nodiscard]] asio::awaitable<void> answerCompletion(
    Node &node, const HttpRequest &request, HttpResponder &responder, CompletionStyle style);

} // namespace apricotarch
