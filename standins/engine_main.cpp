/**
 * @file
 * An engine's stand-in as a program: `standin-engine --listen IP:PORT --model NAME --version V`.
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
constexpr std::chrono::milliseconds Tick{5};
constexpr int CrashExitCode = 70;

/// An engine behind HTTP.
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
            co_await complete(request, responder);
        } else if (request.path.starts_with(StreamsPath)) {
            co_await stream(request, responder);
        } else if (request.path == "/v1/load") {
            co_await load(responder);
        } else if (request.path == "/v1/orders" && request.method == "POST") {
            co_await order(request, responder);
        } else if (request.path == "/v1/orders") {
            co_await orders(responder);
        } else {
            co_await respondNotFound(responder);
        }
    }

private:
    asio::awaitable<void> complete(const HttpRequest &request, HttpResponder &responder)
    {
        const auto asked = decodeEngineRequest(request.body, request.peer);
        if (!asked) {
            (void)co_await responder.respond(jsonResponse(400, "{}"));
            co_return;
        }
        const EngineReply reply = locked([&] {
            return m_model.submit(*asked, m_clock.now());
        });
        if (reply == EngineReply::Crash) {
            std::_Exit(CrashExitCode);
        }
        if (reply != EngineReply::Taken) {
            (void)co_await responder.respond(jsonResponse(reply == EngineReply::Full ? 429 : 409, "{}"));
            co_return;
        }
        co_await pump(responder, asked->stream, asked->startOffset);
    }

    asio::awaitable<void> stream(const HttpRequest &request, HttpResponder &responder)
    {
        const std::string id = request.path.substr(StreamsPath.size());
        if (request.method == "DELETE") {
            const bool ended = locked([&] {
                return m_model.cancel(id, request.parameter("if_detached") == "true");
            });
            (void)co_await responder.respond(jsonResponse(ended ? 200 : 409, "{}"));
            co_return;
        }
        const bool known = locked([&] {
            return m_model.knows(id);
        });
        if (!known) {
            co_await respondNotFound(responder);
            co_return;
        }
        const std::string_view text = request.parameter("from");
        std::int64_t from = 0;
        std::from_chars(text.data(), text.data() + text.size(), from);
        co_await pump(responder, id, from);
    }

    asio::awaitable<void> pump(HttpResponder &responder, std::string id, std::int64_t from)
    {
        HttpHeaders headers;
        headers.add("Content-Type", "text/event-stream");
        headers.add("X-Engine-Incarnation", std::to_string(m_incarnation.value()));
        Result<void> written = co_await responder.beginStream(200, headers);
        locked([&] {
            m_model.attach(id);
        });
        bool finished = false;
        while (written && !finished) {
            const std::optional<EnginePiece> piece = locked([&] {
                m_model.advance(m_clock.now());
                return m_model.piece(id, from);
            });
            const bool gone = locked([&] {
                return !m_model.knows(id);
            });
            if (gone) {
                break;
            }
            if (!piece) {
                co_await m_clock.sleep(Tick);
                continue;
            }
            const std::string event = encodeEngineEvent(*piece);
            written = co_await responder.write(event);
            from = piece->offset + piece->tokens;
            finished = !piece->finishReason.empty();
        }
        locked([&] {
            m_model.detach(id);
        });
        if (finished) {
            (void)co_await responder.endStream();
        } else {
            responder.abort();
        }
    }

    asio::awaitable<void> load(HttpResponder &responder)
    {
        const LoadReport report = locked([&] {
            m_model.advance(m_clock.now());
            return m_model.load(m_clock.now());
        });
        (void)co_await responder.respond(jsonResponse(200, encodeLoad(report)));
    }

    asio::awaitable<void> order(const HttpRequest &request, HttpResponder &responder)
    {
        const auto asked = decodeEngineOrder(request.body, request.peer);
        if (!asked) {
            (void)co_await responder.respond(jsonResponse(400, "{}"));
            co_return;
        }
        const EngineReply reply = locked([&] {
            return m_model.order(*asked, m_clock.now());
        });
        (void)co_await responder.respond(jsonResponse(reply == EngineReply::Taken ? 202 : 409, "{}"));
    }

    asio::awaitable<void> orders(HttpResponder &responder)
    {
        json::array list;
        locked([&] {
            for (const EngineOrder &order : m_model.takenOrders()) {
                list.emplace_back(encodeEngineOrder(order));
            }
        });
        (void)co_await responder.respond(jsonResponse(200, json::serialize(list)));
    }

    template<typename Work>
    std::invoke_result_t<Work> locked(Work work)
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
    app.add_option("--model", settings.state.model.model, "model loaded at the start")->capture_default_str();
    app.add_option("--adapter", settings.state.model.adapter, "adapter loaded at the start")->capture_default_str();
    app.add_option("--model-version", settings.state.model.version, "version loaded at the start")->capture_default_str();
    app.add_option("--slots", settings.slots, "requests in the batch")->capture_default_str();
    app.add_option("--prefill-rate", settings.prefillRate, "prompt tokens a second")->capture_default_str();
    app.add_option("--decode-rate", settings.decodeRate, "output tokens a second of each request")->capture_default_str();
    app.add_option("--kv-pieces", settings.kvPieces, "pieces of KV cache")->capture_default_str();
    app.add_option("--crash-on", settings.crashMarker, "text in a prompt that crashes the engine")->capture_default_str();
    app.add_flag("!--ignores-fencing", settings.checksFencing, "take orders with old fencing tokens too");
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
    CLI::App app("A stand-in for a model engine.");
    addOptions(app, settings, listen);
    app.add_option("--change-ms", changeMs, "time that a change takes, in milliseconds")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    settings.changeTime = std::chrono::milliseconds(changeMs);
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const Incarnation incarnation(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
    SystemClock clock;
    EngineModel model(settings, incarnation);
    EngineApi api(model, incarnation, clock);
    Workers workers(1);
    return serveUntilSignal(workers, {listen}, [&api](const HttpRequest &request, HttpResponder &responder) {
        return api.handle(request, responder);
    });
}
