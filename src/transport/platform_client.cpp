#include "apricotarch/transport/platform_client.h"

#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "apricotarch/base/json_object.h"

namespace apricotarch
{

namespace json = boost::json;

namespace
{

constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int RateLimited = 429;

/// Converts an unexpected status into an error. A rate-limited request is certain not to have been executed.
Failure failureForStatus(const HttpResponse &response, const char *step, const Endpoint &peer)
{
    const Delivery delivery = response.status == RateLimited ? Delivery::NotSent : Delivery::MaybeSent;
    return fail(ErrorId::StoreUnavailable, step, peer.text(), "the platform returned status " + std::to_string(response.status), delivery);
}

/// Converts an error of the exchange with the platform into StoreUnavailable.
Failure exchangeFailure(Error error, const char *step)
{
    error.id = ErrorId::StoreUnavailable;
    error.step = step;
    return Failure(std::move(error));
}

} // namespace

PlatformTable::PlatformTable(HttpClient &client, PlatformAccess access)
    : m_client(client)
    , m_access(std::move(access))
{
}

asio::awaitable<Result<std::optional<Row>>> PlatformTable::read(RowKey key)
{
    constexpr const char *Step = "table.read";
    const json::object body{{"table", key.table}, {"key", key.key}};
    const auto response = co_await m_client.exchange(m_access.endpoint, jsonPost("/v1/rows/read", json::serialize(body)), m_access.timeout);
    if (!response) {
        co_return exchangeFailure(response.error(), Step);
    }
    if (response->status == NotFound) {
        co_return std::optional<Row>();
    }
    if (!response->success()) {
        co_return failureForStatus(*response, Step, m_access.endpoint);
    }
    const auto value = parseJson(response->body, Step, m_access.endpoint.text());
    if (!value) {
        co_return Failure(value.error());
    }
    JsonObjectReader object(*value, Step, m_access.endpoint.text());
    Row row{StorePosition(object.number("version")), object.text("text")};
    co_return object.finish(std::optional<Row>(std::move(row)));
}

asio::awaitable<Result<StorePosition>> PlatformTable::write(RowWrite write)
{
    constexpr const char *Step = "table.write";
    json::object body{
        {"table", write.key.table}, {"key", write.key.key}, {"expected", write.expected.version().value()}, {"text", write.text}};
    if (write.guard) {
        body["guard"] = json::object{
            {"table", write.guard->key.table}, {"key", write.guard->key.key}, {"version", write.guard->version.version().value()}};
    }
    const auto response =
        co_await m_client.exchange(m_access.endpoint, jsonPost("/v1/rows/write", json::serialize(body)), m_access.timeout);
    if (!response) {
        co_return exchangeFailure(response.error(), Step);
    }
    if (response->status == Conflict) {
        co_return fail(
            ErrorId::Conflict, Step, m_access.endpoint.text(), "a row's version differs from the version that the write expects");
    }
    if (!response->success()) {
        co_return failureForStatus(*response, Step, m_access.endpoint);
    }
    const auto value = parseJson(response->body, Step, m_access.endpoint.text());
    if (!value) {
        co_return failureForStatus(*response, Step, m_access.endpoint);
    }
    JsonObjectReader object(*value, Step, m_access.endpoint.text());
    const StorePosition version(object.number("version"));
    if (!object.finish()) {
        co_return failureForStatus(*response, Step, m_access.endpoint);
    }
    co_return version;
}

PlatformObjects::PlatformObjects(HttpClient &client, PlatformAccess access)
    : m_client(client)
    , m_access(std::move(access))
{
}

asio::awaitable<Result<std::string>> PlatformObjects::get(Digest digest)
{
    constexpr const char *Step = "objects.get";
    HttpRequest request;
    request.path = "/v1/objects/" + digest.value();
    const auto response = co_await m_client.exchange(m_access.endpoint, std::move(request), m_access.timeout);
    if (!response) {
        co_return exchangeFailure(response.error(), Step);
    }
    if (response->status == NotFound) {
        co_return fail(ErrorId::NotFound, Step, m_access.endpoint.text(), "the platform has no object " + digest.value());
    }
    if (!response->success()) {
        co_return failureForStatus(*response, Step, m_access.endpoint);
    }
    co_return response->body;
}

asio::awaitable<Result<void>> PlatformObjects::put(Digest digest, std::string body)
{
    constexpr const char *Step = "objects.put";
    HttpRequest request;
    request.method = "PUT";
    request.path = "/v1/objects/" + digest.value();
    request.body = std::move(body);
    const auto response = co_await m_client.exchange(m_access.endpoint, std::move(request), m_access.timeout);
    if (!response) {
        co_return exchangeFailure(response.error(), Step);
    }
    if (!response->success()) {
        co_return failureForStatus(*response, Step, m_access.endpoint);
    }
    co_return Result<void>();
}

PlatformVmDirectory::PlatformVmDirectory(HttpClient &client, PlatformAccess access)
    : m_client(client)
    , m_access(std::move(access))
{
}

asio::awaitable<Result<std::vector<VmEntry>>> PlatformVmDirectory::list()
{
    constexpr const char *Step = "vms.list";
    HttpRequest request;
    request.path = "/v1/vms";
    const auto response = co_await m_client.exchange(m_access.endpoint, std::move(request), m_access.timeout);
    if (!response) {
        co_return exchangeFailure(response.error(), Step);
    }
    if (!response->success()) {
        co_return failureForStatus(*response, Step, m_access.endpoint);
    }
    const auto value = parseJson(response->body, Step, m_access.endpoint.text());
    if (!value) {
        co_return Failure(value.error());
    }
    JsonObjectReader object(*value, Step, m_access.endpoint.text());
    std::vector<VmEntry> entries;
    for (const json::value &item : object.list("vms")) {
        JsonObjectReader vm(item, Step, m_access.endpoint.text());
        entries.push_back({vm.text("id"), vm.text("state") == "leaving"});
        if (!vm.finish()) {
            object.reportFault("vms", "an array of objects with 'id' and 'state'");
        }
    }
    co_return object.finish(std::move(entries));
}

} // namespace apricotarch
