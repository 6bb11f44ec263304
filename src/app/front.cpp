#include "apricotarch/app/front.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>

#include "apricotarch/app/caller_session.h"
#include "apricotarch/app/cli.h"
#include "apricotarch/app/fleet_keeper.h"
#include "apricotarch/app/front_state.h"
#include "apricotarch/app/stage_keeper.h"
#include "apricotarch/base/log.h"
#include "apricotarch/coordination/directory.h"
#include "apricotarch/transport/http_server.h"
#include "apricotarch/transport/sealed_link.h"

#include "platform/dialect.h"
#include "platform/entry_api.h"
#include "platform/names.h"
#include "platform/records.h"
#include "platform/store_client.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;
using asio::ip::tcp;

/// A call of the store that takes longer than this is taken to be lost.
constexpr Duration StoreTimeout = 1500ms;

/// Between two looks at the settings file, which may change without a signal.
constexpr Duration SettingsPause = 2s;

/// A stopping node goes on serving for this long at least, so that callers learn of other addresses first.
constexpr Duration LeastService = 3500ms;

/// The process ends this much before it would be killed.
constexpr Duration EndAhead = 400ms;

/// Lines of a log wait at most this long.
constexpr Duration LogPause = 200ms;

constexpr Duration StopPoll = 50ms;

/// Pause after an accept that failed, for example for want of descriptors.
constexpr Duration AcceptPause = 50ms;

