#include "apricotarch/app/fleet_keeper.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "apricotarch/base/log.h"
#include "apricotarch/protocol/front_codec.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// How long the store may hold a waiting call. A shorter time finds silent connections sooner and costs more calls.
constexpr Duration FeedWait = 4s;

/// Pause after changes of the servers' table, so that several changes come with one call.
constexpr Duration ChangesPause = 250ms;

/// A node that has been behind its peers for this long reads from one of them; the store itself is as fast as that.
constexpr Duration BehindFor = 400ms;

/// An engine takes no work for this long after a peer has said that it changes its stage; the peer repeats it meanwhile.
constexpr Duration ChangingHeard = 1200ms;

/// Between two looks of a node that does not read the store whether it has to.
constexpr Duration FollowPause = 300ms;

/// First and longest pause after a failed call of the store.
constexpr Duration FirstRetry = 150ms;
constexpr Duration LongestRetry = 600ms;

/// Between two beats: the more peers there are, the fewer beats each gets, down to a third of the time after which a silent
/// node is no longer listed.
constexpr Duration PausePerPeer = 6ms;
constexpr Duration ShortestBeatPause = 100ms;
constexpr Duration LongestBeatPause = 450ms;

/// Between two looks at the nodes' table. New nodes send beats to all they know, so this only closes gaps.
constexpr Duration NodesPause = 60s;

/// A change of a server's work is told at once from this many tokens for each peer on: with 6 peers all but small
/// prompts, with 68 only those of 5,440 tokens and more, so that a node sends about 100 such datagrams a second in both fleets.
constexpr std::int64_t NoticeTokensPerPeer = 80;

constexpr std::size_t HousekeepingBeats = 3;

/// This system's own table, with one row for each node.
constexpr const char *NodesTable = "apricotarch-nodes";

} // namespace

FleetKeeper::FleetKeeper(
    FrontState &state, TableReader &tables, TableStore &rows, SealedLink &link, RowFormats formats, Incarnation incarnation)
    : m_state(state)
    , m_tables(tables)
    , m_rows(rows)
    , m_link(link)
    , m_formats(std::move(formats))
    , m_incarnation(incarnation)
{
}

Result<void> FleetKeeper::start(asio::io_context &loop)
{
    const auto onDatagram = [this](const std::string &bytes, const std::string &peer) {
        heard(bytes, peer);
    };
    const auto onRequest = [this](const std::string &bytes, const std::string &peer) -> std::optional<std::string> {
        const Result<FleetSnapshotRequest> request = decodeFleetSnapshotRequest(bytes, peer);
        if (!request) {
            return std::nullopt;
        }
        return encodeFleetSnapshot(snapshot(*request));
    };
    Result<void> listening = m_link.listen(m_state.settings.peerAddress, onDatagram, onRequest);
    if (!listening) {
        return listening;
    }
    for (const std::string &seed : m_state.settings.seeds) {
        if (const Result<Endpoint> address = parseEndpoint(seed); address && address->host != m_state.settings.peerAddress.host) {
            m_state.peers.introduce({address->host, m_state.settings.peerAddress.port}, m_state.clock.now());
        }
    }
    m_state.onLoadChanged = [this](const Backend &backend, std::int64_t tokens) {
        announceLoad(backend, tokens);
    };
    asio::co_spawn(loop, watch(Table::Plan), asio::detached);
    asio::co_spawn(loop, watch(Table::Servers), asio::detached);
    asio::co_spawn(loop, registerNode(), asio::detached);
    asio::co_spawn(loop, beatLoop(), asio::detached);
    return {};
}

// ---- the store ----

