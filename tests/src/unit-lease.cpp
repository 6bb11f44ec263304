#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/lease.h"
#include "apricotarch/state/row_codec.h"
#include "fakes/fake_table.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

/// One process that competes for the lease.
struct Contender
{
    Contender(TestLoop &loop, standins::PlatformStore &store, const char *name)
        : table(store, loop)
        , decisions(loop.clock, 100)
        , lease(table, loop.clock, decisions, metrics, {NodeId(name), Incarnation(1)}, LeaseResourceId("cell"), LeaseTimes())
    {
    }

    FakeTable table;
    DecisionLog decisions;
    Metrics metrics;
    LeaseManager lease;
};

/// Two processes that compete for one lease.
struct LeaseFixture
{
    TestLoop loop;
    standins::PlatformStore store{loop.clock, {}};
    Contender first{loop, store, "first"};
    Contender second{loop, store, "second"};
};

} // namespace

BOOST_AUTO_TEST_SUITE(lease)

BOOST_AUTO_TEST_SUITE(a_free_lease)

BOOST_AUTO_TEST_CASE(is_taken_by_only_one_of_two_processes)
{
    LeaseFixture setup;
    setup.loop.run(setup.first.lease.step());
    setup.loop.run(setup.second.lease.step());
    BOOST_TEST(setup.first.lease.authority().has_value());
    BOOST_TEST(!setup.second.lease.authority().has_value());
}

