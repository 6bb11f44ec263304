/**
 * @file
 * Stand-in for a language-model engine: `standin-engine --listen IP:PORT --model NAME --model-version V`.
 */

#include <charconv>
#include <chrono>
#include <cstdlib>
#include <mutex>
#include <type_traits>

#include <CLI/CLI.hpp>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "apricotarch/protocol/completion.h"
#include "apricotarch/protocol/engine_codec.h"
#include "engine_model.h"
#include "standin_server.h"

namespace apricotarch::standins
{

namespace json = boost::json;

namespace
{

constexpr std::string_view StreamsPath = "/v1/streams/";
constexpr std::chrono::milliseconds OutputPollInterval{5};
constexpr int CrashExitCode = 70;

/// HTTP interface of the modelled engine.
class EngineApi
{
public:
    EngineApi(EngineModel &model, Incarnation incarnation, Clock &clock)
        : m_model(model)
        , m_incarnation(incarnation)
        , m_clock(clock)
    {
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.path == "/v1/completions") {
            co_await handleCompletion(request, responder);
        } else if (request.path.starts_with(StreamsPath)) {
            co_await handleStream(request, responder);
        } else if (request.path == "/v1/load") {
            co_await handleLoad(responder);
        } else if (request.path == "/v1/orders" && request.method == "POST") {
            co_await handleOrder(request, responder);
        } else if (request.path == "/v1/orders") {
            co_await handleOrderList(responder);
        } else {
            co_await respondNotFound(responder);
        }
    }

private:
    asio::awaitable<void> handleCompletion(const HttpRequest &request, HttpResponder &responder)
    {
        const auto engineRequest = decodeEngineRequest(request.body, request.peer);
        if (!engineRequest) {
            (void)co_await responder.respond(jsonResponse(400, "{}"));
            co_return;
        }
        const EngineReply reply = withLock([&] {
            return m_model.submit(*engineRequest, m_clock.now());
        });
        if (reply == EngineReply::Crash) {
            std::_Exit(CrashExitCode);
        }
        if (reply != EngineReply::Accepted) {
            (void)co_await responder.respond(jsonResponse(reply == EngineReply::Full ? 429 : 409, "{}"));
            co_return;
        }
        co_await writeOutput(responder, engineRequest->stream, engineRequest->startOffset);
    }

    asio::awaitable<void> handleStream(const HttpRequest &request, HttpResponder &responder)
    {
        const std::string id = request.path.substr(StreamsPath.size());
        if (request.method == "DELETE") {
            const bool cancelled = withLock([&] {
                return m_model.cancel(id, request.parameter("if_detached") == "true");
            });
            (void)co_await responder.respond(jsonResponse(cancelled ? 200 : 409, "{}"));
            co_return;
        }
        const bool exists = withLock([&] {
            return m_model.hasStream(id);
        });
        if (!exists) {
            co_await respondNotFound(responder);
            co_return;
        }
        const std::string_view offset = request.parameter("from");
        std::int64_t from = 0;
        std::from_chars(offset.data(), offset.data() + offset.size(), from);
        co_await writeOutput(responder, id, from);
    }

    /// Streams the output from an offset on until the stream ends or the connection fails.
    asio::awaitable<void> writeOutput(HttpResponder &responder, std::string id, std::int64_t from)
    {
        HttpHeaders headers;
        headers.add("Content-Type", "text/event-stream");
        headers.add("X-Engine-Incarnation", std::to_string(m_incarnation.value()));
        Result<void> written = co_await responder.beginStream(200, headers);
        withLock([&] {
            m_model.attachReader(id);
        });
        bool finished = false;
        while (written && !finished) {
            const std::optional<EngineChunk> chunk = withLock([&] {
                m_model.advance(m_clock.now());
                return m_model.outputFrom(id, from);
            });
            const bool removed = withLock([&] {
                return !m_model.hasStream(id);
            });
            if (removed) {
                break;
            }
            if (!chunk) {
                co_await m_clock.sleep(OutputPollInterval);
                continue;
            }
            const std::string event = encodeEngineEvent(*chunk);
            written = co_await responder.write(event);
            from = chunk->offset + chunk->tokens;
            finished = !chunk->finishReason.empty();
        }
        withLock([&] {
            m_model.detachReader(id);
        });
        if (finished) {
            (void)co_await responder.endStream();
        } else {
            responder.abort();
        }
    }

