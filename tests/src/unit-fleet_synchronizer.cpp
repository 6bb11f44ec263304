#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/test/unit_test.hpp>

#include "apricotarch/app/fleet_synchronizer.h"
#include "apricotarch/app/stream_origin.h"
#include "apricotarch/protocol/front_codec.h"
#include "fakes/simulated_fleet.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

/// A peer at 127.0.0.9 that has newer rows. It answers requests for servers, but does not finish the transfer of its configuration.
class ScriptedPeer
{
public:
    explicit ScriptedPeer(Simulation &simulation)
        : m_endpoint{"127.0.0.9", simulation.peerPort}
        , m_acceptor(simulation.eventLoops.coordinationLoop(), {asio::ip::make_address(m_endpoint.host), m_endpoint.port})
        , m_sender(simulation.eventLoops.coordinationLoop(), asio::ip::udp::v4())
    {
        asio::co_spawn(m_acceptor.get_executor(), serve(), asio::detached);
    }

    void sendHeartbeat(const Endpoint &receiver, ConfigurationVersion plan, StorePosition servers)
    {
        FrontHeartbeat heartbeat;
        heartbeat.node = NodeId("slow");
        heartbeat.incarnation = Incarnation(1);
        heartbeat.sequence = ++m_sequence;
        heartbeat.callerAddress = {m_endpoint.host, 17'460};
        heartbeat.peerAddress = m_endpoint;
        heartbeat.planVersion = plan;
        heartbeat.serversVersion = servers;
        const std::string bytes = m_authenticator.authenticate(encodeFrontDatagram(heartbeat));
        m_sender.send_to(asio::buffer(bytes), {asio::ip::make_address(receiver.host), receiver.port});
    }

    std::vector<StoredRow> servers; ///< Rows of the servers' table.
    int configurationsRequested = 0;
    bool damagesCompressedPlans = false; ///< Whether it sends a damaged compressed configuration, or a whole one as it is.

private:
    asio::awaitable<void> serve()
    {
        while (true) {
            asio::ip::tcp::socket connection = co_await m_acceptor.async_accept(asio::use_awaitable);
            std::uint32_t length = 0;
            co_await asio::async_read(connection, asio::buffer(&length, sizeof(length)), asio::use_awaitable);
            std::string frame(boost::endian::big_to_native(length), '\0');
            co_await asio::async_read(connection, asio::buffer(frame), asio::use_awaitable);
            const Result<std::string> bytes = m_authenticator.verify(frame, "peer");
            const Result<FleetSnapshotRequest> request = decodeFleetSnapshotRequest(*bytes, "peer");
            if (request->planVersion && damagesCompressedPlans) {
                FleetSnapshot snapshot;
                snapshot.planVersion = ConfigurationVersion(9);
                (request->acceptsCompressedPlan ? snapshot.compressedPlan : snapshot.plan) =
                    request->acceptsCompressedPlan ? "damaged" : "9";
                co_await reply(connection, snapshot);
                continue;
            }
            if (request->planVersion) {
                ++configurationsRequested;
                m_unfinished.push_back(std::move(connection));
                continue;
            }
            FleetSnapshot snapshot;
            snapshot.servers = servers;
            snapshot.serversVersion = servers.back().version;
            co_await reply(connection, snapshot);
        }
    }

    asio::awaitable<void> reply(asio::ip::tcp::socket &connection, const FleetSnapshot &snapshot)
    {
        const std::string bytes = m_authenticator.authenticate(encodeFleetSnapshot(snapshot));
        const std::uint32_t length = boost::endian::native_to_big(static_cast<std::uint32_t>(bytes.size()));
        co_await asio::async_write(connection, asio::buffer(&length, sizeof(length)), asio::use_awaitable);
        co_await asio::async_write(connection, asio::buffer(bytes), asio::use_awaitable);
    }

    Endpoint m_endpoint;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::udp::socket m_sender;
    MessageAuthenticator m_authenticator{"a key of sixteen and more"};
    std::int64_t m_sequence = 0;
    std::vector<asio::ip::tcp::socket> m_unfinished;
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_synchronizer)

BOOST_AUTO_TEST_SUITE(a_configuration)

BOOST_AUTO_TEST_CASE(is_adopted_as_it_changes_and_never_goes_back)
{
    Simulation simulation;
    Node node(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    BOOST_TEST(!node.state.isReady());
    node.tables.rows[PlanTable] = {row("config", "3", 5)};
    node.tables.version = StorePosition(5);
    simulation.advance(1s);
    BOOST_TEST(node.state.plan->version() == 3);
    BOOST_TEST(node.state.isReady());
    node.tables.rows[PlanTable] = {row("config", "2", 6)};
    node.tables.version = StorePosition(6);
    simulation.advance(1s);
    BOOST_TEST(node.state.plan->version() == 3);
    node.tables.rows[PlanTable] = {row("config", "9", 7)};
    node.tables.version = StorePosition(7);
    simulation.advance(1s);
    BOOST_TEST(node.state.plan->version() == 9);
}

BOOST_AUTO_TEST_CASE(is_read_in_full_after_the_history_was_dropped)
{
    Simulation simulation;
    Node node(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    node.tables.rows[PlanTable] = {row("config", "3", 5)};
    simulation.advance(1s);
    const int before = node.tables.fullReads[PlanTable];
    node.tables.failing[PlanTable] = ErrorId::HistoryDropped;
    simulation.advance(500ms);
    node.tables.failing.clear();
    simulation.advance(500ms);
    BOOST_TEST(node.tables.fullReads[PlanTable] > before);
    BOOST_TEST(node.state.plan->version() == 3);
}

BOOST_AUTO_TEST_CASE(stays_in_force_during_a_store_outage_and_calls_do_not_long_poll_until_one_succeeds)
{
    // A long poll that was sent during an outage of the store was never answered.
    Simulation simulation;
    Node node(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    node.tables.rows[PlanTable] = {row("config", "3", 5)};
    node.tables.version = StorePosition(5);
    simulation.advance(2s);
    BOOST_TEST((node.tables.waits[PlanTable] > 1s));
    node.tables.failing[PlanTable] = ErrorId::TimedOut;
    simulation.advance(3s);
    BOOST_TEST(node.state.plan->version() == 3);
    BOOST_TEST((node.tables.waits[PlanTable] == 0s));
    BOOST_TEST((node.tables.waits[ServersTable] > 1s));
}

BOOST_AUTO_TEST_CASE(is_read_from_a_peer_if_the_store_refuses_the_node)
{
    Simulation simulation;
    Node connected(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    Node disconnected(simulation.eventLoops, simulation.clock, simulation.peerPort, "b", "127.0.0.2");
    disconnected.tables.failing = {{PlanTable, ErrorId::StoreUnavailable}, {ServersTable, ErrorId::StoreUnavailable}};
    connected.tables.rows[PlanTable] = {row("config", "3", 5)};
    connected.tables.rows[ServersTable] = {row("i-1", "r", 6)};
    connected.tables.version = StorePosition(6);
    for (int second = 0; second < 5 && disconnected.state.plan->version() != 3; ++second) {
        simulation.advance(1s);
    }
    BOOST_TEST(disconnected.state.plan->version() == 3);
    BOOST_TEST(disconnected.state.backends.selectUsable(ServiceId("desk"), simulation.clock.now()).size() == 1U);
    // A server that starts to drain later is reported as a change.
    connected.tables.rows[ServersTable] = {row("i-1", "d", 8)};
    connected.tables.version = StorePosition(8);
    for (int second = 0; second < 5; ++second) {
        simulation.advance(1s);
    }
    BOOST_TEST(disconnected.state.backends.selectUsable(ServiceId("desk"), simulation.clock.now()).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(nodes)

BOOST_AUTO_TEST_CASE(that_register_at_the_same_time_discover_each_other)
{
    // Two nodes that started together each read the table before the other's row was written, and did not read it again for a
    // minute. Neither received the other's load, and both sent prompts to engines that were busy for a second.
    Simulation simulation;
    Node node(simulation.eventLoops, simulation.clock, simulation.peerPort, "c", "127.0.0.3");
    const Endpoint other{"127.0.0.4", simulation.peerPort};
    node.tables.beforeWrite = [&] {
        node.tables.rows["apricotarch-nodes"].push_back(row("d", other.text().c_str(), 2));
    };
    simulation.advance(1s);
    const std::vector<Endpoint> peers = node.state.peers.heartbeatAddresses(simulation.clock.now(), node.state.random);
    BOOST_TEST(std::count(peers.begin(), peers.end(), other) == 1);
}

BOOST_AUTO_TEST_CASE(receive_the_load_of_a_long_prompt_before_the_next_heartbeat)
{
    // A prompt of 20,000 tokens keeps an engine busy for half a second. Other nodes sent prompts to the same engine within the
    // 100 ms until the next heartbeat, and these prompts waited.
    Simulation simulation;
    Node one(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    Node other(simulation.eventLoops, simulation.clock, simulation.peerPort, "b", "127.0.0.2");
    for (Node *node : {&one, &other}) {
        node->tables.rows[ServersTable] = {row("i-1", "r", 2)};
    }
    simulation.advance(2s);
    const BackendPointer server = one.state.backends.find(ReplicaId("i-1"));
    BOOST_REQUIRE(server);
    server->localLoad = {1, 20'000};
    one.state.notifyLoadChanged(*server, 20'000);
    simulation.advance(1ms);
    BOOST_TEST(other.state.backends.find(ReplicaId("i-1"))->load().promptTokens == 20'000);
    server->localLoad = {1, 0};
    one.state.notifyLoadChanged(*server, 20'000);
    simulation.advance(1ms);
    BOOST_TEST(other.state.backends.find(ReplicaId("i-1"))->load().promptTokens == 0);
}

BOOST_AUTO_TEST_CASE(tell_each_other_the_limits_of_servers_request_rates)
{
    Simulation simulation;
    Node one(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    Node other(simulation.eventLoops, simulation.clock, simulation.peerPort, "b", "127.0.0.2");
    for (Node *node : {&one, &other}) {
        node->tables.rows[ServersTable] = {row("i-1", "r", 2)};
    }
    simulation.advance(2s);
    const ReplicaId id("i-1");
    const BackendPointer server = other.state.backends.find(id);
    BOOST_REQUIRE(one.state.backends.recordRequestRate(id, simulation.clock.now(), 2.0, simulation.clock.now()));
    simulation.advance(500ms);
    BOOST_TEST(server->rateStatement.perSecond.value_or(0) == 2.0);
    BOOST_TEST(server->rateShare.isLimited());
    BOOST_TEST(server->rateShare.allowance().perSecond == 1.0);
    BOOST_TEST((one.state.backends.find(id)->rateShare.allowance() == server->rateShare.allowance()));

    simulation.advance(2s);
    BOOST_REQUIRE(one.state.backends.recordRequestRate(id, simulation.clock.now(), std::nullopt, simulation.clock.now()));
    simulation.advance(500ms);
    BOOST_TEST(!server->rateShare.isLimited());
    simulation.advance(500ms); // Reports of the other node do not bring the limit back.
    BOOST_TEST(!one.state.backends.find(id)->rateStatement.perSecond.has_value());
    BOOST_TEST(!one.state.backends.find(id)->rateShare.isLimited());
}

BOOST_AUTO_TEST_CASE(tell_one_that_starts_later_of_a_crashing_request_though_the_one_that_saw_its_crashes_has_ended)
{
    // Restarts in turn made all nodes forget which request crashes servers, which then reached servers again.
    Simulation simulation;
    auto observer = std::make_unique<Node>(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    const Node other(simulation.eventLoops, simulation.clock, simulation.peerPort, "b", "127.0.0.2");
    simulation.advance(2s);
    const ContentHash content(7);
    observer->state.crashTracker.recordCrash(ReplicaId("i-1"), content, simulation.clock.now());
    observer->state.crashTracker.recordCrash(ReplicaId("i-2"), content, simulation.clock.now());
    simulation.advance(1s);
    BOOST_REQUIRE(other.state.crashTracker.isQuarantined(content, simulation.clock.now()));
    observer->authenticator = MessageAuthenticator("of no other node, 16 characters"); // As if it had ended.
    const Node later(simulation.eventLoops, simulation.clock, simulation.peerPort, "c", "127.0.0.3");
    simulation.advance(2s);
    BOOST_TEST(later.state.crashTracker.isQuarantined(content, simulation.clock.now()));
}

BOOST_AUTO_TEST_CASE(of_which_one_has_a_partial_view_and_the_other_not_keep_hearing_each_other)
{
    // While a large fleet starts, some nodes know it already and others do not. Load updates and heartbeats count in one sequence; with
    // two, a node took the other's heartbeats for old ones after its load updates.
    Simulation simulation;
    Node full(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    Node partial(simulation.eventLoops, simulation.clock, simulation.peerPort, "b", "127.0.0.2", 0);
    for (Node *node : {&full, &partial}) {
        node->tables.rows[PlanTable] = {row("config", "3", 1)};
        node->tables.rows[ServersTable] = {row("i-1", "e", 2)};
    }
    for (int second = 0; second < 3; ++second) {
        simulation.advance(1s);
    }
    const BackendPointer engine = partial.state.backends.find(ReplicaId("i-1"));
    BOOST_REQUIRE(engine);
    for (int change = 0; change < 100; ++change) {
        partial.state.notifyLoadChanged(*engine, 0);
    }
    for (int second = 0; second < 5; ++second) {
        simulation.advance(1s);
    }
    const auto listed = full.state.peers.callerAddresses(simulation.clock.now());
    BOOST_REQUIRE(listed.size() == 1U);
    BOOST_TEST(listed.front().address.host == "127.0.0.2");
}

BOOST_AUTO_TEST_CASE(discover_each_other_through_a_third_node)
{
    // The seeds are 127.0.0.1 and 127.0.0.2; the stores of these nodes do not contain the other nodes.
    Simulation simulation;
    Node seed(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    Node third(simulation.eventLoops, simulation.clock, simulation.peerPort, "c", "127.0.0.3");
    Node fourth(simulation.eventLoops, simulation.clock, simulation.peerPort, "d", "127.0.0.4");
    for (int second = 0; second < 5; ++second) {
        simulation.advance(1s);
    }
    for (const auto &[one, other] : {std::pair(&third, &fourth), std::pair(&fourth, &third)}) {
        const std::vector<Endpoint> peers = one->state.peers.heartbeatAddresses(simulation.clock.now(), one->state.random);
        BOOST_TEST(std::count(peers.begin(), peers.end(), other->state.settings.peerAddress) == 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_restored_store)

BOOST_AUTO_TEST_CASE(that_gives_out_versions_again_does_not_hide_the_next_configuration)
{
    // Row versions were compared as numbers: no configuration was adopted until the store's versions had passed those before its restore.
    Simulation simulation;
    Node node(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    node.tables.rows[PlanTable] = {row("config", "11", 30)};
    node.tables.version = StorePosition(30);
    simulation.advance(1s);
    BOOST_REQUIRE(node.state.plan->version() == 11);
    node.tables.rows[PlanTable] = {{"config", "9", restored(20), false}};
    node.tables.version = restored(25);
    simulation.advance(1s);
    BOOST_TEST(node.state.plan->version() == 11);
    BOOST_TEST(node.state.metrics.count(CounterFamily::Configurations, "store_restored") == 1U);
    node.tables.rows[PlanTable] = {{"config", "14", restored(26), false}};
    node.tables.version = restored(26);
    simulation.advance(1s);
    BOOST_TEST(node.state.plan->version() == 14);
}

BOOST_AUTO_TEST_CASE(does_not_hide_the_next_configuration_from_a_node_that_reads_from_peers)
{
    Simulation simulation;
    Node reading(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    Node following(simulation.eventLoops, simulation.clock, simulation.peerPort, "b", "127.0.0.2");
    following.tables.failing = {{PlanTable, ErrorId::StoreUnavailable}, {ServersTable, ErrorId::StoreUnavailable}};
    reading.tables.rows[PlanTable] = {row("config", "11", 30)};
    reading.tables.rows[ServersTable] = {row("i-1", "r", 29)};
    reading.tables.version = StorePosition(30);
    for (int second = 0; second < 5; ++second) {
        simulation.advance(1s);
    }
    BOOST_REQUIRE(following.state.plan->version() == 11);
    reading.tables.rows[PlanTable] = {{"config", "14", restored(26), false}};
    reading.tables.rows[ServersTable] = {{"i-1", "d", restored(25), false}};
    reading.tables.version = restored(26);
    for (int second = 0; second < 4; ++second) {
        simulation.advance(1s);
    }
    BOOST_TEST(following.state.plan->version() == 14);
    BOOST_TEST(usableServers(following, simulation.clock.now()).empty());
    BOOST_TEST(following.state.metrics.count(CounterFamily::Configurations, "store_restored") == 1U);
}

BOOST_AUTO_TEST_CASE(does_not_leave_a_node_that_starts_into_it_with_an_older_configuration)
{
    // The copy contains an older configuration than the one that the other nodes have in force.
    Simulation simulation;
    Node running(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    running.tables.rows[PlanTable] = {row("config", "11", 30)};
    running.tables.version = StorePosition(30);
    simulation.advance(1s);
    running.tables.rows[PlanTable] = {{"config", "9", restored(20), false}};
    running.tables.version = restored(25);
    simulation.advance(1s);
    Node started(simulation.eventLoops, simulation.clock, simulation.peerPort, "b", "127.0.0.2");
    started.tables.rows = running.tables.rows;
    started.tables.version = running.tables.version;
    for (int second = 0; second < 4; ++second) {
        simulation.advance(1s);
    }
    BOOST_TEST(running.state.plan->version() == 11);
    BOOST_TEST(started.state.plan->version() == 11);
}

BOOST_AUTO_TEST_CASE(restored_twice_in_a_row_still_delivers_the_next_configuration)
{
    Simulation simulation;
    Node node(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    node.tables.rows[PlanTable] = {row("config", "11", 30)};
    node.tables.version = StorePosition(30);
    simulation.advance(1s);
    for (std::int64_t incarnation = 1; incarnation <= 2; ++incarnation) {
        const auto position = [incarnation](std::int64_t version) {
            return StorePosition(StoreIncarnation(incarnation), RowVersion(version));
        };
        const std::int64_t version = 20 - 5 * incarnation;
        node.tables.rows[PlanTable] = {{"config", "9", position(version), false}};
        node.tables.version = position(version);
        simulation.advance(1s);
        const std::string next = std::to_string(11 + incarnation);
        node.tables.rows[PlanTable] = {{"config", next, position(version + 1), false}};
        node.tables.version = position(version + 1);
        simulation.advance(1s);
        BOOST_TEST(node.state.plan->version() == 11 + incarnation);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_stream_is_resumed_at_its_version_by_a_node_that_has_not_seen_it)
{
    // The store does not answer, so the node that resumes the stream can only ask the nodes that keep its origin.
    Simulation simulation;
    std::vector<std::unique_ptr<Node>> nodes;
    for (const auto &[name, host] : {std::pair("a", "127.0.0.1"), std::pair("b", "127.0.0.2"), std::pair("c", "127.0.0.3")}) {
        nodes.push_back(std::make_unique<Node>(simulation.eventLoops, simulation.clock, simulation.peerPort, name, host));
        nodes.back()->tables.rows[PlanTable] = {row("config", "3", 1)};
        nodes.back()->tables.rows[ServersTable] = {row("i-1", "rv1", 2), row("i-2", "rv1.1", 3)};
        nodes.back()->tables.failing["apricotarch-streams"] = ErrorId::StoreUnavailable;
    }
    for (int second = 0; second < 4; ++second) {
        simulation.advance(1s);
    }
    const ServiceId service("desk");
    recordStreamOrigin(nodes[0]->state, RequestId("r1"), RequestId(), {service, SoftwareVersion("v1.1")});
    simulation.advance(1ms);
    for (const std::unique_ptr<Node> &node : nodes) {
        std::optional<StreamOrigin> origin;
        const auto find = [&]() -> asio::awaitable<void> {
            ServiceId routed("desk");
            RequestId resumed("r1");
            origin = co_await findStreamOrigin(node->state, std::move(routed), std::move(resumed));
        };
        asio::co_spawn(simulation.eventLoops.coordinationLoop(), find(), asio::detached);
        simulation.advance(1s);
        BOOST_REQUIRE(origin.has_value());
        BOOST_TEST(origin->version.value() == "v1.1");
    }
}

BOOST_AUTO_TEST_SUITE(a_stream_that_is_resumed_after_all_nodes_were_started_again)

/// A node of a fleet whose nodes were all ended at once, and of the fleet that follows.
struct RestartedFleet
{
    /// Starts the node of the first fleet. @param servers rows of the servers
    void startFirst(const std::vector<StoredRow> &servers)
    {
        first = std::make_unique<Node>(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
        first->tables.rows[PlanTable] = {row("config", "3", 1)};
        first->tables.rows[ServersTable] = servers;
        simulation.advance(4s);
    }

    /// Starts another node with the same store. @param servers rows of the servers
    void startSecond(const std::vector<StoredRow> &servers)
    {
        const auto rows = first->tables.rows;
        second = std::make_unique<Node>(simulation.eventLoops, simulation.clock, simulation.peerPort, "b", "127.0.0.2");
        second->tables.rows = rows;
        second->tables.failing = first->tables.failing;
        second->tables.rows[ServersTable] = servers;
        simulation.advance(2s);
    }

    /// Returns the version at which a stream began, as the second node finds it; "unknown" if it does not.
    std::string findVersion(const char *request)
    {
        std::optional<StreamOrigin> origin;
        bool isFound = false;
        const auto find = [&]() -> asio::awaitable<void> {
            ServiceId service("desk");
            RequestId resumed(request);
            origin = co_await findStreamOrigin(second->state, std::move(service), std::move(resumed));
            isFound = true;
        };
        asio::co_spawn(simulation.eventLoops.coordinationLoop(), find(), asio::detached);
        simulation.advance(1s);
        BOOST_REQUIRE(isFound);
        return origin ? origin->version.value() : "unknown";
    }

    Simulation simulation;
    std::unique_ptr<Node> first;
    std::unique_ptr<Node> second;
};

BOOST_FIXTURE_TEST_CASE(goes_on_at_the_version_that_the_store_has, RestartedFleet)
{
    const std::vector<StoredRow> servers = {row("i-1", "rv1", 2), row("i-2", "rv1.1", 3)};
    startFirst(servers);
    const ServiceId service("desk");
    recordStreamOrigin(first->state, RequestId("r1"), RequestId(), {service, SoftwareVersion("v1")});
    recordStreamOrigin(first->state, RequestId("r2"), RequestId("r0"), {service, SoftwareVersion("v1.1")});
    simulation.advance(1s);
    startSecond(servers);
    BOOST_TEST(findVersion("r1") == "v1");
    BOOST_TEST(findVersion("r2") == "v1.1");
    BOOST_TEST(findVersion("r0") == "v1.1");
    BOOST_TEST(findVersion("r9") == "unknown");
}

BOOST_FIXTURE_TEST_CASE(is_not_taken_for_one_of_the_new_version_while_the_old_one_has_just_left, RestartedFleet)
{
    startFirst({row("i-1", "rv1", 2), row("i-2", "rv1.1", 3)});
    startSecond({row("i-2", "rv1.1", 3)});
    BOOST_TEST(findVersion("r9") == "unknown");
    simulation.advance(20s);
    BOOST_TEST(findVersion("r9") == "v1.1"); // The lifetime of a stream has passed since.
}

BOOST_FIXTURE_TEST_CASE(goes_on_if_only_one_version_has_served, RestartedFleet)
{
    startFirst({row("i-1", "rv1", 2)});
    startSecond({row("i-1", "rv1", 2)});
    BOOST_TEST(findVersion("r9") == "v1");
}

BOOST_FIXTURE_TEST_CASE(has_a_silent_store_called_five_times_a_second, RestartedFleet)
{
    startFirst({row("i-1", "rv1", 2), row("i-2", "rv1.1", 3)});
    first->tables.failing["apricotarch-streams"] = ErrorId::StoreUnavailable;
    startSecond({row("i-1", "rv1", 2), row("i-2", "rv1.1", 3)});
    const int before = second->tables.fullReads["apricotarch-streams"];
    for (int elapsed = 0; elapsed < 10; ++elapsed) {
        simulation.advance(1s);
    }
    BOOST_TEST(second->tables.fullReads["apricotarch-streams"] - before <= 10);
}

BOOST_FIXTURE_TEST_CASE(is_not_taken_for_one_of_the_present_version_if_the_store_does_not_tell, RestartedFleet)
{
    startFirst({row("i-1", "rv1", 2)});
    first->tables.rows.erase("apricotarch-streams");
    startSecond({row("i-2", "rv1.1", 3)});
    second->tables.failing["apricotarch-streams"] = ErrorId::StoreUnavailable;
    second->state.recordedVersions.clear();
    BOOST_TEST(findVersion("r9") == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_server_that_is_gone_is_not_used_for_longer_after_the_nodes_that_read_the_store_have_ended)
{
    // Two waits added up, until the nodes are found dead and for servers whose entries have expired: 13 requests more than 2 s after the
    // removal.
    constexpr Duration Bound = 2s;
    Simulation simulation;
    std::vector<std::unique_ptr<Node>> nodes;
    for (const auto &[name, host] :
        {std::pair("a", "127.0.0.1"), std::pair("b", "127.0.0.2"), std::pair("c", "127.0.0.3"), std::pair("d", "127.0.0.4")}) {
        nodes.push_back(std::make_unique<Node>(simulation.eventLoops, simulation.clock, simulation.peerPort, name, host));
        nodes.back()->tables.rows[PlanTable] = {row("config", "3", 1)};
        nodes.back()->tables.rows[ServersTable] = {row("i-1", "r", 2)};
    }
    for (int second = 0; second < 5; ++second) {
        simulation.advance(1s);
    }
    for (const std::size_t reader : {0, 1}) {
        nodes[reader]->authenticator = MessageAuthenticator("of no other node, 16 characters"); // As if it had ended.
    }
    for (const std::size_t other : {2, 3}) {
        BOOST_TEST(usableServers(*nodes[other], simulation.clock.now()).size() == 1U);
        nodes[other]->tables.version = StorePosition(3);
        nodes[other]->tables.rows[ServersTable] = {{"i-1", "", StorePosition(3), true}};
    }
    simulation.advance(Bound);
    for (const std::size_t other : {2, 3}) {
        BOOST_TEST(usableServers(*nodes[other], simulation.clock.now()).empty());
    }
}

BOOST_AUTO_TEST_CASE(a_server_that_is_gone_is_not_used_for_longer_after_calls_to_the_store_have_failed)
{
    // If a call had failed up to 2 s before the nodes that read the store ended, the two waits added up again: last requests 2,035 to 2,163
    // ms after the removal.
    struct Conditions
    {
        Duration failing; ///< How long calls to the store fail.
        Duration answering; ///< How long they are answered again before the removal.
        Duration answerDelay; ///< Of full reads.
        bool readersEnd; ///< Whether the nodes that read the store end at the removal.
    };
    constexpr Duration Bound = 2s;
    const auto conditions = std::to_array<Conditions>({
        {400ms, 700ms, 0ms, true},
        {1s, 100ms, 0ms, true},
        {1s, 1s, 0ms, true},
        {3s, 500ms, 0ms, true},
        {3s, 1500ms, 0ms, true},
        {3s, 1900ms, 400ms, true},
        {1s, 100ms, 0ms, false},
        {3s, 700ms, 0ms, false},
    });
    for (const auto &[failing, answering, answerDelay, readersEnd] : conditions) {
        BOOST_TEST_CONTEXT("failing " << toMilliseconds(failing) << " ms, then answering " << toMilliseconds(answering) << " ms")
        {
            Simulation simulation;
            std::vector<std::unique_ptr<Node>> nodes;
            for (const auto &[name, host] :
                {std::pair("a", "127.0.0.1"), std::pair("b", "127.0.0.2"), std::pair("c", "127.0.0.3"), std::pair("d", "127.0.0.4")}) {
                nodes.push_back(std::make_unique<Node>(simulation.eventLoops, simulation.clock, simulation.peerPort, name, host));
                nodes.back()->tables.rows[PlanTable] = {row("config", "3", 1)};
                nodes.back()->tables.rows[ServersTable] = {row("i-1", "r", 2)};
                nodes.back()->tables.answerDelay = answerDelay;
            }
            const auto advance = [&simulation](Duration duration) {
                for (; duration > 100ms; duration -= 100ms) {
                    simulation.advance(100ms);
                }
                simulation.advance(duration);
            };
            advance(3s);
            for (const std::unique_ptr<Node> &node : nodes) {
                node->tables.failing = {{PlanTable, ErrorId::StoreUnavailable}, {ServersTable, ErrorId::StoreUnavailable}};
            }
            advance(failing);
            for (const std::unique_ptr<Node> &node : nodes) {
                node->tables.failing.clear();
            }
            advance(answering);
            if (readersEnd) {
                for (const std::size_t reader : {0, 1}) {
                    nodes[reader]->authenticator = MessageAuthenticator("of no other node, 16 characters"); // As if it had ended.
                }
            }
            for (const std::unique_ptr<Node> &node : nodes) {
                node->tables.version = StorePosition(3);
                node->tables.rows[ServersTable] = {{"i-1", "", StorePosition(3), true}};
            }
            advance(Bound);
            for (const std::size_t other : {2, 3}) {
                BOOST_TEST(usableServers(*nodes[other], simulation.clock.now()).empty());
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_server_that_starts_again_after_a_planned_stop_is_used_though_it_had_dropped_a_connection_before)
{
    // The dropped connection was taken for the end of the previous process, whose announcement of its shutdown then counted for good.
    Simulation simulation;
    Node node(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    node.tables.rows[ServersTable] = {row("i-1", "r@1", 2)};
    simulation.advance(3s);
    const ReplicaId id("i-1");
    BackendTable &backends = node.state.backends;
    backends.find(id)->recordConnectionLoss(simulation.clock.now());
    simulation.advance(1s);
    const TimePoint connectedAt = simulation.clock.now();
    BOOST_TEST(backends.recordShutdownStatement(id, connectedAt, connectedAt + 20ms));
    simulation.advance(4s);
    node.tables.version = StorePosition(3);
    node.tables.rows[ServersTable] = {row("i-1", "r@2", 3)};
    simulation.advance(10s);
    BOOST_TEST(usableServers(node, simulation.clock.now()).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_server_that_leaves_is_learned_of_while_the_configuration_is_still_being_transferred)
{
    // Servers' rows travelled behind a large configuration in one message; requests reached servers 3.3 s after they had announced their
    // shutdown.
    Simulation simulation;
    ScriptedPeer peer(simulation);
    Node node(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    node.tables.rows[PlanTable] = {row("config", "3", 5)};
    node.tables.rows[ServersTable] = {row("i-1", "r", 6)};
    node.tables.version = StorePosition(6);
    simulation.advance(1s);
    node.tables.failing = {{PlanTable, ErrorId::StoreUnavailable}, {ServersTable, ErrorId::StoreUnavailable}};
    peer.servers = {row("i-1", "d", 9)};
    for (int second = 0; second < 3; ++second) {
        peer.sendHeartbeat(node.state.settings.peerAddress, ConfigurationVersion(8), StorePosition(9));
        simulation.advance(500ms);
    }
    BOOST_TEST(peer.configurationsRequested > 0);
    BOOST_TEST(node.state.backends.selectUsable(ServiceId("desk"), simulation.clock.now()).empty());
}

BOOST_AUTO_TEST_CASE(a_node_reads_the_store_within_two_seconds_after_all_nodes_that_read_it_were_partitioned_from_it)
{
    // Readers of the store learned that they were cut off when their long polls ended, after up to 4.7 s. Until then no node read it, and
    // requests reached a server that had announced its shutdown.
    Simulation simulation;
    Node first(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    Node second(simulation.eventLoops, simulation.clock, simulation.peerPort, "b", "127.0.0.2");
    Node follower(simulation.eventLoops, simulation.clock, simulation.peerPort, "c", "127.0.0.3");
    for (Node *node : {&first, &second, &follower}) {
        node->tables.rows[PlanTable] = {row("config", "3", 5)};
        node->tables.rows[ServersTable] = {row("i-1", "r", 6)};
        node->tables.version = StorePosition(6);
    }
    for (int second = 0; second < 5; ++second) {
        simulation.advance(1s);
    }
    BOOST_REQUIRE(!follower.state.peers.shouldReadStore(simulation.clock.now()));
    first.tables.partitioned = true;
    second.tables.partitioned = true;
    for (int step = 0; step < 4; ++step) {
        simulation.advance(100ms);
    }
    follower.tables.rows[ServersTable] = {row("i-1", "d", 8)};
    follower.tables.version = StorePosition(8);
    for (int step = 0; step < 16; ++step) {
        simulation.advance(100ms);
    }
    BOOST_TEST(follower.state.backends.selectUsable(ServiceId("desk"), simulation.clock.now()).empty());
}

BOOST_AUTO_TEST_CASE(a_configuration_whose_compressed_form_cannot_be_read_is_requested_as_it_is)
{
    Simulation simulation;
    ScriptedPeer peer(simulation);
    peer.damagesCompressedPlans = true;
    Node node(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    node.tables.rows[PlanTable] = {row("config", "3", 5)};
    node.tables.version = StorePosition(5);
    simulation.advance(1s);
    node.tables.failing = {{PlanTable, ErrorId::StoreUnavailable}, {ServersTable, ErrorId::StoreUnavailable}};
    for (int heartbeat = 0; heartbeat < 5; ++heartbeat) {
        peer.sendHeartbeat(node.state.settings.peerAddress, ConfigurationVersion(9), StorePosition(0));
        simulation.advance(500ms);
    }
    BOOST_TEST(node.state.plan->version() == 9);
}

BOOST_AUTO_TEST_CASE(a_server_that_leaves_is_not_used_again_after_a_late_answer_of_the_store)
{
    // After the history was dropped, the answer to a full read arrived after newer rows of a peer, replaced them, and they were not read
    // again.
    Simulation simulation;
    ScriptedPeer peer(simulation);
    Node node(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    node.tables.rows[ServersTable] = {row("i-1", "r", 6), row("i-2", "r", 7)};
    node.tables.version = StorePosition(7);
    simulation.advance(1s);
    node.tables.failing[ServersTable] = ErrorId::HistoryDropped;
    simulation.advance(300ms);
    node.tables.failing.clear();
    node.tables.answerDelay = 3s;
    simulation.advance(300ms);
    peer.servers = {row("i-1", "d", 9), row("i-3", "r", 10)};
    for (int heartbeat = 0; heartbeat < 3; ++heartbeat) {
        peer.sendHeartbeat(node.state.settings.peerAddress, ConfigurationVersion(0), StorePosition(10));
        simulation.advance(500ms);
    }
    const auto usable = [&] {
        std::set<std::string> ids;
        for (const BackendPointer &server : node.state.backends.selectUsable(ServiceId("desk"), simulation.clock.now())) {
            ids.insert(server->record.id.value());
        }
        return ids;
    };
    BOOST_TEST((usable() == std::set<std::string>{"i-2", "i-3"}));
    for (int second = 0; second < 4; ++second) {
        simulation.advance(1s);
    }
    BOOST_TEST((usable() == std::set<std::string>{"i-2", "i-3"}));
}

BOOST_AUTO_TEST_CASE(an_unreadable_row_removes_only_its_own_server)
{
    Simulation simulation;
    Node node(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    node.tables.rows[ServersTable] = {row("i-1", "r", 2), row("i-2", "r", 3)};
    node.tables.version = StorePosition(3);
    simulation.advance(1s);
    BOOST_TEST(node.state.backends.selectUsable(ServiceId("desk"), simulation.clock.now()).size() == 2U);
    node.tables.rows[ServersTable] = {row("i-1", "?", 4), row("i-2", "r", 3)};
    node.tables.version = StorePosition(4);
    simulation.advance(1s);
    const auto usable = node.state.backends.selectUsable(ServiceId("desk"), simulation.clock.now());
    BOOST_REQUIRE(usable.size() == 1U);
    BOOST_TEST(usable.front()->record.id.value() == "i-2");
}

BOOST_AUTO_TEST_CASE(a_server_whose_row_became_unreadable_is_not_used_by_a_node_that_starts_later)
{
    // Peers passed the server's last readable row on, so that a restarted node used a server that no other node used any more.
    Simulation simulation;
    Node reading(simulation.eventLoops, simulation.clock, simulation.peerPort, "a", "127.0.0.1");
    reading.tables.rows[ServersTable] = {row("i-1", "r", 2), row("i-2", "r", 3)};
    reading.tables.version = StorePosition(3);
    simulation.advance(1s);
    reading.tables.rows[ServersTable] = {row("i-1", "?", 4), row("i-2", "r", 3)};
    reading.tables.version = StorePosition(4);
    simulation.advance(1s);
    Node started(simulation.eventLoops, simulation.clock, simulation.peerPort, "b", "127.0.0.2");
    started.tables.failing = {{PlanTable, ErrorId::StoreUnavailable}, {ServersTable, ErrorId::StoreUnavailable}};
    for (int second = 0; second < 5; ++second) {
        simulation.advance(1s);
    }
    const auto usable = started.state.backends.selectUsable(ServiceId("desk"), simulation.clock.now());
    BOOST_REQUIRE(usable.size() == 1U);
    BOOST_TEST(usable.front()->record.id.value() == "i-2");
}

BOOST_AUTO_TEST_SUITE_END()
