#include "apricotarch/coordination/conditional_write.h"

#include <utility>

namespace apricotarch
{

namespace
{

WriteResult resultOf(WriteOutcome outcome, const std::optional<Row> &row)
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

WriteOutcome settle(const RowWrite &write, const std::optional<Row> &row, SendHistory history)
{
    if (row && row->text == write.text) {
        return WriteOutcome::Written;
    }
    if (history == SendHistory::AllRefused) {
        return WriteOutcome::Lost;
    }
    const RowVersion present = row ? row->version : RowVersion();
    if (present > write.expected.next()) {
        return WriteOutcome::Overtaken;
    }
    if (present == write.expected.next()) {
        return WriteOutcome::Lost;
    }
    return history == SendHistory::OneUnansweredOneRefused ? WriteOutcome::Lost : WriteOutcome::Unknown;
}

asio::awaitable<WriteResult> writeSettled(TableStore &table, Clock &clock, RowWrite write, SettleTimes times)
{
    WriteResult result;
    bool unanswered = false;
    bool refused = false;
    for (int attempt = 0; attempt < times.attempts; ++attempt) {
        const Result<RowVersion> written = co_await table.write(write);
        if (written) {
            co_return WriteResult{WriteOutcome::Written, *written, write.text, Error()};
        }
        result.error = written.error();
        refused = refused || written.error().id == ErrorId::Conflict;
        unanswered = unanswered || written.error().delivery == Delivery::MaybeSent;
        if (written.error().id != ErrorId::Conflict) {
            co_await clock.sleep(times.pause);
        }
        const Result<std::optional<Row>> row = co_await table.read(write.key);
        if (!row || (!refused && !unanswered)) {
            continue;
        }
        const SendHistory history = !unanswered ? SendHistory::AllRefused
            : refused                           ? SendHistory::OneUnansweredOneRefused
                                                : SendHistory::OneUnanswered;
        const WriteOutcome outcome = settle(write, *row, history);
        if (outcome != WriteOutcome::Unknown) {
            co_return resultOf(outcome, *row);
        }
    }
    result.outcome = unanswered ? WriteOutcome::Unknown : WriteOutcome::Lost;
    co_return result;
}

} // namespace apricotarch
