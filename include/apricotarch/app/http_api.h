#pragma once

/**
 * @file
 * The node's HTTP interface: which path goes to which handler.
 */

#include "apricotarch/app/node.h"
#include "apricotarch/protocol/problem.h"
#include "apricotarch/transport/http_server.h"

namespace apricotarch
{

/// Answers every request that reaches a node's caller address.
class HttpApi
{
public:
    /// @param node must outlive the object
    explicit HttpApi(Node &node);

    /// Handles one request; always answers it.
    [[nodiscard]] asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);

private:
    using Handler = asio::awaitable<void> (HttpApi::*)(const HttpRequest &, HttpResponder &);

    /// One path of the interface.
    struct Path
    {
        const char *method;
        const char *path; ///< A path that ends in a slash stands for all below it.
        Handler handler;
    };
    static const std::vector<Path> Paths;

    // ---- callers ----

    [[nodiscard]] asio::awaitable<void> entry(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> textCompletion(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> chatCompletion(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> serviceCall(const HttpRequest &request, HttpResponder &responder);

    // ---- operators ----

    [[nodiscard]] asio::awaitable<void> status(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> explain(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> showConfiguration(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> checkQuestionnaire(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> submitQuestionnaire(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> drain(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> lift(const HttpRequest &request, HttpResponder &responder);

    // ---- health ----

    [[nodiscard]] asio::awaitable<void> health(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> readiness(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] asio::awaitable<void> metrics(const HttpRequest &request, HttpResponder &responder);

    Node &m_node;
};

} // namespace apricotarch
