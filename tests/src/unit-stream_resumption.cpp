#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

#include "apricotarch/app/stream_origin.h"
#include "fakes/simulated_fleet.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

constexpr Duration LongerThanStreams = 20s;

/// Three nodes that have seen one software version for longer than any stream lasts.
struct Fleet
{
    Fleet()
    {
        for (const auto &[name, host] : {std::pair("a", "127.0.0.1"), std::pair("b", "127.0.0.2"), std::pair("c", "127.0.0.3")}) {
            nodes.push_back(std::make_unique<Node>(simulation.eventLoops, simulation.clock, simulation.peerPort, name, host));
            nodes.back()->tables.rows[PlanTable] = {row("config", "3", 1)};
            nodes.back()->tables.rows[ServersTable] = {row("i-1", "rv1", 2)};
        }
        advance(LongerThanStreams);
    }

    void advance(Duration duration)
    {
        for (Duration elapsed{0}; elapsed < duration; elapsed += 1s) {
            simulation.advance(1s);
        }
    }

    /// A server of a new version registers. @param count number of nodes whose store has its row
    void join(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            nodes[index]->tables.version = StorePosition(3);
            nodes[index]->tables.rows[ServersTable] = {row("i-1", "rv1", 2), row("i-2", "rv1.1", 3)};
        }
    }

    /// Ends the messages between the last node and the others until they take each other for dead.
    void cutLastNodeFromOthers()
    {
        nodes.back()->authenticator = MessageAuthenticator("of no other node, 16 characters");
        advance(3s);
    }

    /// Returns the version at which the last node resumes a stream; "unknown" if it refuses to.
    std::string resumeAtLastNode(const char *request)
    {
        std::optional<StreamOrigin> origin;
        bool isFound = false;
        const auto find = [&]() -> asio::awaitable<void> {
            ServiceId service("desk");
            RequestId resumed(request);
            origin = co_await findStreamOrigin(nodes.back()->state, std::move(service), std::move(resumed));
            isFound = true;
        };
        asio::co_spawn(simulation.eventLoops.coordinationLoop(), find(), asio::detached);
        simulation.advance(1s);
        BOOST_REQUIRE(isFound);
        return origin ? origin->version.value() : "unknown";
    }

    Simulation simulation;
    std::vector<std::unique_ptr<Node>> nodes;
};

} // namespace

BOOST_AUTO_TEST_SUITE(stream_resumption)

BOOST_AUTO_TEST_SUITE(at_a_node_that_knows_one_version_only)

BOOST_FIXTURE_TEST_CASE(goes_on_without_other_nodes_if_the_store_confirms_it, Fleet)
{
    cutLastNodeFromOthers();
    BOOST_TEST(resumeAtLastNode("r1") == "v1");
}

BOOST_FIXTURE_TEST_CASE(goes_on_without_the_store_if_the_other_nodes_know_nothing_newer, Fleet)
{
    for (const std::unique_ptr<Node> &node : nodes) {
        node->tables.failing[ServersTable] = ErrorId::StoreUnavailable;
    }
    advance(10s);
    BOOST_TEST(resumeAtLastNode("r1") == "v1");
}

BOOST_AUTO_TEST_SUITE(while_it_is_out_of_step)

BOOST_FIXTURE_TEST_CASE(is_refused_if_it_was_cut_off, Fleet)
{
    // Streams that had begun at a new version were continued at the old one by a node that was cut off when the new one joined.
    nodes.back()->tables.partitioned = true;
    cutLastNodeFromOthers();
    join(2);
    advance(1s);
    recordStreamOrigin(nodes[0]->state, RequestId("r1"), RequestId(), {ServiceId("desk"), SoftwareVersion("v1.1")});
    simulation.advance(100ms);
    BOOST_TEST(resumeAtLastNode("r1") == "unknown");
}

BOOST_FIXTURE_TEST_CASE(is_refused_if_it_has_not_read_the_last_change_yet, Fleet)
{
    // A node that stood still serves the requests that have waited for it before it reads what has changed.
    cutLastNodeFromOthers();
    join(3);
    BOOST_TEST(resumeAtLastNode("r1") == "unknown");
}

BOOST_FIXTURE_TEST_CASE(is_refused_if_another_node_knows_more_and_the_store_does_not_answer, Fleet)
{
    nodes.back()->tables.failing[ServersTable] = ErrorId::StoreUnavailable;
    join(2);
    simulation.advance(300ms);
    BOOST_TEST(resumeAtLastNode("r1") == "unknown");
}

BOOST_FIXTURE_TEST_CASE(is_refused_if_a_version_may_have_joined_and_left_in_the_meantime, Fleet)
{
    cutLastNodeFromOthers();
    nodes.back()->tables.partitioned = true;
    advance(10s);
    nodes.back()->tables.partitioned = false;
    nodes.back()->tables.rows.erase("apricotarch-streams");
    nodes.back()->tables.failing["apricotarch-streams"] = ErrorId::StoreUnavailable;
    advance(4s);
    BOOST_TEST(resumeAtLastNode("r1") == "unknown");
    advance(LongerThanStreams);
    BOOST_TEST(resumeAtLastNode("r1") == "v1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
