#include "apricotarch/app/snapshot_exchange.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "apricotarch/base/background_task.h"
#include "apricotarch/base/log.h"
#include "apricotarch/protocol/front_codec.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// A node that reads the store and has been behind its peers for this long reads from one of them. The store itself usually delivers
/// changes within this time.
constexpr Duration CatchUpDelay = 400ms;

/// Transfers of the configuration at a time. With more, each takes so long that none of the receivers can pass it on in time.
constexpr int MaxPlanTransfers = 4;

/// How long a peer is avoided that did not answer, or whose answer had no newer rows.
constexpr Duration FailureAvoidance = 1s;

/// Bounds of the time for which a busy peer is avoided, which is about that of one transfer.
constexpr int MinBusyAvoidanceMs = 100;
constexpr int MaxBusyAvoidanceMs = 300;

} // namespace

SnapshotExchange::FollowedTable SnapshotExchange::planTable()
{
    FollowedTable table;
    table.name = "plan";
    table.isNewer = [](const FrontHeartbeat &heartbeat, const FleetTables &tables) {
        return heartbeat.planVersion > tables.planVersion();
    };
    table.ask = [](FleetSnapshotRequest &request, const FleetTables &tables) {
        request.planVersion = tables.planVersion();
    };
    table.version = [](const FleetTables &tables) {
        return std::to_string(tables.planVersion().value());
    };
    return table;
}

SnapshotExchange::FollowedTable SnapshotExchange::serversTable()
{
    FollowedTable table;
    table.name = "servers";
    table.isNewer = [](const FrontHeartbeat &heartbeat, const FleetTables &tables) {
        return heartbeat.serversVersion > tables.serversVersion();
    };
    table.ask = [](FleetSnapshotRequest &request, const FleetTables &tables) {
        request.serversVersion = tables.serversVersion();
    };
    table.version = [](const FleetTables &tables) {
        return tables.serversVersion().text();
    };
    return table;
}

SnapshotExchange::SnapshotExchange(FrontState &state, FleetTables &tables, const NodeRegistration &registration, AuthenticatedLink &link)
    : m_state(state)
    , m_tables(tables)
    , m_registration(registration)
    , m_link(link)
    , m_followedTables{planTable(), serversTable()}
    , m_transfers(new TransferToken())
{
}

// ---- requests of this node ----

void SnapshotExchange::catchUp()
{
    for (FollowedTable &table : m_followedTables) {
        catchUp(table);
    }
}

void SnapshotExchange::catchUp(FollowedTable &table)
{
    const TimePoint now = m_state.clock.now();
    const std::vector<SnapshotSource> sources = m_state.peers.findPeersWithNewerRows(
        [this, &table](const FrontHeartbeat &heartbeat) {
            return table.isNewer(heartbeat, m_tables);
        },
        now);
    if (sources.empty()) {
        table.behindSince.reset();
        table.avoidUntil.clear();
        return;
    }
    if (!table.behindSince) {
        table.behindSince = now;
    }
    const bool due = now - *table.behindSince >= CatchUpDelay || !m_state.peers.shouldReadStore(now);
    if (table.requesting || !due) {
        return;
    }
    const auto isAvoided = [&table, now](const Endpoint &peer) {
        const auto found = table.avoidUntil.find(peer);
        return found != table.avoidUntil.end() && now < found->second;
    };
    if (std::optional<Endpoint> peer = selectSnapshotSource(sources, isAvoided, m_state.random)) {
        table.requesting = true;
        asio::co_spawn(m_state.executor, request(table, std::move(*peer)), LogFailure("request_snapshot"));
    }
}

asio::awaitable<void> SnapshotExchange::request(FollowedTable &table, Endpoint peer)
{
    const TimePoint requestedAt = m_state.clock.now();
    FleetSnapshotRequest request;
    request.sender = m_state.settings.node;
    table.ask(request, m_tables);
    request.acceptsCompressedPlan = m_acceptsCompressedPlan;
    const Result<std::string> response = co_await m_link.sendRequest(peer, encodeFleetSnapshotRequest(request));
    const Duration avoidance = handleSnapshot(table, request, response, peer, requestedAt);
    table.avoidUntil[peer] = m_state.clock.now() + avoidance;
    table.requesting = false;
}

