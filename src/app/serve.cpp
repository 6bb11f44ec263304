#include "apricotarch/app/serve.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "apricotarch/app/cli.h"
#include "apricotarch/app/http_api.h"
#include "apricotarch/app/shutdown_wait.h"
#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

/// Longest wait for answers that are being sent and for operators' requests, after the running requests have ended.
constexpr std::chrono::seconds FinishTimeout{3};

std::optional<Settings> loadSettings(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        std::cerr << file << ": cannot be opened; give the path of a settings file with --settings\n";
        return std::nullopt;
    }
    const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    auto settings = parseSettings(text);
    if (!settings) {
        std::cerr << formatErrors(file, settings.error());
        return std::nullopt;
    }
    return std::move(*settings);
}

/// Returns the wall-clock time in microseconds as incarnation. It grows with each start, since the VM's clock advances between starts.
Incarnation makeIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

HttpServerLimits serverLimits(const Settings &settings)
{
    HttpServerLimits limits;
    limits.bodyBytes = settings.maxBodyBytes;
    limits.connections = settings.maxConnections;
    return limits;
}

void shutDown(asio::io_context &loop, Node &node, HttpServer &server)
{
    bool finished = false;
    const auto work = [&]() -> asio::awaitable<void> {
        server.announceClose();
        co_await node.shutDown();
        const std::size_t left = co_await server.finish(node.clock(), FinishTimeout);
        LogEvent("http.finished", left > 0 ? LogEvent::Level::Warning : LogEvent::Level::Info).field("cut_connections", left);
        finished = true;
    };
    asio::co_spawn(node.eventLoops().coordinationLoop(), work(), [&loop](const std::exception_ptr &) {
        loop.stop();
    });
    const auto guard = asio::make_work_guard(loop);
    loop.run();
    if (!finished) {
        LogEvent("node.shutdown_failed", LogEvent::Level::Error);
    }
}

} // namespace

int serve(const std::string &settingsFile)
{
    const std::optional<Settings> settings = loadSettings(settingsFile);
    if (!settings) {
        return InvalidInput;
    }
    asio::io_context loop;
    Node node(*settings, makeIncarnation());
    ShutdownWait wait(loop, node.clock(), [&node] {
        return node.shutdownRequested();
    });
    HttpApi api(node);
    HttpServer server(node.eventLoops(), serverLimits(*settings), [&api](const HttpRequest &request, HttpResponder &responder) {
        return api.handle(request, responder);
    });
    const Result<void> listening = server.listen(settings->callerAddress);
    const Result<void> started = listening ? node.start() : listening;
    if (!started) {
        std::cerr << formatError(started.error()) << '\n';
        return Failed;
    }
    wait.run();
    shutDown(loop, node, server);
    node.stop();
    return Success;
}

int checkSettings(const std::string &settingsFile)
{
    if (!loadSettings(settingsFile)) {
        return InvalidInput;
    }
    std::cout << settingsFile << ": no faults\n";
    return Success;
}

} // namespace apricotarch
