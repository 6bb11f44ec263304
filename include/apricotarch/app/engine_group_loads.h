#pragma once

/**
 * @file
 * Exchange of engine loads in fleets in which nodes do not send their loads to all others.
 */

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "apricotarch/app/front_state.h"
#include "apricotarch/coordination/engine_groups.h"
#include "apricotarch/coordination/reported_loads.h"
#include "apricotarch/transport/async_event.h"
#include "apricotarch/transport/authenticated_link.h"

namespace apricotarch
{

/**
 * Each group of engines has stewards: two nodes, chosen by rendezvous hashing over the known nodes. A node that places a prompt asks
 * the stewards of a group for its load, and reports to them what it has sent to an engine of the group. So a prompt costs a constant
 * number of datagrams, and loads are as recent as one round trip.
 */
class EngineGroupLoads
{
public:
    /**
     * @param state the node's state; must outlive this object
     * @param link the link to other nodes; must outlive this object
     * @param incarnation the incarnation of this process
     * @param sequence numbers this process's heartbeats and load updates; must outlive this object
     */
    EngineGroupLoads(FrontState &state, AuthenticatedLink &link, Incarnation incarnation, MessageSequence &sequence);

    // ---- of this node's own requests ----

    /**
     * Asks the stewards of a group for its load and updates the remote loads and caches of its engines. Returns after the first answer,
     * or without one after a few milliseconds.
     */
    [[nodiscard]] asio::awaitable<void> refresh(EngineGroupQuery query);

    /// Reports this node's load at an engine to the stewards of its group.
    void report(const Backend &engine, const std::vector<PromptPart> &prompt);

    /// Repeats the reports of all engines at which this node has outstanding work, so that a steward that has restarted gets them.
    void repeatReports();

    // ---- as a steward ----

    /// Records another node's load at an engine.
    void handleUpdate(const LoadUpdate &update);

    /// Answers another node's query.
    void handleQuery(const EngineGroupQuery &query);

    /// Applies the answer to one of this node's queries.
    void handleReport(const EngineGroupReport &report);

private:
    /// A query that has not been answered by all stewards.
    struct PendingQuery
    {
        std::vector<PromptPart> prompt;
        std::vector<Endpoint> unanswered; ///< Stewards that have not answered yet.
        std::size_t answers = 0;
        AsyncEvent *answered = nullptr; ///< Null when nobody waits any more.
        TimePoint sentAt;
    };

    /// A steward that has left queries unanswered.
    struct Silence
    {
        int queries = 0; ///< Number of consecutive unanswered queries.
        TimePoint lastAt; ///< When the last of them was sent.
    };

    [[nodiscard]] std::vector<Endpoint> selectStewards(const ServiceId &service, const std::string &group) const;
    [[nodiscard]] EngineGroupReport makeReport(const EngineGroupQuery &query);
    /// Applies a report to the engines. @param isFirst whether it is the first answer to its query
    void applyEntries(const EngineGroupReport &report, const std::vector<PromptPart> &prompt, bool isFirst);
    /// Counts unanswered queries against their stewards and drops them.
    void removeExpiredQueries(TimePoint now);
    [[nodiscard]] bool isSuspect(const Endpoint &steward, TimePoint now) const;
    void send(const Endpoint &peer, const FrontDatagram &datagram);

    FrontState &m_state;
    AuthenticatedLink &m_link;
    Incarnation m_incarnation;
    MessageSequence &m_sequence;
    std::int64_t m_lastQuery = 0;
    std::map<std::int64_t, PendingQuery> m_queries;
    ReportedLoads m_reportedLoads;
    std::map<Endpoint, Silence> m_silences;
};

} // namespace apricotarch