    asio::awaitable<void> handleLoad(HttpResponder &responder)
    {
        const LoadReport report = withLock([&] {
            m_model.advance(m_clock.now());
            return m_model.loadReport(m_clock.now());
        });
        (void)co_await responder.respond(jsonResponse(200, encodeLoad(report)));
    }

    asio::awaitable<void> handleOrder(const HttpRequest &request, HttpResponder &responder)
    {
        const auto engineOrder = decodeEngineOrder(request.body, request.peer);
        if (!engineOrder) {
            (void)co_await responder.respond(jsonResponse(400, "{}"));
            co_return;
        }
        const EngineReply reply = withLock([&] {
            return m_model.handleOrder(*engineOrder, m_clock.now());
        });
        (void)co_await responder.respond(jsonResponse(reply == EngineReply::Accepted ? 202 : 409, "{}"));
    }

    asio::awaitable<void> handleOrderList(HttpResponder &responder)
    {
        json::array list;
        withLock([&] {
            for (const EngineOrder &order : m_model.acceptedOrders()) {
                list.emplace_back(encodeEngineOrder(order));
            }
        });
        (void)co_await responder.respond(jsonResponse(200, json::serialize(list)));
    }

    /// Calls a function while holding the model's mutex.
    template<typename Work>
    std::invoke_result_t<Work> withLock(Work work)
    {
        const std::lock_guard lock(m_mutex);
        return work();
    }

    EngineModel &m_model;
    Incarnation m_incarnation;
    Clock &m_clock;
    std::mutex m_mutex;
};

void addOptions(CLI::App &app, EngineModelSettings &settings, std::string &listen)
{
    app.add_option("--listen", listen, "IP:PORT")->capture_default_str();
    app.add_option("--model", settings.state.model.model, "initially loaded model")->capture_default_str();
    app.add_option("--adapter", settings.state.model.adapter, "initially loaded adapter")->capture_default_str();
    app.add_option("--model-version", settings.state.model.version, "version of the initially loaded model")->capture_default_str();
    app.add_option("--slots", settings.slots, "capacity of the batch, in requests")->capture_default_str();
    app.add_option("--prefill-rate", settings.prefillRate, "prompt tokens per second")->capture_default_str();
    app.add_option("--decode-rate", settings.decodeRate, "output tokens per second of each request")->capture_default_str();
    app.add_option("--kv-pieces", settings.kvBlocks, "number of KV blocks")->capture_default_str();
    app.add_option("--crash-on", settings.crashMarker, "text that crashes the engine if it is part of a prompt")->capture_default_str();
    app.add_flag("!--ignores-fencing", settings.checksFencing, "accept orders with outdated fencing tokens");
}

} // namespace

} // namespace apricotarch::standins

int main(int argc, char **argv)
{
    using namespace apricotarch;
    using namespace apricotarch::standins;
    startLogging(argv[0]);
    std::string listen = "127.0.0.1:7100";
    std::int64_t changeMs = 2000;
    EngineModelSettings settings;
    CLI::App app("Stand-in for a language-model engine.");
    addOptions(app, settings, listen);
    app.add_option("--change-ms", changeMs, "duration of a change of the loaded model or role, in milliseconds")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    settings.changeDuration = std::chrono::milliseconds(changeMs);
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const Incarnation incarnation(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
    SystemClock clock;
    EngineModel model(settings, incarnation);
    EngineApi api(model, incarnation, clock);
    EventLoopPool eventLoops(1);
    return serveUntilSignal(eventLoops, {listen}, [&api](const HttpRequest &request, HttpResponder &responder) {
        return api.handle(request, responder);
    });
}
