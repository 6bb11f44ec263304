#include <set>
#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>

#include "apricotarch/app/fleet_tables.h"
#include "apricotarch/transport/event_loop_pool.h"
#include "fakes/manual_clock.h"
#include "platform/protocol_adapter.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

const ServiceId Desk("desk");

/// Returns decoders for test rows: a configuration is the digits of its version; a server's row is "r" (ready) or "d" (draining), the
/// server's start and the number of its renewals, separated by spaces. Other rows cannot be decoded.
RowDecoders testDecoders()
{
    const auto plan = [](const std::string &text) -> Result<RoutingPlan> {
        return RoutingPlan(std::stoi(text), {}, {}, {});
    };
    const auto server = [](const std::string &key, const std::string &text) -> Result<BackendRecord> {
        std::istringstream in(text);
        std::string state;
        BackendRecord record;
        if (!(in >> state >> record.startedAt >> record.renewals)) {
            return fail(ErrorId::InvalidField, "backend.decode", key, "failure injected by the test");
        }
        record.id = ReplicaId(key);
        record.service = Desk;
        record.state = state == "d" ? BackendState::Draining : BackendState::Ready;
        return record;
    };
    return {"op", "config", "servers", plan, server};
}

StorePosition before(std::int64_t version)
{
    return StorePosition(version);
}

StorePosition restored(std::int64_t version)
{
    return {StoreIncarnation(1), RowVersion(version)};
}

StoredRow row(const char *key, const char *text, const StorePosition &position)
{
    return {key, text, position, false};
}

/// A node that has read three servers at version 30.
struct NodeFixture
{
    NodeFixture()
    {
        tables.applyServerRows(
            {row("i-1", "r 1 10", before(28)), row("i-2", "r 1 10", before(29)), row("i-3", "r 1 10", before(30))}, before(30), true);
    }

    [[nodiscard]] std::set<std::string> usable() const
    {
        std::set<std::string> ids;
        for (const auto &[id, backend] : state.backends.all()) {
            if (backend->record.state == BackendState::Ready) {
                ids.insert(id.value());
            }
        }
        return ids;
    }

    void advance(Duration duration)
    {
        clock.advance(duration);
        tables.settleAfterRestore();
    }

    EventLoopPool eventLoops{1};
    fakes::ManualClock clock;
    platform::ProtocolAdapter protocolAdapter;
    FrontState state{eventLoops.coordinationLoop().get_executor(), FrontSettings(), clock, protocolAdapter, 1};
    FleetTables tables{state, testDecoders()};
};

using Servers = std::set<std::string>;

template<typename T>
concept Ordered = requires(T left, T right)
{
    left < right;
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_tables)

BOOST_AUTO_TEST_SUITE(a_position)

BOOST_AUTO_TEST_CASE(is_ordered_by_the_incarnation_of_the_store_first)
{
    static_assert(!Ordered<RowVersion>, "versions of two incarnations must not be compared");
    BOOST_TEST(restored(1) > before(1'000'000));
    BOOST_TEST(restored(2) > restored(1));
    BOOST_TEST((StorePosition::unpack(restored(7).packed()) == restored(7)));
    BOOST_TEST(restored(1).packed() > before(StorePosition::MaxVersion).packed());
    BOOST_TEST(before(7).packed() == 7);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_configuration)

BOOST_AUTO_TEST_CASE(is_never_left_for_one_with_a_lower_version_of_the_operator_in_any_incarnation)
{
    NodeFixture node;
    node.tables.applyPlanRows({row("config", "11", before(30))});
    node.tables.applyPlanRows({row("config", "9", restored(20))});
    BOOST_TEST(node.state.plan->version() == 11);
    node.tables.applyPlanRows({row("config", "14", restored(21))});
    BOOST_TEST(node.state.plan->version() == 14);
}

