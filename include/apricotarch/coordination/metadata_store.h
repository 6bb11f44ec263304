#pragma once

/**
 * @file
 * The platform's store as front nodes use it beyond single rows: whole tables and their changes.
 */

#include <string>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/error.h"
#include "apricotarch/state/front_beat.h"

namespace apricotarch
{

/// Rows of one table as of one moment, or changes up to one.
struct RowBatch
{
    std::vector<StoredRow> rows;
    RowVersion version; ///< Of the store at that moment; changes after it come next.
};

/**
 * Reads tables. Errors: TimedOut and ConnectionLost for lost and silent answers, RateLimited, StoreUnavailable (nothing was
 * done), HistoryDropped, MalformedMessage.
 */
class TableReader
{
public:
    TableReader() = default;
    TableReader(const TableReader &) = delete;
    TableReader &operator=(const TableReader &) = delete;
    virtual ~TableReader() = default;

    /// All rows of a table.
    [[nodiscard]] virtual asio::awaitable<Result<RowBatch>> readTable(std::string table) = 0;

    /**
     * Waits for changes of a table.
     * @param after version that was read last
     * @param wait how long the store may hold the call; none in that time gives an empty batch
     */
    [[nodiscard]] virtual asio::awaitable<Result<RowBatch>> readChanges(std::string table, RowVersion after, Duration wait) = 0;
};

} // namespace apricotarch
