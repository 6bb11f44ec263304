/**
 * @file
 * Stand-in for the platform: `standin-platform --listen IP:PORT`.
 */

#include <CLI/CLI.hpp>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "apricotarch/base/json_object.h"
#include "platform_store.h"
#include "standin_server.h"

namespace apricotarch::standins
{

namespace json = boost::json;

namespace
{

constexpr std::string_view ObjectsPath = "/v1/objects/";

/// HTTP interface of the platform's services, and of the fault injection.
class PlatformApi
{
public:
    PlatformApi(PlatformStore &store, Clock &clock)
        : m_store(store)
        , m_clock(clock)
    {
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.path == "/control") {
            co_await handleControl(request, responder);
            co_return;
        }
        const PlatformFaults faults = m_store.faults();
        co_await m_clock.sleep(faults.delay);
        if (faults.outage) {
            responder.abort();
            co_return;
        }
        if (request.path == "/v1/rows/read") {
            co_await handleRead(request, responder);
        } else if (request.path == "/v1/rows/write") {
            co_await handleWrite(request, responder);
        } else if (request.path.starts_with(ObjectsPath)) {
            co_await handleObject(request, responder);
        } else if (request.path == "/v1/vms") {
            co_await handleVms(responder);
        } else {
            co_await respondNotFound(responder);
        }
    }

private:
    asio::awaitable<void> handleRead(const HttpRequest &request, HttpResponder &responder)
    {
        const json::value value = parseJson(request.body, "platform.read", request.peer).value_or(json::value());
        JsonObjectReader object(value, "platform.read", request.peer);
        const RowKey key{object.text("table"), object.text("key")};
        if (!object.finish()) {
            (void)co_await responder.respond(jsonResponse(400, "{}"));
            co_return;
        }
        if (!m_store.tryTakeRead()) {
            (void)co_await responder.respond(jsonResponse(429, "{}"));
            co_return;
        }
        const std::optional<Row> row = m_store.read(key);
        if (!row) {
            co_await respondNotFound(responder);
            co_return;
        }
        const json::object body{{"version", row->version.version().value()}, {"text", row->text}};
        (void)co_await responder.respond(jsonResponse(200, json::serialize(body)));
    }

    asio::awaitable<void> handleWrite(const HttpRequest &request, HttpResponder &responder)
    {
        const json::value value = parseJson(request.body, "platform.write", request.peer).value_or(json::value());
        JsonObjectReader object(value, "platform.write", request.peer);
        RowWrite row{
            {object.text("table"), object.text("key")}, StorePosition(object.number("expected")), object.text("text"), std::nullopt};
        if (object.has("guard")) {
            JsonObjectReader guard(object.value("guard"), "platform.write", request.peer);
            row.guard = RowGuard{{guard.text("table"), guard.text("key")}, StorePosition(guard.number("version"))};
        }
        if (!object.finish()) {
            (void)co_await responder.respond(jsonResponse(400, "{}"));
            co_return;
        }
        StorePosition version;
        const StoreOutcome outcome = m_store.write(row, version);
        if (outcome != StoreOutcome::Done) {
            (void)co_await responder.respond(jsonResponse(outcome == StoreOutcome::Conflict ? 409 : 429, "{}"));
            co_return;
        }
        if (m_store.dropNextAnswer()) {
            responder.abort();
            co_return;
        }
        const json::object body{{"version", version.version().value()}};
        (void)co_await responder.respond(jsonResponse(200, json::serialize(body)));
    }

    asio::awaitable<void> handleObject(const HttpRequest &request, HttpResponder &responder)
    {
        const std::string name = request.path.substr(ObjectsPath.size());
        if (request.method == "PUT") {
            m_store.putObject(name, request.body);
            (void)co_await responder.respond(jsonResponse(200, "{}"));
            co_return;
        }
        const std::optional<std::string> body = m_store.object(name);
        if (!body) {
            co_await respondNotFound(responder);
            co_return;
        }
        HttpResponse response{200, {}, *body};
        (void)co_await responder.respond(std::move(response));
    }

    asio::awaitable<void> handleVms(HttpResponder &responder)
    {
        json::array list;
        for (const VmEntry &vm : m_store.vms()) {
            list.push_back(json::object{{"id", vm.id}, {"state", vm.shuttingDown ? "leaving" : "live"}});
        }
        const json::object body{{"vms", list}};
        (void)co_await responder.respond(jsonResponse(200, json::serialize(body)));
    }

    asio::awaitable<void> handleControl(const HttpRequest &request, HttpResponder &responder)
    {
        const json::value value = parseJson(request.body, "platform.control", request.peer).value_or(json::value());
        JsonObjectReader object(value, "platform.control", request.peer);
        PlatformFaults faults;
        faults.outage = object.flagOr("outage", false);
        faults.delay = std::chrono::milliseconds(object.numberOr("delay_ms", 0));
        faults.answersToDrop = static_cast<int>(object.numberOr("lose_answers", 0));
        if (object.has("vms")) {
            std::vector<VmEntry> entries;
            for (const json::value &item : object.list("vms")) {
                JsonObjectReader vm(item, "platform.control", request.peer);
                entries.push_back({vm.text("id"), vm.text("state") == "leaving"});
            }
            m_store.setVms(std::move(entries), std::chrono::milliseconds(object.numberOr("vm_lag_ms", 0)));
        }
        const bool valid = object.finish().has_value();
        if (valid) {
            m_store.setFaults(faults);
        }
        const json::object body{{"writes", m_store.writes()}};
        (void)co_await responder.respond(jsonResponse(valid ? 200 : 400, json::serialize(body)));
    }

    PlatformStore &m_store;
    Clock &m_clock;
};

} // namespace

} // namespace apricotarch::standins

int main(int argc, char **argv)
{
    using namespace apricotarch;
    using namespace apricotarch::standins;
    startLogging(argv[0]);
    std::string listen = "127.0.0.1:7000";
    PlatformLimits limits;
    CLI::App app("Stand-in for the platform: table, object store and VM list in memory.");
    app.add_option("--listen", listen, "IP:PORT")->capture_default_str();
    app.add_option("--writes-per-second", limits.writesPerSecond, "0 for no limit")->capture_default_str();
    app.add_option("--reads-per-second", limits.readsPerSecond, "0 for no limit")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    SystemClock clock;
    PlatformStore store(clock, limits);
    PlatformApi api(store, clock);
    EventLoopPool eventLoops(2);
    return serveUntilSignal(eventLoops, {listen}, [&api](const HttpRequest &request, HttpResponder &responder) {
        return api.handle(request, responder);
    });
}
