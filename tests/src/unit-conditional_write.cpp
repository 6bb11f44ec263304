#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/conditional_write.h"
#include "fakes/fake_table.h"

using namespace apricotarch;
using namespace apricotarch::fakes;

namespace
{

/// A table whose next write is affected by a given fault.
struct WriteFixture
{
    TestLoop loop;
    standins::PlatformStore store{loop.clock, {}};
    FakeTable table{store, loop};
    const RowKey key{"t", "k"};

    WriteResult writeWithFault(TableFault fault, std::string text, StorePosition expected)
    {
        bool isFirstWrite = true;
        table.behavior = [fault, &isFirstWrite](bool isWrite) {
            const bool isFaulty = isWrite && isFirstWrite;
            isFirstWrite = isFirstWrite && !isWrite;
            return TableBehavior{isFaulty ? fault : TableFault::None, std::chrono::milliseconds(1), std::chrono::milliseconds(1)};
        };
        const RowWrite write{key, expected, std::move(text), std::nullopt};
        return loop.run(writeConditionally(table, loop.clock, write));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(conditional_write)

BOOST_AUTO_TEST_SUITE(a_lost_answer)

BOOST_AUTO_TEST_CASE(to_a_write_is_replaced_by_reading_the_row_back)
{
    WriteFixture setup;
    BOOST_TEST((setup.writeWithFault(TableFault::AnswerLost, "mine", StorePosition()).outcome == WriteOutcome::Written));
    BOOST_TEST(setup.store.writes() == 1);
}

BOOST_AUTO_TEST_CASE(of_a_request_that_never_arrived_leads_to_another_send_that_takes_effect_once)
{
    WriteFixture setup;
    BOOST_TEST((setup.writeWithFault(TableFault::RequestLost, "mine", StorePosition()).outcome == WriteOutcome::Written));
    BOOST_TEST(setup.store.writes() == 1);
}

BOOST_AUTO_TEST_CASE(of_a_request_that_arrives_late_does_not_make_the_write_take_effect_twice)
{
    WriteFixture setup;
    BOOST_TEST((setup.writeWithFault(TableFault::RequestLate, "mine", StorePosition()).outcome == WriteOutcome::Written));
    setup.loop.advanceTime(std::chrono::seconds(1));
    BOOST_TEST(setup.store.writes() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(another_write)

BOOST_AUTO_TEST_CASE(that_came_first_is_reported_with_its_row)
{
    WriteFixture setup;
    (void)setup.writeWithFault(TableFault::None, "other", StorePosition());
    const WriteResult result = setup.writeWithFault(TableFault::None, "mine", StorePosition());
    BOOST_TEST((result.outcome == WriteOutcome::Lost));
    BOOST_TEST(result.text == "other");
}

BOOST_AUTO_TEST_CASE(that_is_not_the_next_one_leaves_the_outcome_undetermined_only_if_a_request_was_not_answered)
{
    const RowWrite write{{"t", "k"}, StorePosition(4), "mine", std::nullopt};
    const std::optional<Row> later = Row{StorePosition(6), "later"};
    const std::optional<Row> next = Row{StorePosition(5), "next"};
    const std::optional<Row> before = Row{StorePosition(4), "before"};
    BOOST_TEST((determineOutcome(write, later, SendHistory::OneUnanswered) == WriteOutcome::Superseded));
    BOOST_TEST((determineOutcome(write, later, SendHistory::AllRefused) == WriteOutcome::Lost));
    BOOST_TEST((determineOutcome(write, next, SendHistory::OneUnanswered) == WriteOutcome::Lost));
    BOOST_TEST((determineOutcome(write, before, SendHistory::OneUnanswered) == WriteOutcome::Unknown));
    BOOST_TEST((determineOutcome(write, before, SendHistory::OneUnansweredOneRefused) == WriteOutcome::Lost));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_write_that_could_not_be_sent_has_certainly_no_effect)
{
    WriteFixture setup;
    setup.table.behavior = [](bool) {
        return TableBehavior{TableFault::Unreachable, Duration(0), Duration(0)};
    };
    const RowWrite write{setup.key, StorePosition(), "mine", std::nullopt};
    const WriteResult result = setup.loop.run(writeConditionally(setup.table, setup.loop.clock, write));
    BOOST_TEST((result.outcome == WriteOutcome::Lost));
    BOOST_TEST((result.error.id == ErrorId::StoreUnavailable));
}

BOOST_AUTO_TEST_CASE(a_write_is_not_taken_for_lost_or_written_by_comparing_versions_before_and_after_a_restore)
{
    const RowWrite write{{"t", "k"}, StorePosition(4), "mine", std::nullopt};
    const auto restored = [](std::int64_t version) {
        return std::optional<Row>(Row{StorePosition(StoreIncarnation(1), RowVersion(version)), "copy"});
    };
    for (const std::int64_t version : {4, 5, 6}) {
        BOOST_TEST((determineOutcome(write, restored(version), SendHistory::OneUnanswered) == WriteOutcome::Unknown));
        BOOST_TEST((determineOutcome(write, restored(version), SendHistory::OneUnansweredOneRefused) == WriteOutcome::Superseded));
        BOOST_TEST((determineOutcome(write, restored(version), SendHistory::AllRefused) == WriteOutcome::Lost));
    }
}

BOOST_AUTO_TEST_SUITE_END()
