#pragma once

/**
 * @file
 * Claims of non-idempotent calls: a row is inserted before the only send, so that a call runs at most once whichever nodes
 * its caller asks, and whatever answers are lost.
 */

#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "apricotarch/coordination/conditional_write.h"
#include "apricotarch/coordination/lease.h"
#include "apricotarch/coordination/platform.h"
#include "apricotarch/state/claim_row.h"
#include "apricotarch/state/members.h"
#include "apricotarch/state/metrics.h"

namespace apricotarch
{

/// Names one non-idempotent call.
struct ClaimKey
{
    ServiceId service;
    CallerId caller;
    std::string idempotencyKey; ///< Chosen by the caller.
};

/// What may be done with a call.
enum class ClaimDecision {
    Send, ///< This process owns the call and may send it once.
    Replay, ///< It has run; the row holds its result.
    InProgress, ///< Another request is running it.
    OutcomeUnknown, ///< It may have run; it must not be sent again.
    KeyReused, ///< The key stands for another call.
    NotRun, ///< The claim could not be written; nothing was sent and nothing will be.
};

/// A decision with the row it rests on.
struct ClaimTicket
{
    ClaimDecision decision = ClaimDecision::NotRun;
    RowKey key;
    RowVersion version;
    ClaimRow row;
    Error error; ///< For NotRun: why.
};

/**
 * Decides about a call whose row is there already.
 * @param row the row
 * @param content hash of the call asked for now
 * @param ownerRunning whether the row's owner is running it at this moment, as far as is known
 * @return Send where the row may be taken over
 */
[[nodiscard]] ClaimDecision decideClaim(const ClaimRow &row, ContentHash content, bool ownerRunning) noexcept;

/// Claims calls for one process.
class ClaimKeeper
{
public:
    ClaimKeeper(TableStore &table, Members &members, Clock &clock, Metrics &metrics, ProcessId self);

    /// Claims a call. Only a ticket with decision Send allows a send, and only one.
    [[nodiscard]] asio::awaitable<ClaimTicket> begin(ClaimKey key, ContentHash content);

    /// Keeps the result of a call that was sent, or that a look-up found to have run.
    [[nodiscard]] asio::awaitable<void> finish(ClaimTicket ticket, ReplicaId replica, CallResult result);

    /// Marks a call that was certainly not sent, so that a repeat may run it.
    [[nodiscard]] asio::awaitable<void> abandon(ClaimTicket ticket);

    /// Marks a call that was sent and whose outcome is not known.
    [[nodiscard]] asio::awaitable<void> leaveUnknown(ClaimTicket ticket);

    /// Tries again to mark abandoned calls whose marking failed. Called every second or so.
    [[nodiscard]] asio::awaitable<void> settleAbandoned();

    /// Abandoned calls that are not marked yet.
    [[nodiscard]] std::size_t unsettled() const;

private:
    [[nodiscard]] asio::awaitable<ClaimTicket> insert(RowKey key, ClaimRow row);
    [[nodiscard]] asio::awaitable<ClaimTicket> meet(RowKey key, Row present, ClaimRow mine);
    [[nodiscard]] asio::awaitable<bool> mark(const ClaimTicket &ticket, ClaimRow row);
    [[nodiscard]] asio::awaitable<bool> markNotSent(const ClaimTicket &ticket);
    [[nodiscard]] ClaimTicket owned(const RowKey &key, RowVersion version, const ClaimRow &row);
    [[nodiscard]] ClaimTicket notRun(const RowKey &key, const ClaimRow &row, Error error);
    [[nodiscard]] bool isRunning(const RowKey &key, const ClaimRow &row) const;
    void ended(const RowKey &key);
    void remember(const ClaimTicket &ticket);

    TableStore &m_table;
    Members &m_members;
    Clock &m_clock;
    Metrics &m_metrics;
    ProcessId m_self;
    mutable std::mutex m_mutex;
    std::set<RowKey> m_running;
    std::vector<ClaimTicket> m_abandoned;
};

} // namespace apricotarch
