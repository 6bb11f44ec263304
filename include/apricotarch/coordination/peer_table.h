#pragma once

/**
 * @file
 * Table of the other front nodes, maintained from their heartbeats.
 */

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/coordination/coordinator_view.h"
#include "apricotarch/coordination/snapshot_source.h"
#include "apricotarch/state/front_heartbeat.h"

namespace apricotarch
{

/// Timeouts for nodes whose heartbeats have stopped.
struct PeerTimeouts
{
    Duration listTimeout = std::chrono::milliseconds(1500); ///< A node without a heartbeat for this long is not listed for callers.
    Duration loadTimeout = std::chrono::seconds(3); ///< A node without a heartbeat for this long is no longer counted as a source of load.
    Duration removalTimeout = std::chrono::seconds(30); ///< A node without a heartbeat for this long is removed and gets no heartbeats.
    /// With partial views: as listTimeout. Signs of life pass through up to three other nodes.
    Duration partialListTimeout = std::chrono::milliseconds(1900);
    /// With partial views: a node that no other node has mentioned for this long is removed.
    Duration partialRemovalTimeout = std::chrono::seconds(120);
};

/// State of one other node.
struct PeerEntry
{
    Endpoint address; ///< Address for heartbeats.
    std::uint32_t addressHash = 0; ///< See peerAddressHash().
    ZoneId zone; ///< Empty if unknown.
    FrontHeartbeat heartbeat; ///< The latest heartbeat; empty before the first one.
    std::optional<TimePoint> lastHeartbeatAt; ///< Time of the latest heartbeat received from the node itself.
    /// Time of the latest sign of life: a heartbeat from the node itself, or one that another node has received.
    std::optional<TimePoint> lastSignAt;
    TimePoint addedAt; ///< Time at which the address was added.
    int rumorsLeft = 0; ///< Heartbeats in which this node still announces it as new.
    TimePoint mentionedAt; ///< Time at which the node last sent a heartbeat or was announced by another node.
    bool ready = false; ///< As of lastSignAt.
    bool shuttingDown = false; ///< As of lastSignAt.
    bool readsStore = false; ///< As of lastSignAt.
};

/// Name, address and availability zone of the node that owns a PeerTable.
struct PeerIdentity
{
    NodeId node;
    Endpoint peerAddress;
    ZoneId zone;
};

/// Largest fleet in which each node sends heartbeats to every other.
inline constexpr std::size_t DefaultMaxFullMeshNodes = 128;

/// Address and zone of a node, for callers.
struct NodeAddress
{
    Endpoint address;
    ZoneId zone;
};

/**
 * Table of the other front nodes. Not thread-safe; used on one event loop.
 *
 * In small fleets all nodes send heartbeats to each other. In larger ones a node uses a partial view: it knows the addresses of all
 * nodes, exchanges heartbeats with a few of them, and learns from these about the others of its availability zone, so that its cost
 * does not grow with the fleet.
 */
class PeerTable
{
public:
    /**
     * @param self this node
     * @param timeouts timeouts for silent nodes
     * @param maxFullMeshNodes with more nodes than this, partial views are used
     */
    PeerTable(PeerIdentity self, PeerTimeouts timeouts, std::size_t maxFullMeshNodes = DefaultMaxFullMeshNodes);

    PeerTable(const PeerTable &) = delete;
    PeerTable &operator=(const PeerTable &) = delete;
    ~PeerTable() = default;

    // ---- changes ----

    /// Adds an address at which a node may run. The node's name is taken from its first heartbeat.
    void addAddress(const PeerAddress &peer, TimePoint now);

    /// Records a heartbeat. @return false if it is a duplicate, outdated or sent by this node itself
    bool recordHeartbeat(const FrontHeartbeat &heartbeat, TimePoint now);

    /// Updates one load in the latest heartbeat of the sender. @return false if the update is outdated or its sender is unknown
    bool recordLoadUpdate(const LoadUpdate &update);

    /// Removes nodes that have been silent for too long.
    void removeSilent(TimePoint now);

    // ---- membership ----

    /// Whether there are too many nodes for each to send heartbeats to every other.
    [[nodiscard]] bool usesPartialView() const noexcept;

    /// Returns the number of known nodes, this one included.
    [[nodiscard]] std::size_t nodeCount() const noexcept
    {
        return m_peers.size() + 1;
    }

    /// Returns the addresses of the nodes but this one that can act as stewards: those that are known not to be dead or shutting down.
    [[nodiscard]] std::vector<Endpoint> stewardAddresses(TimePoint now) const;

    /// Returns the number of other nodes whose heartbeats are recent enough for remoteLoad() and remoteRate().
    [[nodiscard]] std::size_t countReportingPeers(TimePoint now) const;

    /// Whether this node has recent heartbeats of more than half of the nodes, itself included, that it has heard of lately. Always false
    /// with partial views.
    [[nodiscard]] bool hearsMajority(TimePoint now) const;

    /// Returns the addresses of all known nodes but this one. With partial views, nodes known to be dead are left out.
    [[nodiscard]] std::vector<Endpoint> knownAddresses(TimePoint now) const;

    /// Returns the addresses of the other nodes that may be alive: those with a recent heartbeat or, with partial views, all that are not
    /// known to be dead.
    [[nodiscard]] std::vector<Endpoint> liveAddresses(TimePoint now) const;

    /// Returns the nodes that callers may use: ready, not shutting down, and with a recent heartbeat.
    [[nodiscard]] std::vector<NodeAddress> callerAddresses(TimePoint now) const;

