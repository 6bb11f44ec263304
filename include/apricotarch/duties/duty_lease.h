#pragma once

/**
 * @file
 * The lease under which one node at a time performs all singleton duties of an installation.
 */

#include <memory>
#include <optional>

#include "apricotarch/coordination/lease.h"
#include "apricotarch/duties/duty_services.h"

namespace apricotarch
{

/// Authority to perform duties at one moment.
struct DutyAuthority
{
    DutyStamp stamp;
    RowGuard lease; ///< Guard for writes of the holder; see Authority.
    Duration remaining{0}; ///< Time until the authority ends. A call must time out before.
    /// Marks the authority as being used. Keep the object during the act and destroy it afterwards: DutyLease::release() waits for that.
    std::shared_ptr<const void> use;
};

/**
 * Takes, renews and releases the lease for all duties of this process. Not thread-safe; used on one event loop.
 *
 * Calls to the platform carry no condition that it checks, so the order of their arrival must follow from the times at which they are sent:
 * a process does not take the lease within the return interval after its own start or after the end of its last authority. The rule on the
 * start also covers a process that was stopped and restarted, under the same name or another one.
 */
class DutyLease
{
public:
    /**
     * @param rows table that contains the lease's row
     * @param clock clock that counts the time of a suspension, see BootClock
     * @param metrics counters
     * @param self this process
     * @param returnInterval time within which the users tolerate no return of a former holder
     */
    DutyLease(TableStore &rows, Clock &clock, Metrics &metrics, ProcessId self, Duration returnInterval);
    DutyLease(const DutyLease &) = delete;
    DutyLease &operator=(const DutyLease &) = delete;
    ~DutyLease();

    /**
     * Reads the lease's row, and takes or renews the lease if that is due. Concurrent calls are performed one after the other. Must be
     * called directly before an act, so that a process that was suspended detects the loss of the lease.
     * @return the authority, or nothing if the lease is not held
     */
    [[nodiscard]] asio::awaitable<std::optional<DutyAuthority>> renew();

    /// Returns the authority as of the last renewal, or nothing if it has ended since. Sends nothing.
    [[nodiscard]] std::optional<DutyAuthority> authority() const;

    /// Releases the lease during a planned stop. No authority is given from the call on. Waits until acts in progress have ended, at most
    /// until their authority ends, and then writes the row. This process does not take the lease again.
    [[nodiscard]] asio::awaitable<void> release();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace apricotarch
