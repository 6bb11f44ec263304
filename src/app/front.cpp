#include "apricotarch/app/front.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>

#include "apricotarch/app/caller_drain.h"
#include "apricotarch/app/caller_session.h"
#include "apricotarch/app/cli.h"
#include "apricotarch/app/duty_runner.h"
#include "apricotarch/app/fleet_synchronizer.h"
#include "apricotarch/app/front_state.h"
#include "apricotarch/app/stage_controller.h"
#include "apricotarch/base/background_task.h"
#include "apricotarch/base/log.h"
#include "apricotarch/coordination/directory.h"
#include "apricotarch/transport/authenticated_link.h"
#include "apricotarch/transport/http_server.h"

#include "platform/duty_client.h"
#include "platform/entry_api.h"
#include "platform/names.h"
#include "platform/protocol_adapter.h"
#include "platform/records.h"
#include "platform/store_client.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;
using asio::ip::tcp;

/// A call to the store that takes longer than this counts as failed.
constexpr Duration StoreTimeout = 1500ms;

/// Limits of the servers whose requests have no bodies.
constexpr HttpServerLimits BodilessRequests{.headerBytes = 8192, .bodyBytes = 1024};

/// Poll interval of the settings file, which may change without a signal.
constexpr Duration SettingsPollInterval = 2s;

/// Longest time that log lines are buffered.
constexpr Duration LogFlushInterval = 200ms;

/// Pause after a failed accept, for example when the process has no free file descriptors.
constexpr Duration AcceptRetryPause = 50ms;

