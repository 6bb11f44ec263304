#include "apricotarch/duties/usage_counter.h"

#include <algorithm>

namespace apricotarch
{

namespace
{

/// Datagrams to one collector that may be acknowledged; older ones are forgotten, and their counts sent again.
constexpr std::size_t MaxSent = 32;

/// After this many calls without an acknowledgement a collector may be dead.
constexpr int MaxUnansweredCalls = 3;

/// Upper limits of the encoded sizes beside the names.
constexpr std::size_t HeaderBytes = 64;
constexpr std::size_t WindowBytes = 16;
constexpr std::size_t EntryBytes = 8;

} // namespace

UsageCounter::UsageCounter(UsageTimes times)
    : m_times(times)
{
}

bool UsageCounter::count(const CustomerId &customer, UnixTime startedAt, UnixTime now)
{
    const std::int64_t window = windowOf(startedAt, m_times.window);
    if (windowStart(window + 1, m_times.window) + m_times.retention <= now) {
        return false;
    }
    ++m_windows[window][customer];
    for (auto &[address, collector] : m_collectors) {
        collector.unacknowledged[window].insert(customer);
    }
    return true;
}

void UsageCounter::markAllUnacknowledged(Collector &collector) const
{
    for (const auto &[window, totals] : m_windows) {
        for (const auto &[customer, total] : totals) {
            collector.unacknowledged[window].insert(customer);
        }
    }
}

void UsageCounter::setCollectors(const std::vector<Endpoint> &collectors)
{
    std::erase_if(m_collectors, [&collectors](const auto &entry) {
        return std::ranges::find(collectors, entry.first) == collectors.end();
    });
    for (const Endpoint &address : collectors) {
        const auto [entry, added] = m_collectors.try_emplace(address);
        if (added) {
            markAllUnacknowledged(entry->second);
        }
    }
}

std::optional<std::int64_t> UsageCounter::fill(
    UsageUpdate &update, const Collector &collector, std::pair<std::int64_t, CustomerId> &position) const
{
    std::size_t bytes = HeaderBytes + update.peerAddress.text().size() + update.node.value().size();
    for (auto window = collector.unacknowledged.lower_bound(position.first); window != collector.unacknowledged.end(); ++window) {
        const auto first = window->first == position.first ? window->second.lower_bound(position.second) : window->second.begin();
        bytes += first == window->second.end() ? 0 : WindowBytes;
        for (auto customer = first; customer != window->second.end(); ++customer) {
            bytes += EntryBytes + customer->value().size();
            if (bytes > MaxUpdateBytes && !update.windows.empty()) {
                position = {window->first, *customer};
                return window->first;
            }
            if (update.windows.empty() || update.windows.back().window != window->first) {
                update.windows.push_back({window->first, {}});
            }
            update.windows.back().totals.emplace_back(*customer, m_windows.at(window->first).at(*customer));
        }
    }
    return std::nullopt;
}

std::vector<UsageUpdate> UsageCounter::updates(const Endpoint &collectorAddress, const UsageSender &sender, UnixTime now)
{
    std::vector<UsageUpdate> updates;
    const auto found = m_collectors.find(collectorAddress);
    if (found == m_collectors.end()) {
        return updates;
    }
    Collector &collector = found->second;
    const std::int64_t finalWindow = windowOf(now - m_times.settling, m_times.window) - 1;
    if (collector.finalWindow > finalWindow) {
        collector.finalWindow =
            finalWindow - 1; // The time has been corrected backwards; the windows that follow have to be declared again.
    }
    if (collector.unacknowledged.empty() && collector.finalWindow == finalWindow) {
        return updates;
    }
    const std::size_t limit = ++collector.unansweredCalls > MaxUnansweredCalls ? 1 : MaxUpdates;
    std::pair<std::int64_t, CustomerId> position{0, CustomerId()};
    bool remaining = true;
    while (remaining && updates.size() < limit) {
        UsageUpdate update{sender.peerAddress, sender.incarnation, sender.node, sender.leaving, ++m_lastNumber, finalWindow, {}};
        const std::optional<std::int64_t> firstRemaining = fill(update, collector, position);
        remaining = firstRemaining.has_value();
        // Windows that are complete only with other datagrams are declared final once the collector has those.
        const std::int64_t firstIncomplete =
            updates.empty() ? firstRemaining.value_or(finalWindow + 1) : collector.unacknowledged.begin()->first;
        update.finalWindow = std::min(finalWindow, firstIncomplete - 1);
        collector.sent[update.number] = update;
        updates.push_back(std::move(update));
    }
    while (collector.sent.size() > MaxSent) {
        collector.sent.erase(collector.sent.begin());
    }
    return updates;
}

void UsageCounter::acknowledge(const UsageAck &ack)
{
    const auto found = m_collectors.find(ack.peerAddress);
    if (found == m_collectors.end()) {
        return;
    }
    Collector &collector = found->second;
    if (collector.incarnation && *collector.incarnation != ack.incarnation) {
        collector = Collector();
        collector.incarnation = ack.incarnation;
        markAllUnacknowledged(collector);
        return;
    }
    const auto sent = collector.sent.find(ack.number);
    if (sent == collector.sent.end()) {
        return;
    }
    collector.incarnation = ack.incarnation;
    collector.unansweredCalls = 0;
    collector.finalWindow = std::max(collector.finalWindow, sent->second.finalWindow);
    for (const UsageWindowCounts &counts : sent->second.windows) {
        const auto window = collector.unacknowledged.find(counts.window);
        if (window == collector.unacknowledged.end()) {
            continue;
        }
        // A window that was dropped and is counted anew after the time was set back lacks the customers of before.
        const Totals &totals = m_windows.at(counts.window);
        for (const auto &[customer, total] : counts.totals) {
            const auto current = totals.find(customer);
            if (current != totals.end() && current->second == total) {
                window->second.erase(customer);
            }
        }
        if (window->second.empty()) {
            collector.unacknowledged.erase(window);
        }
    }
    collector.sent.erase(sent);
}

void UsageCounter::removeExpired(UnixTime now)
{
    const std::int64_t firstKept = windowOf(now - m_times.retention, m_times.window);
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(firstKept));
    for (auto &[address, collector] : m_collectors) {
        collector.unacknowledged.erase(collector.unacknowledged.begin(), collector.unacknowledged.lower_bound(firstKept));
    }
}

} // namespace apricotarch
