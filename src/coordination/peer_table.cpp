#include "apricotarch/coordination/peer_table.h"

#include <algorithm>
#include <iterator>

#include "apricotarch/coordination/heartbeat_targets.h"

namespace apricotarch
{

namespace
{

/// Peer addresses in each heartbeat. With 69 nodes and a heartbeat every 0.4 s, a node cycles through its peers in 10 s, and
/// every node receives addresses from the 68 others.
constexpr std::size_t AnnouncedPeers = 3;

/// The same with partial views, if there are no new peers to announce.
constexpr std::size_t PartialViewAnnouncedPeers = 1;

/// Sightings older than this are not passed on; the node itself or another node has a newer one.
constexpr Duration MaxSightingAge = std::chrono::milliseconds(750);

/// Sightings in each heartbeat. They take 5 bytes each.
constexpr std::size_t MaxSightings = 30;

/// Heartbeats in which a node announces a peer that it has just found. With five receivers each, practically all nodes learn of it.
constexpr int RumorsPerPeer = 4;

/// With partial views, nodes without signs of life receive every fourth heartbeat, so that partitioned nodes are found again.
constexpr std::size_t HeartbeatsPerProbe = 4;

} // namespace

PeerTable::PeerTable(PeerIdentity self, PeerTimeouts timeouts, std::size_t maxFullMeshNodes)
    : m_self(std::move(self))
    , m_timeouts(timeouts)
    , m_maxFullMeshNodes(maxFullMeshNodes)
    , m_coordinator(m_self.node)
{
}

// ---- changes ----

void PeerTable::addAddress(const PeerAddress &peer, TimePoint now)
{
    if (peer.address == m_self.peerAddress) {
        return;
    }
    const auto [entry, added] = m_peers.try_emplace(peer.address);
    if (added) {
        entry->second.address = peer.address;
        entry->second.addressHash = peerAddressHash(peer.address);
        entry->second.addedAt = now;
        entry->second.rumorsLeft = RumorsPerPeer;
        m_peerByHash[entry->second.addressHash] = &entry->second;
    }
    entry->second.mentionedAt = now;
    if (!peer.zone.empty()) {
        entry->second.zone = peer.zone;
    }
}

bool PeerTable::recordHeartbeat(const FrontHeartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.node == m_self.node) {
        return false;
    }
    addAddress({heartbeat.peerAddress, heartbeat.zone}, now);
    PeerEntry &peer = m_peers[heartbeat.peerAddress];
    const bool sameIncarnation =
        peer.lastHeartbeatAt && peer.heartbeat.node == heartbeat.node && peer.heartbeat.incarnation == heartbeat.incarnation;
    // Incarnations are not ordered, since a VM's wall clock may step back between two starts.
    if (sameIncarnation && heartbeat.sequence <= peer.heartbeat.sequence) {
        return false;
    }
    peer.heartbeat = heartbeat;
    peer.heartbeat.sightings.clear();
    peer.lastHeartbeatAt = now;
    peer.lastSignAt = now;
    peer.ready = heartbeat.ready;
    peer.shuttingDown = heartbeat.shuttingDown;
    peer.readsStore = heartbeat.readsStore;
    recordSightings(heartbeat, now);
    m_coordinator.record({heartbeat.coordinator, heartbeat.coordinatorAge}, now);
    if (heartbeat.shuttingDown) {
        m_coordinator.remove(heartbeat.node);
    } else {
        m_coordinator.record({heartbeat.node, std::chrono::milliseconds(0)}, now);
    }
    return true;
}

void PeerTable::recordSightings(const FrontHeartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.zone != m_self.zone) {
        return;
    }
    for (const PeerSighting &sighting : heartbeat.sightings) {
        const auto found = m_peerByHash.find(sighting.addressHash);
        if (found == m_peerByHash.end()) {
            continue;
        }
        PeerEntry &peer = *found->second;
        const TimePoint signAt = now - sighting.age;
        if (peer.lastSignAt && signAt <= *peer.lastSignAt) {
            continue;
        }
        peer.zone = m_self.zone;
        peer.lastSignAt = signAt;
        peer.mentionedAt = now;
        peer.ready = sighting.ready;
        peer.shuttingDown = sighting.shuttingDown;
        peer.readsStore = sighting.readsStore;
    }
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

