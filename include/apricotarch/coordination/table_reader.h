#pragma once

/**
 * @file
 * Interface of the platform's store for reading complete tables and their changes. Front nodes use it.
 */

#include <string>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/error.h"
#include "apricotarch/state/front_heartbeat.h"

namespace apricotarch
{

/// The rows of one table at one moment, or its changes up to that moment.
struct RowBatch
{
    std::vector<StoredRow> rows;
    StorePosition version; ///< Position of the store at that moment; the next changes are those after it.
};

/**
 * Reads complete tables and their changes. Errors: TimedOut if no answer arrives, ConnectionLost if the connection is lost
 * before the answer, RateLimited, StoreUnavailable (the request was not executed), HistoryDropped (the changes after the
 * given position are not available, or it is of another incarnation of the store), MalformedMessage.
 */
class TableReader
{
public:
    TableReader() = default;
    TableReader(const TableReader &) = delete;
    TableReader &operator=(const TableReader &) = delete;
    virtual ~TableReader() = default;

    /// Reads all rows of a table.
    [[nodiscard]] virtual asio::awaitable<Result<RowBatch>> readTable(std::string table) = 0;

    /**
     * Waits for changes of a table.
     * @param table the table
     * @param after position of the batch that was read last
     * @param wait how long the store may delay its answer; the batch is empty if there is no change within this time
     */
    [[nodiscard]] virtual asio::awaitable<Result<RowBatch>> readChanges(std::string table, StorePosition after, Duration wait) = 0;

    /**
     * Gives up the waits of readChanges() that are in progress, which then fail with TimedOut, and the connections that it keeps. Later
     * calls use new connections.
     */
    virtual void abandonPolls()
    {
    }

    /// Latest incarnation of the store that an answer has reported.
    [[nodiscard]] virtual StoreIncarnation incarnation() const
    {
        return {};
    }

    /// Returns whether a connection to the store can be established. Makes no call.
    [[nodiscard]] virtual asio::awaitable<bool> isReachable() = 0;
};

} // namespace apricotarch
