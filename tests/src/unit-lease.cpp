#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/lease.h"
#include "apricotarch/state/row_codec.h"
#include "fakes/fake_table.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

/// One process that keeps the lease.
struct Holder
{
    Holder(Bench &bench, standins::PlatformStore &store, const char *name)
        : table(store, bench)
        , decisions(bench.clock, 100)
        , keeper(table, bench.clock, decisions, metrics, {NodeId(name), Incarnation(1)}, DutyId("cell"), LeaseTimes())
    {
    }

    FakeTable table;
    DecisionLog decisions;
    Metrics metrics;
    LeaseKeeper keeper;
};

struct LeaseBench
{
    Bench bench;
    standins::PlatformStore store{bench.clock, {}};
    Holder first{bench, store, "first"};
    Holder second{bench, store, "second"};
};

} // namespace

BOOST_AUTO_TEST_SUITE(lease)

BOOST_AUTO_TEST_SUITE(a_free_lease)

BOOST_AUTO_TEST_CASE(is_taken_by_one_of_two)
{
    LeaseBench bench;
    bench.bench.run(bench.first.keeper.step());
    bench.bench.run(bench.second.keeper.step());
    BOOST_TEST(bench.first.keeper.authority().has_value());
    BOOST_TEST(!bench.second.keeper.authority().has_value());
}

BOOST_AUTO_TEST_CASE(is_held_although_the_answer_to_taking_it_was_lost)
{
    LeaseBench bench;
    int writes = 0;
    bench.first.table.course = [&writes](bool isWrite) {
        const bool lost = isWrite && writes++ == 0;
        return TableCourse{lost ? TableFault::AnswerLost : TableFault::None, Duration(0), Duration(0)};
    };
    bench.bench.run(bench.first.keeper.step());
    BOOST_TEST(bench.first.keeper.authority().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_held_lease)

BOOST_AUTO_TEST_CASE(lapses_for_its_holder_before_anyone_takes_it)
{
    LeaseBench bench;
    bench.bench.run(bench.first.keeper.step());
    bench.bench.run(bench.second.keeper.step());
    bench.bench.pass(4s);
    BOOST_TEST(!bench.first.keeper.authority().has_value());
    bench.bench.run(bench.second.keeper.step());
    BOOST_TEST(!bench.second.keeper.authority().has_value());
    bench.bench.pass(1s);
    bench.bench.run(bench.second.keeper.step());
    BOOST_TEST(bench.second.keeper.authority().has_value());
}

BOOST_AUTO_TEST_CASE(passes_to_another_with_the_next_token_within_ten_seconds_of_its_holders_death)
{
    LeaseBench bench;
    bench.bench.run(bench.first.keeper.step());
    const FencingToken before = bench.first.keeper.authority()->token;
    const TimePoint died = bench.bench.clock.now();
    while (!bench.second.keeper.authority()) {
        bench.bench.run(bench.second.keeper.step());
        bench.bench.pass(LeaseTimes().poll);
        BOOST_REQUIRE((bench.bench.clock.now() - died < 10s));
    }
    BOOST_TEST((bench.second.keeper.authority()->token == before.next()));
}

BOOST_AUTO_TEST_CASE(that_is_renewed_stays_where_it_is)
{
    LeaseBench bench;
    for (int round = 0; round < 60; ++round) {
        bench.bench.run(bench.first.keeper.step());
        bench.bench.run(bench.second.keeper.step());
        BOOST_TEST(bench.first.keeper.authority().has_value());
        BOOST_TEST(!bench.second.keeper.authority().has_value());
        bench.bench.pass(LeaseTimes().poll);
    }
}

BOOST_AUTO_TEST_CASE(counts_from_before_the_renewal_was_sent)
{
    LeaseBench bench;
    bench.first.table.course = [](bool isWrite) {
        return TableCourse{TableFault::None, isWrite ? Duration(3s) : Duration(0), Duration(0)};
    };
    bench.bench.run(bench.first.keeper.step());
    BOOST_TEST(bench.first.keeper.authority().has_value());
    bench.bench.pass(1s);
    BOOST_TEST(!bench.first.keeper.authority().has_value());
}

BOOST_AUTO_TEST_CASE(is_handed_over_at_once_when_it_is_released)
{
    LeaseBench bench;
    bench.bench.run(bench.first.keeper.step());
    bench.bench.run(bench.first.keeper.release());
    BOOST_TEST(!bench.first.keeper.authority().has_value());
    bench.bench.run(bench.second.keeper.step());
    BOOST_TEST(bench.second.keeper.authority().has_value());
    bench.bench.run(bench.first.keeper.step());
    BOOST_TEST(!bench.first.keeper.authority().has_value());
}

BOOST_AUTO_TEST_CASE(lapses_in_an_outage_of_the_store_and_is_held_again_after_it)
{
    LeaseBench bench;
    bench.bench.run(bench.first.keeper.step());
    bool outage = true;
    bench.first.table.course = [&outage](bool) {
        return TableCourse{outage ? TableFault::Unreachable : TableFault::None, Duration(0), Duration(0)};
    };
    for (int round = 0; round < 20; ++round) {
        bench.bench.run(bench.first.keeper.step());
        bench.bench.pass(LeaseTimes().poll);
    }
    BOOST_TEST(!bench.first.keeper.authority().has_value());
    outage = false;
    bench.bench.run(bench.first.keeper.step());
    BOOST_TEST(bench.first.keeper.authority().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
