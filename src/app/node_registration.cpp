#include "apricotarch/app/node_registration.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// First and longest pause after a failed call to the store.
constexpr Duration FirstRetryPause = 150ms;
constexpr Duration LongestRetryPause = 600ms;

/// Poll interval of the nodes' table. New nodes send heartbeats to the nodes that they have found, so polling only finds
/// nodes that were missed.
constexpr Duration NodesPollInterval = 60s;

/// Longest delay of a registration after a restore of the store. Spreads the calls of a large fleet over the store's rates.
constexpr int MaxReregistrationDelayMs = 8000;

/// Interval at which a registered node checks whether the next read is due.
constexpr Duration DueCheckInterval = 500ms;

/// This system's own table, with one row per node.
constexpr const char *NodesTable = "apricotarch-nodes";

} // namespace

NodeRegistration::NodeRegistration(FrontState &state, TableReader &tables, TableStore &rows)
    : m_state(state)
    , m_tables(tables)
    , m_rows(rows)
{
}

asio::awaitable<void> NodeRegistration::run()
{
    Duration pause = FirstRetryPause;
    while (true) {
        const Result<Outcome> outcome = co_await registerOnce();
        if (outcome) {
            pause = FirstRetryPause;
            if (*outcome == Outcome::Found) {
                m_nextReadAt = m_state.clock.now() + NodesPollInterval;
                while (m_state.clock.now() < m_nextReadAt) {
                    co_await m_state.clock.sleep(std::min<Duration>(DueCheckInterval, m_nextReadAt - m_state.clock.now()));
                }
            }
            continue; // After a write, read again to find nodes that registered between the read and the write.
        }
        LogEvent("node.not_registered", LogEvent::Level::Warning).error(outcome.error());
        co_await m_state.clock.sleep(pause);
        pause = std::min(pause * 2, LongestRetryPause);
    }
}

void NodeRegistration::registerAgain()
{
    const std::chrono::milliseconds delay(std::uniform_int_distribution<int>(0, MaxReregistrationDelayMs)(m_state.random));
    m_nextReadAt = std::min(m_nextReadAt, m_state.clock.now() + delay);
}

asio::awaitable<Result<NodeRegistration::Outcome>> NodeRegistration::registerOnce()
{
    const Result<RowBatch> nodes = co_await m_tables.readTable(NodesTable);
    if (!nodes) {
        co_return Failure(nodes.error());
    }
    const TimePoint now = m_state.clock.now();
    const std::string ownAddress = PeerAddress{m_state.settings.peerAddress, m_state.settings.zone}.text();
    StorePosition ownVersion;
    bool registered = false;
    m_nodes.clear();
    for (const StoredRow &row : nodes->rows) {
        m_nodes[row.key] = row.text;
        if (row.key == m_state.settings.node.value()) {
            ownVersion = row.version;
            registered = row.text == ownAddress;
            continue;
        }
        if (const Result<PeerAddress> peer = parsePeerAddress(row.text)) {
            m_state.peers.addAddress(*peer, now);
        }
    }
    if (registered || m_state.isShuttingDown()) {
        co_return Outcome::Found;
    }
    RowWrite write{{NodesTable, m_state.settings.node.value()}, ownVersion, ownAddress, std::nullopt};
    const Result<StorePosition> written = co_await m_rows.write(std::move(write));
    if (!written) {
        co_return Failure(written.error());
    }
    co_return Outcome::Written;
}

} // namespace apricotarch
