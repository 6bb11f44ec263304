#include "apricotarch/app/fleet_synchronizer.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "apricotarch/app/engine_speeds.h"
#include "apricotarch/app/request_rate_limits.h"
#include "apricotarch/base/background_task.h"
#include "apricotarch/base/log.h"
#include "apricotarch/protocol/front_codec.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// The heartbeat interval grows with the number of peers, up to a third of the time after which a silent node is no longer
/// listed.
constexpr Duration HeartbeatIntervalPerPeer = 6ms;
constexpr Duration ShortestHeartbeatInterval = 100ms;
constexpr Duration LongestHeartbeatInterval = 450ms;

/// Heartbeat interval with partial views.
constexpr Duration PartialViewHeartbeatInterval = 500ms;

/// With partial views: changes that occur within this time after the first one are sent in one heartbeat.
constexpr Duration UrgentHeartbeatDelay = 20ms;

/// A change of a server's load is sent at once, ahead of the next heartbeat, if it is at least this many tokens per peer. With 6
/// peers this covers all but small prompts, with 68 peers prompts of 5,440 tokens and more; a node sends about 100 of these
/// datagrams per second in fleets of either size.
constexpr std::int64_t MinLoadUpdateTokensPerPeer = 80;

/// Streams are not resumed later than this after their first event.
constexpr Duration LongestStreamLifetime = 120s;

/// Heartbeats between two removals of expired entries.
constexpr std::size_t HeartbeatsPerCleanup = 3;

} // namespace

FleetSynchronizer::FleetSynchronizer(
    FrontState &state, TableReader &tables, TableStore &rows, AuthenticatedLink &link, RowDecoders decoders, Incarnation incarnation)
    : m_state(state)
    , m_tables(tables)
    , m_link(link)
    , m_fleetTables(state, std::move(decoders))
    , m_registration(state, tables, rows)
    , m_snapshots(state, m_fleetTables, m_registration, link)
    , m_serverCheck(state, tables, m_fleetTables)
    , m_streamExchange(state, m_fleetTables, link)
    , m_streamOrigins(state, tables, rows, m_streamExchange)
    , m_incarnation(incarnation)
    , m_groupLoads(state, link, incarnation, m_sequence)
{
}

Result<void> FleetSynchronizer::start(asio::io_context &loop)
{
    const auto onDatagram = [this](const std::string &bytes, const std::string &peer) {
        handleDatagram(bytes, peer);
    };
    const auto onRequest = [this](const std::string &bytes, const std::string &peer) {
        return m_snapshots.reply(bytes, peer);
    };
    m_snapshots.onRowsAdopted = [this] {
        // Reading the store continues after the rows that peers have sent.
        m_serversReadVersion = std::max(m_serversReadVersion, m_fleetTables.serversVersion());
    };
    Result<void> listening = m_link.listen(m_state.settings.peerAddress, onDatagram, onRequest);
    if (!listening) {
        return listening;
    }
    for (const std::string &seed : m_state.settings.seeds) {
        if (const Result<Endpoint> address = parseEndpoint(seed); address && address->host != m_state.settings.peerAddress.host) {
            m_state.peers.addAddress({{address->host, m_state.settings.peerAddress.port}, ZoneId()}, m_state.clock.now());
        }
    }
    m_state.onLoadChanged = [this](const Backend &backend, std::int64_t tokens, const std::vector<PromptPart> &prompt) {
        sendLoadUpdate(backend, tokens, prompt);
    };
    m_state.onUrgentChange = [this] {
        requestUrgentHeartbeat();
    };
    m_state.refreshGroupLoad = [this](EngineGroupQuery query) {
        return m_groupLoads.refresh(std::move(query));
    };
    startLoop(loop, "follow_plan", [this] {
        return followTable(Table::Plan);
    });
    startLoop(loop, "follow_servers", [this] {
        return followTable(Table::Servers);
    });
    startLoop(loop, "check_store", [this] {
        return checkStoreReachability();
    });
    startLoop(loop, "register_node", [this] {
        return m_registration.run();
    });
    m_state.refreshStreamOrigins = [this] {
        return m_streamOrigins.refresh();
    };
    m_state.askForStreamOrigin = [this](StreamKey stream) {
        return m_streamExchange.ask(stream);
    };
    m_state.confirmServers = [this](TimePoint since) {
        return m_serverCheck.confirm(since);
    };
    startLoop(loop, "record_stream_origins", [this] {
        return m_streamOrigins.run();
    });
    startLoop(loop, "send_heartbeats", [this] {
        return heartbeatLoop();
    });
    return {};
}

void FleetSynchronizer::startLoop(asio::io_context &loop, const char *name, std::function<asio::awaitable<void>()> run)
{
    asio::co_spawn(loop, runLoop(m_state.clock, name, std::move(run)), LogFailure(name));
}

