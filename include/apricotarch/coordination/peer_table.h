#pragma once

/**
 * @file
 * Table of the other front nodes, maintained from their heartbeats.
 */

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/state/front_heartbeat.h"

namespace apricotarch
{

/// Timeouts for nodes whose heartbeats have stopped.
struct PeerTimeouts
{
    Duration listTimeout = std::chrono::milliseconds(1500); ///< A node without a heartbeat for this long is not listed for callers.
    Duration loadTimeout = std::chrono::seconds(3); ///< A node without a heartbeat for this long is no longer counted as a source of load.
    Duration removalTimeout = std::chrono::seconds(30); ///< A node without a heartbeat for this long is removed and gets no heartbeats.
};

/// State of one other node.
struct PeerEntry
{
    Endpoint address; ///< Address for heartbeats.
    FrontHeartbeat heartbeat; ///< The latest heartbeat; empty before the first one.
    std::optional<TimePoint> lastHeartbeatAt; ///< Time of the latest heartbeat.
    TimePoint addedAt; ///< Time at which the address was added.
};

/// Address and zone of a node, for callers.
struct NodeAddress
{
    Endpoint address;
    ZoneId zone;
};

/// Table of the other front nodes. Not thread-safe; used on one event loop.
class PeerTable
{
public:
    PeerTable(NodeId self, PeerTimeouts timeouts);

    /// Adds an address at which a node may run. The node's name is taken from its first heartbeat.
    void addAddress(const Endpoint &peerAddress, TimePoint now);

    /// Records a heartbeat. @return false if it is a duplicate, outdated or sent by this node itself
    bool recordHeartbeat(const FrontHeartbeat &heartbeat, TimePoint now);

    /// Updates one load in the latest heartbeat of the sender. @return false if the update is outdated or its sender is unknown
    bool recordLoadUpdate(const LoadUpdate &update);

    /// Returns the nodes that callers may use: ready, not shutting down, and with a recent heartbeat.
    [[nodiscard]] std::vector<NodeAddress> callerAddresses(TimePoint now) const;

    /**
     * Returns the number of nodes that share a common budget, this one included. A node is counted until it is removed; one
     * that has not sent a heartbeat yet is counted only for the time PeerTimeouts::loadTimeout.
     */
    [[nodiscard]] std::size_t countBudgetNodes(TimePoint now) const;

    /// Returns the addresses to which heartbeats are sent.
    [[nodiscard]] std::vector<Endpoint> heartbeatAddresses(TimePoint now) const;

    /**
     * Returns the addresses of the next few live peers, which are announced in a heartbeat; successive calls cycle through all
     * peers. Nodes that start together or were partitioned for long may have no other way to find each other. The number of
     * addresses is bounded; the search is linear in the number of peers.
     */
    [[nodiscard]] std::vector<Endpoint> nextAnnouncedPeers(TimePoint now);

    /// Returns the remote load of each backend server: the sum of the loads that other nodes have reported recently.
    [[nodiscard]] std::map<ReplicaId, BackendLoad> remoteLoad(TimePoint now) const;

    /// Returns the remote load of one backend server. Linear in the number of loads that the peers have reported.
    [[nodiscard]] BackendLoad remoteLoad(const ReplicaId &server, TimePoint now) const;

    /**
     * Returns the sum of the other nodes' rates for a service, per millisecond.
     * @param rates member of the heartbeat that holds the rates
     * @param service service to sum up
     * @param now current time
     */
    [[nodiscard]] double remoteRate(std::map<ServiceId, double> FrontHeartbeat::*rates, const ServiceId &service, TimePoint now) const;

    /// Returns whether this node has the smallest name of all live nodes; the node with the smallest name orders stage changes.
    [[nodiscard]] bool isStageController(TimePoint now) const;

    /**
     * Returns whether this node should read the store: if it is among the first nodes of its zone by name, or if too few other
     * nodes read the store. All other nodes get changes through heartbeats, so that the number of the store's calls does not
     * grow with the number of nodes.
     * @param zone availability zone of this node
     * @param now current time
     */
    [[nodiscard]] bool shouldReadStore(const ZoneId &zone, TimePoint now) const;

    /**
     * Returns the address of a live peer that has a newer configuration or table of servers than this node, if there is one.
     * @param plan version of this node's configuration
     * @param servers version of this node's table of servers
     * @param now current time
     */
    [[nodiscard]] std::optional<Endpoint> findPeerWithNewerRows(RowVersion plan, RowVersion servers, TimePoint now) const;

    /// Removes nodes that have not sent a heartbeat for the time PeerTimeouts::removalTimeout.
    void removeSilent(TimePoint now);

private:
    /// Returns whether the latest heartbeat of @p peer is not older than @p time.
    [[nodiscard]] bool hasRecentHeartbeat(const PeerEntry &peer, Duration time, TimePoint now) const;

    NodeId m_self;
    PeerTimeouts m_timeouts;
    std::map<Endpoint, PeerEntry> m_peers;
    Endpoint m_lastAnnounced; ///< Last address returned by nextAnnouncedPeers().
};

} // namespace apricotarch
