#pragma once

/**
 * @file
 * Front nodes on one event loop and one manual clock, each with a store of its own. They exchange real messages on loopback.
 */

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "apricotarch/app/fleet_synchronizer.h"
#include "fakes/free_port.h"
#include "fakes/manual_clock.h"
#include "platform/protocol_adapter.h"

namespace apricotarch::fakes
{

using namespace std::chrono_literals;

inline constexpr const char *PlanTable = "op";
inline constexpr const char *ServersTable = "servers";

/// Tables of a fake store whose calls can be made to fail.
class FakeTables final : public TableReader, public TableStore
{
public:
    explicit FakeTables(Clock &clock)
        : m_clock(clock)
    {
    }

    asio::awaitable<Result<RowBatch>> readTable(std::string table) override
    {
        ++fullReads[table];
        if (failing.contains(table)) {
            co_return fail(failing[table], "store.read_table", "store", "failure injected by the test");
        }
        RowBatch batch{rows[table], version};
        co_await m_clock.sleep(answerDelay);
        co_return batch;
    }

    asio::awaitable<Result<RowBatch>> readChanges(std::string table, StorePosition after, Duration wait) override
    {
        waits[table] = wait;
        co_await m_clock.sleep(std::min<Duration>(std::max<Duration>(wait, 1ms), 200ms));
        if (partitioned) {
            co_await m_clock.sleep(wait + 700ms);
            co_return fail(ErrorId::TimedOut, "store.read_changes", "store", "failure injected by the test");
        }
        if (failing.contains(table)) {
            co_return fail(failing[table], "store.read_changes", "store", "failure injected by the test");
        }
        if (after.incarnation() != version.incarnation()) {
            co_return fail(ErrorId::HistoryDropped, "store.read_changes", "store", "the store has been restored");
        }
        RowBatch batch;
        batch.version = version;
        for (const StoredRow &row : rows[table]) {
            if (row.version > after) {
                batch.rows.push_back(row);
            }
        }
        co_return batch;
    }

    [[nodiscard]] StoreIncarnation incarnation() const override
    {
        return version.incarnation();
    }

    asio::awaitable<bool> isReachable() override
    {
        co_return !partitioned;
    }

    asio::awaitable<Result<std::optional<Row>>> read(RowKey /*key*/) override
    {
        co_return std::optional<Row>();
    }

    asio::awaitable<Result<StorePosition>> write(RowWrite write) override
    {
        if (beforeWrite) {
            std::exchange(beforeWrite, nullptr)();
        }
        rows[write.key.table].push_back({write.key.key, write.text, version, false});
        co_return version;
    }

    std::function<void()> beforeWrite; ///< Called once before the next write to simulate a concurrent write of another node.