// ---- other nodes ----

asio::awaitable<void> FleetSynchronizer::heartbeatLoop()
{
    std::size_t heartbeats = 0;
    while (true) {
        const Duration pause = heartbeatInterval(m_state.peers.countBudgetNodes(m_state.clock.now()) - 1);
        const TimePoint due = m_state.clock.now() + pause;
        co_await m_state.clock.sleep(pause);
        const auto lag = std::chrono::duration_cast<std::chrono::microseconds>(m_state.clock.now() - due);
        m_loopLag = (m_loopLag * 7 + lag) / 8;
        sendHeartbeat();
        logChangesOfView();
        updateRemoteLoad();
        updateSpeedFactors(m_state);
        updateRateShares(m_state);
        if (m_state.serversLoaded) {
            m_state.serviceVersions.update(m_state.backends, m_state.clock.now());
        }
        if (m_state.asksStewards() && m_state.clock.now() - m_loadsRepeatedAt >= ReportedLoads::RepeatInterval) {
            m_loadsRepeatedAt = m_state.clock.now();
            m_groupLoads.repeatReports();
        }
        if (++heartbeats % HeartbeatsPerCleanup == 0) {
            removeExpired();
        }
    }
}

void FleetSynchronizer::logChangesOfView()
{
    const TimePoint now = m_state.clock.now();
    const bool partial = m_state.peers.usesPartialView();
    if (partial != std::exchange(m_usedPartialView, partial)) {
        LogEvent("peers.view").field("view", partial ? "partial" : "full").field("nodes", m_state.peers.countBudgetNodes(now));
    }
    const CoordinatorSighting coordinator = m_state.peers.coordinator(!m_state.isShuttingDown(), now);
    if (partial && coordinator.node != m_coordinator) {
        LogEvent("peers.coordinator")
            .field("node", coordinator.node)
            .field("before", m_coordinator)
            .field("age_ms", coordinator.age.count());
        m_coordinator = coordinator.node;
    }
}

Duration FleetSynchronizer::heartbeatInterval(std::size_t peerCount) const
{
    if (m_state.peers.usesPartialView()) {
        return PartialViewHeartbeatInterval;
    }
    return std::clamp<Duration>(
        HeartbeatIntervalPerPeer * static_cast<int>(peerCount), ShortestHeartbeatInterval, LongestHeartbeatInterval);
}

FrontHeartbeat FleetSynchronizer::makeHeartbeat()
{
    const FrontSettings &settings = m_state.settings;
    const TimePoint now = m_state.clock.now();
    FrontHeartbeat heartbeat;
    heartbeat.node = settings.node;
    heartbeat.incarnation = m_incarnation;
    heartbeat.sequence = m_sequence.next();
    heartbeat.zone = settings.zone;
    heartbeat.callerAddress = settings.callerAddress;
    heartbeat.peerAddress = settings.peerAddress;
    heartbeat.ready = m_state.isReady();
    heartbeat.shuttingDown = m_state.isShuttingDown();
    heartbeat.planVersion = m_fleetTables.planVersion();
    heartbeat.serversVersion = m_fleetTables.serversVersion();
    if (const std::optional<TimePoint> time = m_state.backends.currency().currentAsOf()) {
        heartbeat.serversAge = std::chrono::ceil<std::chrono::milliseconds>(now - *time);
    }
    heartbeat.timerLag = m_loopLag;
    heartbeat.readsStore =
        m_storeReachable && !m_storeCallFailed[0] && !m_storeCallFailed[1] && m_state.serversLoaded && m_state.peers.shouldReadStore(now);
    addLoads(heartbeat);
    for (auto &[service, meter] : m_state.prefillRates) {
        heartbeat.prefillRates[service] = meter.perMillisecond(now);
    }
    for (auto &[service, meter] : m_state.eventRates) {
        heartbeat.eventRates[service] = meter.perMillisecond(now);
    }
    addStageChanges(heartbeat);
    heartbeat.announcedPeers = m_state.peers.nextAnnouncedPeers(now);
    heartbeat.knownNodes = m_state.peers.countBudgetNodes(now);
    const CoordinatorSighting coordinator = m_state.peers.coordinator(!m_state.isShuttingDown(), now);
    heartbeat.coordinator = coordinator.node;
    heartbeat.coordinatorAge = coordinator.age;
    heartbeat.sightings = m_state.peers.sightings(now, m_state.random);
    heartbeat.crashRecords = m_state.crashTracker.nextReports(now);
    heartbeat.partEvidence = m_state.partQuarantine.nextReports(now);
    heartbeat.requestRates = reportRequestRates(m_state.backends, now);
    if (m_usage != nullptr) {
        m_usage->addTo(heartbeat);
    }
    return heartbeat;
}