std::optional<std::string> readText(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

std::string settingsPath(const std::string &argument)
{
    if (!argument.empty()) {
        return argument;
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
        std::cerr << formatErrors(file, settings.error());
        return std::nullopt;
    }
    return std::move(*settings);
}

std::int64_t wallClockMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

RowDecoders platformDecoders()
{
    return {platform::table::Operator,
        platform::table::ConfigurationKey,
        platform::table::Servers,
        platform::decodeRoutingPlan,
        platform::decodeBackendRecord};
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

/// All components of a front node.
class FrontNode
{
public:
    FrontNode(std::string file, FrontSettings settings)
        : m_settingsFile(std::move(file))
        , m_settingsText(readText(m_settingsFile).value_or(""))
        , m_eventLoops(1)
        , m_state(m_eventLoops.coordinationLoop().get_executor(),
              std::move(settings),
              m_clock,
              m_protocolAdapter,
              static_cast<std::uint64_t>(wallClockMicroseconds()))
        , m_store(m_state.settings.storeAddress, StoreTimeout, &m_state.buffers)
        , m_authenticator(m_state.settings.peerKey)
        , m_link(m_eventLoops, m_authenticator, m_state.metrics, &m_state.buffers)
        , m_incarnation(wallClockMicroseconds())
        , m_fleetSynchronizer(m_state, m_store, m_store, m_link, platformDecoders(), m_incarnation)
        , m_duties(m_state, m_store, m_link, m_incarnation, makeDutyClient())
        , m_stageController(m_state, m_duties.lease(), {platform::encodeStageOrder, platform::encodeReportRequest, platform::decodeReport})
        , m_readinessServer(m_eventLoops, BodilessRequests, platform::readinessHandler([this] {
            return m_state.isReady();
        }))
        , m_directoryServer(m_eventLoops, BodilessRequests, platform::directoryHandler([this](const ZoneId &zone) {
            return selectAddresses(zone);
        }))
        , m_metricsServer(m_eventLoops, BodilessRequests, metricsHandler(m_state.metrics))
        , m_acceptor(m_eventLoops.coordinationLoop())
        , m_signals(m_eventLoops.coordinationLoop(), SIGTERM, SIGINT, SIGHUP)
    {
    }

    /// Starts to serve. @return ListenFailed if an address cannot be bound
    Result<void> start()
    {
        for (const auto &[server, address] : {std::pair(&m_readinessServer, &m_state.settings.readyAddress),
                 std::pair(&m_directoryServer, &m_state.settings.directoryAddress),
                 std::pair(&m_metricsServer, &m_state.settings.metricsAddress)}) {
            if (Result<void> listening = server->listen(*address); !listening) {
                return listening;
            }
        }
        if (Result<void> listening = listenForCallers(); !listening) {
            return listening;
        }
        m_duties.start(m_eventLoops.coordinationLoop(), m_fleetSynchronizer);
        if (Result<void> started = m_fleetSynchronizer.start(m_eventLoops.coordinationLoop()); !started) {
            return started;
        }
        m_state.readEngineReport = [this](BackendPointer engine) {
            return m_stageController.readReport(std::move(engine));
        };
        asio::co_spawn(m_eventLoops.coordinationLoop(), acceptCallers(), LogFailure("accept_callers"));
        asio::co_spawn(m_eventLoops.coordinationLoop(), watchSettings(), LogFailure("watch_settings"));
        const auto controlStages = [this] {
            return m_stageController.run();
        };
        asio::co_spawn(m_eventLoops.coordinationLoop(), runLoop(m_clock, "control_stages", controlStages), LogFailure("control_stages"));
        asio::co_spawn(m_eventLoops.coordinationLoop(), flushLogsPeriodically(), LogFailure("flush_logs"));
        awaitSignal();
        LogEvent("node.started")
            .field("node", m_state.settings.node)
            .field("zone", m_state.settings.zone)
            .field("callers", m_state.settings.callerAddress.text())
            .field("store", m_state.settings.storeAddress.text());
        return {};
    }

    /// Runs the event loop until the shutdown has finished.
    void run()
    {
        m_eventLoops.coordinationLoop().run();
    }

private:
    /// Returns the client for duties, or null if the installation has none but engine stages.
    std::unique_ptr<DutyServices> makeDutyClient()
    {
        if (!m_state.settings.dutyAddress) {
            return nullptr;
        }
        return std::make_unique<platform::DutyClient>(*m_state.settings.dutyAddress, m_bootClock, m_state.metrics);
    }

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
                co_await m_clock.sleep(AcceptRetryPause);
                continue;
            }
            asio::co_spawn(m_eventLoops.coordinationLoop(), serveCaller(m_state, std::move(socket)), LogFailure("serve_caller"));
        }
    }

    platform::DirectoryAnswer selectAddresses(const ZoneId &zone)
    {
        std::vector<NodeAddress> nodes = m_state.peers.callerAddresses(m_clock.now());
        if (m_state.isReady() || (nodes.empty() && !m_state.isShuttingDown())) {
            nodes.push_back({m_state.settings.callerAddress, m_state.settings.zone});
        }
        return {chooseAddresses(nodes, zone, m_state.settings.node), m_state.settings.directoryTtl};
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &code, int signal) {
            if (code) {
                return;
            }
            if (signal == SIGHUP) {
                reloadSettings();
            } else if (!m_state.isShuttingDown()) {
                asio::co_spawn(m_eventLoops.coordinationLoop(), shutDown(), LogFailure("shut_down"));
            }
            awaitSignal();
        });
    }

    /// Reloads the settings that can change at run time.
    void reloadSettings()
    {
        std::optional<std::string> text = readText(m_settingsFile);
        if (!text || *text == m_settingsText) {
            LogEvent("settings.unchanged").field("file", m_settingsFile).field("readable", text ? "yes" : "no");
            return;
        }
        auto settings = parseFrontSettings(*text);
        if (!settings) {
            LogEvent("settings.faulty", LogEvent::Level::Error)
                .field("file", m_settingsFile)
                .field("faults", formatErrors(m_settingsFile, settings.error()));
            return;
        }
        m_settingsText = std::move(*text);
        m_state.settings.directoryTtl = settings->directoryTtl;
        m_state.settings.gracePeriod = settings->gracePeriod;
        m_state.settings.memoryLimitMegabytes = settings->memoryLimitMegabytes;
        m_state.buffers.setLimit(m_state.settings.bufferLimitBytes());
        LogEvent("settings.reloaded").field("file", m_settingsFile);
    }

    asio::awaitable<void> watchSettings()
    {
        while (true) {
            co_await m_clock.sleep(SettingsPollInterval);
            if (const auto text = readText(m_settingsFile); text && *text != m_settingsText) {
                reloadSettings();
            }
        }
    }

    asio::awaitable<void> flushLogsPeriodically()
    {
        while (true) {
            co_await m_clock.sleep(LogFlushInterval);
            flushLogs();
        }
    }

    asio::awaitable<void> shutDown()
    {
        m_state.shutdown.emplace(m_clock.now(), m_state.settings.gracePeriod);
        LogEvent("node.stopping")
            .field("requests", m_state.activeRequests)
            .field("connections", m_state.callers.size())
            .field("grace_ms", toMilliseconds(m_state.settings.gracePeriod));
        m_fleetSynchronizer.announceShutdown();
        // Runs beside the drain and ends with it at the latest; the lease expires if it could not be released by then.
        m_duties.release(m_eventLoops.coordinationLoop());
        const auto stopAccepting = [this] {
            boost::system::error_code ignored; // The process exits in any case.
            m_acceptor.close(ignored);
        };
        co_await drainCallers(m_state, stopAccepting);
        m_duties.sendLastCounts();
        flushLogs();
        m_eventLoops.coordinationLoop().stop();
    }

    std::string m_settingsFile;
    std::string m_settingsText;
    SystemClock m_clock;
    BootClock m_bootClock;
    platform::ProtocolAdapter m_protocolAdapter;
    EventLoopPool m_eventLoops;
    FrontState m_state;
    platform::StoreClient m_store;
    MessageAuthenticator m_authenticator;
    AuthenticatedLink m_link;
    Incarnation m_incarnation;
    FleetSynchronizer m_fleetSynchronizer;
    DutyRunner m_duties;
    StageController m_stageController;
    HttpServer m_readinessServer;
    HttpServer m_directoryServer;
    HttpServer m_metricsServer;
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
    enableBufferedLogging(settings->logLinesPerSecond);
    FrontNode node(file, std::move(*settings));
    if (const Result<void> started = node.start(); !started) {
        std::cerr << formatError(started.error()) << '\n';
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
