#pragma once

/**
 * @file
 * Claims of non-idempotent calls. A row is inserted before the only send, so a call runs at most once even if its caller
 * repeats it at several nodes or answers are lost.
 */

#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "apricotarch/coordination/conditional_write.h"
#include "apricotarch/coordination/lease.h"
#include "apricotarch/coordination/platform_services.h"
#include "apricotarch/state/claim_row.h"
#include "apricotarch/state/member_table.h"
#include "apricotarch/state/metrics.h"

namespace apricotarch
{

/// Identifies one non-idempotent call.
struct ClaimKey
{
    ServiceId service;
    CallerId caller;
    std::string idempotencyKey; ///< Chosen by the caller.
};

/// How to proceed with a call.
enum class ClaimDecision {
    Send, ///< This process owns the claim and may send the call once.
    Replay, ///< The call has run; the row contains its result.
    InProgress, ///< Another request is running the call.
    OutcomeUnknown, ///< The call may have run; it must not be sent again.
    KeyReused, ///< The idempotency key belongs to a different call.
    NotRun, ///< The claim could not be written; the call was not and will not be sent.
};

/// The decision about a call and the row on which it is based.
struct ClaimTicket
{
    ClaimDecision decision = ClaimDecision::NotRun;
    RowKey key;
    StorePosition version;
    ClaimRow row;
    Error error; ///< For NotRun: the cause.
};

/**
 * Decides about a call for which a row exists.
 * @param row the row
 * @param content hash of the requested call
 * @param isOwnerRunning whether the row's owner is presumably running the call at present
 * @return the decision; Send if the row may be taken over
 */
[[nodiscard]] ClaimDecision decideClaim(const ClaimRow &row, ContentHash content, bool isOwnerRunning) noexcept;

/// Manages the claims of one process.
class ClaimManager
{
public:
    ClaimManager(TableStore &table, MemberTable &members, Clock &clock, Metrics &metrics, ProcessId self);

    /// Claims a call. Only a ticket with the decision Send permits a send, and only one.
    [[nodiscard]] asio::awaitable<ClaimTicket> acquire(ClaimKey key, ContentHash content);

    /// Stores the result of a call that was sent, or that a look-up at the backend server found to have run.
    [[nodiscard]] asio::awaitable<void> storeResult(ClaimTicket ticket, ReplicaId replica, CallResult result);

    /// Marks a call as certainly not sent, so that the caller may repeat it.
    [[nodiscard]] asio::awaitable<void> releaseUnsent(ClaimTicket ticket);

    /// Marks a call as sent with an unknown outcome.
    [[nodiscard]] asio::awaitable<void> markOutcomeUnknown(ClaimTicket ticket);

    /// Retries the releases of unsent calls that failed because the row could not be written. Called about once per second.
    [[nodiscard]] asio::awaitable<void> retryPendingReleases();

    /// Returns the number of releases that are still to be retried.
    [[nodiscard]] std::size_t pendingReleaseCount() const;

private:
    [[nodiscard]] asio::awaitable<ClaimTicket> insert(RowKey key, ClaimRow row);
    /// Decides about a call whose row exists, and takes the row over if permitted.
    [[nodiscard]] asio::awaitable<ClaimTicket> resolveExisting(RowKey key, Row existing, ClaimRow newRow);
    [[nodiscard]] asio::awaitable<bool> writeRow(const ClaimTicket &ticket, ClaimRow row);
    [[nodiscard]] asio::awaitable<bool> markNotSent(const ClaimTicket &ticket);
    [[nodiscard]] ClaimTicket makeSendTicket(const RowKey &key, StorePosition version, const ClaimRow &row);
    [[nodiscard]] ClaimTicket makeNotRunTicket(const RowKey &key, const ClaimRow &row, Error error);
    [[nodiscard]] bool isRunning(const RowKey &key, const ClaimRow &row) const;
    void removeRunning(const RowKey &key);
    void addPendingRelease(const ClaimTicket &ticket);

    TableStore &m_table;
    MemberTable &m_members;
    Clock &m_clock;
    Metrics &m_metrics;
    ProcessId m_self;
    mutable std::mutex m_mutex;
    std::set<RowKey> m_running; ///< Calls that this process is running.
    std::vector<ClaimTicket> m_pendingReleases; ///< Calls that were not sent, but whose rows could not be marked as NotSent yet.
};

} // namespace apricotarch
