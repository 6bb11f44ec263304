#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "apricotarch/app/fleet_synchronizer.h"
#include "apricotarch/coordination/poll_schedule.h"
#include "apricotarch/transport/event_loop_pool.h"
#include "apricotarch/transport/message_authenticator.h"
#include "fakes/free_port.h"
#include "fakes/manual_clock.h"
#include "platform/protocol_adapter.h"
#include "platform/store_client.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

constexpr const char *PlanTable = "op";
constexpr const char *ServersTable = "servers";

/// Time after the silence of all connections, or after a change if that is later, within which nodes have to know of the change.
constexpr Duration Bound = 2s;

/// A store whose connections, one for each table, can go silent: they stay open, but calls on them are not answered.
class SilentStore final : public TableReader, public TableStore
{
public:
    explicit SilentStore(Clock &clock)
        : m_clock(clock)
    {
    }

    asio::awaitable<Result<RowBatch>> readTable(std::string table) override
    {
        RowBatch batch{rows[table], version};
        co_await m_clock.sleep(RoundTrip);
        co_return batch;
    }

    asio::awaitable<Result<RowBatch>> readChanges(std::string table, StorePosition after, Duration wait) override
    {
        ++polls;
        co_await m_clock.sleep(RoundTrip);
        const std::shared_ptr<Connection> connection = connect(table);
        connection->isPolled = wait > Duration::zero();
        const TimePoint end = m_clock.now() + wait;
        while (!connection->isAbandoned) {
            if (connection->isSilent && m_clock.now() >= end + AnswerTimeout) {
                m_connections.erase(table);
                break;
            }
            RowBatch batch{changes(table, after), version};
            if (!connection->isSilent && (!batch.rows.empty() || m_clock.now() >= end)) {
                connection->isPolled = false;
                co_return batch;
            }
            co_await m_clock.sleep(10ms);
        }
        co_return fail(ErrorId::TimedOut, "store.read_changes", "store", "the connection is silent");
    }

    void abandonPolls() override
    {
        for (const auto &[table, connection] : std::exchange(m_connections, {})) {
            connection->isAbandoned = connection->isPolled;
        }
    }

    asio::awaitable<bool> isReachable() override
    {
        co_return true;
    }

    asio::awaitable<Result<std::optional<Row>>> read(RowKey /*key*/) override
    {
        co_return std::optional<Row>();
    }

    asio::awaitable<Result<StorePosition>> write(RowWrite write) override
    {
        co_await m_clock.sleep(RoundTrip);
        rows[write.key.table].push_back({write.key.key, write.text, version, false});
        co_return version;
    }

    void silenceOpenConnections()
    {
        for (const auto &[table, connection] : m_connections) {
            connection->isSilent = true;
        }
    }

    void put(const std::string &table, const std::string &key, const std::string &text)
    {
        version = StorePosition(version.version().value() + 1);
        std::erase_if(rows[table], [&key](const StoredRow &row) {
            return row.key == key;
        });
        rows[table].push_back({key, text, version, false});
    }

    std::map<std::string, std::vector<StoredRow>> rows;
    StorePosition version{1};
    int polls = 0; ///< Calls for changes.

private:
    static constexpr Duration RoundTrip = 1ms;
    static constexpr Duration AnswerTimeout = 500ms;

    struct Connection
    {
        bool isSilent = false;
        bool isPolled = false;
        bool isAbandoned = false;
    };

    std::shared_ptr<Connection> connect(const std::string &table)
    {
        std::shared_ptr<Connection> &connection = m_connections[table];
        if (!connection) {
            connection = std::make_shared<Connection>();
        }
        return connection;
    }

    std::vector<StoredRow> changes(const std::string &table, const StorePosition &after)
    {
        std::vector<StoredRow> changed;
        std::ranges::copy_if(rows[table], std::back_inserter(changed), [&after](const StoredRow &row) {
            return row.version > after;
        });
        return changed;
    }

    Clock &m_clock;
    std::map<std::string, std::shared_ptr<Connection>> m_connections;
};

/// A configuration is the digits of its version, and each server is ready or, with the text "d", draining.
RowDecoders testDecoders()
{
    const auto plan = [](const std::string &text) -> Result<RoutingPlan> {
        return RoutingPlan(std::stoi(text), {}, {}, {});
    };
    const auto server = [](const std::string &key, const std::string &text) -> Result<BackendRecord> {
        BackendRecord record;
        record.id = ReplicaId(key);
        record.service = ServiceId("desk");
        record.state = text == "d" ? BackendState::Draining : BackendState::Ready;
        return record;
    };
    return {PlanTable, "config", ServersTable, plan, server};
}

/// The only node, which reads configuration 3 and one server from the store.
class LonelyNode
{
public:
    LonelyNode()
    {
        store.put(PlanTable, "config", "3");
        store.put(ServersTable, "i-1", "r");
        BOOST_REQUIRE(m_synchronizer.start(m_eventLoops.coordinationLoop()).has_value());
    }

    void advance(Duration duration)
    {
        const TimePoint end = m_clock.now() + duration;
        while (m_clock.now() < end) {
            for (int iteration = 0; iteration < 4; ++iteration) {
                m_eventLoops.coordinationLoop().restart();
                m_eventLoops.coordinationLoop().poll();
            }
            m_clock.advance(end - m_clock.now());
        }
    }

    [[nodiscard]] std::int64_t planVersion() const
    {
        return m_state.plan->version();
    }