std::optional<std::string> readText(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

std::string settingsPath(const std::string &given)
{
    if (!given.empty()) {
        return given;
    }
    const char *path = std::getenv(platform::SettingsVariable);
    return path == nullptr ? "front.yaml" : path;
}

std::optional<FrontSettings> loadFrontSettings(const std::string &file)
{
    const std::optional<std::string> text = readText(file);
    if (!text) {
        std::cerr << file << ": cannot be opened; give the path of a settings file with --settings\n";
        return std::nullopt;
    }
    auto settings = parseFrontSettings(*text);
    if (!settings) {
        std::cerr << describe(file, settings.error());
        return std::nullopt;
    }
    return std::move(*settings);
}

std::int64_t wallMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

RowFormats platformFormats()
{
    return {platform::table::Operator,
        platform::table::ConfigurationKey,
        platform::table::Servers,
        platform::decodePlan,
        platform::decodeBackend};
}

HttpHandler metricsHandler(const Metrics &metrics)
{
    return [&metrics](const HttpRequest &, HttpResponder &responder) -> asio::awaitable<void> {
        HttpResponse response;
        response.headers.add("Content-Type", "text/plain; version=0.0.4");
        response.body = metrics.exposition();
        (void)co_await responder.respond(std::move(response));
    };
}

/// All parts of a front node.
class FrontNode
{
public:
    FrontNode(std::string file, FrontSettings settings)
        : m_file(std::move(file))
        , m_fileText(readText(m_file).value_or(""))
        , m_workers(1)
        , m_state(m_workers.first().get_executor(), std::move(settings), m_clock, m_dialect, static_cast<std::uint64_t>(wallMicroseconds()))
        , m_store(m_state.settings.storeAddress, StoreTimeout)
        , m_seal(m_state.settings.peerKey)
        , m_link(m_workers, m_seal, m_state.metrics)
        , m_incarnation(wallMicroseconds())
        , m_keeper(m_state, m_store, m_store, m_link, platformFormats(), m_incarnation)
        , m_stages(m_state,
              m_store,
              {platform::encodeStageOrder, platform::encodeReportRequest, platform::decodeReport},
              ProcessId{m_state.settings.node, m_incarnation})
        , m_ready(m_workers, HttpServerLimits(), platform::readinessHandler([this] {
            return m_state.ready();
        }))
        , m_directory(m_workers, HttpServerLimits(), platform::directoryHandler([this](const ZoneId &zone) {
            return resolve(zone);
        }))
        , m_metrics(m_workers, HttpServerLimits(), metricsHandler(m_state.metrics))
        , m_acceptor(m_workers.first())
        , m_signals(m_workers.first(), SIGTERM, SIGINT, SIGHUP)
    {
    }

    /// Starts to serve. @return ListenFailed
    Result<void> start()
    {
        for (const auto &[server, address] : {std::pair(&m_ready, &m_state.settings.readyAddress),
                 std::pair(&m_directory, &m_state.settings.directoryAddress),
                 std::pair(&m_metrics, &m_state.settings.metricsAddress)}) {
            if (Result<void> listening = server->listen(*address); !listening) {
                return listening;
            }
        }
        if (Result<void> listening = listenForCallers(); !listening) {
            return listening;
        }
        if (Result<void> started = m_keeper.start(m_workers.first()); !started) {
            return started;
        }
        asio::co_spawn(m_workers.first(), acceptCallers(), asio::detached);
        asio::co_spawn(m_workers.first(), watchSettings(), asio::detached);
        asio::co_spawn(m_workers.first(), m_stages.run(), asio::detached);
        asio::co_spawn(m_workers.first(), writeLogs(), asio::detached);
        awaitSignal();
        LogEvent("node.started")
            .field("node", m_state.settings.node)
            .field("zone", m_state.settings.zone)
            .field("callers", m_state.settings.callerAddress.text())
            .field("store", m_state.settings.storeAddress.text());
        return {};
    }

    /// Serves until the shutdown is done.
    void run()
    {
        m_workers.first().run();
    }

private:
    Result<void> listenForCallers()
    {
        const Endpoint &endpoint = m_state.settings.callerAddress;
        boost::system::error_code code;
        const tcp::endpoint address(asio::ip::make_address(endpoint.host, code), endpoint.port);
        if (!code) {
            m_acceptor.open(address.protocol(), code);
        }
        if (!code) {
            m_acceptor.set_option(asio::socket_base::reuse_address(true), code);
        }
        if (!code) {
            m_acceptor.bind(address, code);
        }
        if (!code) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, code);
        }
        if (code) {
            return fail(ErrorId::ListenFailed, "front.listen", endpoint.text(), code.message() + "; check caller_address in the settings");
        }
        return {};
    }

    asio::awaitable<void> acceptCallers()
    {
        while (true) {
            boost::system::error_code code;
            tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, code));
            if (code == asio::error::operation_aborted || code == asio::error::bad_descriptor) {
                co_return;
            }
            if (code) {
                LogEvent("front.accept_failed", LogEvent::Level::Warning).field("detail", code.message());
                co_await m_clock.sleep(AcceptPause);
                continue;
            }
            asio::co_spawn(m_workers.first(), serveCaller(m_state, std::move(socket)), asio::detached);
        }
    }

    platform::DirectoryAnswer resolve(const ZoneId &zone)
    {
        std::vector<CallerAddress> nodes = m_state.peers.callerAddresses(m_clock.now());
        if (m_state.ready() || (nodes.empty() && !m_state.leaving)) {
            nodes.push_back({m_state.settings.callerAddress, m_state.settings.zone});
        }
        return {chooseAddresses(nodes, zone), m_state.settings.directoryTtl};
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &code, int signal) {
            if (code) {
                return;
            }
            if (signal == SIGHUP) {
                reload();
            } else if (!m_state.leaving) {
                asio::co_spawn(m_workers.first(), shutDown(), asio::detached);
            }
            awaitSignal();
        });
    }

    /// Takes over what can change while the node runs.
    void reload()
    {
        std::optional<std::string> text = readText(m_file);
        if (!text || *text == m_fileText) {
            LogEvent("settings.unchanged").field("file", m_file).field("readable", text ? "yes" : "no");
            return;
        }
        auto settings = parseFrontSettings(*text);
        if (!settings) {
            LogEvent("settings.faulty", LogEvent::Level::Error).field("file", m_file).field("faults", describe(m_file, settings.error()));
            return;
        }
        m_fileText = std::move(*text);
        m_state.settings.directoryTtl = settings->directoryTtl;
        m_state.settings.grace = settings->grace;
        m_state.settings.memoryMegabytes = settings->memoryMegabytes;
        LogEvent("settings.reloaded").field("file", m_file);
    }

    asio::awaitable<void> watchSettings()
    {
        while (true) {
            co_await m_clock.sleep(SettingsPause);
            if (const auto text = readText(m_file); text && *text != m_fileText) {
                reload();
            }
        }
    }

    asio::awaitable<void> writeLogs()
    {
        while (true) {
            co_await m_clock.sleep(LogPause);
            flushLogs();
        }
    }

    asio::awaitable<void> shutDown()
    {
        const TimePoint begun = m_clock.now();
        m_state.leaving = true;
        LogEvent("node.stopping").field("requests", m_state.activeRequests);
        m_keeper.announceLeaving();
        const TimePoint end = begun + m_state.settings.grace - EndAhead;
        while (m_clock.now() < end) {
            const bool served = m_clock.now() - begun >= LeastService;
            if (served && m_state.activeRequests == 0) {
                break;
            }
            co_await m_clock.sleep(StopPoll);
        }
        boost::system::error_code ignored; // The process ends anyway.
        m_acceptor.close(ignored);
        LogEvent("node.stopped").field("requests", m_state.activeRequests).field("ms", toMilliseconds(m_clock.now() - begun));
        flushLogs();
        m_workers.first().stop();
    }

    std::string m_file;
    std::string m_fileText;
    SystemClock m_clock;
    platform::Dialect m_dialect;
    Workers m_workers;
    FrontState m_state;
    platform::StoreClient m_store;
    PeerSeal m_seal;
    SealedLink m_link;
    Incarnation m_incarnation;
    FleetKeeper m_keeper;
    StageKeeper m_stages;
    HttpServer m_ready;
    HttpServer m_directory;
    HttpServer m_metrics;
    tcp::acceptor m_acceptor;
    asio::signal_set m_signals;
};

} // namespace

int runFront(const std::string &settingsFile)
{
    const std::string file = settingsPath(settingsFile);
    std::optional<FrontSettings> settings = loadFrontSettings(file);
    if (!settings) {
        return InvalidInput;
    }
    std::signal(SIGPIPE, SIG_IGN);
    limitLogging(settings->logLinesPerSecond);
    FrontNode node(file, std::move(*settings));
    if (const Result<void> started = node.start(); !started) {
        std::cerr << describe(started.error()) << '\n';
        return Failed;
    }
    node.run();
    return Success;
}

int checkFrontSettings(const std::string &settingsFile)
{
    const std::string file = settingsPath(settingsFile);
    if (!loadFrontSettings(file)) {
        return InvalidInput;
    }
    std::cout << file << ": no faults\n";
    return Success;
}

} // namespace apricotarch