BOOST_AUTO_TEST_CASE(is_held_when_the_answer_to_the_takeover_was_lost)
{
    LeaseFixture setup;
    int writes = 0;
    setup.first.table.behavior = [&writes](bool isWrite) {
        const bool isLost = isWrite && writes++ == 0;
        return TableBehavior{isLost ? TableFault::AnswerLost : TableFault::None, Duration(0), Duration(0)};
    };
    setup.loop.run(setup.first.lease.step());
    BOOST_TEST(setup.first.lease.authority().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_held_lease)

BOOST_AUTO_TEST_CASE(expires_for_its_holder_before_another_process_takes_it)
{
    LeaseFixture setup;
    setup.loop.run(setup.first.lease.step());
    setup.loop.run(setup.second.lease.step());
    setup.loop.advanceTime(4s);
    BOOST_TEST(!setup.first.lease.authority().has_value());
    setup.loop.run(setup.second.lease.step());
    BOOST_TEST(!setup.second.lease.authority().has_value());
    setup.loop.advanceTime(1s);
    setup.loop.run(setup.second.lease.step());
    BOOST_TEST(setup.second.lease.authority().has_value());
}

BOOST_AUTO_TEST_CASE(is_taken_with_the_next_token_within_ten_seconds_after_its_holder_crashes)
{
    LeaseFixture setup;
    setup.loop.run(setup.first.lease.step());
    const FencingToken firstToken = setup.first.lease.authority()->token;
    const TimePoint crashedAt = setup.loop.clock.now();
    while (!setup.second.lease.authority()) {
        setup.loop.run(setup.second.lease.step());
        setup.loop.advanceTime(LeaseTimes().pollInterval);
        BOOST_REQUIRE((setup.loop.clock.now() - crashedAt < 10s));
    }
    BOOST_TEST((setup.second.lease.authority()->token == firstToken.next()));
}

BOOST_AUTO_TEST_CASE(that_is_renewed_keeps_its_holder)
{
    LeaseFixture setup;
    for (int iteration = 0; iteration < 60; ++iteration) {
        setup.loop.run(setup.first.lease.step());
        setup.loop.run(setup.second.lease.step());
        BOOST_TEST(setup.first.lease.authority().has_value());
        BOOST_TEST(!setup.second.lease.authority().has_value());
        setup.loop.advanceTime(LeaseTimes().pollInterval);
    }
}

BOOST_AUTO_TEST_CASE(is_measured_from_before_the_write_was_sent)
{
    LeaseFixture setup;
    setup.first.table.behavior = [](bool isWrite) {
        return TableBehavior{TableFault::None, isWrite ? Duration(3s) : Duration(0), Duration(0)};
    };
    setup.loop.run(setup.first.lease.step());
    BOOST_TEST(setup.first.lease.authority().has_value());
    setup.loop.advanceTime(1s);
    BOOST_TEST(!setup.first.lease.authority().has_value());
}

BOOST_AUTO_TEST_CASE(can_be_taken_at_once_after_its_release)
{
    LeaseFixture setup;
    setup.loop.run(setup.first.lease.step());
    setup.loop.run(setup.first.lease.release());
    BOOST_TEST(!setup.first.lease.authority().has_value());
    setup.loop.run(setup.second.lease.step());
    BOOST_TEST(setup.second.lease.authority().has_value());
    setup.loop.run(setup.first.lease.step());
    BOOST_TEST(!setup.first.lease.authority().has_value());
}

BOOST_AUTO_TEST_CASE(expires_during_a_store_outage_and_is_held_again_afterwards)
{
    LeaseFixture setup;
    setup.loop.run(setup.first.lease.step());
    bool outage = true;
    setup.first.table.behavior = [&outage](bool) {
        return TableBehavior{outage ? TableFault::Unreachable : TableFault::None, Duration(0), Duration(0)};
    };
    for (int iteration = 0; iteration < 20; ++iteration) {
        setup.loop.run(setup.first.lease.step());
        setup.loop.advanceTime(LeaseTimes().pollInterval);
    }
    BOOST_TEST(!setup.first.lease.authority().has_value());
    outage = false;
    setup.loop.run(setup.first.lease.step());
    BOOST_TEST(setup.first.lease.authority().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(after_a_restore_of_the_store)

BOOST_AUTO_TEST_CASE(that_has_lost_the_takeover_no_second_process_has_authority)
{
    // The copy showed a free lease, and a second process took it with the token that the first one had.
    LeaseFixture setup;
    setup.store.copyRows();
    setup.loop.run(setup.first.lease.step());
    const FencingToken lost = setup.first.lease.authority()->token;
    setup.loop.run(setup.second.lease.step());
    setup.store.restoreRows();
    const TimePoint restoredAt = setup.loop.clock.now();
    while (!setup.second.lease.authority()) {
        setup.loop.run(setup.second.lease.step());
        BOOST_REQUIRE((setup.loop.clock.now() - restoredAt < 10s));
        setup.loop.advanceTime(LeaseTimes().pollInterval);
    }
    BOOST_TEST((setup.loop.clock.now() - restoredAt >= LeaseTimes().duration));
    BOOST_TEST(setup.second.lease.authority()->token > lost);
}

BOOST_AUTO_TEST_CASE(the_holder_loses_its_authority_at_once)
{
    LeaseFixture setup;
    setup.loop.run(setup.first.lease.step());
    setup.store.copyRows();
    setup.loop.advanceTime(1500ms);
    setup.loop.run(setup.first.lease.step());
    const FencingToken before = setup.first.lease.authority()->token;
    setup.store.restoreRows();
    BOOST_TEST(!setup.first.lease.authority().has_value());
    setup.loop.run(setup.first.lease.step());
    BOOST_TEST(!setup.first.lease.authority().has_value());
    setup.loop.advanceTime(LeaseTimes().duration);
    setup.loop.run(setup.first.lease.step());
    BOOST_REQUIRE(setup.first.lease.authority().has_value());
    BOOST_TEST(setup.first.lease.authority()->token > before);
}

BOOST_AUTO_TEST_CASE(a_renewal_that_the_restored_store_accepts_gives_no_authority)
{
    // The copy contains the version that the holder's write expects.
    LeaseFixture setup;
    setup.loop.run(setup.first.lease.step());
    setup.store.copyRows();
    setup.first.table.behavior = [](bool isWrite) {
        return TableBehavior{TableFault::None, isWrite ? Duration(400ms) : Duration(0), Duration(0)};
    };
    setup.loop.advanceTime(1500ms);
    setup.loop.start(setup.first.lease.step());
    setup.loop.advanceTime(200ms);
    setup.store.restoreRows();
    setup.loop.advanceTime(1s);
    BOOST_TEST(!setup.first.lease.authority().has_value());
}

BOOST_AUTO_TEST_CASE(a_process_that_starts_into_it_waits_as_well)
{
    LeaseFixture setup;
    setup.store.copyRows();
    setup.store.restoreRows();
    setup.loop.run(setup.first.lease.step());
    setup.store.restoreRows();
    Contender started(setup.loop, setup.store, "started");
    setup.loop.run(started.lease.step());
    BOOST_TEST(!started.lease.authority().has_value());
    setup.loop.advanceTime(LeaseTimes().duration);
    setup.loop.run(started.lease.step());
    BOOST_TEST(started.lease.authority().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
