#pragma once

/**
 * @file
 * Confirms with the store that this node's table of servers is not outdated.
 */

#include <optional>

#include <boost/asio/awaitable.hpp>

#include "apricotarch/app/fleet_tables.h"
#include "apricotarch/app/front_state.h"
#include "apricotarch/coordination/table_reader.h"

namespace apricotarch
{

/**
 * Reads what has changed in the servers' table when a decision depends on there being no such change. A node that was cut off or stood
 * still cannot tell from its own table, nor from messages that may have waited for it. Not thread-safe; used on one event loop.
 */
class ServerTableCheck
{
public:
    /**
     * @param state the node's state; must outlive this object
     * @param tables reads the changes
     * @param fleetTables applies them; must outlive this object
     */
    ServerTableCheck(FrontState &state, TableReader &tables, FleetTables &fleetTables);

    /**
     * Waits until the table is known to agree with the store as of a time, at most 250 ms. Calls at the same time share reads.
     * @param since not later than now
     * @return whether it is; false if the store does not answer in time or has just failed to answer
     */
    [[nodiscard]] asio::awaitable<bool> confirm(TimePoint since);

private:
    [[nodiscard]] asio::awaitable<void> readChanges();

    FrontState &m_state;
    TableReader &m_tables;
    FleetTables &m_fleetTables;
    bool m_reading = false;
    TimePoint m_retryAt; ///< After a failed call: when the store is called again.
    std::optional<TimePoint> m_confirmedAt; ///< When the last successful read began.
};

} // namespace apricotarch
