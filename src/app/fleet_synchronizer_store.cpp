#include "apricotarch/app/fleet_synchronizer.h"

#include <algorithm>
#include <random>
#include <utility>

#include "apricotarch/base/log.h"

// The store: the loops that follow the platform's tables.

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// Pause after a change of the servers' table, so that one call returns several changes.
constexpr Duration ServerChangesPause = 250ms;

/// Interval at which a node that does not read the store checks whether it has to.
constexpr Duration FollowerPollInterval = 100ms;

/// Interval at which a node that reads the store checks whether it can still be reached. A long poll shows that only at its end.
constexpr Duration ReachabilityCheckInterval = 600ms;

/// First and longest pause after a failed call to the store.
constexpr Duration FirstRetryPause = 150ms;
constexpr Duration LongestRetryPause = 600ms;

} // namespace

asio::awaitable<void> FleetSynchronizer::followTable(Table table)
{
    StorePosition &version = table == Table::Plan ? m_planReadVersion : m_serversReadVersion;
    Duration pause = FirstRetryPause;
    while (true) {
        if (!m_state.peers.shouldReadStore(m_state.clock.now())) {
            // Heartbeats of the nodes that read the store report changes. If this node has to read again, it continues from here.
            if (table == Table::Servers) {
                version = std::max(version, m_fleetTables.serversVersion());
            }
            m_storeCallFailed.at(static_cast<std::size_t>(table)) = false;
            co_await m_state.clock.sleep(FollowerPollInterval);
            continue;
        }
        if (m_storeIncarnation && version.incarnation() != *m_storeIncarnation) {
            version = StorePosition();
        }
        const bool isFullTable = !version.exists();
        const TableAnswer answer = co_await readTable(table, pause > FirstRetryPause);
        const Result<RowBatch> &batch = answer.batch;
        if (batch) {
            recordStoreIncarnation(batch->version.incarnation(), "store");
        }
        updateStoreStatus(table, batch, answer.calledAt);
        if (batch) {
            pause = FirstRetryPause;
            if (table == Table::Plan) {
                m_fleetTables.applyPlanRows(batch->rows);
            } else {
                m_fleetTables.applyServerRows(batch->rows, batch->version, isFullTable);
                m_state.backends.currency().recordCurrent(answer.currentAsOf);
            }
            version = std::max(version, batch->version);
            if (table == Table::Servers && !batch->rows.empty()) {
                co_await m_state.clock.sleep(ServerChangesPause);
            }
            continue;
        }
        if (batch.error().id == ErrorId::HistoryDropped && !isFullTable) {
            version = StorePosition();
            continue;
        }
        const std::int64_t maxPauseMs = toMilliseconds(pause);
        co_await m_state.clock.sleep(
            std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(maxPauseMs / 2, maxPauseMs)(m_state.random)));
        pause = std::min(pause * 2, LongestRetryPause);
    }
}

asio::awaitable<FleetSynchronizer::TableAnswer> FleetSynchronizer::readTable(Table table, bool recovering)
{
    const std::string &name = table == Table::Plan ? m_fleetTables.decoders().planTable : m_fleetTables.decoders().serversTable;
    const StorePosition version = table == Table::Plan ? m_planReadVersion : m_serversReadVersion;
    TimePoint calledAt = m_state.clock.now();
    if (!version.exists()) {
        Result<RowBatch> rows = co_await m_tables.readTable(name);
        co_return TableAnswer{std::move(rows), calledAt, calledAt};
    }
    // The store may never answer a long poll that was sent during an outage, so long polls resume only after a successful call.
    if (!recovering) {
        TableAnswer answer = co_await pollChanges(table, version);
        if (answer.batch || answer.batch.error().id != ErrorId::TimedOut) {
            co_return answer;
        }
        calledAt = m_state.clock.now();
    }
    Result<RowBatch> changes = co_await m_tables.readChanges(name, version, Duration::zero());
    co_return TableAnswer{std::move(changes), calledAt, calledAt};
}

asio::awaitable<FleetSynchronizer::TableAnswer> FleetSynchronizer::pollChanges(Table table, StorePosition version)
{
    const std::string &name = table == Table::Plan ? m_fleetTables.decoders().planTable : m_fleetTables.decoders().serversTable;
    const auto index = static_cast<std::size_t>(table);
    const TimePoint calledAt = m_state.clock.now();
    const Duration wait = m_pollSchedule.begin(index, calledAt);
    Result<RowBatch> changes = co_await m_tables.readChanges(name, version, wait);
    m_pollSchedule.end(index);
    if (!changes && changes.error().id == ErrorId::TimedOut) {
        LogEvent("store.poll_late", LogEvent::Level::Warning)
            .field("table", table == Table::Plan ? "plan" : "servers")
            .field("wait_ms", toMilliseconds(wait))
            .error(changes.error());
        m_tables.abandonPolls();
    }
    // Without changes the store answers at the end of the wait. Changes may have waited in this node's socket.
    const bool wasHeld = changes && changes->rows.empty();
    const TimePoint currentAsOf = wasHeld ? std::min(calledAt + wait, m_state.clock.now()) : calledAt;
    co_return TableAnswer{std::move(changes), calledAt, currentAsOf};
}

asio::awaitable<void> FleetSynchronizer::checkStoreReachability()
{
    while (true) {
        co_await m_state.clock.sleep(ReachabilityCheckInterval);
        bool reachable = true;
        if (m_state.peers.shouldReadStore(m_state.clock.now())) {
            reachable = co_await m_tables.isReachable();
        }
        if (reachable == std::exchange(m_storeReachable, reachable)) {
            continue;
        }
        LogEvent(reachable ? "store.reachable" : "store.unreachable", reachable ? LogEvent::Level::Info : LogEvent::Level::Warning)
            .field("plan", m_state.plan->version());
        m_state.notifyUrgentChange();
    }
}

void FleetSynchronizer::recordStoreIncarnation(StoreIncarnation incarnation, const char *source)
{
    if (m_storeIncarnation && incarnation <= *m_storeIncarnation) {
        return;
    }
    const std::optional<StoreIncarnation> before = std::exchange(m_storeIncarnation, incarnation);
    LogEvent event("store.incarnation", before ? LogEvent::Level::Warning : LogEvent::Level::Info);
    event.field("incarnation", incarnation).field("source", source);
    if (!before) {
        return;
    }
    event.field("before", *before)
        .field("plan", m_state.plan->version())
        .field("servers", m_fleetTables.serversVersion())
        .field("reads_again", m_state.peers.shouldReadStore(m_state.clock.now()) ? "store" : "peers");
    m_state.metrics.increment(CounterFamily::Configurations, "store_restored");
    m_registration.registerAgain();
}

void FleetSynchronizer::updateStoreStatus(Table table, const Result<RowBatch> &result, TimePoint calledAt)
{
    const bool failed = !result && result.error().id != ErrorId::HistoryDropped;
    if (failed) {
        m_state.backends.currency().recordOutage(calledAt);
    }
    if (!result) {
        m_state.metrics.increment(CounterFamily::Configurations, std::string("store_") + errorName(result.error().id));
    }
    bool &failedBefore = m_storeCallFailed.at(static_cast<std::size_t>(table));
    if (failed == failedBefore) {
        return;
    }
    failedBefore = failed;
    const char *name = table == Table::Plan ? "plan" : "servers";
    if (failed) {
        LogEvent("store.lost", LogEvent::Level::Warning).field("table", name).field("plan", m_state.plan->version()).error(result.error());
    } else {
        LogEvent("store.regained").field("table", name).field("plan", m_state.plan->version());
    }
}

} // namespace apricotarch