void PeerTable::removeSilent(TimePoint now)
{
    const bool partial = usesPartialView();
    std::erase_if(m_peers, [&](const auto &entry) {
        const PeerEntry &peer = entry.second;
        const bool removed = partial ? now - peer.mentionedAt > m_timeouts.partialRemovalTimeout
                                     : now - peer.lastHeartbeatAt.value_or(peer.addedAt) > m_timeouts.removalTimeout;
        if (removed) {
            m_peerByHash.erase(peer.addressHash);
        }
        return removed;
    });
}

// ---- membership ----

bool PeerTable::usesPartialView() const noexcept
{
    return m_peers.size() + 1 > m_maxFullMeshNodes;
}

bool PeerTable::hasRecentHeartbeat(const PeerEntry &peer, Duration time, TimePoint now)
{
    return peer.lastHeartbeatAt && now - *peer.lastHeartbeatAt <= time;
}

bool PeerTable::isLive(const PeerEntry &peer, TimePoint now) const
{
    const Duration timeout = usesPartialView() ? m_timeouts.partialListTimeout : m_timeouts.listTimeout;
    return peer.lastSignAt && now - *peer.lastSignAt <= timeout;
}

bool PeerTable::isInOwnZone(const PeerEntry &peer) const
{
    return peer.zone == m_self.zone;
}

bool PeerTable::isKnownDead(const PeerEntry &peer, TimePoint now) const
{
    // Signs of life of nodes of other zones arrive only now and then.
    return isInOwnZone(peer) && peer.lastSignAt && !isLive(peer, now);
}

