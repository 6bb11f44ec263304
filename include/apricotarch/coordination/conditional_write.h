#pragma once

/**
 * @file
 * Conditional writes whose lost answers are settled by reading back the attempt id, never by guessing.
 */

#include "apricotarch/base/clock.h"
#include "apricotarch/coordination/platform.h"

namespace apricotarch
{

/// How a conditional write ended.
enum class WriteOutcome {
    Written, ///< The row is this attempt's.
    Lost, ///< Another write came first; this attempt had no effect and never will.
    Overtaken, ///< The row has moved on by several writes, of which one may have been this attempt.
    Unknown, ///< It may have taken effect, or may still do so.
};

/// A write's outcome with what is known of the row.
struct WriteResult
{
    WriteOutcome outcome = WriteOutcome::Unknown;
    RowVersion version; ///< Of the row now, where known.
    std::string text; ///< Of the row now, where another write came first.
    Error error; ///< Why the outcome is unknown.
};

/// How long to try to settle a lost answer.
struct SettleTimes
{
    Duration pause = std::chrono::milliseconds(100);
    int attempts = 3;
};

/// What is known of the sends of one write.
enum class SendHistory {
    AllRefused, ///< Every send was answered with Conflict.
    OneUnanswered, ///< A send was not answered and none was refused.
    OneUnansweredOneRefused, ///< A send was not answered and a later one was refused, so none can take effect from now on.
};

/**
 * Decides a write from the row read back after its last send. Row versions grow by one with each write.
 * @param write what was sent
 * @param row the row now; nothing where there is none
 * @param history how the sends were answered
 * @return Unknown only where the write may yet arrive
 */
[[nodiscard]] WriteOutcome settle(const RowWrite &write, const std::optional<Row> &row, SendHistory history);

/**
 * Writes once and, where the answer is lost, reads back. Where the row still stands as before, the same write is sent
 * again: its condition and its attempt id make that harmless.
 * @param table the table service
 * @param clock for pauses
 * @param write a row text that contains an attempt id of its own
 * @param times how long to try
 */
[[nodiscard]] asio::awaitable<WriteResult> writeSettled(TableStore &table, Clock &clock, RowWrite write, SettleTimes times = {});

} // namespace apricotarch
