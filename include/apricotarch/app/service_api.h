#pragma once

/**
 * @file
 * HTTP handler for calls to application services.
 */

#include "apricotarch/app/node.h"
#include "apricotarch/transport/http_server.h"

namespace apricotarch
{

/// Handles any method on `/v1/services/{service}/...`.
[[nodiscard]] asio::awaitable<void> answerServiceCall(Node &node, const HttpRequest &request, HttpResponder &responder);

} // namespace apricotarch
