#pragma once

/**
 * @file
 * Synchronizes a front node's view of the fleet. The configuration and the backend servers are read from the store or from a
 * peer; the state of the other nodes is taken from their heartbeats.
 */

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "apricotarch/app/engine_group_loads.h"
#include "apricotarch/app/fleet_tables.h"
#include "apricotarch/app/front_state.h"
#include "apricotarch/app/node_registration.h"
#include "apricotarch/app/server_table_check.h"
#include "apricotarch/app/snapshot_exchange.h"
#include "apricotarch/app/stream_origin_store.h"
#include "apricotarch/app/usage_exchange.h"
#include "apricotarch/coordination/platform_services.h"
#include "apricotarch/coordination/poll_schedule.h"
#include "apricotarch/coordination/table_reader.h"
#include "apricotarch/transport/authenticated_link.h"

namespace apricotarch
{

/// Runs the loops that keep a FrontState up to date. All calls must be made on one event loop.
class FleetSynchronizer
{
public:
    /**
     * @param state the state to update; must outlive this object
     * @param tables reads full tables and their changes
     * @param rows reads and writes this system's own rows
     * @param link the authenticated link to other nodes
     * @param decoders table names and row decoders of the platform
     * @param incarnation the incarnation of this process
     */
    FleetSynchronizer(
        FrontState &state, TableReader &tables, TableStore &rows, AuthenticatedLink &link, RowDecoders decoders, Incarnation incarnation);

    /**
     * Starts the loops and listens for messages from other nodes.
     * @param loop the event loop to run on
     * @return ListenFailed if the peer address cannot be bound
     */
    [[nodiscard]] Result<void> start(asio::io_context &loop);

    /// Passes the messages about usage counts on. Must be called before start(). @param usage must outlive this object
    void setUsageExchange(UsageExchange &usage)
    {
        m_usage = &usage;
    }

    /// Immediately sends the other nodes a heartbeat that reports this node's shutdown.
    void announceShutdown();

private:
    enum class Table : std::uint8_t {
        Plan,
        Servers,
    };

    /// Starts one of the loops; it is started again if it ends with an exception.
    void startLoop(asio::io_context &loop, const char *name, std::function<asio::awaitable<void>()> run);

    // ---- the store ----

    [[nodiscard]] asio::awaitable<void> followTable(Table table);
    /// Checks now and then whether the store can be reached, so that other nodes replace this one as a reader of the store.
    [[nodiscard]] asio::awaitable<void> checkStoreReachability();
    /// @param calledAt when the call was made
    void updateStoreStatus(Table table, const Result<RowBatch> &result, TimePoint calledAt);
    /// Records the incarnation of the store that the store itself or a peer has reported. @param source either, for the log
    void recordStoreIncarnation(StoreIncarnation incarnation, const char *source);
    /// Result of a call to the store.
    struct TableAnswer
    {
        Result<RowBatch> batch;
        TimePoint calledAt; ///< When the call was made that it is the result of.
        TimePoint currentAsOf; ///< The store has answered at this time or later.
    };

    [[nodiscard]] asio::awaitable<TableAnswer> readTable(Table table, bool recovering);
    /// Reads a table's changes by a long poll. A late answer gives up the poll of the other table, too.
    [[nodiscard]] asio::awaitable<TableAnswer> pollChanges(Table table, StorePosition version);

    // ---- other nodes ----

    [[nodiscard]] asio::awaitable<void> heartbeatLoop();
    void sendHeartbeat();
    void logChangesOfView();
    void sendToPeers(const FrontDatagram &datagram);
    [[nodiscard]] FrontHeartbeat makeHeartbeat();
    /// Sends a heartbeat within UrgentHeartbeatDelay. Only with partial views, where changes pass through several nodes.
    void requestUrgentHeartbeat();
    [[nodiscard]] asio::awaitable<void> sendUrgentHeartbeat();
    void sendLoadUpdate(const Backend &backend, std::int64_t tokens, const std::vector<PromptPart> &prompt);
    void addLoads(FrontHeartbeat &heartbeat);
    void addStageChanges(FrontHeartbeat &heartbeat);
    void recordStageChanges(const std::vector<EngineStageChange> &changes);
    void handleDatagram(const std::string &bytes, const std::string &peer);
    void handleMessage(const FrontHeartbeat &heartbeat);
    void handleMessage(const LoadUpdate &update);
    void handleMessage(const EngineGroupQuery &query);
    void handleMessage(const EngineGroupReport &report);
    void handleMessage(const StreamNotice &notice)
    {
        m_streamExchange.handle(notice);
    }
    void handleMessage(const StreamQuery &query)
    {
        m_streamExchange.handle(query);
    }
    void handleMessage(const StreamReport &report)
    {
        m_streamExchange.handle(report);
    }
    void handleMessage(const UsageUpdate &update)
    {
        if (m_usage != nullptr) {
            m_usage->handle(update);
        }
    }
    void handleMessage(const UsageAck &ack)
    {
        if (m_usage != nullptr) {
            m_usage->handle(ack);
        }
    }
    [[nodiscard]] Duration heartbeatInterval(std::size_t peerCount) const;
    void updateRemoteLoad();
    void removeExpired();

    FrontState &m_state;
    TableReader &m_tables;
    AuthenticatedLink &m_link;
    FleetTables m_fleetTables;
    NodeRegistration m_registration;
    SnapshotExchange m_snapshots;
    ServerTableCheck m_serverCheck;
    StreamOriginExchange m_streamExchange;
    StreamOriginStore m_streamOrigins;
    Incarnation m_incarnation;
    MessageSequence m_sequence;
    EngineGroupLoads m_groupLoads;
    UsageExchange *m_usage = nullptr; ///< Null unless usage is counted.
    StorePosition m_planReadVersion; ///< Position up to which the configuration's table has been read; none requests a full read.
    StorePosition m_serversReadVersion; ///< Position up to which the servers' table has been read; none requests a full read.
    std::optional<StoreIncarnation> m_storeIncarnation; ///< Latest one that is known.
    PollSchedule m_pollSchedule; ///< Of the polls of the two tables.
    bool m_storeReachable = true; ///< As of the last check.
    std::array<bool, 2> m_storeCallFailed{}; ///< By table: whether the last call to the store failed.
    bool m_urgentHeartbeatPending = false;
    bool m_usedPartialView = false; ///< As of the last heartbeat.
    NodeId m_coordinator; ///< With partial views: coordinator as of the last heartbeat.
    TimePoint m_loadsRepeatedAt; ///< When the loads were last repeated to the stewards.
    std::map<ReplicaId, TimePoint> m_reportedStageChanges; ///< With partial views: ends of the stage changes that others have ordered.
    std::chrono::microseconds m_loopLag{0}; ///< Moving average of the event loop's timer delay.
};

} // namespace apricotarch
