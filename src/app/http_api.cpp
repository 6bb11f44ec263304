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

bool matches(std::string_view pattern, std::string_view path)
{
    return pattern.ends_with('/') ? path.starts_with(pattern) : path == pattern;
}

bool methodMatches(std::string_view pattern, std::string_view method)
{
    return pattern == "*" || pattern == method;
}

Problem problem(int status, std::string reason, std::string detail, std::string step)
{
    Problem made;
    made.status = status;
    made.reason = std::move(reason);
    made.detail = std::move(detail);
    made.notRun = true;
    made.step = std::move(step);
    return made;
}

int statusOf(const Error &error)
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

std::optional<std::int64_t> numberOf(std::string_view text)
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
    {"GET", "/v1/entry", &HttpApi::entry},
    {"POST", "/v1/completions", &HttpApi::textCompletion},
    {"POST", "/v1/chat/completions", &HttpApi::chatCompletion},
    {"*", "/v1/services/", &HttpApi::serviceCall},
    {"GET", "/v1/operator/status", &HttpApi::status},
    {"GET", "/v1/operator/explain", &HttpApi::explain},
    {"GET", "/v1/operator/configuration", &HttpApi::showConfiguration},
    {"POST", "/v1/operator/configuration", &HttpApi::submitQuestionnaire},
    {"POST", "/v1/operator/configuration/check", &HttpApi::checkQuestionnaire},
    {"POST", "/v1/operator/drain", &HttpApi::drain},
    {"POST", "/v1/operator/lift", &HttpApi::lift},
    {"GET", "/healthz", &HttpApi::health},
    {"GET", "/readyz", &HttpApi::readiness},
    {"GET", "/metrics", &HttpApi::metrics},
};

HttpApi::HttpApi(Node &node)
    : m_node(node)
{
}

asio::awaitable<void> HttpApi::handle(const HttpRequest &request, HttpResponder &responder)
{
    bool pathKnown = false;
    for (const Path &path : Paths) {
        if (!matches(path.path, request.path)) {
            continue;
        }
        pathKnown = true;
        if (!methodMatches(path.method, request.method)) {
            continue;
        }
        if (request.path.starts_with(OperatorPath) && !isOperator(m_node, request)) {
            co_await sendProblem(m_node,
                responder,
                problem(401, "unauthenticated", "Send the operators' token as 'Authorization: Bearer TOKEN'.", "operator.check"));
            co_return;
        }
        co_await (this->*path.handler)(request, responder);
        co_return;
    }
    if (pathKnown) {
        co_await sendProblem(
            m_node, responder, problem(405, "method_not_allowed", request.path + " does not take " + request.method + '.', "http.route"));
        co_return;
    }
    co_await sendProblem(m_node,
        responder,
        problem(404, "unknown_path", "There is no " + request.path + " here; docs/callers.md lists what there is.", "http.route"));
}

asio::awaitable<void> HttpApi::entry(const HttpRequest &request, HttpResponder &responder)
{
    co_await sendJson(responder, 200, encodeEntry(m_node, ZoneId(std::string(request.parameter("zone")))));
}

asio::awaitable<void> HttpApi::textCompletion(const HttpRequest &request, HttpResponder &responder)
{
    co_await answerCompletion(m_node, request, responder, CompletionStyle::Text);
}

asio::awaitable<void> HttpApi::chatCompletion(const HttpRequest &request, HttpResponder &responder)
{
    co_await answerCompletion(m_node, request, responder, CompletionStyle::Chat);
}

asio::awaitable<void> HttpApi::serviceCall(const HttpRequest &request, HttpResponder &responder)
{
    co_await answerServiceCall(m_node, request, responder);
}

asio::awaitable<void> HttpApi::status(const HttpRequest & /*request*/, HttpResponder &responder)
{
    co_await sendJson(responder, 200, encodeStatus(m_node));
}