asio::awaitable<void> FleetKeeper::watch(Table table)
{
    RowVersion &version = table == Table::Plan ? m_readPlan : m_readServers;
    Duration pause = FirstRetry;
    while (true) {
        if (!m_state.peers.readsStore(m_state.settings.zone, m_state.clock.now())) {
            // The readers' beats tell of changes; the table is read from there on when this node reads again.
            version = table == Table::Plan ? std::max(version, m_planVersion) : std::max(version, m_serversVersion);
            m_lost.at(static_cast<std::size_t>(table)) = false;
            co_await m_state.clock.sleep(FollowPause);
            continue;
        }
        const bool whole = version.value() == 0;
        const Result<RowBatch> batch = co_await readTable(table, pause > FirstRetry);
        noteStore(table, batch);
        if (batch) {
            pause = FirstRetry;
            applyBatch(table, *batch, whole);
            version = std::max(version, batch->version);
            if (table == Table::Servers && !batch->rows.empty()) {
                co_await m_state.clock.sleep(ChangesPause);
            }
            continue;
        }
        if (batch.error().id == ErrorId::HistoryDropped && !whole) {
            version = RowVersion();
            continue;
        }
        const std::int64_t most = toMilliseconds(pause);
        co_await m_state.clock.sleep(
            std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(most / 2, most)(m_state.random)));
        pause = std::min(pause * 2, LongestRetry);
    }
}

asio::awaitable<Result<RowBatch>> FleetKeeper::readTable(Table table, bool recovering)
{
    const std::string &name = table == Table::Plan ? m_formats.planTable : m_formats.serversTable;
    const RowVersion version = table == Table::Plan ? m_readPlan : m_readServers;
    if (version.value() == 0) {
        co_return co_await m_tables.readTable(name);
    }
    // A call made while the store was silent may never be answered, so none waits until one has been.
    co_return co_await m_tables.readChanges(name, version, recovering ? Duration::zero() : FeedWait);
}

void FleetKeeper::noteStore(Table table, const Result<RowBatch> &result)
{
    const bool lost = !result && result.error().id != ErrorId::HistoryDropped;
    if (!result) {
        m_state.metrics.increment(CounterFamily::Configurations, std::string("store_") + errorName(result.error().id));
    }
    bool &lostBefore = m_lost.at(static_cast<std::size_t>(table));
    if (lost == lostBefore) {
        return;
    }
    lostBefore = lost;
    const char *name = table == Table::Plan ? "plan" : "servers";
    if (lost) {
        LogEvent("store.lost", LogEvent::Level::Warning).field("table", name).field("plan", m_state.plan->version()).error(result.error());
    } else {
        LogEvent("store.regained").field("table", name).field("plan", m_state.plan->version());
    }
}

void FleetKeeper::applyBatch(Table table, const RowBatch &batch, bool whole)
{
    if (table == Table::Servers) {
        applyServers(batch.rows, batch.version, whole);
        return;
    }
    for (const StoredRow &row : batch.rows) {
        if (row.key == m_formats.planKey && !row.removed) {
            applyPlan(row.text, row.version, "store");
        }
    }
}

void FleetKeeper::applyPlan(const std::string &text, RowVersion version, const char *source)
{
    if (version <= m_planVersion) {
        return;
    }
    Result<RoutingPlan> plan = m_formats.plan(text);
    if (!plan) {
        LogEvent("plan.unreadable", LogEvent::Level::Error).field("row_version", version).error(plan.error());
        return;
    }
    if (plan->version() < m_state.plan->version()) {
        LogEvent("plan.older", LogEvent::Level::Warning).field("plan", plan->version()).field("in_force", m_state.plan->version());
        return;
    }
    LogEvent("plan.adopted")
        .field("plan", plan->version())
        .field("before", m_state.plan->version())
        .field("row_version", version)
        .field("source", source)
        .field("routes", plan->routes().size());
    m_state.metrics.increment(CounterFamily::Configurations, "adopted");
    m_planVersion = version;
    m_planText = text;
    m_state.plan = std::make_shared<RoutingPlan>(std::move(*plan));
    for (const Route &route : m_state.plan->routes()) {
        for (const ServiceWeight &share : route.services) {
            const RoutedService *service = m_state.plan->service(share.service);
            if (service != nullptr && service->engine) {
                const double tokens = static_cast<double>(service->engine->kvTokens) * m_state.settings.engineSpeed.cacheShare;
                m_state.backends.resizeCaches(share.service, static_cast<std::int64_t>(tokens));
            }
        }
    }
}

