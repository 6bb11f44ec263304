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

/// Applies rows to a FrontState in the order of their versions and keeps them for peers. Not thread-safe; used on one event loop.
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
    void applyServerRows(const std::vector<StoredRow> &rows, RowVersion version, bool isFullTable);

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

    /// Row version of the configuration in force.
    [[nodiscard]] RowVersion planVersion() const noexcept
    {
        return m_planVersion;
    }

    /// Version up to which the servers' table is known.
    [[nodiscard]] RowVersion serversVersion() const noexcept
    {
        return m_serversVersion;
    }

    [[nodiscard]] const RowDecoders &decoders() const noexcept
    {
        return m_decoders;
    }

private:
    /// @return whether the configuration has been adopted
    bool applyPlan(const std::string &text, RowVersion version, const char *source);
    void resizeCaches();
    /// Marks those servers as removed that a full table of this version does not contain.
    void markMissingRemoved(const std::vector<StoredRow> &rows, RowVersion version);
    /// Replaces the servers of the state by those of m_serverRows.
    void replaceServers(RowVersion version);
    /// Decodes a row and removes its server if the row was removed or cannot be decoded. @return the server if it is to be used
    [[nodiscard]] std::optional<BackendRecord> decodeOrRemove(const StoredRow &row);
    void updateServer(const BackendRecord &record, RowVersion version);

    FrontState &m_state;
    RowDecoders m_decoders;
    RowVersion m_planVersion;
    RowVersion m_serversVersion; ///< Highest row version in m_serverRows, or that of a snapshot if it is higher.
    std::string m_planText;
    std::string m_compressedPlan; ///< m_planText as compressed by this node or by a peer; empty until it is needed.
    std::map<std::string, StoredRow> m_serverRows; ///< Includes removed servers, so that snapshots report the removal to peers.
};

} // namespace apricotarch
