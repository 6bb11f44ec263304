#include "apricotarch/app/operator_client.h"

#include <iostream>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "apricotarch/app/cli.h"
#include "apricotarch/transport/http_client.h"

namespace apricotarch
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::seconds RequestTimeout{15};
constexpr int BadRequest = 400;
constexpr int Unprocessable = 422;
constexpr int BadGateway = 502;

std::string scalarText(const json::value &value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

void appendValue(std::string &out, const json::value &value, const std::string &indent);

void appendField(std::string &out, const std::string &name, const json::value &value, const std::string &indent)
{
    out += indent + name;
    if (!value.is_object() && !value.is_array()) {
        out += ": " + scalarText(value) + '\n';
        return;
    }
    out += ":\n";
    appendValue(out, value, indent + "  ");
}

void appendValue(std::string &out, const json::value &value, const std::string &indent)
{
    if (const json::object *object = value.if_object()) {
        for (const auto &field : *object) {
            appendField(out, std::string(field.key()), field.value(), indent);
        }
    } else if (const json::array *list = value.if_array()) {
        for (const json::value &entry : *list) {
            appendField(out, "-", entry, indent);
        }
    } else {
        out += indent + scalarText(value) + '\n';
    }
}

int exitCodeOf(const HttpResponse &response)
{
    if (response.success()) {
        return Success;
    }
    if (response.status == BadRequest || response.status == Unprocessable) {
        return InvalidInput;
    }
    return response.status == BadGateway ? UnknownOutcome : Failed;
}

Result<HttpResponse> sendRequest(const Endpoint &endpoint, HttpRequest request)
{
    asio::io_context loop;
    HttpClient client;
    Result<HttpResponse> result = fail(ErrorId::ConnectFailed, "operator.ask", endpoint.text(), "the request was not sent");
    const auto exchange = [&]() -> asio::awaitable<void> {
        result = co_await client.exchange(endpoint, std::move(request), RequestTimeout);
    };
    asio::co_spawn(loop, exchange(), asio::detached);
    loop.run();
    return result;
}

} // namespace

std::string toPlainText(const std::string &text)
{
    json::error_code code;
    const json::value value = json::parse(text, code);
    if (code) {
        return text + '\n';
    }
    std::string out;
    appendValue(out, value, "");
    return out;
}

int sendToNode(const OperatorClientOptions &access,
    const std::string &method,
    const std::string &path,
    const std::string &query,
    const std::string &body)
{
    const Result<Endpoint> endpoint = parseEndpoint(access.node);
    if (!endpoint) {
        std::cerr << formatError(endpoint.error()) << '\n';
        return InvalidInput;
    }
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.query = query;
    request.body = body;
    request.headers.add("Authorization", "Bearer " + access.token);
    const Result<HttpResponse> response = sendRequest(*endpoint, std::move(request));
    if (!response) {
        std::cerr << formatError(response.error()) << "\nCheck that the node is running, or specify another node with --node.\n";
        return Unreachable;
    }
    (response->success() ? std::cout : std::cerr) << (access.json ? response->body + '\n' : toPlainText(response->body));
    return exitCodeOf(*response);
}

} // namespace apricotarch
