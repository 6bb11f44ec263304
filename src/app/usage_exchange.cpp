#include "apricotarch/app/usage_exchange.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "apricotarch/base/background_task.h"
#include "apricotarch/base/log.h"
#include "apricotarch/protocol/front_codec.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// Interval between two updates. If a node is killed, its counts of this time are lost.
constexpr Duration UpdateInterval = 300ms;

} // namespace

UsageExchange::UsageExchange(
    FrontState &state, AuthenticatedLink &link, TrueTime &time, UsageLedger &ledger, UsageTimes times, Incarnation incarnation)
    : m_state(state)
    , m_link(link)
    , m_time(time)
    , m_ledger(ledger)
    , m_counter(times)
    , m_incarnation(incarnation)
{
}

void UsageExchange::start()
{
    m_started = true;
    m_state.onRequestBegan = [this](const CustomerId &customer, TimePoint startedAt) {
        count(customer, startedAt);
    };
    const auto run = [this] {
        return sendLoop();
    };
    asio::co_spawn(m_state.executor, runLoop(m_state.clock, "send_usage", run), LogFailure("send_usage"));
}

asio::awaitable<void> UsageExchange::sendLoop()
{
    while (true) {
        co_await m_state.clock.sleep(UpdateInterval);
        if (const std::optional<std::chrono::milliseconds> correction = m_time.correct()) {
            LogEvent("usage.time_corrected", LogEvent::Level::Warning).field("by_ms", correction->count());
        }
        sendUpdates();
        m_counter.removeExpired(m_time.now());
        m_ledger.removeExpired(m_time.now());
    }
}

void UsageExchange::count(const CustomerId &customer, TimePoint startedAt)
{
    const UnixTime now = m_time.now();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_state.clock.now() - startedAt);
    const bool counted = m_counter.count(customer, now - age, now);
    m_state.metrics.increment(CounterFamily::Peers, counted ? "usage_counted" : "usage_too_old");
}

void UsageExchange::chooseCollectors()
{
    const TimePoint now = m_state.clock.now();
    if (m_state.isShuttingDown() || !m_state.peers.isStageController(now)) {
        return;
    }
    const std::vector<Endpoint> live = m_state.peers.liveAddresses(now);
    const auto mayBeAlive = [&live](const Endpoint &address) {
        return std::ranges::find(live, address) != live.end();
    };
    std::vector<Endpoint> addresses{m_state.settings.peerAddress};
    if (std::optional<Endpoint> successor = m_ledger.successor(m_state.settings.node, m_time.now(), mayBeAlive)) {
        addresses.push_back(std::move(*successor));
    }
    const bool isOwnChoice = m_collectors && m_collectors->coordinator == m_state.settings.node;
    if (isOwnChoice && m_collectors->addresses == addresses) {
        return;
    }
    // Times order the choices of two processes of one node.
    const std::int64_t version = std::max(m_time.now().time_since_epoch().count(), isOwnChoice ? m_collectors->version + 1 : 0);
    m_collectors = UsageCollectors{m_state.settings.node, version, std::move(addresses)};
    LogEvent("usage.collectors")
        .field("coordinator", m_collectors->coordinator)
        .field("second", m_collectors->addresses.size() > 1 ? m_collectors->addresses[1].text() : "")
        .field("version", version);
}

void UsageExchange::sendUpdates()
{
    if (!m_started) {
        return;
    }
    chooseCollectors();
    if (!m_collectors) {
        return;
    }
    m_counter.setCollectors(m_collectors->addresses);
    const UsageSender self{m_state.settings.peerAddress, m_incarnation, m_state.settings.node, m_state.isShuttingDown()};
    for (const Endpoint &collector : m_collectors->addresses) {
        for (const UsageUpdate &update : m_counter.updates(collector, self, m_time.now())) {
            if (collector == m_state.settings.peerAddress) {
                m_ledger.record(update, m_time.now());
                m_counter.acknowledge({collector, m_incarnation, update.number});
            } else {
                send(collector, update);
                m_state.metrics.increment(CounterFamily::Peers, "usage_sent");
            }
        }
    }
}

// ---- messages ----

void UsageExchange::addTo(FrontHeartbeat &heartbeat) const
{
    if (m_started) {
        heartbeat.uncorrectedTime = m_time.uncorrected();
        heartbeat.usageCollectors = m_collectors;
    }
}

void UsageExchange::handle(const FrontHeartbeat &heartbeat)
{
    if (!m_started) {
        return;
    }
    if (onStoreIncarnation && heartbeat.serversVersion != StorePosition()) {
        onStoreIncarnation(heartbeat.serversVersion.incarnation());
    }
    if (heartbeat.uncorrectedTime) {
        m_time.recordPeer(heartbeat.node, *heartbeat.uncorrectedTime);
    }
    if (!heartbeat.usageCollectors) {
        return;
    }
    const UsageCollectors &reported = *heartbeat.usageCollectors;
    const NodeId coordinator = m_state.peers.coordinator(!m_state.isShuttingDown(), m_state.clock.now()).node;
    if (reported.coordinator != coordinator || coordinator == m_state.settings.node) {
        return;
    }
    if (!m_collectors || m_collectors->coordinator != coordinator || reported.version > m_collectors->version) {
        m_collectors = reported;
    }
}

void UsageExchange::handle(const UsageUpdate &update)
{
    if (!m_started) {
        return;
    }
    m_ledger.record(update, m_time.now());
    m_state.metrics.increment(CounterFamily::Peers, "usage_received");
    send(update.peerAddress, UsageAck{m_state.settings.peerAddress, m_incarnation, update.number});
}

void UsageExchange::handle(const UsageAck &ack)
{
    m_counter.acknowledge(ack);
}

void UsageExchange::send(const Endpoint &peer, const FrontDatagram &datagram)
{
    m_link.sendDatagram(peer, m_link.authenticate(encodeFrontDatagram(datagram)));
}

} // namespace apricotarch
