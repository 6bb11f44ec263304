#pragma once

/**
 * @file
 * The node's HTTP interface: maps paths to handlers.
 */

#include "apricotarch/app/node.h"
#include "apricotarch/protocol/problem.h"
#include "apricotarch/transport/http_server.h"

namespace apricotarch
{

/// Handles the requests received at a node's caller address.
class HttpApi
{
public:
    /// @param node must outlive the object
    explicit HttpApi(Node &node);

    /// Handles one request and always sends a response.
    [[nodiscard]] asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);

private:
    using Handler = asio::awaitable<void> (HttpApi::*)(const HttpRequest &, HttpResponder &);

    /// A path of the interface and its handler.
    struct Path
    {
        const char *method; ///< HTTP method, or `*` for any.
        const char *path; ///< A path that ends in a slash matches all paths below it.
        Handler handler;
    };
    static const std::vector<Path> Paths;

    // ---- callers ----

    [[nodiscard]] asio::awaitable<void> sendEntry(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> completeText(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> completeChat(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> callService(const HttpRequest &request, HttpResponder &responder);

    // ---- operators ----

    [[nodiscard]] asio::awaitable<void> showStatus(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> explainDecisions(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> showConfiguration(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> checkQuestionnaire(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> submitQuestionnaire(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> drainNode(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> releaseFromQuarantine(const HttpRequest &request, HttpResponder &responder);

    // ---- health ----

    [[nodiscard]] asio::awaitable<void> reportHealth(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> reportReadiness(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> exportMetrics(const HttpRequest &request, HttpResponder &responder);

    Node &m_node;
};

} // namespace apricotarch
