#pragma once

/**
 * @file
 * Counts the requests of each customer at this node and exchanges the counts with the nodes that collect them.
 */

#include <functional>
#include <optional>

#include "apricotarch/app/front_state.h"
#include "apricotarch/duties/true_time.h"
#include "apricotarch/duties/usage_counter.h"
#include "apricotarch/duties/usage_ledger.h"
#include "apricotarch/transport/authenticated_link.h"

namespace apricotarch
{

/**
 * Sends this node's counts to the collectors and records the counts of all nodes if this node is one. The coordinator chooses the
 * collectors: itself, and the node with the next name of those that send it counts. Heartbeats carry the choice, so that it also reaches
 * nodes that exchange no heartbeats with the coordinator. Must be used on one event loop.
 */
class UsageExchange
{
public:
    /**
     * @param state the node's state; must outlive this object
     * @param link the link to other nodes; must outlive this object
     * @param time this node's estimate of true time; must outlive this object
     * @param ledger counts of all nodes, filled if this node is a collector; must outlive this object
     * @param times times of usage windows
     * @param incarnation the incarnation of this process
     */
    UsageExchange(
        FrontState &state, AuthenticatedLink &link, TrueTime &time, UsageLedger &ledger, UsageTimes times, Incarnation incarnation);

    /// Starts to count requests and to send the counts. Before, and without this call, nothing is counted, sent or kept.
    void start();

    /// Sends what the collectors lack. Called at regular intervals, and in a planned stop when the last request has ended.
    void sendUpdates();

    /// Called with the incarnation of the store that another node reports, see UsageReporter::observeIncarnation().
    std::function<void(StoreIncarnation)> onStoreIncarnation;

    // ---- messages ----

    /// Adds the estimate of true time and the collectors to a heartbeat of this node.
    void addTo(FrontHeartbeat &heartbeat) const;
    /// Applies another node's heartbeat. Must be called after PeerTable::recordHeartbeat().
    void handle(const FrontHeartbeat &heartbeat);
    /// Records another node's counts and acknowledges them.
    void handle(const UsageUpdate &update);
    void handle(const UsageAck &ack);

private:
    [[nodiscard]] asio::awaitable<void> sendLoop();
    void count(const CustomerId &customer, TimePoint startedAt);
    /// Chooses the collectors if this node is the coordinator.
    void chooseCollectors();
    void send(const Endpoint &peer, const FrontDatagram &datagram);

    FrontState &m_state;
    AuthenticatedLink &m_link;
    TrueTime &m_time;
    UsageLedger &m_ledger;
    UsageCounter m_counter;
    Incarnation m_incarnation;
    bool m_started = false;
    std::optional<UsageCollectors> m_collectors;
};

} // namespace apricotarch
