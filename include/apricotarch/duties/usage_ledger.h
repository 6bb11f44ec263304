#pragma once

/**
 * @file
 * The counts of all nodes, as kept by a node that collects them.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "apricotarch/duties/usage_counter.h"

namespace apricotarch
{

/**
 * Totals by window, process and customer. Of two totals the larger one is kept, so that lost, repeated and reordered datagrams have no
 * effect. Memory: 8 bytes for each window, process and customer with requests there, see docs/CAPACITY.md. Not thread-safe.
 */
class UsageLedger
{
public:
    /// A sender is known to be alive for this long after an update. Each node sends one in each window, and repeats those that are lost.
    static constexpr std::chrono::milliseconds SenderTimeout{8'000};

    explicit UsageLedger(UsageTimes times);

    /// Adds the counts of an update. Counts of windows that are too old, or that lie in the future, are ignored.
    void record(const UsageUpdate &update, UnixTime now);

    /// Drops windows that are older than UsageTimes::retention.
    void removeExpired(UnixTime now);

    /// Returns the requests of each customer in a window.
    [[nodiscard]] std::map<CustomerId, std::int64_t> sum(std::int64_t window) const;

    /// Whether there are requests in a window.
    [[nodiscard]] bool hasRequests(std::int64_t window) const;

    /**
     * Returns the nodes of which the final counts of a window are missing. Nodes that send no counts at all are left out once they could
     * have sent some.
     * @param window number of the window
     * @param liveNodes addresses of the nodes that are alive
     * @param now current time
     */
    [[nodiscard]] std::vector<Endpoint> missing(std::int64_t window, const std::vector<Endpoint> &liveNodes, UnixTime now) const;

    /// Returns since when this node has been getting counts without a longer pause; nothing if it gets none.
    [[nodiscard]] std::optional<UnixTime> collectingSince(UnixTime now) const;

    /**
     * Returns the address of the live node with the smallest name but one.
     * @param self the node that is left out
     * @param now current time
     * @param mayBeAlive whether the node at an address may be alive
     */
    [[nodiscard]] std::optional<Endpoint> successor(
        const NodeId &self, UnixTime now, const std::function<bool(const Endpoint &)> &mayBeAlive) const;

    /// Returns the number of totals that are kept.
    [[nodiscard]] std::size_t entryCount() const;

private:
    /// Requests of one customer at one process in one window.
    struct Entry
    {
        std::uint32_t customer = 0; ///< Index in Window::customers.
        std::uint32_t total = 0;
    };

    struct Window
    {
        std::unordered_map<std::string, std::uint32_t> customerIndex;
        std::vector<const std::string *> customers; ///< Keys of customerIndex.
        std::unordered_map<std::uint32_t, std::vector<Entry>> processes; ///< By index of the process; sorted by customer.
    };

    /// The latest process at one address.
    struct Sender
    {
        Incarnation incarnation;
        NodeId node;
        bool leaving = false;
        std::int64_t finalWindow = 0;
        UnixTime lastAt;
    };

    struct Process
    {
        std::uint32_t index = 0;
        UnixTime lastAt;
    };

    [[nodiscard]] std::uint32_t processIndex(const UsageUpdate &update, UnixTime now);
    void recordSender(const UsageUpdate &update, UnixTime now);
    static void recordTotals(Window &window, std::uint32_t process, const UsageWindowCounts &counts);

    UsageTimes m_times;
    std::map<std::int64_t, Window> m_windows;
    std::map<Endpoint, Sender> m_senders;
    std::map<std::pair<Endpoint, Incarnation>, Process> m_processes;
    std::uint32_t m_nextProcess = 0;
    std::optional<UnixTime> m_firstAt; ///< When the first update after a pause came.
    UnixTime m_lastAt;
};

} // namespace apricotarch
