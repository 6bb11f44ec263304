#include <boost/test/unit_test.hpp>

#include "apricotarch/state/configuration_codec.h"
#include "fakes/configuration_cluster.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

const ServiceId AdviceService("advice");
const ServiceId VisitsService("visits");

/// A cluster of three nodes in which version 1 is in force and all nodes are in the electorate.
struct SettledCluster : ConfigurationCluster
{
    SettledCluster()
        : ConfigurationCluster(3)
    {
        run(2s);
        BOOST_REQUIRE(accept(0, smallConfiguration("one"), 0).has_value());
        run(4s);
        loop.run(node(0).configuration.refreshElectorate());
        run(1s);
    }

    std::int64_t versionAt(std::size_t index)
    {
        const auto inForce = node(index).configuration.inForce();
        return inForce ? inForce->committed.row.version.value() : 0;
    }

    std::string refusalAt(std::size_t index, const ServiceId &service)
    {
        return node(index).configuration.admissibility(service).reason;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_SUITE(an_accepted_configuration)

BOOST_AUTO_TEST_CASE(is_in_force_on_every_node_within_four_seconds)
{
    SettledCluster cluster;
    BOOST_REQUIRE(cluster.accept(1, smallConfiguration("two"), 1).has_value());
    cluster.run(4s);
    for (std::size_t index = 0; index < 3; ++index) {
        BOOST_TEST(cluster.versionAt(index) == 2);
    }
}

BOOST_AUTO_TEST_CASE(reaches_a_node_that_cannot_reach_the_store)
{
    SettledCluster cluster;
    cluster.nodesWithoutStore = {"node-2"};
    BOOST_REQUIRE(cluster.accept(0, smallConfiguration("two"), 1).has_value());
    cluster.run(4s);
    BOOST_TEST(cluster.versionAt(2) == 2);
    BOOST_TEST(cluster.refusalAt(2, AdviceService).empty());
}

BOOST_AUTO_TEST_CASE(is_accepted_when_the_answer_of_the_table_was_lost)
{
    SettledCluster cluster;
    int writes = 0;
    cluster.node(0).table.behavior = [&writes](bool isWrite) {
        const bool isLost = isWrite && writes++ == 0;
        return TableBehavior{isLost ? TableFault::AnswerLost : TableFault::None, Duration(0), Duration(0)};
    };
    BOOST_TEST(cluster.accept(0, smallConfiguration("two"), 1).has_value());
    cluster.run(4s);
    BOOST_TEST(cluster.versionAt(1) == 2);
}

BOOST_AUTO_TEST_CASE(is_kept_while_every_node_restarts_in_turn)
{
    SettledCluster cluster;
    for (std::size_t index = 0; index < 3; ++index) {
        const auto accepted =
            cluster.accept((index + 1) % 3, smallConfiguration("v" + std::to_string(index)), cluster.versionAt((index + 1) % 3));
        BOOST_TEST(accepted.has_value());
        cluster.restart(index);
        cluster.run(4s);
        cluster.loop.run(cluster.node(0).configuration.refreshElectorate());
    }
    for (std::size_t index = 0; index < 3; ++index) {
        BOOST_TEST(cluster.versionAt(index) == 4);
    }
}

BOOST_AUTO_TEST_CASE(is_not_delayed_by_members_that_do_not_answer)
{
    ConfigurationCluster cluster(9);
    cluster.run(2s);
    BOOST_REQUIRE(cluster.accept(0, smallConfiguration("one"), 0).has_value());
    cluster.run(2s);
    cluster.loop.run(cluster.node(0).configuration.refreshElectorate());
    for (const char *unreachable : {"node-5", "node-6", "node-7", "node-8"}) {
        cluster.partition.block("node-0", unreachable);
    }
    const TimePoint submittedAt = cluster.loop.clock.now();
    BOOST_REQUIRE(cluster.accept(0, smallConfiguration("two"), 1).has_value());
    BOOST_TEST(toMilliseconds(cluster.loop.clock.now() - submittedAt) < 1000);
    cluster.run(3s);
    for (std::size_t index = 0; index < 9; ++index) {
        BOOST_TEST((cluster.node(index).configuration.inForce()->committed.row.version == ConfigurationVersion(2)));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(concurrent_operators)

BOOST_AUTO_TEST_CASE(have_one_change_accepted_and_the_other_refused_with_the_version_in_force)
{
    SettledCluster cluster;
    BOOST_REQUIRE(cluster.accept(0, smallConfiguration("two"), 1).has_value());
    const auto second = cluster.accept(1, smallConfiguration("three"), 1);
    BOOST_REQUIRE(!second.has_value());
    BOOST_TEST((second.error().id == ErrorId::Conflict));
    BOOST_TEST(second.error().detail.find("version in force is 2") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_node_that_cannot_reach_the_store)

BOOST_AUTO_TEST_CASE(continues_to_admit_while_it_receives_heartbeats_from_a_majority)
{
    SettledCluster cluster;
    cluster.outage = true;
    cluster.run(30s);
    for (std::size_t index = 0; index < 3; ++index) {
        BOOST_TEST(cluster.refusalAt(index, AdviceService).empty());
    }
}

BOOST_AUTO_TEST_CASE(admits_nothing_if_it_cannot_reach_the_other_nodes_either)
{
    SettledCluster cluster;
    cluster.outage = true;
    for (const char *other : {"node-1", "node-2"}) {
        cluster.partition.block("node-0", other);
        cluster.partition.block(other, "node-0");
    }
    cluster.run(6s);
    BOOST_TEST(cluster.refusalAt(0, AdviceService) == "configuration_unknown");
    BOOST_TEST(cluster.refusalAt(1, AdviceService).empty());
}

BOOST_AUTO_TEST_CASE(admits_nothing_in_a_one_way_partition_that_drops_its_own_heartbeats)
{
    SettledCluster cluster;
    cluster.outage = true;
    cluster.partition.block("node-0", "node-1");
    cluster.partition.block("node-0", "node-2");
    cluster.run(6s);
    BOOST_TEST(cluster.refusalAt(0, AdviceService) == "configuration_unknown");
}

BOOST_AUTO_TEST_CASE(admits_nothing_under_an_old_version_while_others_use_a_new_one)
{
    SettledCluster cluster;
    cluster.nodesWithoutStore = {"node-0"};
    for (const char *other : {"node-1", "node-2"}) {
        cluster.partition.block("node-0", other);
        cluster.partition.block(other, "node-0");
    }
    BOOST_REQUIRE(cluster.accept(1, smallConfiguration("two"), 1).has_value());
    cluster.run(4s);
    BOOST_TEST(cluster.versionAt(0) == 1);
    BOOST_TEST(cluster.refusalAt(0, AdviceService) == "configuration_unknown");
    cluster.partition.heal();
    cluster.run(4s);
    BOOST_TEST(cluster.versionAt(0) == 2);
    BOOST_TEST(cluster.refusalAt(0, AdviceService).empty());
}

BOOST_AUTO_TEST_CASE(refuses_only_services_that_an_undecided_offer_changes)
{
    SettledCluster cluster;
    cluster.outage = true;
    cluster.run(4s);
    const std::string body = encodeConfiguration(smallConfiguration("two"));
    const ConfigurationOffer offer{cluster.node(0).configuration.reportedState().epoch, configurationDigest(body), body};
    BOOST_REQUIRE(cluster.node(0).configuration.storeOffer(offer).has_value());
    cluster.run(2s);
    for (std::size_t index = 0; index < 3; ++index) {
        BOOST_TEST(cluster.refusalAt(index, AdviceService) == "configuration_undecided");
        BOOST_TEST(cluster.refusalAt(index, VisitsService).empty());
    }
}

BOOST_AUTO_TEST_CASE(takes_the_configuration_from_its_peers_after_a_restart)
{
    SettledCluster cluster;
    cluster.outage = true;
    cluster.objects.outage = true;
    cluster.restart(2);
    cluster.run(4s);
    BOOST_TEST(cluster.versionAt(2) == 1);
    BOOST_TEST(cluster.refusalAt(2, AdviceService).empty());
}

BOOST_AUTO_TEST_CASE(is_not_ready_after_a_restart_without_reachable_peers)
{
    SettledCluster cluster;
    cluster.outage = true;
    for (const char *other : {"node-1", "node-2"}) {
        cluster.partition.block("node-0", other);
        cluster.partition.block(other, "node-0");
    }
    cluster.restart(0);
    cluster.run(4s);
    BOOST_TEST(cluster.refusalAt(0, AdviceService) == "not_ready");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_offer)

BOOST_AUTO_TEST_CASE(without_a_majority_is_not_accepted_and_is_withdrawn)
{
    SettledCluster cluster;
    for (const char *other : {"node-1", "node-2"}) {
        cluster.partition.block("node-0", other);
        cluster.partition.block(other, "node-0");
    }
    const auto accepted = cluster.accept(0, smallConfiguration("two"), 1);
    BOOST_TEST((accepted.error().id == ErrorId::NoMajority));
    cluster.partition.heal();
    cluster.run(4s);
    BOOST_TEST(cluster.versionAt(0) == 1);
    BOOST_TEST((cluster.node(0).configuration.reportedState().offerBase == StorePosition()));
}

BOOST_AUTO_TEST_CASE(is_accepted_after_the_loss_of_a_node_that_accepted_the_first_configuration_alone)
{
    // Guards against a fault seen in the demo: the first configuration was accepted before the nodes had received each other's
    // heartbeats, so its electorate was a single node. That node was killed within five seconds, and no further change could
    // be accepted.
    ConfigurationCluster cluster(3);
    cluster.joinElectorates = true;
    BOOST_REQUIRE(cluster.accept(0, smallConfiguration("one"), 0).has_value());
    cluster.run(2s);
    for (const char *other : {"node-1", "node-2"}) {
        cluster.partition.block("node-0", other);
        cluster.partition.block(other, "node-0");
    }
    cluster.nodesWithoutStore = {"node-0"};
    cluster.run(4s);
    BOOST_TEST(cluster.accept(1, smallConfiguration("two"), 1).has_value());
}

BOOST_AUTO_TEST_CASE(that_stays_undecided_is_withdrawn_through_the_store)
{
    SettledCluster cluster;
    const std::string body = encodeConfiguration(smallConfiguration("two"));
    const ConfigurationOffer offer{cluster.node(0).configuration.reportedState().epoch, configurationDigest(body), body};
    BOOST_REQUIRE(cluster.node(0).configuration.storeOffer(offer).has_value());
    cluster.run(8s);
    for (std::size_t index = 0; index < 3; ++index) {
        BOOST_TEST((cluster.node(index).configuration.reportedState().offerBase == StorePosition()));
    }
}

BOOST_AUTO_TEST_CASE(whose_body_does_not_match_its_digest_is_rejected)
{
    SettledCluster cluster;
    const ConfigurationOffer offer{StorePosition(9), Digest("00"), encodeConfiguration(smallConfiguration("two"))};
    BOOST_TEST(!cluster.node(0).configuration.storeOffer(offer).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(adoption_rules)

BOOST_AUTO_TEST_CASE(a_row_of_an_earlier_epoch_is_ignored)
{
    const CommittedConfiguration later{StorePosition(5), {ConfigurationVersion(3), Digest("b"), {}, WriteAttemptId()}};
    const CommittedConfiguration earlier{StorePosition(4), {ConfigurationVersion(2), Digest("a"), {}, WriteAttemptId()}};
    const AdoptionView view = applyCommitted(applyCommitted(AdoptionView(), later), earlier);
    BOOST_TEST((view.committed->row.version == ConfigurationVersion(3)));
}

BOOST_AUTO_TEST_CASE(a_majority_counts_electors_that_have_ended_but_not_unreachable_ones)
{
    const std::vector<Elector> electorate = {{NodeId("a"), Incarnation(1)}, {NodeId("b"), Incarnation(1)}, {NodeId("c"), Incarnation(1)}};
    const std::set<ProcessId> holders = {{NodeId("a"), Incarnation(1)}};
    const std::set<ProcessId> ended = {{NodeId("b"), Incarnation(1)}};
    BOOST_TEST(!offerHasMajority(electorate, holders, {}));
    BOOST_TEST(offerHasMajority(electorate, holders, ended));
    const std::set<ProcessId> restarted = {{NodeId("b"), Incarnation(2)}};
    BOOST_TEST(!offerHasMajority(electorate, holders, restarted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
