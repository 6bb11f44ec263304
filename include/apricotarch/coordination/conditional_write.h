#pragma once

/**
 * @file
 * Conditional writes. If the answer to a write is lost, its outcome is determined by reading back the row's attempt id.
 */

#include "apricotarch/base/clock.h"
#include "apricotarch/coordination/platform_services.h"

namespace apricotarch
{

/// The outcome of a conditional write.
enum class WriteOutcome {
    Written, ///< The row contains this write.
    Lost, ///< Another write came first or nothing was sent; this write had no effect and will have none.
    Superseded, ///< The row has been written several times since; one of the writes may have been this one.
    Unknown, ///< The write may have taken effect, or may still do so.
};

/// The outcome of a write, and the row if its state after the write is known.
struct WriteResult
{
    WriteOutcome outcome = WriteOutcome::Unknown;
    StorePosition version; ///< Version of the row after the write, if it was read or written.
    std::string text; ///< Text of the row after the write, if it was read or written.
    Error error; ///< The last error, if the outcome could not be determined from the row.
};

/// Limits on the attempts to determine the outcome of a write.
struct ReadBackLimits
{
    Duration pause = std::chrono::milliseconds(100); ///< Time before the row is read back after an unanswered send.
    int attempts = 3; ///< Maximum number of sends, each followed by a read if it is not successful.
};

/// How the requests of one write were answered.
enum class SendHistory {
    AllRefused, ///< Every request was answered with Conflict.
    OneUnanswered, ///< At least one request was not answered and none was refused.
    OneUnansweredOneRefused, ///< At least one request was not answered and one was refused, so none can take effect from now on.
};

/**
 * Determines the outcome of a write from the row read back after its last request. Each write increments the row version.
 * @param write the write
 * @param row the row that was read back; nothing if there is none
 * @param history how the requests were answered
 * @return the outcome; Unknown only if the write may still arrive
 */
[[nodiscard]] WriteOutcome determineOutcome(const RowWrite &write, const std::optional<Row> &row, SendHistory history);

/**
 * Writes a row and, if the answer is lost, reads it back. If the row is still unchanged, the same write is sent again; its
 * condition and its attempt id ensure that it takes effect at most once.
 * @param table the table service
 * @param clock clock for pauses
 * @param write the write; its text must contain a unique attempt id
 * @param limits limits on the attempts to determine the outcome
 */
[[nodiscard]] asio::awaitable<WriteResult> writeConditionally(TableStore &table, Clock &clock, RowWrite write, ReadBackLimits limits = {});

} // namespace apricotarch