asio::awaitable<void> HttpApi::explain(const HttpRequest &request, HttpResponder &responder)
{
    const auto kind = decisionKindOf(request.parameter("kind"));
    if (!kind) {
        co_await sendProblem(m_node,
            responder,
            problem(400, "invalid_request", "kind must be order, lease, config, member or request.", "operator.explain"));
        co_return;
    }
    const std::string subject(request.parameter("subject"));
    const std::string row = co_await rowText(m_node, *kind, subject);
    co_await sendJson(responder, 200, encodeExplanation(m_node, *kind, subject, row));
}

asio::awaitable<void> HttpApi::showConfiguration(const HttpRequest & /*request*/, HttpResponder &responder)
{
    co_await sendJson(responder, 200, encodeInForce(m_node));
}

asio::awaitable<void> HttpApi::checkQuestionnaire(const HttpRequest &request, HttpResponder &responder)
{
    const auto configuration = generateConfiguration(request.body);
    const Faults faults = configuration ? Faults() : configuration.error();
    co_await sendJson(responder, faults.empty() ? 200 : 422, encodeFaults(faults));
}

asio::awaitable<void> HttpApi::submitQuestionnaire(const HttpRequest &request, HttpResponder &responder)
{
    const auto configuration = generateConfiguration(request.body);
    if (!configuration) {
        co_await sendJson(responder, 422, encodeFaults(configuration.error()));
        co_return;
    }
    const auto base = numberOf(request.parameter("base"));
    if (!base) {
        co_await sendProblem(m_node,
            responder,
            problem(400, "invalid_request", "base must be the version this change starts from; 0 for the first.", "operator.submit"));
        co_return;
    }
    const Result<CommittedConfiguration> accepted = co_await m_node.configuration().accept(*configuration, ConfigurationVersion(*base));
    if (!accepted) {
        const bool notRun = accepted.error().id != ErrorId::OutcomeUnknown;
        co_await sendProblem(m_node, responder, problemOf(statusOf(accepted.error()), accepted.error(), notRun));
        co_return;
    }
    const json::object body{{"version", accepted->row.version.value()}, {"digest", accepted->row.digest.value()}};
    co_await sendJson(responder, 200, json::serialize(body));
}

asio::awaitable<void> HttpApi::drain(const HttpRequest & /*request*/, HttpResponder &responder)
{
    m_node.requestShutdown();
    co_await sendJson(responder, 202, R"({"draining":true})");
}

asio::awaitable<void> HttpApi::lift(const HttpRequest &request, HttpResponder &responder)
{
    const auto content = numberOf(request.parameter("content"));
    const bool lifted = content && m_node.crashes().lift(ContentHash(*content), m_node.clock().now());
    co_await sendJson(responder, lifted ? 200 : 404, lifted ? R"({"lifted":true})" : R"({"lifted":false})");
}

asio::awaitable<void> HttpApi::health(const HttpRequest & /*request*/, HttpResponder &responder)
{
    co_await sendJson(responder, 200, R"({"healthy":true})");
}

asio::awaitable<void> HttpApi::readiness(const HttpRequest & /*request*/, HttpResponder &responder)
{
    const bool inForce = m_node.configuration().inForce() != nullptr;
    const bool ready = inForce && !m_node.isDraining() && m_node.configuration().currencyNow() != Currency::Unknown;
    const char *reason = !inForce ? "no configuration is known, neither from the store nor from a peer"
        : m_node.isDraining()     ? "shutting down"
        : ready                   ? ""
                                  : "it is not known whether the configuration is the one in force";
    const json::object body{{"ready", ready}, {"reason", reason}};
    co_await sendJson(responder, ready ? 200 : 503, json::serialize(body));
}

asio::awaitable<void> HttpApi::metrics(const HttpRequest & /*request*/, HttpResponder &responder)
{
    HttpResponse response{200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_node.metrics().exposition()};
    (void)co_await responder.respond(std::move(response));
}

} // namespace apricotarch
