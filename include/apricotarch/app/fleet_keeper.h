#pragma once

/**
 * @file
 * Keeps a front node's view of the fleet: configuration and backend servers from the store or from a peer, other nodes from
 * their beats.
 */

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "apricotarch/app/front_state.h"
#include "apricotarch/coordination/metadata_store.h"
#include "apricotarch/coordination/platform.h"
#include "apricotarch/transport/sealed_link.h"

namespace apricotarch
{

/// Reads rows of the platform's tables; given by the platform's adapter.
struct RowFormats
{
    std::string planTable; ///< Table with the configuration.
    std::string planKey; ///< Its row.
    std::string serversTable; ///< Table with one row for each backend server.
    std::function<Result<RoutingPlan>(const std::string &text)> plan;
    std::function<Result<BackendRecord>(const std::string &key, const std::string &text)> server;
};

/// Runs the loops that keep a FrontState up to date. Used on one event loop.
class FleetKeeper
{
public:
    /**
     * @param state what is kept; must outlive the keeper
     * @param tables whole tables and their changes
     * @param rows this system's own rows
     * @param link to other nodes
     * @param formats of the platform's rows
     * @param incarnation of this process
     */
    FleetKeeper(FrontState &state, TableReader &tables, TableStore &rows, SealedLink &link, RowFormats formats, Incarnation incarnation);

    /// Starts the loops and listens for other nodes. @return ListenFailed
    [[nodiscard]] Result<void> start(asio::io_context &loop);

    /// Tells the other nodes that this one leaves, at once.
    void announceLeaving();

private:
    enum class Table : std::uint8_t {
        Plan,
        Servers,
    };

    /// Whether this node's row was there already.
    enum class Registration : std::uint8_t {
        Found,
        Written,
    };

    // ---- the store ----

    [[nodiscard]] asio::awaitable<void> watch(Table table);
    void applyBatch(Table table, const RowBatch &batch, bool whole);
    void applyPlan(const std::string &text, RowVersion version, const char *source);
    void applyServers(const std::vector<StoredRow> &rows, RowVersion version, bool whole);
    void noteStore(Table table, const Result<RowBatch> &result);
    [[nodiscard]] asio::awaitable<Result<RowBatch>> readTable(Table table, bool recovering);
    [[nodiscard]] asio::awaitable<void> registerNode();
    [[nodiscard]] asio::awaitable<Result<Registration>> registerOnce();

    // ---- other nodes ----

    [[nodiscard]] asio::awaitable<void> beatLoop();
    void sendBeat();
    void sendToPeers(const FrontDatagram &datagram);
    [[nodiscard]] FrontBeat makeBeat();
    void announceLoad(const Backend &backend, std::int64_t tokens);
    void heard(const std::string &bytes, const std::string &peer);
    void heard(const FrontBeat &beat);
    void heard(const LoadNotice &notice);
    void catchUpIfBehind(TimePoint now);
    [[nodiscard]] asio::awaitable<void> catchUp(Endpoint peer);
    [[nodiscard]] FleetSnapshot snapshot(const FleetSnapshotRequest &request) const;
    [[nodiscard]] Duration beatPause(std::size_t peers) const;
    void takeOthersLoad();
    void housekeeping();

    FrontState &m_state;
    TableReader &m_tables;
    TableStore &m_rows;
    SealedLink &m_link;
    RowFormats m_formats;
    Incarnation m_incarnation;
    std::int64_t m_sequence = 0;
    RowVersion m_planVersion; ///< Row version of the plan in force.
    RowVersion m_serversVersion;
    RowVersion m_readPlan; ///< Version up to which the plan's table was read; 0 to read it whole.
    RowVersion m_readServers;
    std::string m_planText;
    std::map<std::string, StoredRow> m_serverRows; ///< Also removed ones, for peers that have not heard of it.
    std::map<std::string, std::string> m_nodeTexts;
    std::array<bool, 2> m_lost{}; ///< By table: whether the last call for it failed.
    std::optional<TimePoint> m_behindSince; ///< Since when peers have read newer rows than this node.
    bool m_catchingUp = false;
    std::chrono::microseconds m_lag{0};
};

} // namespace apricotarch