Duration SnapshotExchange::handleSnapshot(FollowedTable &table,
    const FleetSnapshotRequest &request,
    const Result<std::string> &response,
    const Endpoint &peer,
    TimePoint requestedAt)
{
    const TimePoint now = m_state.clock.now();
    const Duration behind = now - table.behindSince.value_or(requestedAt);
    const Result<FleetSnapshot> snapshot =
        response ? decodeFleetSnapshot(*response, peer.text()) : Result<FleetSnapshot>(Failure(response.error()));
    if (snapshot && snapshot->busy) {
        m_state.metrics.increment(CounterFamily::Peers, "snapshot_busy");
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(MinBusyAvoidanceMs, MaxBusyAvoidanceMs)(m_state.random));
    }
    const std::string before = table.version(m_tables);
    const bool wasCompressed = snapshot && !snapshot->compressedPlan.empty();
    const Result<void> applied = snapshot ? m_tables.applySnapshot(*snapshot, request) : Result<void>(Failure(snapshot.error()));
    LogEvent event(applied ? "peer.snapshot" : "peer.no_snapshot", applied ? LogEvent::Level::Info : LogEvent::Level::Warning);
    event.field("table", table.name).field("peer", peer.text()).field("version", table.version(m_tables));
    event.field("before", before).field("bytes", response ? response->size() : 0);
    event.field("behind_ms", toMilliseconds(behind)).field("ms", toMilliseconds(now - requestedAt));
    m_state.metrics.increment(CounterFamily::Peers, applied ? "snapshot_received" : "snapshot_failed");
    if (!applied) {
        event.error(applied.error());
        // A compressed configuration that cannot be read is requested again as it is.
        m_acceptsCompressedPlan = m_acceptsCompressedPlan && !wasCompressed;
        return wasCompressed ? Duration::zero() : FailureAvoidance;
    }
    for (const StoredRow &row : snapshot->nodes) {
        if (const Result<PeerAddress> node = parsePeerAddress(row.text)) {
            m_state.peers.addAddress(*node, now);
        }
    }
    if (onRowsAdopted) {
        onRowsAdopted();
    }
    return table.version(m_tables) != before ? Duration::zero() : FailureAvoidance;
}

// ---- requests of peers ----

std::optional<FrameReply> SnapshotExchange::reply(const std::string &bytes, const std::string &peer)
{
    const Result<FleetSnapshotRequest> request = decodeFleetSnapshotRequest(bytes, peer);
    if (!request) {
        return std::nullopt;
    }
    const bool containsPlan = request->planVersion && *request->planVersion < m_tables.planVersion();
    if (containsPlan && m_transfers->use_count() > MaxPlanTransfers) {
        m_state.metrics.increment(CounterFamily::Peers, "snapshot_declined");
        FleetSnapshot busy;
        busy.busy = true;
        return FrameReply{encodeFleetSnapshot(busy), nullptr};
    }
    std::string snapshot = encodeFleetSnapshot(makeSnapshot(*request));
    m_state.metrics.increment(CounterFamily::Peers, "snapshot_sent");
    m_state.metrics.add(CounterFamily::Peers, "snapshot_bytes_sent", snapshot.size());
    return FrameReply{std::move(snapshot), containsPlan ? m_transfers : nullptr};
}

FleetSnapshot SnapshotExchange::makeSnapshot(const FleetSnapshotRequest &request)
{
    FleetSnapshot snapshot = m_tables.makeSnapshot(request);
    if (request.serversVersion && !request.serversVersion->exists()) {
        for (const auto &[key, address] : m_registration.nodes()) {
            snapshot.nodes.push_back({key, address, StorePosition(), false});
        }
    }
    return snapshot;
}

} // namespace apricotarch
