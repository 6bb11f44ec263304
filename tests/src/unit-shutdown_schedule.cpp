#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/shutdown_schedule.h"
#include "apricotarch/state/recent_durations.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

const TimePoint Signal(1h);

} // namespace

BOOST_AUTO_TEST_SUITE(shutdown_schedule)

BOOST_AUTO_TEST_SUITE(a_short_grace_period)

BOOST_AUTO_TEST_CASE(leaves_requests_most_of_it)
{
    for (const Duration gracePeriod : {Duration(1s), Duration(2s), Duration(3s), Duration(8s), Duration(30s)}) {
        const ShutdownSchedule schedule(Signal, gracePeriod);
        BOOST_TEST((schedule.answersDueBy() >= Signal + gracePeriod * 5 / 6));
        BOOST_TEST((schedule.answersDueBy() < schedule.exitsBy()));
        BOOST_TEST((schedule.exitsBy() < Signal + gracePeriod));
        BOOST_TEST((schedule.servesUntil() < schedule.answersDueBy()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_during_a_shutdown)

const ShutdownSchedule Schedule(Signal, 8s);

BOOST_AUTO_TEST_CASE(is_served_at_any_time_if_it_must_end_before_the_process)
{
    BOOST_TEST(Schedule.admits(Signal, Schedule.answersDueBy(), 20s));
    BOOST_TEST(Schedule.admits(Signal + 6s, Schedule.answersDueBy(), std::nullopt));
    BOOST_TEST(!Schedule.admits(Signal + 6s, Schedule.answersDueBy() + 1ms, std::nullopt));
}

BOOST_AUTO_TEST_CASE(is_served_while_its_caller_may_have_no_other_address)
{
    const TimePoint late = Signal + 20s;
    BOOST_TEST(Schedule.admits(Signal + 1s, late, std::nullopt));
    BOOST_TEST(Schedule.admits(Signal + 1s, late, 2s));
    BOOST_TEST(Schedule.admits(Signal + 2500ms, late, 2s));
    BOOST_TEST(!Schedule.admits(Signal + 3s, late, 1ms));
    BOOST_TEST((Schedule.servesUntil() >= Signal + 3s)); // Some callers keep an answer of the directory for that long.
}

BOOST_AUTO_TEST_CASE(is_refused_if_requests_like_it_do_not_end_in_time)
{
    BOOST_TEST(!Schedule.admits(Signal + 1s, Signal + 20s, 7s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_durations_of_a_route)

BOOST_AUTO_TEST_CASE(are_those_of_its_latest_requests)
{
    RecentDurations durations;
    BOOST_TEST(!durations.longDuration("plan").has_value());
    for (int request = 0; request < 100; ++request) {
        durations.record("plan", 5s);
    }
    for (int request = 0; request < 58; ++request) {
        durations.record("plan", 1s);
    }
    BOOST_TEST((durations.longDuration("plan") == 1s));
    for (int request = 0; request < 8; ++request) {
        durations.record("plan", 3s);
    }
    BOOST_TEST((durations.longDuration("plan") == 3s));
    BOOST_TEST(!durations.longDuration("note").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