BOOST_AUTO_TEST_CASE(is_passed_to_a_peer_that_has_read_an_older_one_from_the_restored_store)
{
    NodeFixture node;
    node.tables.applyPlanRows({row("config", "11", before(30))});
    node.tables.applyPlanRows({row("config", "9", restored(20))});
    FleetSnapshotRequest request;
    request.planVersion = ConfigurationVersion(9);
    BOOST_TEST(node.tables.makeSnapshot(request).plan == "11");
    request.planVersion = ConfigurationVersion(11);
    BOOST_TEST(node.tables.makeSnapshot(request).plan.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_server_after_a_restore_of_the_store)

BOOST_AUTO_TEST_CASE(that_reported_its_shutdown_in_the_lost_span_does_not_become_ready_again)
{
    NodeFixture node;
    node.tables.applyServerRows({row("i-1", "d 1 12", before(31))}, before(31), false);
    node.tables.applyServerRows(
        {row("i-1", "r 1 9", restored(20)), row("i-2", "r 1 9", restored(21)), row("i-3", "r 1 9", restored(22))}, restored(22), true);
    BOOST_TEST((node.usable() == Servers{"i-2", "i-3"}));
    // Its next write, which has a lower version than the lost one, is recognized.
    node.tables.applyServerRows({row("i-2", "d 1 13", restored(23))}, restored(23), false);
    BOOST_TEST((node.usable() == Servers{"i-3"}));
}

BOOST_AUTO_TEST_CASE(that_had_left_before_does_not_come_back_from_the_copy)
{
    NodeFixture node;
    node.tables.applyServerRows({{"i-1", "", before(31), true}}, before(31), false);
    node.tables.applyServerRows(
        {row("i-1", "r 1 10", restored(20)), row("i-2", "r 1 10", restored(21)), row("i-3", "r 1 9", restored(22))}, restored(22), true);
    BOOST_TEST((node.usable() == Servers{"i-2", "i-3"}));
    BOOST_TEST(node.tables.serversVersion() == restored(22));
    // The platform removes the row of a server that is silent.
    node.tables.applyServerRows({{"i-1", "", restored(23), true}}, restored(23), false);
    node.advance(20s);
    BOOST_TEST((node.usable() == Servers{"i-2", "i-3"}));
}

BOOST_AUTO_TEST_CASE(whose_removal_was_read_but_no_row_before_does_not_come_back_from_the_copy)
{
    // A node that had started shortly before the restore took the copy's row of a server for a new one.
    NodeFixture node;
    node.tables.applyServerRows({{"i-4", "", before(31), true}}, before(31), false);
    node.tables.applyServerRows({row("i-1", "r 1 9", restored(20)),
                                    row("i-2", "r 1 9", restored(20)),
                                    row("i-3", "r 1 9", restored(21)),
                                    row("i-4", "r 1 5", restored(22))},
        restored(22),
        true);
    BOOST_TEST((node.usable() == Servers{"i-1", "i-2", "i-3"}));
    // Its next write shows that it is alive.
    node.tables.applyServerRows({row("i-4", "r 1 6", restored(23))}, restored(23), false);
    BOOST_TEST((node.usable() == Servers{"i-1", "i-2", "i-3", "i-4"}));
}

BOOST_AUTO_TEST_CASE(that_had_been_silent_before_is_used_if_the_restored_store_keeps_its_row)
{
    // Its row does not change again, since the copy already contains what the server writes.
    NodeFixture node;
    node.tables.applyServerRows({{"i-1", "", before(31), true}}, before(31), false);
    node.tables.applyServerRows(
        {row("i-1", "r 1 10", restored(20)), row("i-2", "r 1 10", restored(21)), row("i-3", "r 1 9", restored(22))}, restored(22), true);
    node.advance(5s);
    BOOST_TEST((node.usable() == Servers{"i-2", "i-3"}));
    node.advance(15s);
    BOOST_TEST((node.usable() == Servers{"i-1", "i-2", "i-3"}));
}

BOOST_AUTO_TEST_CASE(that_starts_again_under_its_id_is_used)
{
    NodeFixture node;
    node.tables.applyServerRows({{"i-1", "", before(31), true}}, before(31), false);
    node.tables.applyServerRows(
        {row("i-1", "r 2 1", restored(20)), row("i-2", "r 1 10", restored(21)), row("i-3", "r 1 10", restored(22))}, restored(22), true);
    BOOST_TEST((node.usable() == Servers{"i-1", "i-2", "i-3"}));
}

BOOST_AUTO_TEST_CASE(that_the_copy_lacks_is_kept_while_it_may_write_its_row_again)
{
    // Servers that had registered in the lost span were removed by all nodes at once.
    NodeFixture node;
    node.tables.applyServerRows({row("i-1", "r 1 9", restored(20))}, restored(22), true);
    BOOST_TEST((node.usable() == Servers{"i-1", "i-2", "i-3"}));
    node.advance(1s);
    node.tables.applyServerRows({row("i-2", "r 1 11", restored(23))}, restored(23), false);
    BOOST_TEST((node.usable() == Servers{"i-1", "i-2", "i-3"}));
    node.advance(3s);
    BOOST_TEST((node.usable() == Servers{"i-1", "i-2"}));
}

BOOST_AUTO_TEST_CASE(is_learned_of_by_a_node_that_reads_from_peers)
{
    NodeFixture reading;
    NodeFixture following;
    reading.tables.applyServerRows({row("i-1", "d 1 12", restored(20)), row("i-2", "r 1 9", restored(21))}, restored(21), true);
    FleetSnapshotRequest request;
    request.serversVersion = following.tables.serversVersion();
    const FleetSnapshot snapshot = reading.tables.makeSnapshot(request);
    BOOST_TEST(snapshot.servers.size() == 3U);
    BOOST_TEST(following.tables.applySnapshot(snapshot, request).has_value());
    BOOST_TEST((following.usable() == Servers{"i-2", "i-3"}));
    BOOST_TEST(following.tables.serversVersion() == restored(21));
    following.advance(4s);
    BOOST_TEST((following.usable() == Servers{"i-2"}));
}

BOOST_AUTO_TEST_CASE(is_passed_on_as_its_own_later_write_and_not_as_the_copy)
{
    NodeFixture node;
    node.tables.applyServerRows({row("i-1", "d 1 12", before(31))}, before(31), false);
    node.tables.applyServerRows({row("i-1", "r 1 9", restored(20))}, restored(20), true);
    FleetSnapshotRequest request;
    request.serversVersion = StorePosition();
    const FleetSnapshot snapshot = node.tables.makeSnapshot(request);
    BOOST_REQUIRE(!snapshot.servers.empty());
    BOOST_TEST(snapshot.servers.front().text == "d 1 12");
    BOOST_TEST(snapshot.servers.front().version == restored(20));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
