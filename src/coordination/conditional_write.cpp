#include "apricotarch/coordination/conditional_write.h"

#include <utility>

namespace apricotarch
{

namespace
{

WriteResult makeResult(WriteOutcome outcome, const std::optional<Row> &row)
{
    WriteResult result;
    result.outcome = outcome;
    if (row) {
        result.version = row->version;
        result.text = row->text;
    }
    return result;
}

} // namespace

WriteOutcome determineOutcome(const RowWrite &write, const std::optional<Row> &row, SendHistory history)
{
    if (row && row->text == write.text) {
        return WriteOutcome::Written;
    }
    if (history == SendHistory::AllRefused) {
        return WriteOutcome::Lost;
    }
    const StorePosition present = row ? row->version : StorePosition();
    // Versions of two incarnations are unrelated: a late write may still find the version that it expects.
    if (write.expected.exists() && present.exists() && present.incarnation() != write.expected.incarnation()) {
        return history == SendHistory::OneUnansweredOneRefused ? WriteOutcome::Superseded : WriteOutcome::Unknown;
    }
    if (present > write.expected.next()) {
        return WriteOutcome::Superseded;
    }
    if (present == write.expected.next()) {
        return WriteOutcome::Lost;
    }
    return history == SendHistory::OneUnansweredOneRefused ? WriteOutcome::Lost : WriteOutcome::Unknown;
}

asio::awaitable<WriteResult> writeConditionally(TableStore &table, Clock &clock, RowWrite write, ReadBackLimits limits)
{
    WriteResult result;
    bool anyUnanswered = false;
    bool anyRefused = false;
    for (int attempt = 0; attempt < limits.attempts; ++attempt) {
        const Result<StorePosition> written = co_await table.write(write);
        // After a restore, the expected version may be that of another row text, and the write may precede the restore.
        const bool isRestored = written && write.expected.exists() && written->incarnation() != write.expected.incarnation();
        if (written && !isRestored) {
            co_return WriteResult{WriteOutcome::Written, *written, write.text, Error()};
        }
        if (!written) {
            result.error = written.error();
        }
        anyRefused = anyRefused || (!written && written.error().id == ErrorId::Conflict);
        anyUnanswered = anyUnanswered || isRestored || (!written && written.error().delivery == Delivery::MaybeSent);
        if (!written && written.error().id != ErrorId::Conflict) {
            co_await clock.sleep(limits.pause);
        }
        const Result<std::optional<Row>> row = co_await table.read(write.key);
        if (!row || (!anyRefused && !anyUnanswered)) {
            continue;
        }
        const SendHistory history = !anyUnanswered ? SendHistory::AllRefused
            : anyRefused                           ? SendHistory::OneUnansweredOneRefused
                                                   : SendHistory::OneUnanswered;
        const WriteOutcome outcome = determineOutcome(write, *row, history);
        if (outcome != WriteOutcome::Unknown) {
            co_return makeResult(outcome, *row);
        }
    }
    result.outcome = anyUnanswered ? WriteOutcome::Unknown : WriteOutcome::Lost;
    co_return result;
}

} // namespace apricotarch
