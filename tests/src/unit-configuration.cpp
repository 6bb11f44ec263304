#include <boost/test/unit_test.hpp>

#include "apricotarch/state/configuration_codec.h"
#include "fakes/configuration_cluster.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

const ServiceId Advice("advice");
const ServiceId Visits("visits");

/// Three nodes under version 1.
struct Settled : ConfigurationCluster
{
    Settled()
        : ConfigurationCluster(3)
    {
        live(2s);
        BOOST_REQUIRE(accept(0, smallConfiguration("one"), 0).has_value());
        live(4s);
        bench.run(node(0).keeper.refreshElectorate());
        live(1s);
    }

    std::int64_t versionAt(std::size_t index)
    {
        const auto inForce = node(index).keeper.inForce();
        return inForce ? inForce->committed.row.version.value() : 0;
    }

    std::string refusalAt(std::size_t index, const ServiceId &service)
    {
        return node(index).keeper.admissibility(service).reason;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_SUITE(an_accepted_configuration)

BOOST_AUTO_TEST_CASE(is_in_force_everywhere_within_four_seconds)
{
    Settled cluster;
    BOOST_REQUIRE(cluster.accept(1, smallConfiguration("two"), 1).has_value());
    cluster.live(4s);
    for (std::size_t index = 0; index < 3; ++index) {
        BOOST_TEST(cluster.versionAt(index) == 2);
    }
}

BOOST_AUTO_TEST_CASE(reaches_a_node_that_cannot_reach_the_store)
{
    Settled cluster;
    cluster.withoutStore = {"node-2"};
    BOOST_REQUIRE(cluster.accept(0, smallConfiguration("two"), 1).has_value());
    cluster.live(4s);
    BOOST_TEST(cluster.versionAt(2) == 2);
    BOOST_TEST(cluster.refusalAt(2, Advice).empty());
}

BOOST_AUTO_TEST_CASE(is_accepted_although_the_answer_of_the_table_was_lost)
{
    Settled cluster;
    int writes = 0;
    cluster.node(0).table.behavior = [&writes](bool isWrite) {
        const bool lost = isWrite && writes++ == 0;
        return TableBehavior{lost ? TableFault::AnswerLost : TableFault::None, Duration(0), Duration(0)};
    };
    BOOST_TEST(cluster.accept(0, smallConfiguration("two"), 1).has_value());
    cluster.live(4s);
    BOOST_TEST(cluster.versionAt(1) == 2);
}

BOOST_AUTO_TEST_CASE(survives_a_restart_of_every_node_one_after_another_during_the_change)
{
    Settled cluster;
    for (std::size_t index = 0; index < 3; ++index) {
        const auto accepted =
            cluster.accept((index + 1) % 3, smallConfiguration("v" + std::to_string(index)), cluster.versionAt((index + 1) % 3));
        BOOST_TEST(accepted.has_value());
        cluster.restart(index);
        cluster.live(4s);
        cluster.bench.run(cluster.node(0).keeper.refreshElectorate());
    }
    for (std::size_t index = 0; index < 3; ++index) {
        BOOST_TEST(cluster.versionAt(index) == 4);
    }
}

BOOST_AUTO_TEST_CASE(is_not_held_up_by_members_that_do_not_answer)
{
    ConfigurationCluster cluster(9);
    cluster.live(2s);
    BOOST_REQUIRE(cluster.accept(0, smallConfiguration("one"), 0).has_value());
    cluster.live(2s);
    cluster.bench.run(cluster.node(0).keeper.refreshElectorate());
    for (const char *silent : {"node-5", "node-6", "node-7", "node-8"}) {
        cluster.cuts.cut("node-0", silent);
    }
    const TimePoint submitted = cluster.bench.clock.now();
    BOOST_REQUIRE(cluster.accept(0, smallConfiguration("two"), 1).has_value());
    BOOST_TEST(toMilliseconds(cluster.bench.clock.now() - submitted) < 1000);
    cluster.live(3s);
    for (std::size_t index = 0; index < 9; ++index) {
        BOOST_TEST((cluster.node(index).keeper.inForce()->committed.row.version == ConfigurationVersion(2)));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(operators_that_race)

BOOST_AUTO_TEST_CASE(get_one_winner_and_the_loser_is_told_the_version)
{
    Settled cluster;
    BOOST_REQUIRE(cluster.accept(0, smallConfiguration("two"), 1).has_value());
    const auto second = cluster.accept(1, smallConfiguration("three"), 1);
    BOOST_REQUIRE(!second.has_value());
    BOOST_TEST((second.error().id == ErrorId::Conflict));
    BOOST_TEST(second.error().detail.find("version in force is 2") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_node_cut_off_from_the_store)

BOOST_AUTO_TEST_CASE(goes_on_in_an_outage_while_it_hears_a_majority)
{
    Settled cluster;
    cluster.outage = true;
    cluster.live(30s);
    for (std::size_t index = 0; index < 3; ++index) {
        BOOST_TEST(cluster.refusalAt(index, Advice).empty());
    }
}

BOOST_AUTO_TEST_CASE(and_from_the_others_admits_nothing)
{
    Settled cluster;
    cluster.outage = true;
    for (const char *other : {"node-1", "node-2"}) {
        cluster.cuts.cut("node-0", other);
        cluster.cuts.cut(other, "node-0");
    }
    cluster.live(6s);
    BOOST_TEST(cluster.refusalAt(0, Advice) == "configuration_unknown");
    BOOST_TEST(cluster.refusalAt(1, Advice).empty());
}

BOOST_AUTO_TEST_CASE(is_not_fooled_by_a_partition_that_is_cut_one_way_only)
{
    Settled cluster;
    cluster.outage = true;
    cluster.cuts.cut("node-0", "node-1");
    cluster.cuts.cut("node-0", "node-2");
    cluster.live(6s);
    BOOST_TEST(cluster.refusalAt(0, Advice) == "configuration_unknown");
}

BOOST_AUTO_TEST_CASE(never_serves_an_old_version_beside_a_new_one)
{
    Settled cluster;
    cluster.withoutStore = {"node-0"};
    for (const char *other : {"node-1", "node-2"}) {
        cluster.cuts.cut("node-0", other);
        cluster.cuts.cut(other, "node-0");
    }
    BOOST_REQUIRE(cluster.accept(1, smallConfiguration("two"), 1).has_value());
    cluster.live(4s);
    BOOST_TEST(cluster.versionAt(0) == 1);
    BOOST_TEST(cluster.refusalAt(0, Advice) == "configuration_unknown");
    cluster.cuts.heal();
    cluster.live(4s);
    BOOST_TEST(cluster.versionAt(0) == 2);
    BOOST_TEST(cluster.refusalAt(0, Advice).empty());
}

BOOST_AUTO_TEST_CASE(refuses_only_what_an_undecided_offer_would_change)
{
    Settled cluster;
    cluster.outage = true;
    cluster.live(4s);
    const std::string body = encodeConfiguration(smallConfiguration("two"));
    const ConfigurationOffer offer{cluster.node(0).keeper.claim().epoch, digestOf(body), body};
    BOOST_REQUIRE(cluster.node(0).keeper.hold(offer).has_value());
    cluster.live(2s);
    for (std::size_t index = 0; index < 3; ++index) {
        BOOST_TEST(cluster.refusalAt(index, Advice) == "configuration_undecided");
        BOOST_TEST(cluster.refusalAt(index, Visits).empty());
    }
}

BOOST_AUTO_TEST_CASE(and_restarted_takes_the_configuration_from_its_peers)
{
    Settled cluster;
    cluster.outage = true;
    cluster.objects.outage = true;
    cluster.restart(2);
    cluster.live(4s);
    BOOST_TEST(cluster.versionAt(2) == 1);
    BOOST_TEST(cluster.refusalAt(2, Advice).empty());
}

BOOST_AUTO_TEST_CASE(and_restarted_alone_is_not_ready)
{
    Settled cluster;
    cluster.outage = true;
    for (const char *other : {"node-1", "node-2"}) {
        cluster.cuts.cut("node-0", other);
        cluster.cuts.cut(other, "node-0");
    }
    cluster.restart(0);
    cluster.live(4s);
    BOOST_TEST(cluster.refusalAt(0, Advice) == "not_ready");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_offer)

BOOST_AUTO_TEST_CASE(that_no_majority_holds_is_not_accepted_and_withdrawn)
{
    Settled cluster;
    for (const char *other : {"node-1", "node-2"}) {
        cluster.cuts.cut("node-0", other);
        cluster.cuts.cut(other, "node-0");
    }
    const auto accepted = cluster.accept(0, smallConfiguration("two"), 1);
    BOOST_TEST((accepted.error().id == ErrorId::NoMajority));
    cluster.cuts.heal();
    cluster.live(4s);
    BOOST_TEST(cluster.versionAt(0) == 1);
    BOOST_TEST((cluster.node(0).keeper.claim().offerBase == RowVersion()));
}

BOOST_AUTO_TEST_CASE(is_accepted_after_the_first_accepting_node_is_lost_that_had_heard_no_other)
{
    // Found by the demo: the first configuration was accepted before the nodes had heard each other, so its electorate was one
    // node; that node was killed within five seconds, and no change could be accepted any more.
    ConfigurationCluster cluster(3);
    cluster.joinsElectorates = true;
    BOOST_REQUIRE(cluster.accept(0, smallConfiguration("one"), 0).has_value());
    cluster.live(2s);
    for (const char *other : {"node-1", "node-2"}) {
        cluster.cuts.cut("node-0", other);
        cluster.cuts.cut(other, "node-0");
    }
    cluster.withoutStore = {"node-0"};
    cluster.live(4s);
    BOOST_TEST(cluster.accept(1, smallConfiguration("two"), 1).has_value());
}

BOOST_AUTO_TEST_CASE(left_behind_is_withdrawn_through_the_store)
{
    Settled cluster;
    const std::string body = encodeConfiguration(smallConfiguration("two"));
    const ConfigurationOffer offer{cluster.node(0).keeper.claim().epoch, digestOf(body), body};
    BOOST_REQUIRE(cluster.node(0).keeper.hold(offer).has_value());
    cluster.live(8s);
    for (std::size_t index = 0; index < 3; ++index) {
        BOOST_TEST((cluster.node(index).keeper.claim().offerBase == RowVersion()));
    }
}

BOOST_AUTO_TEST_CASE(whose_body_does_not_fit_its_digest_is_not_held)
{
    Settled cluster;
    const ConfigurationOffer offer{RowVersion(9), Digest("00"), encodeConfiguration(smallConfiguration("two"))};
    BOOST_TEST(!cluster.node(0).keeper.hold(offer).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(adoption_rules)

BOOST_AUTO_TEST_CASE(a_row_of_an_earlier_epoch_changes_nothing)
{
    const CommittedConfiguration later{RowVersion(5), {ConfigurationVersion(3), Digest("b"), {}, AttemptId()}};
    const CommittedConfiguration earlier{RowVersion(4), {ConfigurationVersion(2), Digest("a"), {}, AttemptId()}};
    const AdoptionView view = learnCommitted(learnCommitted(AdoptionView(), later), earlier);
    BOOST_TEST((view.committed->row.version == ConfigurationVersion(3)));
}

BOOST_AUTO_TEST_CASE(a_majority_counts_processes_that_have_ended_but_not_those_that_are_silent)
{
    const std::vector<Elector> electorate = {{NodeId("a"), Incarnation(1)}, {NodeId("b"), Incarnation(1)}, {NodeId("c"), Incarnation(1)}};
    const std::set<ProcessId> own = {{NodeId("a"), Incarnation(1)}};
    const std::set<ProcessId> ended = {{NodeId("b"), Incarnation(1)}};
    BOOST_TEST(!offerHasMajority(electorate, own, {}));
    BOOST_TEST(offerHasMajority(electorate, own, ended));
    const std::set<ProcessId> restarted = {{NodeId("b"), Incarnation(2)}};
    BOOST_TEST(!offerHasMajority(electorate, own, restarted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
