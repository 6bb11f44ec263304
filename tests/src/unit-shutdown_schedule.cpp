#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/shutdown_schedule.h"

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

BOOST_AUTO_TEST_SUITE_END()