void FleetSynchronizer::addLoads(FrontHeartbeat &heartbeat)
{
    const bool partial = m_state.peers.usesPartialView();
    for (const auto &[id, backend] : m_state.backends.all()) {
        const bool reportedToStewards = partial && backend->record.stage != EngineStage::Any;
        if (backend->localLoad.requests > 0 && !reportedToStewards) {
            heartbeat.loads.push_back({id, backend->localLoad});
        }
    }
    std::vector<SentPrompt> sentPrompts = std::exchange(m_state.sentPrompts, {});
    if (!partial) {
        heartbeat.sentPrompts = std::move(sentPrompts);
        heartbeat.speedSamples = m_state.serverSpeeds.takeSamples();
    }
}

void FleetSynchronizer::addStageChanges(FrontHeartbeat &heartbeat)
{
    const TimePoint now = m_state.clock.now();
    for (std::map<ReplicaId, TimePoint> *changes : {&m_state.changingEngines, &m_reportedStageChanges}) {
        std::erase_if(*changes, [now](const auto &entry) {
            return entry.second <= now;
        });
        for (const auto &[engine, until] : *changes) {
            heartbeat.changingEngines.push_back({engine, std::chrono::duration_cast<std::chrono::milliseconds>(until - now)});
        }
    }
}

void FleetSynchronizer::sendHeartbeat()
{
    sendToPeers(makeHeartbeat());
}

void FleetSynchronizer::sendToPeers(const FrontDatagram &datagram)
{
    const std::string datagramBytes = m_link.authenticate(encodeFrontDatagram(datagram));
    for (const Endpoint &peer : m_state.peers.heartbeatAddresses(m_state.clock.now(), m_state.random)) {
        m_link.sendDatagram(peer, datagramBytes);
    }
}

void FleetSynchronizer::requestUrgentHeartbeat()
{
    if (m_urgentHeartbeatPending || !m_state.peers.usesPartialView()) {
        return;
    }
    m_urgentHeartbeatPending = true;
    asio::co_spawn(m_state.executor, sendUrgentHeartbeat(), LogFailure("send_urgent_heartbeat"));
}

asio::awaitable<void> FleetSynchronizer::sendUrgentHeartbeat()
{
    co_await m_state.clock.sleep(UrgentHeartbeatDelay);
    m_urgentHeartbeatPending = false;
    sendHeartbeat();
}

void FleetSynchronizer::sendLoadUpdate(const Backend &backend, std::int64_t tokens, const std::vector<PromptPart> &prompt)
{
    if (m_state.asksStewards() && backend.record.stage != EngineStage::Any) {
        m_groupLoads.report(backend, prompt);
        return;
    }
    if (m_state.peers.usesPartialView()) {
        return;
    }
    const std::size_t peers = m_state.peers.countBudgetNodes(m_state.clock.now()) - 1;
    if (peers == 0 || tokens < MinLoadUpdateTokensPerPeer * static_cast<std::int64_t>(peers)) {
        return;
    }
    sendToPeers(LoadUpdate{m_incarnation, m_sequence.next(), m_state.settings.peerAddress, {backend.record.id, backend.localLoad}, {}});
}

void FleetSynchronizer::announceShutdown()
{
    sendHeartbeat();
}

void FleetSynchronizer::updateRemoteLoad()
{
    const TimePoint now = m_state.clock.now();
    const std::map<ReplicaId, BackendLoad> loads = m_state.peers.remoteLoad(now);
    for (const auto &[id, backend] : m_state.backends.all()) {
        if (m_state.peers.usesPartialView() && backend->record.stage != EngineStage::Any) {
            continue; // Updated for each prompt, see EngineGroupLoads.
        }
        const auto found = loads.find(id);
        backend->remoteLoad = found == loads.end() ? BackendLoad() : found->second;
    }
}

void FleetSynchronizer::removeExpired()
{
    const TimePoint now = m_state.clock.now();
    m_fleetTables.settleAfterRestore();
    m_state.backends.eraseRemoved(now);
    for (const ReplicaId &server : m_state.backends.dropRefutedShutdowns()) {
        m_state.metrics.increment(CounterFamily::Servers, "shutdown_refuted");
        LogEvent("server.shutdown_refuted").field("server", server);
    }
    m_state.peers.removeSilent(now);
    m_state.partQuarantine.removeExpired(now);
    m_state.streamVersions.removeBefore(now - LongestStreamLifetime);
    m_state.backendPool.closeExpired(now, [this](const ReplicaId &id) {
        const BackendPointer backend = m_state.backends.find(id);
        return backend && backend->record.state == BackendState::Ready;
    });
}

} // namespace apricotarch