    [[nodiscard]] bool usesServer() const
    {
        return !m_state.backends.selectUsable(ServiceId("desk"), m_clock.now()).empty();
    }

private:
    static FrontSettings makeSettings()
    {
        FrontSettings settings;
        settings.node = NodeId("a");
        settings.zone = ZoneId("z");
        settings.callerAddress = {"127.0.0.1", 17'460};
        settings.peerAddress = {"127.0.0.1", fakes::findFreePort()};
        return settings;
    }

    EventLoopPool m_eventLoops{1};
    fakes::ManualClock m_clock; // Declared after the event loop, since its sleepers must be destroyed first.
    platform::ProtocolAdapter m_protocolAdapter;
    MessageAuthenticator m_authenticator{"a key of sixteen and more"};
    FrontState m_state{m_eventLoops.coordinationLoop().get_executor(), makeSettings(), m_clock, m_protocolAdapter, 1};
    AuthenticatedLink m_link{m_eventLoops, m_authenticator, m_state.metrics};

public:
    SilentStore store{m_clock};

private:
    FleetSynchronizer m_synchronizer{m_state, store, store, m_link, testDecoders(), Incarnation(1)};
};

} // namespace

BOOST_AUTO_TEST_SUITE(silent_store)

BOOST_AUTO_TEST_SUITE(connections_that_go_silent)

// Long polls on silent connections ended after 4.7 s. Until then all nodes served by an old configuration, and requests reached servers
// that had announced their shutdown, although new connections to the store worked.

BOOST_AUTO_TEST_CASE(do_not_hide_the_next_configuration)
{
    for (Duration phase = 0ms; phase < 4s; phase += 300ms) {
        BOOST_TEST_CONTEXT("silent at phase " << toMilliseconds(phase) << " ms")
        {
            LonelyNode node;
            node.advance(10s + phase);
            node.store.silenceOpenConnections();
            node.advance(10ms);
            node.store.put(PlanTable, "config", "9");
            node.advance(Bound - 10ms);
            BOOST_TEST(node.planVersion() == 9);
        }
    }
}

BOOST_AUTO_TEST_CASE(do_not_hide_the_next_configuration_after_one_that_has_just_been_read)
{
    LonelyNode node;
    node.advance(10s);
    node.store.put(PlanTable, "config", "7");
    node.advance(200ms);
    BOOST_REQUIRE(node.planVersion() == 7);
    node.store.silenceOpenConnections();
    node.advance(500ms);
    node.store.put(PlanTable, "config", "9");
    node.advance(Bound - 500ms);
    BOOST_TEST(node.planVersion() == 9);
}

BOOST_AUTO_TEST_CASE(do_not_hide_that_a_server_leaves)
{
    for (Duration phase = 0ms; phase < 4s; phase += 300ms) {
        BOOST_TEST_CONTEXT("silent at phase " << toMilliseconds(phase) << " ms")
        {
            LonelyNode node;
            node.advance(10s + phase);
            BOOST_REQUIRE(node.usesServer());
            node.store.silenceOpenConnections();
            node.store.put(ServersTable, "i-1", "d");
            node.advance(Bound);
            BOOST_TEST(!node.usesServer());
        }
    }
}

BOOST_AUTO_TEST_CASE(do_not_hide_what_changes_later)
{
    LonelyNode node;
    node.advance(10s);
    node.store.silenceOpenConnections();
    node.advance(5s);
    node.store.put(PlanTable, "config", "9");
    node.advance(100ms);
    BOOST_TEST(node.planVersion() == 9);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_calm_node_polls_at_most_one_and_a_half_times_as_often_as_with_polls_of_four_seconds)
{
    LonelyNode node;
    node.advance(10s);
    const int before = node.store.polls;
    node.advance(120s);
    const int calls = node.store.polls - before;
    BOOST_TEST_MESSAGE("polls in 120 s: " << calls);
    BOOST_TEST(calls <= 90); // Two tables, 120 s / 4 s each, times 1.5.
}

BOOST_AUTO_TEST_SUITE(polls)

BOOST_AUTO_TEST_CASE(end_often_enough_whatever_changes_end_them_early)
{
    PollSchedule schedule;
    std::mt19937 random(7); // NOLINT(cert-msc32-c,cert-msc51-cpp): a fixed sequence.
    std::array<TimePoint, 2> ends{};
    TimePoint now;
    for (std::size_t poll = 0; poll < 2; ++poll) {
        ends.at(poll) = now + schedule.begin(poll, now);
    }
    for (int step = 0; step < 2000; ++step) {
        const std::size_t next = ends[0] <= ends[1] ? 0 : 1;
        const Duration untilNext = ends.at(next) - now;
        BOOST_REQUIRE((untilNext <= PollSchedule::LongPollTime / 2 + 50ms));
        const bool changes = random() % 3 == 0;
        const std::size_t ended = changes ? random() % 2 : next;
        now += changes ? untilNext * static_cast<int>(random() % 100) / 100 : untilNext;
        schedule.end(ended);
        ends.at(ended) = now + schedule.begin(ended, now);
    }
}

BOOST_AUTO_TEST_CASE(that_are_abandoned_end_at_once)
{
    // The store accepts connections and never answers.
    asio::io_context loop;
    const asio::ip::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
    platform::StoreClient client({"127.0.0.1", acceptor.local_endpoint().port()}, 1s);
    std::vector<ErrorId> errors;
    const auto poll = [&](std::string table) -> asio::awaitable<void> {
        const auto changes = co_await client.readChanges(std::move(table), StorePosition(5), 60s);
        errors.push_back(changes ? ErrorId::UnexpectedStatus : changes.error().id);
    };
    for (const char *table : {PlanTable, ServersTable}) {
        asio::co_spawn(loop, poll(table), asio::detached);
    }
    loop.run_for(100ms);
    BOOST_TEST(errors.empty());
    client.abandonPolls();
    loop.run_for(5s);
    BOOST_TEST((errors == std::vector<ErrorId>{ErrorId::TimedOut, ErrorId::TimedOut}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
