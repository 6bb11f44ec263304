#include <algorithm>
#include <functional>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "apricotarch/app/fleet_keeper.h"
#include "fakes/manual_clock.h"
#include "platform/dialect.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

constexpr const char *PlanTable = "op";
constexpr const char *ServersTable = "servers";

/// A port that is free on loopback, the same for all nodes of a test.
std::uint16_t freePort()
{
    asio::io_context loop;
    const asio::ip::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
    return acceptor.local_endpoint().port();
}

/// The store's tables; a test makes calls fail.
class FakeTables final : public TableReader, public TableStore
{
public:
    explicit FakeTables(Clock &clock)
        : m_clock(clock)
    {
    }

    asio::awaitable<Result<RowBatch>> readTable(std::string table) override
    {
        ++wholeReads[table];
        if (failing.contains(table)) {
            co_return fail(failing[table], "store.read_table", "store", "as the test says");
        }
        co_return RowBatch{rows[table], version};
    }

    asio::awaitable<Result<RowBatch>> readChanges(std::string table, RowVersion after, Duration wait) override
    {
        waits[table] = wait;
        co_await m_clock.sleep(std::min<Duration>(std::max<Duration>(wait, 1ms), 200ms));
        if (failing.contains(table)) {
            co_return fail(failing[table], "store.read_changes", "store", "as the test says");
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

    asio::awaitable<Result<std::optional<Row>>> read(RowKey /*key*/) override
    {
        co_return std::optional<Row>();
    }

    asio::awaitable<Result<RowVersion>> write(RowWrite write) override
    {
        if (beforeWrite) {
            std::exchange(beforeWrite, nullptr)();
        }
        rows[write.key.table].push_back({write.key.key, write.text, version, false});
        co_return version;
    }

    std::function<void()> beforeWrite; ///< What another node does in the meantime, once.

    std::map<std::string, std::vector<StoredRow>> rows;
    std::map<std::string, ErrorId> failing; ///< By table.
    std::map<std::string, int> wholeReads;
    std::map<std::string, Duration> waits; ///< Of the last waiting call.
    RowVersion version{1};

private:
    Clock &m_clock;
};

/// A configuration is its version's digits, a server's entry its state's first letter.
RowFormats testFormats()
{
    const auto plan = [](const std::string &text) -> Result<RoutingPlan> {
        return RoutingPlan(std::stoi(text), {}, {}, {});
    };
    const auto server = [](const std::string &key, const std::string &text) -> Result<BackendRecord> {
        if (text == "?") {
            return fail(ErrorId::InvalidField, "backend.decode", key, "as the test says");
        }
        BackendRecord record;
        record.id = ReplicaId(key);
        record.service = ServiceId("desk");
        record.state = text == "d" ? BackendState::Draining : BackendState::Ready;
        return record;
    };
    return {PlanTable, "config", ServersTable, plan, server};
}

FrontSettings settingsOf(const std::string &name, const std::string &host, std::uint16_t peerPort)
{
    FrontSettings settings;
    settings.node = NodeId(name);
    settings.zone = ZoneId("z");
    settings.callerAddress = {host, 17'460};
    settings.peerAddress = {host, peerPort};
    settings.seeds = {"127.0.0.1:1", "127.0.0.2:1"};
    return settings;
}

/// One node with its own store, on the test's loop and clock.
struct Node
{
    Node(Workers &workers, Clock &clock, std::uint16_t peerPort, const std::string &name, const std::string &host)
        : tables(clock)
        , state(workers.first().get_executor(), settingsOf(name, host, peerPort), clock, dialect, 1)
        , link(workers, seal, state.metrics)
        , keeper(state, tables, tables, link, testFormats(), Incarnation(1))
    {
        const Result<void> started = keeper.start(workers.first());
        BOOST_REQUIRE(started.has_value());
    }

    FakeTables tables;
    platform::Dialect dialect;
    PeerSeal seal{"a key of sixteen and more"};
    FrontState state;
    SealedLink link;
    FleetKeeper keeper;
};

/// Lets time pass on a manual clock while sockets do their work.
class Stage
{
public:
    void pass(Duration duration)
    {
        const TimePoint end = clock.now() + duration;
        while (clock.now() < end) {
            for (int round = 0; round < 3; ++round) {
                workers.first().restart();
                workers.first().poll();
            }
            clock.step(end - clock.now());
        }
        // Frames between nodes take real time on loopback.
        for (int round = 0; round < 20; ++round) {
            workers.first().restart();
            workers.first().run_for(1ms);
        }
    }

    Workers workers{1};
    fakes::ManualClock clock; ///< Destroyed before the loop that its sleepers wait on.
    std::uint16_t peerPort = freePort();
};

StoredRow row(const char *key, const char *text, std::int64_t version)
{
    return {key, text, RowVersion(version), false};
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_keeper)

BOOST_AUTO_TEST_SUITE(a_configuration)

BOOST_AUTO_TEST_CASE(is_adopted_as_it_changes_and_never_goes_back)
{
    Stage stage;
    Node node(stage.workers, stage.clock, stage.peerPort, "a", "127.0.0.1");
    BOOST_TEST(!node.state.ready());
    node.tables.rows[PlanTable] = {row("config", "3", 5)};
    node.tables.version = RowVersion(5);
    stage.pass(1s);
    BOOST_TEST(node.state.plan->version() == 3);
    BOOST_TEST(node.state.ready());
    node.tables.rows[PlanTable] = {row("config", "2", 6)};
    node.tables.version = RowVersion(6);
    stage.pass(1s);
    BOOST_TEST(node.state.plan->version() == 3);
    node.tables.rows[PlanTable] = {row("config", "9", 7)};
    node.tables.version = RowVersion(7);
    stage.pass(1s);
    BOOST_TEST(node.state.plan->version() == 9);
}

BOOST_AUTO_TEST_CASE(is_read_whole_where_the_history_was_dropped)
{
    Stage stage;
    Node node(stage.workers, stage.clock, stage.peerPort, "a", "127.0.0.1");
    node.tables.rows[PlanTable] = {row("config", "3", 5)};
    stage.pass(1s);
    const int before = node.tables.wholeReads[PlanTable];
    node.tables.failing[PlanTable] = ErrorId::HistoryDropped;
    stage.pass(500ms);
    node.tables.failing.clear();
    stage.pass(500ms);
    BOOST_TEST(node.tables.wholeReads[PlanTable] > before);
    BOOST_TEST(node.state.plan->version() == 3);
}

BOOST_AUTO_TEST_CASE(stays_in_force_while_the_store_is_silent_and_calls_do_not_wait_until_one_is_answered)
{
    // Found by a hunt: a waiting call made while the store was silent was never answered.
    Stage stage;
    Node node(stage.workers, stage.clock, stage.peerPort, "a", "127.0.0.1");
    node.tables.rows[PlanTable] = {row("config", "3", 5)};
    node.tables.version = RowVersion(5);
    stage.pass(2s);
    BOOST_TEST((node.tables.waits[PlanTable] > 1s));
    node.tables.failing[PlanTable] = ErrorId::TimedOut;
    stage.pass(3s);
    BOOST_TEST(node.state.plan->version() == 3);
    BOOST_TEST((node.tables.waits[PlanTable] == 0s));
    BOOST_TEST((node.tables.waits[ServersTable] > 1s));
}

BOOST_AUTO_TEST_CASE(is_learned_from_a_peer_where_the_store_turns_a_node_away)
{
    Stage stage;
    Node served(stage.workers, stage.clock, stage.peerPort, "a", "127.0.0.1");
    Node refused(stage.workers, stage.clock, stage.peerPort, "b", "127.0.0.2");
    refused.tables.failing = {{PlanTable, ErrorId::StoreUnavailable}, {ServersTable, ErrorId::StoreUnavailable}};
    served.tables.rows[PlanTable] = {row("config", "3", 5)};
    served.tables.rows[ServersTable] = {row("i-1", "r", 6)};
    served.tables.version = RowVersion(6);
    for (int second = 0; second < 5 && refused.state.plan->version() != 3; ++second) {
        stage.pass(1s);
    }
    BOOST_TEST(refused.state.plan->version() == 3);
    BOOST_TEST(refused.state.backends.usable(ServiceId("desk"), stage.clock.now()).size() == 1U);
    // What leaves later is learned too, as a change.
    served.tables.rows[ServersTable] = {row("i-1", "d", 8)};
    served.tables.version = RowVersion(8);
    for (int second = 0; second < 5; ++second) {
        stage.pass(1s);
    }
    BOOST_TEST(refused.state.backends.usable(ServiceId("desk"), stage.clock.now()).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(nodes)

BOOST_AUTO_TEST_CASE(that_register_at_the_same_time_know_each_other)
{
    // Found on the bench: of nodes that start together each had read the table before the other's row was in it, and then not
    // again for a minute. Neither saw the other's load, and both sent prompts to engines that were busy for a second.
    Stage stage;
    Node node(stage.workers, stage.clock, stage.peerPort, "c", "127.0.0.3");
    const Endpoint other{"127.0.0.4", stage.peerPort};
    node.tables.beforeWrite = [&] {
        node.tables.rows["apricotarch-nodes"].push_back(row("d", other.text().c_str(), 2));
    };
    stage.pass(1s);
    const std::vector<Endpoint> known = node.state.peers.beatAddresses(stage.clock.now());
    BOOST_TEST(std::count(known.begin(), known.end(), other) == 1);
}

BOOST_AUTO_TEST_CASE(hear_of_a_long_prompt_before_the_next_beat)
{
    // The pattern: a prompt of 20,000 tokens keeps an engine busy for half a second; others came to the same engine within the
    // 100 ms to the next beat and waited behind it.
    Stage stage;
    Node one(stage.workers, stage.clock, stage.peerPort, "a", "127.0.0.1");
    Node other(stage.workers, stage.clock, stage.peerPort, "b", "127.0.0.2");
    for (Node *node : {&one, &other}) {
        node->tables.rows[ServersTable] = {row("i-1", "r", 2)};
    }
    stage.pass(2s);
    const BackendPointer sentTo = one.state.backends.find(ReplicaId("i-1"));
    BOOST_REQUIRE(sentTo);
    sentTo->own = {1, 20'000};
    one.state.loadChanged(*sentTo, 20'000);
    stage.pass(1ms);
    BOOST_TEST(other.state.backends.find(ReplicaId("i-1"))->load().promptTokens == 20'000);
    sentTo->own = {1, 0};
    one.state.loadChanged(*sentTo, 20'000);
    stage.pass(1ms);
    BOOST_TEST(other.state.backends.find(ReplicaId("i-1"))->load().promptTokens == 0);
}

BOOST_AUTO_TEST_CASE(learn_of_each_other_from_a_third_one)
{
    // Seeds are 127.0.0.1 and 127.0.0.2; the stores of these nodes tell nothing of the others.
    Stage stage;
    Node seed(stage.workers, stage.clock, stage.peerPort, "a", "127.0.0.1");
    Node third(stage.workers, stage.clock, stage.peerPort, "c", "127.0.0.3");
    Node fourth(stage.workers, stage.clock, stage.peerPort, "d", "127.0.0.4");
    for (int second = 0; second < 5; ++second) {
        stage.pass(1s);
    }
    for (const auto &[one, other] : {std::pair(&third, &fourth), std::pair(&fourth, &third)}) {
        const std::vector<Endpoint> known = one->state.peers.beatAddresses(stage.clock.now());
        BOOST_TEST(std::count(known.begin(), known.end(), other->state.settings.peerAddress) == 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(an_unreadable_entry_names_no_server_and_leaves_the_others)
{
    Stage stage;
    Node node(stage.workers, stage.clock, stage.peerPort, "a", "127.0.0.1");
    node.tables.rows[ServersTable] = {row("i-1", "r", 2), row("i-2", "r", 3)};
    node.tables.version = RowVersion(3);
    stage.pass(1s);
    BOOST_TEST(node.state.backends.usable(ServiceId("desk"), stage.clock.now()).size() == 2U);
    node.tables.rows[ServersTable] = {row("i-1", "?", 4), row("i-2", "r", 3)};
    node.tables.version = RowVersion(4);
    stage.pass(1s);
    const auto usable = node.state.backends.usable(ServiceId("desk"), stage.clock.now());
    BOOST_REQUIRE(usable.size() == 1U);
    BOOST_TEST(usable.front()->record.id.value() == "i-2");
}

BOOST_AUTO_TEST_SUITE_END()
