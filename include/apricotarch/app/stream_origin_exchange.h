#pragma once

/**
 * @file
 * Tells other nodes where streams began, so that these can be resumed after the node that began them has ended.
 */

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "apricotarch/app/fleet_tables.h"
#include "apricotarch/app/front_state.h"
#include "apricotarch/transport/async_event.h"
#include "apricotarch/transport/authenticated_link.h"

namespace apricotarch
{

/**
 * The origin of a stream is kept by two nodes, chosen by rendezvous hashing over the live nodes, and by the writer of its shard, which has
 * it stored. Streams are divided into shards by their keys, one shard for each 16 nodes. So a stream costs a constant number of datagrams
 * in a fleet of any size. Not thread-safe; used on one event loop.
 */
class StreamOriginExchange
{
public:
    /// @param state the node's state @param tables the node's table of servers @param link link to other nodes; all must outlive this
    /// object
    StreamOriginExchange(FrontState &state, const FleetTables &tables, AuthenticatedLink &link);

    /// Tells the keepers of some streams where these began.
    void announce(const std::vector<StreamRecord> &streams);

    /**
     * Asks the keepers of a stream. Returns after the first that knows it, or after a few milliseconds; the origin is then in
     * FrontState::streamVersions.
     * @return whether there are keepers, and all have answered that they do not know the stream and have no newer table of servers
     */
    [[nodiscard]] asio::awaitable<bool> ask(StreamKey stream);

    void handle(const StreamNotice &notice);
    void handle(const StreamQuery &query);
    void handle(const StreamReport &report);

    /// Returns the number of shards.
    [[nodiscard]] std::size_t shardCount() const;
    [[nodiscard]] std::size_t shardOf(StreamKey stream) const;
    /// Whether this node writes a shard to the store.
    [[nodiscard]] bool isWriter(std::size_t shard);

private:
    /// A node that can keep streams.
    struct Candidate
    {
        std::uint64_t hash = 0; ///< Of the address.
        Endpoint address;
    };

    struct PendingQuery
    {
        std::size_t unanswered = 0;
        bool allAgree = false; ///< Whether no answer so far was of a node with a newer table of servers.
        AsyncEvent *answered = nullptr;
    };

    /// Returns the nodes that keep a stream, the writer of its shard included.
    [[nodiscard]] std::set<Endpoint> keepers(StreamKey stream);
    /// Returns the first nodes by rendezvous hashing, of the candidates. Linear in the number of nodes.
    [[nodiscard]] std::vector<const Endpoint *> selectNodes(std::uint64_t key, std::size_t count);
    [[nodiscard]] const Endpoint &writer(std::size_t shard);
    void updateCandidates();
    void send(const Endpoint &peer, const FrontDatagram &datagram);

    FrontState &m_state;
    const FleetTables &m_tables;
    AuthenticatedLink &m_link;
    std::vector<Candidate> m_candidates; ///< The live nodes, this one included.
    TimePoint m_candidatesAt; ///< When m_candidates was updated.
    std::int64_t m_lastQuery = 0;
    std::map<std::int64_t, PendingQuery> m_queries; ///< Those that are waited for.
};

} // namespace apricotarch
