#include "apricotarch/duties/usage_ledger.h"

#include <algorithm>
#include <limits>

namespace apricotarch
{

namespace
{

/// After a pause of this length, counts are taken to be missing.
constexpr std::chrono::milliseconds LongestPause{10'000};

/// Differences between the clocks of two nodes, beside TrueTime::Tolerance, that may make a window lie in the future.
constexpr std::chrono::milliseconds LargestLead{10'000};

} // namespace

UsageLedger::UsageLedger(UsageTimes times)
    : m_times(times)
{
}

void UsageLedger::record(const UsageUpdate &update, UnixTime now)
{
    if (!m_firstAt || now - m_lastAt > LongestPause) {
        m_firstAt = now;
    }
    m_lastAt = now;
    recordSender(update, now);
    const std::int64_t firstKept = windowOf(now - m_times.retention, m_times.window);
    const std::int64_t lastKept = windowOf(now + LargestLead, m_times.window);
    const std::uint32_t process = processIndex(update, now);
    for (const UsageWindowCounts &counts : update.windows) {
        if (counts.window >= firstKept && counts.window <= lastKept) {
            recordTotals(m_windows[counts.window], process, counts);
        }
    }
}

std::uint32_t UsageLedger::processIndex(const UsageUpdate &update, UnixTime now)
{
    const auto [found, added] = m_processes.try_emplace({update.peerAddress, update.incarnation});
    if (added) {
        found->second.index = m_nextProcess++;
    }
    found->second.lastAt = now;
    return found->second.index;
}

void UsageLedger::recordSender(const UsageUpdate &update, UnixTime now)
{
    const bool isKnownProcess = m_processes.contains({update.peerAddress, update.incarnation});
    Sender &sender = m_senders[update.peerAddress];
    if (sender.incarnation != update.incarnation) {
        if (isKnownProcess) {
            return; // A late datagram of the process before.
        }
        sender = Sender();
        sender.incarnation = update.incarnation;
    }
    sender.node = update.node;
    sender.leaving = sender.leaving || update.leaving;
    // A sender whose clock was ahead at its start may declare windows final that have not begun.
    sender.finalWindow = std::max(sender.finalWindow, std::min(update.finalWindow, windowOf(now, m_times.window) - 1));
    sender.lastAt = now;
}

void UsageLedger::recordTotals(Window &window, std::uint32_t process, const UsageWindowCounts &counts)
{
    std::vector<Entry> &entries = window.processes[process];
    for (const auto &[customer, total] : counts.totals) {
        if (total <= 0) {
            continue;
        }
        const auto [known, added] = window.customerIndex.try_emplace(customer.value(), static_cast<std::uint32_t>(window.customers.size()));
        if (added) {
            window.customers.push_back(&known->first);
        }
        const auto clamped = static_cast<std::uint32_t>(std::min<std::int64_t>(total, std::numeric_limits<std::uint32_t>::max()));
        const auto entry = std::ranges::lower_bound(entries, known->second, {}, &Entry::customer);
        if (entry != entries.end() && entry->customer == known->second) {
            entry->total = std::max(entry->total, clamped);
        } else {
            entries.insert(entry, {known->second, clamped});
        }
    }
}

void UsageLedger::removeExpired(UnixTime now)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(windowOf(now - m_times.retention, m_times.window)));
    const auto isOld = [&](const auto &entry) {
        return now - entry.second.lastAt > 2 * m_times.retention;
    };
    std::erase_if(m_processes, isOld);
    std::erase_if(m_senders, isOld);
}

std::map<CustomerId, std::int64_t> UsageLedger::sum(std::int64_t number) const
{
    std::map<CustomerId, std::int64_t> requests;
    const auto window = m_windows.find(number);
    if (window == m_windows.end()) {
        return requests;
    }
    std::vector<std::int64_t> totals(window->second.customers.size());
    for (const auto &[process, entries] : window->second.processes) {
        for (const Entry &entry : entries) {
            totals[entry.customer] += entry.total;
        }
    }
    for (std::size_t index = 0; index < totals.size(); ++index) {
        requests[CustomerId(*window->second.customers[index])] = totals[index];
    }
    return requests;
}

bool UsageLedger::hasRequests(std::int64_t number) const
{
    const auto window = m_windows.find(number);
    return window != m_windows.end() && !window->second.customers.empty();
}

std::vector<Endpoint> UsageLedger::missing(std::int64_t window, const std::vector<Endpoint> &liveNodes, UnixTime now) const
{
    const bool allCouldSend = m_firstAt && now - *m_firstAt > SenderTimeout;
    std::vector<Endpoint> missing;
    for (const Endpoint &node : liveNodes) {
        const auto sender = m_senders.find(node);
        const bool isSilent = sender == m_senders.end() || now - sender->second.lastAt > SenderTimeout;
        const bool isFinal = sender != m_senders.end() && sender->second.finalWindow >= window;
        if (!isFinal && !(isSilent && allCouldSend)) {
            missing.push_back(node);
        }
    }
    return missing;
}

std::optional<UnixTime> UsageLedger::collectingSince(UnixTime now) const
{
    return m_firstAt && now - m_lastAt <= LongestPause ? m_firstAt : std::nullopt;
}

std::optional<Endpoint> UsageLedger::successor(
    const NodeId &self, UnixTime now, const std::function<bool(const Endpoint &)> &mayBeAlive) const
{
    const std::pair<const Endpoint, Sender> *best = nullptr;
    for (const auto &entry : m_senders) {
        const Sender &sender = entry.second;
        if (sender.node == self || sender.leaving || now - sender.lastAt > SenderTimeout || !mayBeAlive(entry.first)) {
            continue;
        }
        if (best == nullptr || sender.node < best->second.node) {
            best = &entry;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->first);
}

std::size_t UsageLedger::entryCount() const
{
    std::size_t count = 0;
    for (const auto &[number, window] : m_windows) {
        for (const auto &[process, entries] : window.processes) {
            count += entries.size();
        }
    }
    return count;
}

} // namespace apricotarch
