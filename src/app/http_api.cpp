#include "apricotarch/app/http_api.h"

#include <charconv>
#include <string_view>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "apricotarch/app/completion_api.h"
#include "apricotarch/app/entry.h"
#include "apricotarch/app/operator_api.h"
#include "apricotarch/app/refusal.h"
#include "apricotarch/app/service_api.h"
#include "apricotarch/base/log.h"
#include "apricotarch/protocol/questionnaire.h"

namespace apricotarch
{

namespace json = boost::json;

namespace
{

constexpr std::string_view OperatorPath = "/v1/operator/";

bool pathMatches(std::string_view pattern, std::string_view path)
{
    return pattern.ends_with('/') ? path.starts_with(pattern) : path == pattern;
}

bool methodMatches(std::string_view pattern, std::string_view method)
{
    return pattern == "*" || pattern == method;
}

Problem makeProblem(int status, std::string reason, std::string detail, std::string step)
{
    Problem problem;
    problem.status = status;
    problem.reason = std::move(reason);
    problem.detail = std::move(detail);
    problem.notRun = true;
    problem.step = std::move(step);
    return problem;
}

int httpStatusOf(const Error &error)
{
    switch (error.id) {
    case ErrorId::Conflict:
        return 409;
    case ErrorId::OutcomeUnknown:
        return 502;
    default:
        return 503;
    }
}

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

asio::awaitable<void> sendJson(HttpResponder &responder, int status, std::string body)
{
    (void)co_await responder.respond(jsonResponse(status, std::move(body)));
}

} // namespace

const std::vector<HttpApi::Path> HttpApi::Paths = {
    {"GET", "/v1/entry", &HttpApi::sendEntry},
    {"POST", "/v1/completions", &HttpApi::completeText},
    {"POST", "/v1/chat/completions", &HttpApi::completeChat},
    {"*", "/v1/services/", &HttpApi::callService},
    {"GET", "/v1/operator/status", &HttpApi::showStatus},
    {"GET", "/v1/operator/explain", &HttpApi::explainDecisions},
    {"GET", "/v1/operator/configuration", &HttpApi::showConfiguration},
    {"POST", "/v1/operator/configuration", &HttpApi::submitQuestionnaire},
    {"POST", "/v1/operator/configuration/check", &HttpApi::checkQuestionnaire},
    {"POST", "/v1/operator/drain", &HttpApi::drainNode},
    {"POST", "/v1/operator/lift", &HttpApi::releaseFromQuarantine},
    {"GET", "/healthz", &HttpApi::reportHealth},
    {"GET", "/readyz", &HttpApi::reportReadiness},
    {"GET", "/metrics", &HttpApi::exportMetrics},
};

HttpApi::HttpApi(Node &node)
    : m_node(node)
{
}

asio::awaitable<void> HttpApi::handle(const HttpRequest &request, HttpResponder &responder)
{
    bool pathKnown = false;
    for (const Path &path : Paths) {
        if (!pathMatches(path.path, request.path)) {
            continue;
        }
        pathKnown = true;
        if (!methodMatches(path.method, request.method)) {
            continue;
        }
        if (request.path.starts_with(OperatorPath) && !hasOperatorToken(m_node, request)) {
            co_await sendProblem(m_node,
                responder,
                makeProblem(401, "unauthenticated", "Send the operators' token as 'Authorization: Bearer TOKEN'.", "operator.check"));
            co_return;
        }
        co_await (this->*path.handler)(request, responder);
        co_return;
    }
    if (pathKnown) {
        co_await sendProblem(m_node,
            responder,
            makeProblem(405, "method_not_allowed", request.path + " does not support " + request.method + '.', "http.route"));
        co_return;
    }
    co_await sendProblem(m_node,
        responder,
        makeProblem(404, "unknown_path", "Unknown path " + request.path + "; docs/callers.md lists the available paths.", "http.route"));
}

asio::awaitable<void> HttpApi::sendEntry(const HttpRequest &request, HttpResponder &responder)
{
    co_await sendJson(responder, 200, encodeEntry(m_node, ZoneId(std::string(request.parameter("zone")))));
}

asio::awaitable<void> HttpApi::completeText(const HttpRequest &request, HttpResponder &responder)
{
    co_await answerCompletion(m_node, request, responder, CompletionStyle::Text);
}

asio::awaitable<void> HttpApi::completeChat(const HttpRequest &request, HttpResponder &responder)
{
    co_await answerCompletion(m_node, request, responder, CompletionStyle::Chat);
}

asio::awaitable<void> HttpApi::callService(const HttpRequest &request, HttpResponder &responder)
{
    co_await answerServiceCall(m_node, request, responder);
}

asio::awaitable<void> HttpApi::showStatus(const HttpRequest & /*request*/, HttpResponder &responder)
{
    co_await sendJson(responder, 200, encodeStatus(m_node));
}

asio::awaitable<void> HttpApi::explainDecisions(const HttpRequest &request, HttpResponder &responder)
{
    const auto kind = parseDecisionKind(request.parameter("kind"));
    if (!kind) {
        co_await sendProblem(m_node,
            responder,
            makeProblem(400, "invalid_request", "kind must be order, lease, config, member or request.", "operator.explain"));
        co_return;
    }
    const std::string subject(request.parameter("subject"));
    const std::string row = co_await readRowText(m_node, *kind, subject);
    co_await sendJson(responder, 200, encodeExplanation(m_node, *kind, subject, row));
}

asio::awaitable<void> HttpApi::showConfiguration(const HttpRequest & /*request*/, HttpResponder &responder)
{
    co_await sendJson(responder, 200, encodeActiveConfiguration(m_node));
}

asio::awaitable<void> HttpApi::checkQuestionnaire(const HttpRequest &request, HttpResponder &responder)
{
    const auto configuration = generateConfiguration(request.body);
    const ValidationErrors errors = configuration ? ValidationErrors() : configuration.error();
    co_await sendJson(responder, errors.empty() ? 200 : 422, encodeValidationErrors(errors));
}

asio::awaitable<void> HttpApi::submitQuestionnaire(const HttpRequest &request, HttpResponder &responder)
{
    const auto configuration = generateConfiguration(request.body);
    if (!configuration) {
        co_await sendJson(responder, 422, encodeValidationErrors(configuration.error()));
        co_return;
    }
    const auto base = parseInteger(request.parameter("base"));
    if (!base) {
        co_await sendProblem(m_node,
            responder,
            makeProblem(400,
                "invalid_request",
                "base must be the version in force that the change is based on; 0 for the first.",
                "operator.submit"));
        co_return;
    }
    const Result<CommittedConfiguration> accepted = co_await m_node.configuration().accept(*configuration, ConfigurationVersion(*base));
    if (!accepted) {
        const bool notRun = accepted.error().id != ErrorId::OutcomeUnknown;
        co_await sendProblem(m_node, responder, toProblem(httpStatusOf(accepted.error()), accepted.error(), notRun));
        co_return;
    }
    const json::object body{{"version", accepted->row.version.value()}, {"digest", accepted->row.digest.value()}};
    co_await sendJson(responder, 200, json::serialize(body));
}

asio::awaitable<void> HttpApi::drainNode(const HttpRequest & /*request*/, HttpResponder &responder)
{
    m_node.requestShutdown();
    co_await sendJson(responder, 202, R"({"draining":true})");
}

asio::awaitable<void> HttpApi::releaseFromQuarantine(const HttpRequest &request, HttpResponder &responder)
{
    const auto content = parseInteger(request.parameter("content"));
    const bool released = content && m_node.crashTracker().release(ContentHash(*content), m_node.clock().now());
    co_await sendJson(responder, released ? 200 : 404, released ? R"({"lifted":true})" : R"({"lifted":false})");
}

asio::awaitable<void> HttpApi::reportHealth(const HttpRequest & /*request*/, HttpResponder &responder)
{
    co_await sendJson(responder, 200, R"({"healthy":true})");
}

asio::awaitable<void> HttpApi::reportReadiness(const HttpRequest & /*request*/, HttpResponder &responder)
{
    const bool inForce = m_node.configuration().inForce() != nullptr;
    const bool ready = inForce && !m_node.isDraining() && m_node.configuration().freshness() != ConfigurationFreshness::Unknown;
    const char *reason = !inForce ? "no configuration is known, neither from the store nor from a peer"
        : m_node.isDraining()     ? "shutting down"
        : ready                   ? ""
                                  : "it cannot be verified that the configuration is in force";
    const json::object body{{"ready", ready}, {"reason", reason}};
    co_await sendJson(responder, ready ? 200 : 503, json::serialize(body));
}

asio::awaitable<void> HttpApi::exportMetrics(const HttpRequest & /*request*/, HttpResponder &responder)
{
    HttpResponse response{200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_node.metrics().exposition()};
    (void)co_await responder.respond(std::move(response));
}

} // namespace apricotarch
