#pragma once

/**
 * @file
 * Registration of a front node in the nodes' table, by which nodes find each other.
 */

#include <map>
#include <string>

#include "apricotarch/app/front_state.h"
#include "apricotarch/coordination/platform_services.h"
#include "apricotarch/coordination/table_reader.h"

namespace apricotarch
{

/// Keeps this node's row in the nodes' table and adds the other nodes to the table of peers.
class NodeRegistration
{
public:
    /**
     * @param state the node's state; must outlive this object
     * @param tables reads full tables; must outlive this object
     * @param rows writes this system's own rows; must outlive this object
     */
    NodeRegistration(FrontState &state, TableReader &tables, TableStore &rows);

    /// Registers this node and reads the table now and then. Never returns.
    [[nodiscard]] asio::awaitable<void> run();

    /// Registers again within a few seconds, after a restore of the store that may have lost this node's row.
    void registerAgain();

    /// Texts of the nodes' rows as last read, by node.
    [[nodiscard]] const std::map<std::string, std::string> &nodes() const noexcept
    {
        return m_nodes;
    }

private:
    enum class Outcome : std::uint8_t {
        Found, ///< The row already has the current address, or the node is shutting down and does not register.
        Written, ///< The row has been written.
    };

    [[nodiscard]] asio::awaitable<Result<Outcome>> registerOnce();

    FrontState &m_state;
    TableReader &m_tables;
    TableStore &m_rows;
    std::map<std::string, std::string> m_nodes;
    TimePoint m_nextReadAt; ///< When the table is read next, once this node is registered.
};

} // namespace apricotarch