void FleetKeeper::applyServers(const std::vector<StoredRow> &rows, RowVersion version, bool whole)
{
    const TimePoint now = m_state.clock.now();
    std::vector<BackendRecord> records;
    if (whole) {
        for (auto &[key, row] : m_serverRows) {
            if (!row.removed) {
                row = {key, "", version, true}; // Unless it is among the rows.
            }
        }
    }
    for (const StoredRow &row : rows) {
        if (row.removed) {
            LogEvent("server.removed").field("server", row.key).field("row_version", row.version);
            m_state.backends.remove(ReplicaId(row.key), now);
            m_serverRows[row.key] = row;
            continue;
        }
        Result<BackendRecord> record = m_formats.server(row.key, row.text);
        if (!record) {
            LogEvent("server.unreadable", LogEvent::Level::Warning).field("server", row.key).error(record.error());
            m_state.backends.remove(ReplicaId(row.key), now);
            continue;
        }
        m_serverRows[row.key] = row;
        if (whole) {
            records.push_back(std::move(*record));
        } else if (m_state.backends.put(*record, now)) {
            LogEvent("server.changed")
                .field("server", row.key)
                .field("service", record->service)
                .field("state", static_cast<int>(record->state))
                .field("stage", static_cast<int>(record->stage))
                .field("row_version", row.version);
        }
    }
    if (whole) {
        m_state.backends.replaceAll(records, now);
        LogEvent("servers.read").field("servers", records.size()).field("row_version", version);
    }
    m_state.serversKnown = true;
    // Versions of rows are compared among nodes; the store's own version grows without any change of this table.
    for (const auto &[key, row] : m_serverRows) {
        m_serversVersion = std::max(m_serversVersion, row.version);
    }
}

asio::awaitable<void> FleetKeeper::registerNode()
{
    Duration pause = FirstRetry;
    while (true) {
        const Result<Registration> done = co_await registerOnce();
        if (done) {
            pause = FirstRetry;
            if (*done == Registration::Found) {
                co_await m_state.clock.sleep(NodesPause);
            }
            continue; // A node that registered between this one's reading and its writing is seen by reading again.
        }
        LogEvent("node.not_registered", LogEvent::Level::Warning).error(done.error());
        co_await m_state.clock.sleep(pause);
        pause = std::min(pause * 2, LongestRetry);
    }
}

asio::awaitable<Result<FleetKeeper::Registration>> FleetKeeper::registerOnce()
{
    const Result<RowBatch> nodes = co_await m_tables.readTable(NodesTable);
    if (!nodes) {
        co_return Failure(nodes.error());
    }
    const TimePoint now = m_state.clock.now();
    const std::string self = m_state.settings.peerAddress.text();
    RowVersion ownVersion;
    bool registered = false;
    m_nodeTexts.clear();
    for (const StoredRow &row : nodes->rows) {
        m_nodeTexts[row.key] = row.text;
        if (row.key == m_state.settings.node.value()) {
            ownVersion = row.version;
            registered = row.text == self;
            continue;
        }
        if (const Result<Endpoint> address = parseEndpoint(row.text); address && *address != m_state.settings.peerAddress) {
            m_state.peers.introduce(*address, now);
        }
    }
    if (registered || m_state.leaving) {
        co_return Registration::Found;
    }
    RowWrite write{{NodesTable, m_state.settings.node.value()}, ownVersion, self, std::nullopt};
    const Result<RowVersion> written = co_await m_rows.write(std::move(write));
    if (!written) {
        co_return Failure(written.error());
    }
    co_return Registration::Written;
}

// ---- other nodes ----

asio::awaitable<void> FleetKeeper::beatLoop()
{
    std::size_t beats = 0;
    while (true) {
        const Duration pause = beatPause(m_state.peers.count(m_state.clock.now()) - 1);
        const TimePoint due = m_state.clock.now() + pause;
        co_await m_state.clock.sleep(pause);
        const auto late = std::chrono::duration_cast<std::chrono::microseconds>(m_state.clock.now() - due);
        m_lag = (m_lag * 7 + late) / 8;
        sendBeat();
        takeOthersLoad();
        if (++beats % HousekeepingBeats == 0) {
            housekeeping();
        }
    }
}

