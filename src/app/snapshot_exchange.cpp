#include "apricotarch/app/snapshot_exchange.h"

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

SnapshotExchange::SnapshotExchange(FrontState &state, FleetTables &tables, const NodeRegistration &registration, AuthenticatedLink &link)
    : m_state(state)
    , m_tables(tables)
    , m_registration(registration)
    , m_link(link)
    , m_followers{Follower{
                      "plan", &FrontHeartbeat::planVersion, &FleetTables::planVersion, &FleetSnapshotRequest::planVersion, {}, false, {}},
          Follower{"servers",
              &FrontHeartbeat::serversVersion,
              &FleetTables::serversVersion,
              &FleetSnapshotRequest::serversVersion,
              {},
              false,
              {}}}
    , m_transfers(new TransferToken())
{
}

// ---- requests of this node ----

void SnapshotExchange::catchUp()
{
    for (Follower &follower : m_followers) {
        catchUp(follower);
    }
}

void SnapshotExchange::catchUp(Follower &follower)
{
    const TimePoint now = m_state.clock.now();
    const std::vector<SnapshotSource> sources = m_state.peers.findPeersWithNewerRows(follower.reported, (m_tables.*follower.known)(), now);
    if (sources.empty()) {
        follower.behindSince.reset();
        follower.avoidUntil.clear();
        return;
    }
    if (!follower.behindSince) {
        follower.behindSince = now;
    }
    const bool due = now - *follower.behindSince >= CatchUpDelay || !m_state.peers.shouldReadStore(now);
    if (follower.requesting || !due) {
        return;
    }
    const auto isAvoided = [&follower, now](const Endpoint &peer) {
        const auto found = follower.avoidUntil.find(peer);
        return found != follower.avoidUntil.end() && now < found->second;
    };
    if (std::optional<Endpoint> peer = selectSnapshotSource(sources, isAvoided, m_state.random)) {
        follower.requesting = true;
        asio::co_spawn(m_state.executor, request(follower, std::move(*peer)), asio::detached);
    }
}

asio::awaitable<void> SnapshotExchange::request(Follower &follower, Endpoint peer)
{
    const TimePoint requestedAt = m_state.clock.now();
    FleetSnapshotRequest request;
    request.sender = m_state.settings.node;
    request.*follower.requested = (m_tables.*follower.known)();
    request.acceptsCompressedPlan = m_acceptsCompressedPlan;
    const Result<std::string> response = co_await m_link.sendRequest(peer, encodeFleetSnapshotRequest(request));
    const Duration avoidance = handleSnapshot(follower, request, response, peer, requestedAt);
    follower.avoidUntil[peer] = m_state.clock.now() + avoidance;
    follower.requesting = false;
}

Duration SnapshotExchange::handleSnapshot(Follower &follower,
    const FleetSnapshotRequest &request,
    const Result<std::string> &response,
    const Endpoint &peer,
    TimePoint requestedAt)
{
    const TimePoint now = m_state.clock.now();
    const Duration behind = now - follower.behindSince.value_or(requestedAt);
    const Result<FleetSnapshot> snapshot =
        response ? decodeFleetSnapshot(*response, peer.text()) : Result<FleetSnapshot>(Failure(response.error()));
    if (snapshot && snapshot->busy) {
        m_state.metrics.increment(CounterFamily::Peers, "snapshot_busy");
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(MinBusyAvoidanceMs, MaxBusyAvoidanceMs)(m_state.random));
    }
    const RowVersion before = (m_tables.*follower.known)();
    const bool wasCompressed = snapshot && !snapshot->compressedPlan.empty();
    const Result<void> applied = snapshot ? m_tables.applySnapshot(*snapshot, request) : Result<void>(Failure(snapshot.error()));
    LogEvent event(applied ? "peer.snapshot" : "peer.no_snapshot", applied ? LogEvent::Level::Info : LogEvent::Level::Warning);
    event.field("table", follower.table).field("peer", peer.text()).field("row_version", (m_tables.*follower.known)());
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
    return (m_tables.*follower.known)() > before ? Duration::zero() : FailureAvoidance;
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
    if (request.serversVersion && request.serversVersion->value() == 0) {
        for (const auto &[key, address] : m_registration.nodes()) {
            snapshot.nodes.push_back({key, address, RowVersion(), false});
        }
    }
    return snapshot;
}

} // namespace apricotarch
