#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/conditional_write.h"
#include "fakes/fake_table.h"

using namespace apricotarch;
using namespace apricotarch::fakes;

namespace
{

/// A table whose next write goes a given way.
struct WriteBench
{
    Bench bench;
    standins::PlatformStore store{bench.clock, {}};
    FakeTable table{store, bench};
    const RowKey key{"t", "k"};

    WriteResult writeWith(TableFault fault, std::string text, RowVersion expected)
    {
        bool first = true;
        table.behavior = [fault, &first](bool isWrite) {
            const bool faulty = isWrite && first;
            first = first && !isWrite;
            return TableBehavior{faulty ? fault : TableFault::None, std::chrono::milliseconds(1), std::chrono::milliseconds(1)};
        };
        const RowWrite write{key, expected, std::move(text), std::nullopt};
        return bench.run(writeSettled(table, bench.clock, write));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(conditional_write)

BOOST_AUTO_TEST_SUITE(a_lost_answer)

BOOST_AUTO_TEST_CASE(is_settled_as_written_by_reading_back)
{
    WriteBench bench;
    BOOST_TEST((bench.writeWith(TableFault::AnswerLost, "mine", RowVersion()).outcome == WriteOutcome::Written));
    BOOST_TEST(bench.store.writes() == 1);
}

BOOST_AUTO_TEST_CASE(of_a_request_that_never_arrived_is_sent_again)
{
    WriteBench bench;
    BOOST_TEST((bench.writeWith(TableFault::RequestLost, "mine", RowVersion()).outcome == WriteOutcome::Written));
    BOOST_TEST(bench.store.writes() == 1);
}

BOOST_AUTO_TEST_CASE(of_a_request_that_arrives_late_takes_effect_once)
{
    WriteBench bench;
    BOOST_TEST((bench.writeWith(TableFault::RequestLate, "mine", RowVersion()).outcome == WriteOutcome::Written));
    bench.bench.pass(std::chrono::seconds(1));
    BOOST_TEST(bench.store.writes() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(another_write)

BOOST_AUTO_TEST_CASE(that_came_first_is_reported_with_its_row)
{
    WriteBench bench;
    (void)bench.writeWith(TableFault::None, "other", RowVersion());
    const WriteResult result = bench.writeWith(TableFault::None, "mine", RowVersion());
    BOOST_TEST((result.outcome == WriteOutcome::Lost));
    BOOST_TEST(result.text == "other");
}

BOOST_AUTO_TEST_CASE(that_overtook_leaves_the_outcome_open_only_where_a_send_was_not_answered)
{
    const RowWrite write{{"t", "k"}, RowVersion(4), "mine", std::nullopt};
    const std::optional<Row> later = Row{RowVersion(6), "later"};
    const std::optional<Row> next = Row{RowVersion(5), "next"};
    const std::optional<Row> before = Row{RowVersion(4), "before"};
    BOOST_TEST((settle(write, later, SendHistory::OneUnanswered) == WriteOutcome::Overtaken));
    BOOST_TEST((settle(write, later, SendHistory::AllRefused) == WriteOutcome::Lost));
    BOOST_TEST((settle(write, next, SendHistory::OneUnanswered) == WriteOutcome::Lost));
    BOOST_TEST((settle(write, before, SendHistory::OneUnanswered) == WriteOutcome::Unknown));
    BOOST_TEST((settle(write, before, SendHistory::OneUnansweredOneRefused) == WriteOutcome::Lost));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(an_outage_that_lets_nothing_out_is_certain_not_to_have_written)
{
    WriteBench bench;
    bench.table.behavior = [](bool) {
        return TableBehavior{TableFault::Unreachable, Duration(0), Duration(0)};
    };
    const RowWrite write{bench.key, RowVersion(), "mine", std::nullopt};
    const WriteResult result = bench.bench.run(writeSettled(bench.table, bench.bench.clock, write));
    BOOST_TEST((result.outcome == WriteOutcome::Lost));
    BOOST_TEST((result.error.id == ErrorId::StoreUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()