Duration FleetKeeper::beatPause(std::size_t peers) const
{
    return std::clamp<Duration>(PausePerPeer * static_cast<int>(peers), ShortestBeatPause, LongestBeatPause);
}

FrontBeat FleetKeeper::makeBeat()
{
    const FrontSettings &settings = m_state.settings;
    const TimePoint now = m_state.clock.now();
    FrontBeat beat;
    beat.node = settings.node;
    beat.incarnation = m_incarnation;
    beat.sequence = ++m_sequence;
    beat.zone = settings.zone;
    beat.callerAddress = settings.callerAddress;
    beat.peerAddress = settings.peerAddress;
    beat.ready = m_state.ready();
    beat.leaving = m_state.leaving;
    beat.planVersion = m_planVersion;
    beat.serversVersion = m_serversVersion;
    beat.lag = m_lag;
    beat.readsStore = !m_lost[0] && !m_lost[1] && m_state.serversKnown && m_state.peers.readsStore(settings.zone, now);
    for (const auto &[id, backend] : m_state.backends.all()) {
        if (backend->own.requests > 0) {
            beat.loads.push_back({id, backend->own});
        }
    }
    beat.uses = std::exchange(m_state.uses, {});
    for (auto &[service, meter] : m_state.readRates) {
        beat.readRates[service] = meter.perMillisecond(now);
    }
    for (auto &[service, meter] : m_state.eventRates) {
        beat.eventRates[service] = meter.perMillisecond(now);
    }
    std::erase_if(m_state.changing, [now](const auto &entry) {
        return entry.second <= now;
    });
    for (const auto &[engine, until] : m_state.changing) {
        beat.changing.push_back(engine);
    }
    beat.acquaintances = m_state.peers.acquaintances(now);
    beat.crashRecords = m_state.crashes.ownRecords(m_state.clock.now());
    return beat;
}

void FleetKeeper::sendBeat()
{
    sendToPeers(makeBeat());
}

void FleetKeeper::sendToPeers(const FrontDatagram &datagram)
{
    const std::string sealed = m_link.seal(encodeFrontDatagram(datagram));
    for (const Endpoint &peer : m_state.peers.beatAddresses(m_state.clock.now())) {
        m_link.send(peer, sealed);
    }
}

void FleetKeeper::announceLoad(const Backend &backend, std::int64_t tokens)
{
    const std::size_t peers = m_state.peers.count(m_state.clock.now()) - 1;
    if (peers == 0 || tokens < NoticeTokensPerPeer * static_cast<std::int64_t>(peers)) {
        return;
    }
    sendToPeers(LoadNotice{m_incarnation, ++m_sequence, m_state.settings.peerAddress, {backend.record.id, backend.own}});
}

void FleetKeeper::announceLeaving()
{
    sendBeat();
}

void FleetKeeper::heard(const std::string &bytes, const std::string &peer)
{
    const Result<FrontDatagram> datagram = decodeFrontDatagram(bytes, peer);
    if (!datagram) {
        m_state.metrics.increment(CounterFamily::Peers, "datagram_malformed");
        return;
    }
    std::visit(
        [this](const auto &told) {
            heard(told);
        },
        *datagram);
}

void FleetKeeper::heard(const LoadNotice &notice)
{
    if (!m_state.peers.heard(notice)) {
        m_state.metrics.increment(CounterFamily::Peers, "notice_old");
        return;
    }
    if (const BackendPointer server = m_state.backends.find(notice.load.replica)) {
        server->others = m_state.peers.othersLoad(notice.load.replica, m_state.clock.now());
    }
}

