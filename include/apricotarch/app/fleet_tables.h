#pragma once

/**
 * @file
 * The rows of the platform's tables that a front node has read, from the store or from a peer, and their application to its state.
 */

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "apricotarch/app/front_state.h"
#include "apricotarch/state/front_heartbeat.h"

namespace apricotarch
{

/// Names of the platform's tables and decoders of their rows, provided by the platform's protocol adapter.
struct RowDecoders
{
    std::string planTable; ///< Table that contains the configuration, which decodes to a RoutingPlan.
    std::string planKey; ///< Key of the configuration's row.
    std::string serversTable; ///< Table with one row per backend server.
    std::function<Result<RoutingPlan>(const std::string &text)> decodeRoutingPlan;
    std::function<Result<BackendRecord>(const std::string &key, const std::string &text)> decodeServer;
};

/**
 * Applies rows to a FrontState and keeps them for peers. Not thread-safe; used on one event loop.
 *
 * A configuration is ordered by the operator's version alone, which never goes back. The servers' rows are ordered by their positions
 * within one incarnation of the store, and by the servers' own counters across a restore, which brings back older rows.
 */
class FleetTables
{
public:
    /**
     * @param state the state to update; must outlive this object
     * @param decoders table names and row decoders of the platform
     */
    FleetTables(FrontState &state, RowDecoders decoders);

    // ---- changes ----

    /// Applies rows of the configuration's table.
    void applyPlanRows(const std::vector<StoredRow> &rows);

    /**
     * Applies rows of the servers' table that are newer than those already known.
     * @param rows changed rows, or all rows
     * @param version version of the table as of the rows
     * @param isFullTable whether @p rows are all rows; other servers are then removed
     */
    void applyServerRows(const std::vector<StoredRow> &rows, StorePosition version, bool isFullTable);

    /// Makes the servers those of a restored store, once the time to write lost rows again and to remove silent servers is over.
    void settleAfterRestore();

    /**
     * Applies the rows that a peer has sent.
     * @param snapshot the peer's answer
     * @param request the request that it answers
     * @return MalformedMessage or MessageTooLarge if the configuration cannot be decompressed; the servers are applied even then
     */
    [[nodiscard]] Result<void> applySnapshot(const FleetSnapshot &snapshot, const FleetSnapshotRequest &request);

    // ---- views ----

    /// Returns the rows that a peer lacks, without the nodes' table.
    [[nodiscard]] FleetSnapshot makeSnapshot(const FleetSnapshotRequest &request);

    /// The operator's version of the configuration in force.
    [[nodiscard]] ConfigurationVersion planVersion() const noexcept
    {
        return ConfigurationVersion(m_state.plan->version());
    }

    /// Position up to which the servers' table is known.
    [[nodiscard]] StorePosition serversVersion() const noexcept
    {
        return m_serversVersion;
    }

    [[nodiscard]] const RowDecoders &decoders() const noexcept
    {
        return m_decoders;
    }

private:
    /// A server's row, which is kept after its removal, so that snapshots report the removal to peers.
    struct KnownServer
    {
        StoredRow row;
        std::string lastText; ///< Text of the row or, if it has been removed, its text before that.
        std::string disregardedCopy; ///< Row of a restored store for a server that had left before; used if the store keeps it.
    };

    /// @return whether the configuration has been adopted
    bool applyPlan(const std::string &text, const char *source);
    void resizeCaches();
    /// Marks those servers as removed that a full table of this version does not contain.
    void markMissingRemoved(const std::vector<StoredRow> &rows, StorePosition version);
    void removeUnconfirmed();
    void useDisregardedCopies();
    /// Replaces a server's row by a newer one.
    void replaceRow(KnownServer &known, const StoredRow &row);
    /// Whether a row of a restored store precedes the known row by the server's own counters.
    [[nodiscard]] bool isOlderCopy(const StoredRow &row, const KnownServer &known) const;
    /// Replaces the servers of the state by those of m_serverRows.
    void replaceServers(StorePosition version);
    void logRemoval(const std::string &key, StorePosition version) const;
    /// Decodes a row and removes its server if the row was removed or cannot be decoded. @return the server if it is to be used
    [[nodiscard]] std::optional<BackendRecord> decodeOrRemove(const StoredRow &row);
    void updateServer(const BackendRecord &record, StorePosition version);

    FrontState &m_state;
    RowDecoders m_decoders;
    StorePosition m_serversVersion; ///< Highest position in m_serverRows, or that of a snapshot if it is higher.
    std::optional<TimePoint> m_restoredAt; ///< When rows of the latest incarnation were first read, unless that is the first one.
    bool m_removesUnconfirmed = false; ///< Whether rows of an earlier incarnation are still to be removed.
    bool m_usesDisregarded = false; ///< Whether disregarded copies are still to be used.
    std::string m_planText;
    std::string m_compressedPlan; ///< m_planText as compressed by this node or by a peer; empty until it is needed.
    std::map<std::string, KnownServer> m_serverRows;
};

} // namespace apricotarch
