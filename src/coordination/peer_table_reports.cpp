#include "apricotarch/coordination/peer_table.h"

#include <algorithm>

// What other nodes have reported, and what follows from it for the duties of this node.

namespace apricotarch
{

namespace
{

/// Nodes of each availability zone that read the store; with two, one of them may fail.
constexpr std::size_t StoreReadersPerZone = 2;

/// A node of a full mesh counts as a reader of the store until its heartbeats have been missing for this long, at most for
/// PeerTimeouts::listTimeout. The time exceeds several intervals of heartbeats, which grow with the number of peers.
constexpr Duration ShortestReaderTimeout = std::chrono::milliseconds(600);
constexpr Duration ReaderTimeoutPerPeer = std::chrono::milliseconds(36);

/// If fewer live peers than this read the store, every node reads it itself.
constexpr std::size_t MinStoreReaders = 2;

/// With partial views: a node waits for the first time, in which its view may be outdated, and for the second one for each node before
/// it in its availability zone until it replaces a missing reader of the store; in all for at most MaxReplacementDelay.
constexpr Duration MinReplacementDelay = std::chrono::seconds(1);
constexpr Duration ReplacementDelayPerNode = std::chrono::milliseconds(100);
constexpr Duration MaxReplacementDelay = std::chrono::seconds(4);

} // namespace

// ---- reports of other nodes ----

std::map<ReplicaId, BackendLoad> PeerTable::remoteLoad(TimePoint now) const
{
    std::map<ReplicaId, BackendLoad> loads;
    for (const auto &[address, peer] : m_peers) {
        if (!hasRecentHeartbeat(peer, m_timeouts.loadTimeout, now)) {
            continue;
        }
        for (const ServerLoad &entry : peer.heartbeat.loads) {
            loads[entry.replica] += entry.load;
        }
    }
    return loads;
}

BackendLoad PeerTable::remoteLoad(const ReplicaId &server, TimePoint now) const
{
    BackendLoad sum;
    for (const auto &[address, peer] : m_peers) {
        if (!hasRecentHeartbeat(peer, m_timeouts.loadTimeout, now)) {
            continue;
        }
        for (const ServerLoad &entry : peer.heartbeat.loads) {
            if (entry.replica == server) {
                sum += entry.load;
            }
        }
    }
    return sum;
}

double PeerTable::remoteRate(std::map<ServiceId, double> FrontHeartbeat::*rates, const ServiceId &service, TimePoint now) const
{
    double rate = 0;
    std::size_t reporting = 0;
    for (const auto &[address, peer] : m_peers) {
        if (!hasRecentHeartbeat(peer, m_timeouts.loadTimeout, now)) {
            continue;
        }
        ++reporting;
        const std::map<ServiceId, double> &reported = peer.heartbeat.*rates;
        const auto found = reported.find(service);
        rate += found == reported.end() ? 0 : found->second;
    }
    if (!usesPartialView() || reporting == 0) {
        return rate;
    }
    return rate * static_cast<double>(m_peers.size()) / static_cast<double>(reporting);
}

// ---- duties ----

bool PeerTable::isStageController(TimePoint now) const
{
    if (usesPartialView()) {
        return m_coordinator.current(true, now).node == m_self.node;
    }
    return std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        const PeerEntry &peer = entry.second;
        return hasRecentHeartbeat(peer, m_timeouts.loadTimeout, now) && !peer.heartbeat.shuttingDown && peer.heartbeat.node < m_self.node;
    });
}

CoordinatorSighting PeerTable::coordinator(bool eligible, TimePoint now) const
{
    return m_coordinator.current(eligible, now);
}

bool PeerTable::shouldReadStore(TimePoint now)
{
    return usesPartialView() ? shouldReadStoreInPartialView(now) : shouldReadStoreInMesh(now);
}

bool PeerTable::shouldReadStoreInMesh(TimePoint now) const
{
    const Duration byPeers = ReaderTimeoutPerPeer * static_cast<int>(m_peers.size());
    const Duration timeout = std::min(std::max(byPeers, ShortestReaderTimeout), m_timeouts.listTimeout);
    std::size_t precedingInZone = 0;
    std::size_t storeReaders = 0;
    for (const auto &[address, peer] : m_peers) {
        if (!hasRecentHeartbeat(peer, timeout, now) || peer.heartbeat.shuttingDown) {
            continue;
        }
        precedingInZone += isInOwnZone(peer) && peer.heartbeat.node < m_self.node ? 1 : 0;
        storeReaders += peer.heartbeat.readsStore ? 1 : 0;
    }
    return precedingInZone < StoreReadersPerZone || storeReaders < MinStoreReaders;
}

bool PeerTable::shouldReadStoreInPartialView(TimePoint now)
{
    std::size_t precedingNodes = 0;
    std::size_t precedingReaders = 0;
    for (const auto &[address, peer] : m_peers) {
        if (!isInOwnZone(peer) || !isLive(peer, now) || peer.shuttingDown || m_self.peerAddress < address) {
            continue;
        }
        ++precedingNodes;
        precedingReaders += peer.readsStore ? 1 : 0;
    }
    if (precedingReaders >= StoreReadersPerZone) {
        m_readersMissingSince.reset();
        return false;
    }
    if (!m_readersMissingSince) {
        m_readersMissingSince = now;
    }
    const Duration delay =
        std::min<Duration>(MinReplacementDelay + ReplacementDelayPerNode * static_cast<int>(precedingNodes), MaxReplacementDelay);
    return precedingNodes < StoreReadersPerZone || now - *m_readersMissingSince >= delay;
}

std::vector<SnapshotSource> PeerTable::findPeersWithNewerRows(
    const std::function<bool(const FrontHeartbeat &heartbeat)> &isNewer, TimePoint now) const
{
    std::vector<SnapshotSource> sources;
    for (const auto &[address, peer] : m_peers) {
        if (isNewer(peer.heartbeat) && hasRecentHeartbeat(peer, m_timeouts.listTimeout, now)) {
            sources.push_back({address, isInOwnZone(peer)});
        }
    }
    return sources;
}

} // namespace apricotarch
