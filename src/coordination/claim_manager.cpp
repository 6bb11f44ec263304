#include "apricotarch/coordination/claim_manager.h"

#include <algorithm>
#include <utility>

#include "apricotarch/base/hash.h"
#include "apricotarch/state/row_codec.h"

namespace apricotarch
{

namespace
{

constexpr std::size_t MaxPendingReleases = 10'000;

/// Returns a row key that is unique for each call, whatever characters its parts contain: the caller id is prefixed by its length.
RowKey rowKeyOf(const ClaimKey &key)
{
    const std::string caller = std::to_string(key.caller.value().size()) + ':' + key.caller.value();
    return {"claim", key.service.value() + '/' + sha256Hex(caller + key.idempotencyKey)};
}

} // namespace

ClaimDecision decideClaim(const ClaimRow &row, ContentHash content, bool isOwnerRunning) noexcept
{
    if (row.content != content) {
        return ClaimDecision::KeyReused;
    }
    switch (row.state) {
    case ClaimState::Done:
        return ClaimDecision::Replay;
    case ClaimState::NotSent:
        return ClaimDecision::Send;
    case ClaimState::Unknown:
        return ClaimDecision::OutcomeUnknown;
    case ClaimState::Dispatched:
        break;
    }
    return isOwnerRunning ? ClaimDecision::InProgress : ClaimDecision::OutcomeUnknown;
}

ClaimManager::ClaimManager(TableStore &table, MemberTable &members, Clock &clock, Metrics &metrics, ProcessId self)
    : m_table(table)
    , m_members(members)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_self(std::move(self))
{
}

bool ClaimManager::isRunning(const RowKey &key, const ClaimRow &row) const
{
    if (row.owner == m_self.node) {
        const std::lock_guard lock(m_mutex);
        return row.ownerIncarnation == m_self.incarnation && m_running.contains(key);
    }
    const auto owner = m_members.member(row.owner, m_clock.now());
    return owner && owner->status != MemberStatus::Gone && owner->last.incarnation == row.ownerIncarnation;
}

ClaimTicket ClaimManager::makeSendTicket(const RowKey &key, StorePosition version, const ClaimRow &row)
{
    return {ClaimDecision::Send, key, version, row, Error()};
}

ClaimTicket ClaimManager::makeNotRunTicket(const RowKey &key, const ClaimRow &row, Error error)
{
    removeRunning(key);
    ClaimTicket ticket{ClaimDecision::NotRun, key, StorePosition(), row, std::move(error)};
    if (ticket.error.delivery == Delivery::MaybeSent) {
        addPendingRelease(ticket);
    }
    return ticket;
}

void ClaimManager::removeRunning(const RowKey &key)
{
    const std::lock_guard lock(m_mutex);
    m_running.erase(key);
}

void ClaimManager::addPendingRelease(const ClaimTicket &ticket)
{
    const std::lock_guard lock(m_mutex);
    if (m_pendingReleases.size() < MaxPendingReleases) {
        m_pendingReleases.push_back(ticket);
        return;
    }
    m_metrics.increment(CounterFamily::Answers, "claim_left_unsettled");
}

asio::awaitable<ClaimTicket> ClaimManager::acquire(ClaimKey key, ContentHash content)
{
    const RowKey rowKey = rowKeyOf(key);
    ClaimRow row;
    row.state = ClaimState::Dispatched;
    row.content = content;
    row.owner = m_self.node;
    row.ownerIncarnation = m_self.incarnation;
    row.attempt = WriteAttemptId(generateUniqueId());
    {
        const std::lock_guard lock(m_mutex);
        if (!m_running.insert(rowKey).second) {
            co_return ClaimTicket{ClaimDecision::InProgress, rowKey, StorePosition(), row, Error()};
        }
    }
    co_return co_await insert(rowKey, row);
}

asio::awaitable<ClaimTicket> ClaimManager::insert(RowKey key, ClaimRow row)
{
    const RowWrite write{key, StorePosition(), encodeClaim(row), std::nullopt};
    const WriteResult written = co_await writeConditionally(m_table, m_clock, write);
    switch (written.outcome) {
    case WriteOutcome::Written:
        co_return makeSendTicket(key, written.version, row);
    case WriteOutcome::Lost:
    case WriteOutcome::Superseded:
        if (written.version != StorePosition()) {
            const Row existing{written.version, written.text};
            co_return co_await resolveExisting(key, existing, row);
        }
        break;
    case WriteOutcome::Unknown:
        break;
    }
    Error error = written.error;
    error.step = "claim.insert";
    error.delivery = written.outcome == WriteOutcome::Unknown ? Delivery::MaybeSent : Delivery::NotSent;
    co_return makeNotRunTicket(key, row, std::move(error));
}

asio::awaitable<ClaimTicket> ClaimManager::resolveExisting(RowKey key, Row existing, ClaimRow newRow)
{
    const Result<ClaimRow> decoded = decodeClaim(existing.text);
    if (!decoded) {
        co_return makeNotRunTicket(key, newRow, decoded.error());
    }
    bool isRunningElsewhere = false;
    {
        const bool isOfThisNode = decoded->owner == m_self.node;
        isRunningElsewhere = !isOfThisNode && isRunning(key, *decoded);
    }
    const ClaimDecision decision = decideClaim(*decoded, newRow.content, isRunningElsewhere);
    if (decision != ClaimDecision::Send) {
        removeRunning(key);
        co_return ClaimTicket{decision, key, existing.version, *decoded, Error()};
    }
    const RowWrite write{key, existing.version, encodeClaim(newRow), std::nullopt};
    const WriteResult written = co_await writeConditionally(m_table, m_clock, write);
    if (written.outcome == WriteOutcome::Written) {
        co_return makeSendTicket(key, written.version, newRow);
    }
    Error error = written.error;
    error.step = "claim.take_over";
    error.delivery = written.outcome == WriteOutcome::Unknown ? Delivery::MaybeSent : Delivery::NotSent;
    co_return makeNotRunTicket(key, newRow, std::move(error));
}

asio::awaitable<bool> ClaimManager::writeRow(const ClaimTicket &ticket, ClaimRow row)
{
    row.attempt = WriteAttemptId(generateUniqueId());
    const RowWrite write{ticket.key, ticket.version, encodeClaim(row), std::nullopt};
    const WriteResult written = co_await writeConditionally(m_table, m_clock, write);
    co_return written.outcome == WriteOutcome::Written;
}

asio::awaitable<void> ClaimManager::storeResult(ClaimTicket ticket, ReplicaId replica, CallResult result)
{
    ClaimRow row = ticket.row;
    row.state = ClaimState::Done;
    row.replica = std::move(replica);
    row.result = std::move(result);
    const bool isStored = co_await writeRow(ticket, row);
    m_metrics.increment(CounterFamily::Answers, isStored ? "claim_result_kept" : "claim_result_not_kept");
    removeRunning(ticket.key);
}

asio::awaitable<void> ClaimManager::markOutcomeUnknown(ClaimTicket ticket)
{
    ClaimRow row = ticket.row;
    row.state = ClaimState::Unknown;
    (void)co_await writeRow(ticket, row);
    removeRunning(ticket.key);
}

asio::awaitable<void> ClaimManager::releaseUnsent(ClaimTicket ticket)
{
    const bool isMarked = co_await markNotSent(ticket);
    if (!isMarked) {
        addPendingRelease(ticket);
    }
    removeRunning(ticket.key);
}

asio::awaitable<bool> ClaimManager::markNotSent(const ClaimTicket &ticket)
{
    const Result<std::optional<Row>> read = co_await m_table.read(ticket.key);
    if (!read) {
        co_return false;
    }
    ClaimRow row = ticket.row;
    row.state = ClaimState::NotSent;
    StorePosition version;
    if (*read) {
        const Result<ClaimRow> present = decodeClaim((*read)->text);
        const bool isSameClaim = present && present->attempt == ticket.row.attempt;
        if (!isSameClaim) {
            co_return true;
        }
        version = (*read)->version;
    }
    ClaimTicket updated = ticket;
    updated.version = version;
    co_return co_await writeRow(updated, row);
}

asio::awaitable<void> ClaimManager::retryPendingReleases()
{
    std::vector<ClaimTicket> tickets;
    {
        const std::lock_guard lock(m_mutex);
        tickets.swap(m_pendingReleases);
    }
    for (const ClaimTicket &ticket : tickets) {
        const bool isMarked = co_await markNotSent(ticket);
        if (!isMarked) {
            addPendingRelease(ticket);
        }
    }
}

std::size_t ClaimManager::pendingReleaseCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_pendingReleases.size();
}

} // namespace apricotarch
