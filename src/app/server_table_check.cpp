#include "apricotarch/app/server_table_check.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/scope_exit.hpp>

#include "apricotarch/base/background_task.h"
#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration LongestWait = 250ms;
constexpr Duration WaitInterval = 5ms;

/// Pause after a call to the store has failed. It grows with the fleet, so that all nodes try at most 200 times per second.
constexpr Duration ShortestRetryPause = 1s;
constexpr Duration RetryPausePerNode = 5ms;

} // namespace

ServerTableCheck::ServerTableCheck(FrontState &state, TableReader &tables, FleetTables &fleetTables)
    : m_state(state)
    , m_tables(tables)
    , m_fleetTables(fleetTables)
{
}

asio::awaitable<bool> ServerTableCheck::confirm(TimePoint since)
{
    const TimePoint calledAt = m_state.clock.now();
    while (!m_confirmedAt || *m_confirmedAt < since) {
        const TimePoint now = m_state.clock.now();
        const bool canRead = m_reading || now >= m_retryAt;
        if (!m_state.serversLoaded || !canRead || now - calledAt >= LongestWait) {
            m_state.metrics.increment(CounterFamily::Configurations, "servers_unconfirmed");
            co_return false;
        }
        if (!std::exchange(m_reading, true)) {
            asio::co_spawn(m_state.executor, readChanges(), LogFailure("confirm_servers"));
        }
        co_await m_state.clock.sleep(WaitInterval);
    }
    m_state.metrics.increment(CounterFamily::Configurations, "servers_confirmed");
    co_return true;
}

asio::awaitable<void> ServerTableCheck::readChanges()
{
    BOOST_SCOPE_EXIT_ALL(this)
    {
        m_reading = false;
    };
    const TimePoint startedAt = m_state.clock.now();
    const std::string &table = m_fleetTables.decoders().serversTable;
    Result<RowBatch> batch = co_await m_tables.readChanges(table, m_fleetTables.serversVersion(), Duration::zero());
    const bool isFullTable = !batch && batch.error().id == ErrorId::HistoryDropped;
    if (isFullTable) {
        batch = co_await m_tables.readTable(table);
    }
    const TimePoint now = m_state.clock.now();
    if (!batch) {
        const auto nodes = static_cast<int>(m_state.peers.countBudgetNodes(now));
        m_retryAt = now + std::max<Duration>(ShortestRetryPause, RetryPausePerNode * nodes);
        LogEvent("servers.not_confirmed", LogEvent::Level::Warning).error(batch.error());
        co_return;
    }
    if (isFullTable || !batch->rows.empty()) {
        m_fleetTables.applyServerRows(batch->rows, batch->version, isFullTable);
    }
    m_state.backends.currency().recordCurrent(startedAt);
    m_confirmedAt = startedAt;
}

} // namespace apricotarch
