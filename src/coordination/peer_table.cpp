#include "apricotarch/coordination/peer_table.h"

#include <algorithm>

namespace apricotarch
{

namespace
{

/// Nodes of each availability zone that read the store; with two, one of them may fail.
constexpr std::size_t StoreReadersPerZone = 2;

/// Peer addresses in each heartbeat. With 69 nodes and a heartbeat every 0.4 s, a node cycles through its peers in 10 s, and
/// every node receives addresses from the 68 others.
constexpr std::size_t AnnouncedPeers = 3;

/// If fewer live peers than this read the store, every node reads it itself.
constexpr std::size_t MinStoreReaders = 2;

} // namespace

PeerTable::PeerTable(NodeId self, PeerTimeouts timeouts)
    : m_self(std::move(self))
    , m_timeouts(timeouts)
{
}

void PeerTable::addAddress(const Endpoint &peerAddress, TimePoint now)
{
    const auto [entry, added] = m_peers.try_emplace(peerAddress);
    if (added) {
        entry->second.address = peerAddress;
        entry->second.addedAt = now;
    }
}

bool PeerTable::recordHeartbeat(const FrontHeartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.node == m_self) {
        return false;
    }
    addAddress(heartbeat.peerAddress, now);
    PeerEntry &peer = m_peers[heartbeat.peerAddress];
    const bool sameIncarnation =
        peer.lastHeartbeatAt && peer.heartbeat.node == heartbeat.node && peer.heartbeat.incarnation == heartbeat.incarnation;
    // Incarnations are not ordered, since a VM's wall clock may step back between two starts.
    if (sameIncarnation && heartbeat.sequence <= peer.heartbeat.sequence) {
        return false;
    }
    peer.heartbeat = heartbeat;
    peer.lastHeartbeatAt = now;
    return true;
}

bool PeerTable::recordLoadUpdate(const LoadUpdate &update)
{
    const auto found = m_peers.find(update.peerAddress);
    if (found == m_peers.end() || !found->second.lastHeartbeatAt) {
        return false;
    }
    FrontHeartbeat &heartbeat = found->second.heartbeat;
    if (heartbeat.incarnation != update.incarnation || update.sequence <= heartbeat.sequence) {
        return false;
    }
    heartbeat.sequence = update.sequence;
    const auto previousLoad = std::find_if(heartbeat.loads.begin(), heartbeat.loads.end(), [&](const ServerLoad &entry) {
        return entry.replica == update.load.replica;
    });
    if (previousLoad == heartbeat.loads.end()) {
        heartbeat.loads.push_back(update.load);
    } else {
        *previousLoad = update.load;
    }
    return true;
}

bool PeerTable::hasRecentHeartbeat(const PeerEntry &peer, Duration time, TimePoint now) const
{
    return peer.lastHeartbeatAt && now - *peer.lastHeartbeatAt <= time;
}

std::vector<NodeAddress> PeerTable::callerAddresses(TimePoint now) const
{
    std::vector<NodeAddress> addresses;
    for (const auto &[address, peer] : m_peers) {
        if (hasRecentHeartbeat(peer, m_timeouts.listTimeout, now) && peer.heartbeat.ready && !peer.heartbeat.shuttingDown) {
            addresses.push_back({peer.heartbeat.callerAddress, peer.heartbeat.zone});
        }
    }
    return addresses;
}

std::size_t PeerTable::countBudgetNodes(TimePoint now) const
{
    const auto otherNodes = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return hasRecentHeartbeat(entry.second, m_timeouts.removalTimeout, now) || now - entry.second.addedAt <= m_timeouts.loadTimeout;
    });
    return static_cast<std::size_t>(otherNodes) + 1;
}

std::vector<Endpoint> PeerTable::heartbeatAddresses(TimePoint now) const
{
    std::vector<Endpoint> addresses;
    for (const auto &[address, peer] : m_peers) {
        const bool recent = peer.lastHeartbeatAt ? now - *peer.lastHeartbeatAt <= m_timeouts.removalTimeout
                                                 : now - peer.addedAt <= m_timeouts.removalTimeout;
        if (recent) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::vector<Endpoint> PeerTable::nextAnnouncedPeers(TimePoint now)
{
    std::vector<Endpoint> addresses;
    auto entry = m_peers.upper_bound(m_lastAnnounced);
    for (std::size_t visited = 0; visited < m_peers.size() && addresses.size() < AnnouncedPeers; ++visited) {
        if (entry == m_peers.end()) {
            entry = m_peers.begin();
        }
        if (hasRecentHeartbeat(entry->second, m_timeouts.listTimeout, now) && !entry->second.heartbeat.shuttingDown) {
            addresses.push_back(entry->first);
            m_lastAnnounced = entry->first;
        }
        ++entry;
    }
    return addresses;
}

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
    for (const auto &[address, peer] : m_peers) {
        const std::map<ServiceId, double> &reported = peer.heartbeat.*rates;
        const auto found = reported.find(service);
        if (hasRecentHeartbeat(peer, m_timeouts.loadTimeout, now) && found != reported.end()) {
            rate += found->second;
        }
    }
    return rate;
}

bool PeerTable::isStageController(TimePoint now) const
{
    return std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        const PeerEntry &peer = entry.second;
        return hasRecentHeartbeat(peer, m_timeouts.loadTimeout, now) && !peer.heartbeat.shuttingDown && peer.heartbeat.node < m_self;
    });
}

bool PeerTable::shouldReadStore(const ZoneId &zone, TimePoint now) const
{
    std::size_t precedingInZone = 0;
    std::size_t storeReaders = 0;
    for (const auto &[address, peer] : m_peers) {
        if (!hasRecentHeartbeat(peer, m_timeouts.listTimeout, now) || peer.heartbeat.shuttingDown) {
            continue;
        }
        precedingInZone += peer.heartbeat.zone == zone && peer.heartbeat.node < m_self ? 1 : 0;
        storeReaders += peer.heartbeat.readsStore ? 1 : 0;
    }
    return precedingInZone < StoreReadersPerZone || storeReaders < MinStoreReaders;
}

std::optional<Endpoint> PeerTable::findPeerWithNewerRows(RowVersion plan, RowVersion servers, TimePoint now) const
{
    const PeerEntry *best = nullptr;
    for (const auto &[address, peer] : m_peers) {
        const bool newer = peer.heartbeat.planVersion > plan || peer.heartbeat.serversVersion > servers;
        if (!hasRecentHeartbeat(peer, m_timeouts.listTimeout, now) || !newer) {
            continue;
        }
        if (best == nullptr || peer.heartbeat.serversVersion > best->heartbeat.serversVersion) {
            best = &peer;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<Endpoint>(best->address);
}

void PeerTable::removeSilent(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        const PeerEntry &peer = entry.second;
        return now - peer.lastHeartbeatAt.value_or(peer.addedAt) > m_timeouts.removalTimeout;
    });
}

} // namespace apricotarch