    /**
     * Returns the number of nodes that share a common budget, this one included. A node is counted until it is removed; one
     * that has not sent a heartbeat yet is counted only for the time PeerTimeouts::loadTimeout. With partial views, all known
     * nodes are counted, or as many as another node knows.
     */
    [[nodiscard]] std::size_t countBudgetNodes(TimePoint now) const;

    /// Returns the addresses of the known nodes but this one that share a common budget, see countBudgetNodes().
    [[nodiscard]] std::vector<Endpoint> budgetAddresses(TimePoint now) const;

    /**
     * Returns the addresses to which the next heartbeat is sent.
     * @param now current time
     * @param random source of randomness for the choice of a few of many nodes
     */
    [[nodiscard]] std::vector<Endpoint> heartbeatAddresses(TimePoint now, std::mt19937_64 &random);

    /**
     * Returns recent signs of life of some nodes of this availability zone for a heartbeat; nothing while all nodes send heartbeats to
     * each other.
     * @param now current time
     * @param random source of randomness for the choice of nodes
     */
    [[nodiscard]] std::vector<PeerSighting> sightings(TimePoint now, std::mt19937_64 &random) const;

    /**
     * Returns the addresses of a few peers to announce in a heartbeat: those found most recently, then the next live ones, so that
     * successive calls cycle through all live peers. Nodes that start together or were partitioned for long may have no other way to find
     * each other. The number of addresses is bounded; the search is linear in the number of peers.
     */
    [[nodiscard]] std::vector<PeerAddress> nextAnnouncedPeers(TimePoint now);

    // ---- reports of other nodes ----

    /// Returns the remote load of each backend server: the sum of the loads that other nodes have reported recently.
    [[nodiscard]] std::map<ReplicaId, BackendLoad> remoteLoad(TimePoint now) const;

    /// Returns the remote load of one backend server. Linear in the number of loads that the peers have reported.
    [[nodiscard]] BackendLoad remoteLoad(const ReplicaId &server, TimePoint now) const;

    /**
     * Returns the sum of the other nodes' rates for a service, per millisecond. With partial views, it is extrapolated from the nodes
     * that have sent a heartbeat recently.
     * @param rates member of the heartbeat that holds the rates
     * @param service service to sum up
     * @param now current time
     */
    [[nodiscard]] double remoteRate(std::map<ServiceId, double> FrontHeartbeat::*rates, const ServiceId &service, TimePoint now) const;

    // ---- duties ----

    /// Returns whether this node has the smallest name of all live nodes; the node with the smallest name orders stage changes.
    [[nodiscard]] bool isStageController(TimePoint now) const;

    /// Returns the node that orders stage changes as far as this node knows. @param eligible whether this node may do so
    [[nodiscard]] CoordinatorSighting coordinator(bool eligible, TimePoint now) const;

    /**
     * Returns whether this node should read the store: if it is among the first nodes of its availability zone, or if too few other
     * nodes read the store. All other nodes get changes through heartbeats, so that the number of the store's calls does not
     * grow with the number of nodes. With partial views, a node replaces missing readers only after a time that grows with its
     * position in its availability zone, so that not all nodes do so at once.
     * @param now current time
     */
    [[nodiscard]] bool shouldReadStore(TimePoint now);

    /**
     * Returns the live peers that have newer rows of a table than this node.
     * @param isNewer whether a heartbeat reports newer rows
     * @param now current time
     */
    [[nodiscard]] std::vector<SnapshotSource> findPeersWithNewerRows(
        const std::function<bool(const FrontHeartbeat &heartbeat)> &isNewer, TimePoint now) const;

private:
    /// Returns whether the latest heartbeat of @p peer is not older than @p time.
    [[nodiscard]] static bool hasRecentHeartbeat(const PeerEntry &peer, Duration time, TimePoint now);

    /// Returns whether the latest sign of life of @p peer is recent enough to list it for callers.
    [[nodiscard]] bool isLive(const PeerEntry &peer, TimePoint now) const;

    /// Returns whether there was a sign of life of @p peer, but no recent one.
    [[nodiscard]] bool isKnownDead(const PeerEntry &peer, TimePoint now) const;

    /// Returns whether @p peer shares common budgets, see countBudgetNodes().
    [[nodiscard]] bool sharesBudget(const PeerEntry &peer, TimePoint now) const;

    /// Returns whether @p peer is in the availability zone of this node.
    [[nodiscard]] bool isInOwnZone(const PeerEntry &peer) const;

    /// Adds peers that were found recently, up to the number that a heartbeat announces.
    void addRumors(std::vector<PeerAddress> &peers);
    void recordSightings(const FrontHeartbeat &heartbeat, TimePoint now);
    [[nodiscard]] bool shouldReadStoreInMesh(TimePoint now) const;
    [[nodiscard]] bool shouldReadStoreInPartialView(TimePoint now);

    PeerIdentity m_self;
    PeerTimeouts m_timeouts;
    std::size_t m_maxFullMeshNodes;
    std::map<Endpoint, PeerEntry> m_peers;
    std::unordered_map<std::uint32_t, PeerEntry *> m_peerByHash; ///< Entries of m_peers by peerAddressHash().
    CoordinatorView m_coordinator;
    Endpoint m_lastAnnounced; ///< Last address returned by nextAnnouncedPeers().
    std::size_t m_heartbeats = 0; ///< Number of heartbeats for which receivers have been selected.
    std::optional<TimePoint> m_readersMissingSince; ///< With partial views: since when too few nodes read the store.
};

} // namespace apricotarch
