#include "apricotarch/app/fleet_synchronizer.h"

#include <utility>

#include "apricotarch/app/request_rate_limits.h"
#include "apricotarch/protocol/front_codec.h"

// Messages of other nodes.

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// An engine receives no requests for this long after a peer has reported its stage change. The peer repeats the report in each
/// heartbeat until the change ends.
constexpr Duration StageChangeHold = 1200ms;

} // namespace

void FleetSynchronizer::handleDatagram(const std::string &bytes, const std::string &peer)
{
    const Result<FrontDatagram> datagram = decodeFrontDatagram(bytes, peer);
    if (!datagram) {
        m_state.metrics.increment(CounterFamily::Peers, "datagram_malformed");
        return;
    }
    std::visit(
        [this](const auto &message) {
            handleMessage(message);
        },
        *datagram);
}

void FleetSynchronizer::handleMessage(const EngineGroupQuery &query)
{
    m_groupLoads.handleQuery(query);
}

void FleetSynchronizer::handleMessage(const EngineGroupReport &report)
{
    m_groupLoads.handleReport(report);
}

void FleetSynchronizer::handleMessage(const LoadUpdate &update)
{
    if (m_state.asksStewards()) {
        m_groupLoads.handleUpdate(update);
        return;
    }
    if (!m_state.peers.recordLoadUpdate(update)) {
        m_state.metrics.increment(CounterFamily::Peers, "notice_old");
        return;
    }
    if (const BackendPointer server = m_state.backends.find(update.load.replica)) {
        server->remoteLoad = m_state.peers.remoteLoad(update.load.replica, m_state.clock.now());
    }
}

void FleetSynchronizer::handleMessage(const FrontHeartbeat &heartbeat)
{
    const TimePoint now = m_state.clock.now();
    if (!m_state.peers.recordHeartbeat(heartbeat, now)) {
        m_state.metrics.increment(CounterFamily::Peers, "beat_repeated");
        return;
    }
    for (const PeerAddress &peer : heartbeat.announcedPeers) {
        m_state.peers.addAddress(peer, now);
    }
    for (const SentPrompt &sentPrompt : heartbeat.sentPrompts) {
        if (const BackendPointer engine = m_state.backends.find(sentPrompt.replica)) {
            engine->cache.recordPrompt(sentPrompt.prompt);
        }
    }
    for (const SpeedSample &sample : heartbeat.speedSamples) {
        m_state.serverSpeeds.merge(sample, now);
    }
    recordStageChanges(heartbeat.changingEngines);
    const bool passOn = m_state.peers.usesPartialView();
    const bool recordsChanged = !heartbeat.crashRecords.empty() && m_state.crashTracker.mergeRecords(heartbeat.crashRecords, now, passOn);
    const bool evidenceChanged = m_state.partQuarantine.merge(heartbeat.partEvidence, passOn, now);
    const bool ratesChanged = mergeRequestRates(m_state, heartbeat.requestRates);
    if (recordsChanged || evidenceChanged || ratesChanged) {
        requestUrgentHeartbeat();
    }
    if (heartbeat.serversVersion != StorePosition()) {
        recordStoreIncarnation(heartbeat.serversVersion.incarnation(), "peer");
    }
    if (heartbeat.serversAge && heartbeat.serversVersion == m_fleetTables.serversVersion()) {
        m_state.backends.currency().recordCurrent(now - *heartbeat.serversAge);
    }
    if (m_usage != nullptr) {
        m_usage->handle(heartbeat);
    }
    m_snapshots.catchUp();
}

void FleetSynchronizer::recordStageChanges(const std::vector<EngineStageChange> &changes)
{
    const TimePoint now = m_state.clock.now();
    const bool partial = m_state.peers.usesPartialView();
    for (const EngineStageChange &change : changes) {
        const BackendPointer engine = m_state.backends.find(change.engine);
        if (!engine || now - engine->stageChangedAt <= StageChangeHold || m_state.changingEngines.contains(change.engine)) {
            continue;
        }
        if (!partial) {
            engine->stageChangeUntil = now + StageChangeHold;
            continue;
        }
        // Each node that passes a change on adds the delay of its message, so only a considerably later end is a new change.
        const TimePoint until = now + change.remaining;
        TimePoint &known = m_reportedStageChanges[change.engine];
        if (until - known > StageChangeHold) {
            known = until;
            engine->stageChangeUntil = until;
            requestUrgentHeartbeat();
        }
    }
}

} // namespace apricotarch