void FleetKeeper::heard(const FrontBeat &beat)
{
    const TimePoint now = m_state.clock.now();
    if (!m_state.peers.heard(beat, now)) {
        m_state.metrics.increment(CounterFamily::Peers, "beat_repeated");
        return;
    }
    for (const Endpoint &address : beat.acquaintances) {
        if (address != m_state.settings.peerAddress) {
            m_state.peers.introduce(address, now);
        }
    }
    for (const PromptUse &use : beat.uses) {
        if (const BackendPointer engine = m_state.backends.find(use.replica)) {
            engine->cache.use(use.prompt);
        }
    }
    for (const ReplicaId &id : beat.changing) {
        if (const BackendPointer engine = m_state.backends.find(id); engine && now - engine->changedAt > ChangingHeard) {
            engine->changingUntil = now + ChangingHeard;
        }
    }
    if (!beat.crashRecords.empty()) {
        m_state.crashes.learn(beat.crashRecords, now);
    }
    catchUpIfBehind(now);
}

void FleetKeeper::catchUpIfBehind(TimePoint now)
{
    const std::optional<Endpoint> peer = m_state.peers.ahead(m_planVersion, m_serversVersion, now);
    if (!peer) {
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince) {
        m_behindSince = now;
    }
    const bool follows = !m_state.peers.readsStore(m_state.settings.zone, now);
    if ((follows || now - *m_behindSince >= BehindFor) && !m_catchingUp) {
        m_catchingUp = true;
        asio::co_spawn(m_state.executor, catchUp(*peer), asio::detached);
    }
}

asio::awaitable<void> FleetKeeper::catchUp(Endpoint from)
{
    const RowVersion since = m_serversVersion;
    std::string request = encodeFleetSnapshotRequest({m_state.settings.node, m_planVersion, since});
    const Result<std::string> bytes = co_await m_link.ask(from, std::move(request));
    const Result<FleetSnapshot> told = bytes ? decodeFleetSnapshot(*bytes, from.text()) : Result<FleetSnapshot>(Failure(bytes.error()));
    if (!told) {
        LogEvent("peer.no_snapshot", LogEvent::Level::Warning).error(told.error());
    } else {
        if (!told->plan.empty()) {
            applyPlan(told->plan, told->planVersion, "peer");
        }
        if (told->serversVersion > m_serversVersion) {
            applyServers(told->servers, told->serversVersion, since.value() == 0);
            m_serversVersion = std::max(m_serversVersion, told->serversVersion);
            m_readServers = std::max(m_readServers, told->serversVersion);
        }
        for (const StoredRow &row : told->nodes) {
            if (const Result<Endpoint> address = parseEndpoint(row.text); address && *address != m_state.settings.peerAddress) {
                m_state.peers.introduce(*address, m_state.clock.now());
            }
        }
    }
    m_behindSince.reset();
    m_catchingUp = false;
}

FleetSnapshot FleetKeeper::snapshot(const FleetSnapshotRequest &request) const
{
    FleetSnapshot snapshot;
    snapshot.planVersion = m_planVersion;
    snapshot.plan = request.planVersion < m_planVersion ? m_planText : std::string();
    snapshot.serversVersion = m_serversVersion;
    const bool newcomer = request.serversVersion.value() == 0;
    for (const auto &[key, row] : m_serverRows) {
        if (row.version > request.serversVersion && !(newcomer && row.removed)) {
            snapshot.servers.push_back(row);
        }
    }
    if (newcomer) {
        for (const auto &[key, text] : m_nodeTexts) {
            snapshot.nodes.push_back({key, text, RowVersion(), false});
        }
    }
    return snapshot;
}

void FleetKeeper::takeOthersLoad()
{
    const TimePoint now = m_state.clock.now();
    const std::map<ReplicaId, BackendLoad> loads = m_state.peers.othersLoad(now);
    for (const auto &[id, backend] : m_state.backends.all()) {
        const auto found = loads.find(id);
        backend->others = found == loads.end() ? BackendLoad() : found->second;
    }
}

void FleetKeeper::housekeeping()
{
    const TimePoint now = m_state.clock.now();
    m_state.backends.forgetGone(now);
    m_state.peers.forgetSilent(now);
    m_state.pool.sweep(now, [this](const ReplicaId &id) {
        const BackendPointer backend = m_state.backends.find(id);
        return backend && backend->record.state == BackendState::Ready;
    });
}

} // namespace apricotarch
