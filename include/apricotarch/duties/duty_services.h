#pragma once

/**
 * @file
 * Calls to the platform that are the duty of one node at a time: usage reports and orders of replicas.
 */

#include <cstdint>
#include <map>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/customers/customer_id.h"

namespace apricotarch
{

/// Identifies the holder of a duty in a call. Platforms that check fencing tokens reject calls of former holders.
struct DutyStamp
{
    NodeId holder;
    FencingToken token;
    TimePoint expiresAt = TimePoint::max(); ///< End of the holder's authority, on the clock of DutyLease. Nothing is sent after it.
};

/// Requests of each customer that backend servers began to run in one window.
struct UsageReport
{
    std::int64_t window = 0; ///< Number of the window, counted from the Unix epoch in units of the window's length.
    std::map<CustomerId, std::int64_t> requests; ///< Number of requests by customer; at least 1 each.

    bool operator==(const UsageReport &) const = default;
};

/// An order of the number of replicas of one kind in one availability zone.
struct ReplicaOrder
{
    ServiceId service;
    ZoneId zone;
    int count = 0; ///< Wanted number of replicas of this kind, those that run already included.
    bool reclaimable = false; ///< Replicas of the kind that the platform may take back.

    bool operator==(const ReplicaOrder &) const = default;
};

/// Outcome of a call.
enum class DutyCallOutcome : std::uint8_t {
    Accepted, ///< The platform has done it.
    NoneAvailable, ///< No replicas of the kind are available in the zone at present.
    RateLimited, ///< Rejected because of the rate of all nodes' calls; nothing was done.
    Rejected, ///< Rejected for another reason; a repeat would be rejected too.
    Unavailable, ///< Nothing was done: the call was not sent, or the platform is unavailable.
    Unanswered, ///< The call may have been done, or may still be.
};

/// Returns the name of an outcome in logs and metrics.
[[nodiscard]] const char *outcomeName(DutyCallOutcome outcome) noexcept;

/// The platform's calls. Each call is sent once, without retries.
class DutyServices
{
public:
    DutyServices() = default;
    DutyServices(const DutyServices &) = delete;
    DutyServices &operator=(const DutyServices &) = delete;
    virtual ~DutyServices() = default;

    /// Reports the usage of a window. An exact repeat has no effect. @param timeout limit for the whole call
    [[nodiscard]] virtual asio::awaitable<DutyCallOutcome> reportUsage(UsageReport report, DutyStamp stamp, Duration timeout) = 0;

    /// Orders replicas. @param timeout limit for the whole call
    [[nodiscard]] virtual asio::awaitable<DutyCallOutcome> orderReplicas(ReplicaOrder order, DutyStamp stamp, Duration timeout) = 0;
};

} // namespace apricotarch
