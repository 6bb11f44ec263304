#pragma once

/**
 * @file
 * A node's counts of the requests that servers began to run, until the collectors have them.
 */

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "apricotarch/state/usage_update.h"

namespace apricotarch
{

/// Times of usage windows.
struct UsageTimes
{
    std::chrono::milliseconds window = std::chrono::seconds(5); ///< Length of a window.
    std::chrono::milliseconds late = std::chrono::seconds(10); ///< A report arrives at most this long after the end of its window.
    /// Counts are final this long after the end of the window. Requests other than streams are counted when they are answered.
    std::chrono::milliseconds settling = std::chrono::seconds(2);
    std::chrono::milliseconds retention = std::chrono::seconds(30); ///< Counts and reports older than this are dropped.
};

/// Identifies the sender of updates.
struct UsageSender
{
    Endpoint peerAddress;
    Incarnation incarnation;
    NodeId node;
    bool leaving = false;
};

/**
 * Counts requests by window and customer, and keeps for each collector which counts it lacks. Memory is bounded by the customers with
 * requests at this node within UsageTimes::retention; the work of one call by the counts that have changed. Not thread-safe.
 */
class UsageCounter
{
public:
    /// Estimated size of an update at which the next one begins. Datagrams stay under 1,200 bytes with their authentication.
    static constexpr std::size_t MaxUpdateBytes = 1100;

    /// Updates that are sent to a collector at once. The others follow when these are acknowledged.
    static constexpr std::size_t MaxUpdates = 4;

    explicit UsageCounter(UsageTimes times);

    /**
     * Counts a request.
     * @param customer customer of the request
     * @param startedAt when a server began to run it
     * @param now current time
     * @return false if its window is too old
     */
    bool count(const CustomerId &customer, UnixTime startedAt, UnixTime now);

    /// Sets the collectors. A new one lacks all counts.
    void setCollectors(const std::vector<Endpoint> &collectors);

    /**
     * Returns the datagrams that a collector lacks; none if there is nothing new. A collector that has not acknowledged the datagrams of
     * several calls gets one at a time.
     */
    [[nodiscard]] std::vector<UsageUpdate> updates(const Endpoint &collector, const UsageSender &sender, UnixTime now);

    /// Records that a collector has a datagram.
    void acknowledge(const UsageAck &ack);

    /// Drops windows that are older than UsageTimes::retention.
    void removeExpired(UnixTime now);

private:
    using Totals = std::unordered_map<CustomerId, std::int64_t>;

    /// What one collector lacks.
    struct Collector
    {
        std::optional<Incarnation> incarnation; ///< As of the last acknowledgement.
        std::map<std::int64_t, std::set<CustomerId>> unacknowledged; ///< Customers by window.
        std::int64_t finalWindow = 0; ///< The collector has the final counts up to this one.
        std::map<std::int64_t, UsageUpdate> sent; ///< Unacknowledged datagrams by number.
        int unansweredCalls = 0; ///< Calls of updates() since the last acknowledgement.
    };

    void markAllUnacknowledged(Collector &collector) const;
    /// Adds unacknowledged counts to an update until it is full. @return the first window that has more of them
    [[nodiscard]] std::optional<std::int64_t> fill(
        UsageUpdate &update, const Collector &collector, std::pair<std::int64_t, CustomerId> &position) const;

    UsageTimes m_times;
    std::map<std::int64_t, Totals> m_windows;
    std::map<Endpoint, Collector> m_collectors;
    std::int64_t m_lastNumber = 0;
};

} // namespace apricotarch
