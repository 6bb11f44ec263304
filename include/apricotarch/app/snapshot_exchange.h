#pragma once

/**
 * @file
 * Exchange of the platform's rows between front nodes. Most nodes of a large fleet do not read the store; they read rows from peers
 * that have newer ones. The configuration and the servers are requested separately, since a configuration may be a thousand times
 * larger than a change of a server.
 */

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "apricotarch/app/fleet_tables.h"
#include "apricotarch/app/front_state.h"
#include "apricotarch/app/node_registration.h"
#include "apricotarch/transport/authenticated_link.h"

namespace apricotarch
{

/// Requests rows from peers and answers their requests. Not thread-safe; used on one event loop.
class SnapshotExchange
{
public:
    /**
     * @param state the node's state; must outlive this object
     * @param tables the node's rows; must outlive this object
     * @param registration provides the nodes' table; must outlive this object
     * @param link the link to other nodes; must outlive this object
     */
    SnapshotExchange(FrontState &state, FleetTables &tables, const NodeRegistration &registration, AuthenticatedLink &link);

    /// Requests the rows in which this node is behind its peers. Must be called after each heartbeat of a peer.
    void catchUp();

    /// Answers a request of a peer. @return the reply, or nothing if the request is malformed
    [[nodiscard]] std::optional<FrameReply> reply(const std::string &bytes, const std::string &peer);

    std::function<void()> onRowsAdopted; ///< Called after rows of a peer have been applied.

private:
    /// A table that is read from peers, with the state of the requests for it.
    struct FollowedTable
    {
        const char *name = ""; ///< Name for logs.
        bool (*isNewer)(
            const FrontHeartbeat &heartbeat, const FleetTables &tables) = nullptr; ///< Whether a peer has newer rows than this node.
        void (*ask)(FleetSnapshotRequest &request, const FleetTables &tables) = nullptr; ///< Asks for the rows that this node lacks.
        std::string (*version)(const FleetTables &tables) = nullptr; ///< Version of the table that this node has, for logs.
        std::optional<TimePoint> behindSince; ///< When a peer was first found to have newer rows than this node.
        bool requesting = false;
        std::map<Endpoint, TimePoint> avoidUntil; ///< Peers that have failed or were busy.
    };

    [[nodiscard]] static FollowedTable planTable();
    [[nodiscard]] static FollowedTable serversTable();
    void catchUp(FollowedTable &table);
    [[nodiscard]] asio::awaitable<void> request(FollowedTable &table, Endpoint peer);
    /// Applies a peer's answer. @return how long the peer is avoided
    [[nodiscard]] Duration handleSnapshot(FollowedTable &table,
        const FleetSnapshotRequest &request,
        const Result<std::string> &response,
        const Endpoint &peer,
        TimePoint requestedAt);
    [[nodiscard]] FleetSnapshot makeSnapshot(const FleetSnapshotRequest &request);

    FrontState &m_state;
    FleetTables &m_tables;
    const NodeRegistration &m_registration;
    AuthenticatedLink &m_link;
    std::array<FollowedTable, 2> m_followedTables;
    bool m_acceptsCompressedPlan = true; ///< Whether the last compressed configuration could be read.
    boost::intrusive_ptr<TransferToken> m_transfers; ///< Shared by all replies that contain the configuration.
};

} // namespace apricotarch