std::vector<Endpoint> PeerTable::knownAddresses(TimePoint now) const
{
    std::vector<Endpoint> addresses;
    for (const auto &[address, peer] : m_peers) {
        if (!usesPartialView() || !(isKnownDead(peer, now) || peer.shuttingDown)) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::vector<Endpoint> PeerTable::stewardAddresses(TimePoint now) const
{
    if (usesPartialView()) {
        return knownAddresses(now);
    }
    std::vector<Endpoint> addresses;
    for (const auto &[address, peer] : m_peers) {
        if (isLive(peer, now) && !peer.shuttingDown) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::vector<Endpoint> PeerTable::liveAddresses(TimePoint now) const
{
    std::vector<Endpoint> addresses;
    for (const auto &[address, peer] : m_peers) {
        if (usesPartialView() ? !isKnownDead(peer, now) : hasRecentHeartbeat(peer, m_timeouts.loadTimeout, now)) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::vector<NodeAddress> PeerTable::callerAddresses(TimePoint now) const
{
    std::vector<NodeAddress> addresses;
    for (const auto &[address, peer] : m_peers) {
        // A node's address for callers is known only from its own heartbeats.
        if (peer.lastHeartbeatAt && isLive(peer, now) && peer.ready && !peer.shuttingDown) {
            addresses.push_back({peer.heartbeat.callerAddress, peer.heartbeat.zone});
        }
    }
    return addresses;
}

std::size_t PeerTable::countReportingPeers(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_peers, [&](const auto &entry) {
        return hasRecentHeartbeat(entry.second, m_timeouts.loadTimeout, now);
    }));
}

bool PeerTable::hearsMajority(TimePoint now) const
{
    if (usesPartialView()) {
        return false;
    }
    std::size_t heard = 1;
    for (const auto &[address, peer] : m_peers) {
        heard += hasRecentHeartbeat(peer, m_timeouts.listTimeout, now) ? 1 : 0;
    }
    return 2 * heard > countBudgetNodes(now);
}

bool PeerTable::sharesBudget(const PeerEntry &peer, TimePoint now) const
{
    const bool recent = hasRecentHeartbeat(peer, m_timeouts.removalTimeout, now);
    return usesPartialView() || recent || now - peer.addedAt <= m_timeouts.loadTimeout;
}

std::vector<Endpoint> PeerTable::budgetAddresses(TimePoint now) const
{
    std::vector<Endpoint> addresses;
    for (const auto &[address, peer] : m_peers) {
        if (sharesBudget(peer, now)) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::size_t PeerTable::countBudgetNodes(TimePoint now) const
{
    std::size_t otherNodes = 0;
    std::size_t knownElsewhere = 0;
    for (const auto &[address, peer] : m_peers) {
        otherNodes += sharesBudget(peer, now) ? 1 : 0;
        if (hasRecentHeartbeat(peer, m_timeouts.loadTimeout, now)) {
            knownElsewhere = std::max(knownElsewhere, peer.heartbeat.knownNodes);
        }
    }
    return knownElsewhere > m_maxFullMeshNodes ? std::max(otherNodes + 1, knownElsewhere) : otherNodes + 1;
}

std::vector<Endpoint> PeerTable::heartbeatAddresses(TimePoint now, std::mt19937_64 &random)
{
    if (usesPartialView()) {
        std::vector<HeartbeatCandidate> candidates;
        for (const auto &[address, peer] : m_peers) {
            const bool isNew = !peer.lastSignAt && now - peer.addedAt <= m_timeouts.partialListTimeout;
            candidates.push_back({address, peer.addressHash, isInOwnZone(peer), isNew || isLive(peer, now)});
        }
        const bool includeSkipped = ++m_heartbeats % HeartbeatsPerProbe == 0;
        return selectHeartbeatTargets(candidates, peerAddressHash(m_self.peerAddress), HeartbeatFanout(), includeSkipped, random);
    }
    std::vector<Endpoint> addresses;
    for (const auto &[address, peer] : m_peers) {
        if (now - peer.lastHeartbeatAt.value_or(peer.addedAt) <= m_timeouts.removalTimeout) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::vector<PeerSighting> PeerTable::sightings(TimePoint now, std::mt19937_64 &random) const
{
    std::vector<PeerSighting> sightings;
    if (!usesPartialView()) {
        return sightings;
    }
    for (const auto &[address, peer] : m_peers) {
        if (isInOwnZone(peer) && peer.lastSignAt && now - *peer.lastSignAt <= MaxSightingAge) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *peer.lastSignAt);
            sightings.push_back({peer.addressHash, age, peer.ready, peer.shuttingDown, peer.readsStore});
        }
    }
    std::vector<PeerSighting> chosen;
    std::sample(sightings.begin(), sightings.end(), std::back_inserter(chosen), MaxSightings, random);
    return chosen;
}

void PeerTable::addRumors(std::vector<PeerAddress> &peers)
{
    for (auto &[address, peer] : m_peers) {
        if (peers.size() == AnnouncedPeers) {
            return;
        }
        if (peer.rumorsLeft > 0) {
            --peer.rumorsLeft;
            peers.push_back({address, peer.zone});
        }
    }
}

std::vector<PeerAddress> PeerTable::nextAnnouncedPeers(TimePoint now)
{
    std::vector<PeerAddress> peers;
    if (usesPartialView()) {
        addRumors(peers);
    }
    auto entry = m_peers.upper_bound(m_lastAnnounced);
    const std::size_t count = std::max(peers.size(), usesPartialView() ? PartialViewAnnouncedPeers : AnnouncedPeers);
    for (std::size_t visited = 0; visited < m_peers.size() && peers.size() < count; ++visited) {
        if (entry == m_peers.end()) {
            entry = m_peers.begin();
        }
        if (isLive(entry->second, now) && !entry->second.shuttingDown) {
            peers.push_back({entry->first, entry->second.zone});
            m_lastAnnounced = entry->first;
        }
        ++entry;
    }
    return peers;
}

} // namespace apricotarch