    std::map<std::string, std::vector<StoredRow>> rows;
    std::map<std::string, ErrorId> failing; ///< Errors to return, by table.
    bool partitioned = false; ///< Whether calls are not answered and no connection can be established.
    Duration answerDelay{0}; ///< Time that the answer to a full read takes; its rows are those at the time of the call.
    std::map<std::string, int> fullReads;
    std::map<std::string, Duration> waits; ///< Wait time of the last call for changes, by table.
    StorePosition version{1};

private:
    Clock &m_clock;
};

/// Returns decoders for test rows: a configuration is the digits of its version and has one route, whose streams can be resumed; a server's
/// row is "r" (ready), "d" (draining) or "e" (a ready decode engine), which a software version and "@" with the time of its start may
/// follow, and "?" cannot be decoded.
inline RowDecoders testDecoders()
{
    const auto plan = [](const std::string &text) -> Result<RoutingPlan> {
        Route route;
        route.name = "plans";
        route.host = "desk";
        route.prefix = "/";
        route.resumable = true;
        route.timeout = 8s;
        route.services = {{ServiceId("desk"), 1}};
        return RoutingPlan(std::stoi(text), {route}, {}, {});
    };
    const auto server = [](const std::string &key, const std::string &text) -> Result<BackendRecord> {
        if (text == "?") {
            return fail(ErrorId::InvalidField, "backend.decode", key, "failure injected by the test");
        }
        BackendRecord record;
        record.id = ReplicaId(key);
        record.service = ServiceId("desk");
        record.state = text.front() == 'd' ? BackendState::Draining : BackendState::Ready;
        record.stage = text.front() == 'e' ? EngineStage::Decode : EngineStage::Any;
        const std::size_t at = std::min(text.find('@'), text.size());
        record.softwareVersion = SoftwareVersion(text.substr(1, at - 1));
        record.startedAt = at < text.size() ? std::stoll(text.substr(at + 1)) : 0;
        return record;
    };
    return {PlanTable, "config", ServersTable, plan, server};
}

inline FrontSettings makeSettings(const std::string &name, const std::string &host, std::uint16_t peerPort, std::size_t maxFullMeshNodes)
{
    FrontSettings settings;
    settings.node = NodeId(name);
    settings.zone = ZoneId("z");
    settings.callerAddress = {host, 17'460};
    settings.peerAddress = {host, peerPort};
    settings.seeds = {"127.0.0.1:1", "127.0.0.2:1"};
    settings.maxFullMeshNodes = maxFullMeshNodes;
    return settings;
}

/// One node with a store of its own, on the test's event loop and clock.
struct Node
{
    Node(EventLoopPool &eventLoops,
        Clock &clock,
        std::uint16_t peerPort,
        const std::string &name,
        const std::string &host,
        std::size_t maxFullMeshNodes = DefaultMaxFullMeshNodes)
        : tables(clock)
        , state(
              eventLoops.coordinationLoop().get_executor(), makeSettings(name, host, peerPort, maxFullMeshNodes), clock, protocolAdapter, 1)
        , link(eventLoops, authenticator, state.metrics)
        , synchronizer(state, tables, tables, link, testDecoders(), Incarnation(1))
    {
        const Result<void> started = synchronizer.start(eventLoops.coordinationLoop());
        BOOST_REQUIRE(started.has_value());
    }

    FakeTables tables;
    platform::ProtocolAdapter protocolAdapter;
    MessageAuthenticator authenticator{"a key of sixteen and more"};
    FrontState state;
    AuthenticatedLink link;
    FleetSynchronizer synchronizer;
};

/// Advances a manual clock while pending socket operations are run.
class Simulation
{
public:
    void advance(Duration duration)
    {
        const TimePoint end = clock.now() + duration;
        while (clock.now() < end) {
            for (int iteration = 0; iteration < 3; ++iteration) {
                eventLoops.coordinationLoop().restart();
                eventLoops.coordinationLoop().poll();
            }
            clock.advance(end - clock.now());
        }
        // Messages between nodes need real time on loopback.
        for (int iteration = 0; iteration < 20; ++iteration) {
            eventLoops.coordinationLoop().restart();
            eventLoops.coordinationLoop().run_for(1ms);
        }
    }

    EventLoopPool eventLoops{1};
    ManualClock clock; ///< Declared after the event loop, since its sleepers must be destroyed first.
    std::uint16_t peerPort = findFreePort();
};

inline StoredRow row(const char *key, const char *text, std::int64_t version)
{
    return {key, text, StorePosition(version), false};
}

/// A position after the store has been restored once.
inline StorePosition restored(std::int64_t version)
{
    return {StoreIncarnation(1), RowVersion(version)};
}

/// Returns the ids of the servers that a node uses.
inline std::set<std::string> usableServers(const Node &node, TimePoint now)
{
    std::set<std::string> ids;
    for (const BackendPointer &server : node.state.backends.selectUsable(ServiceId("desk"), now)) {
        ids.insert(server->record.id.value());
    }
    return ids;
}

} // namespace apricotarch::fakes
