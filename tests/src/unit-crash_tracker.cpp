#include <algorithm>
#include <set>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/crash_tracker.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint Start{Duration(1000s)};
const ContentHash Content(7);

/// A node that has seen a request crash two servers.
struct Observer : CrashTracker
{
    Observer()
        : CrashTracker(CrashTrackerPeriods())
    {
        recordCrash(ReplicaId("i-1"), Content, Start);
        recordCrash(ReplicaId("i-2"), Content, Start);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_tracker)

BOOST_AUTO_TEST_SUITE(a_request_that_crashes_servers)

BOOST_AUTO_TEST_CASE(is_known_to_a_node_that_starts_after_its_observer_has_ended)
{
    Observer observer;
    CrashTracker second{CrashTrackerPeriods()};
    CrashTracker third{CrashTrackerPeriods()};
    BOOST_TEST(second.mergeRecords(observer.nextReports(Start), Start));
    BOOST_TEST(third.mergeRecords(second.nextReports(Start + 60s), Start + 60s));
    BOOST_TEST(third.isQuarantined(Content, Start + 60s));
}

BOOST_AUTO_TEST_CASE(is_not_refused_for_longer_by_being_reported_from_node_to_node)
{
    constexpr Duration Delay = 300ms; // Longer than the interval of heartbeats.
    const TimePoint end = Start + CrashTrackerPeriods().quarantinePeriod;
    Observer one;
    CrashTracker other{CrashTrackerPeriods()};
    for (TimePoint now = Start; now < end + 10s; now += 100ms) {
        other.mergeRecords(one.nextReports(now - Delay), now);
        one.mergeRecords(other.nextReports(now - Delay), now);
    }
    BOOST_TEST(!one.isSuspect(Content, end + 1s));
    BOOST_TEST(!other.isSuspect(Content, end + 1s));
    BOOST_TEST(one.nextReports(end + 1s).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_clearance)

BOOST_AUTO_TEST_CASE(is_not_undone_by_a_node_that_has_not_heard_of_it)
{
    Observer observer;
    CrashTracker partitioned{CrashTrackerPeriods()};
    partitioned.mergeRecords(observer.nextReports(Start), Start);
    BOOST_TEST(observer.release(Content, Start + 5s));
    const TimePoint later = Start + 5min;
    BOOST_TEST(!observer.mergeRecords(partitioned.nextReports(later), later));
    BOOST_TEST(!observer.isSuspect(Content, later));
    BOOST_TEST(partitioned.mergeRecords(observer.nextReports(later), later));
    BOOST_TEST(!partitioned.isSuspect(Content, later));
}

BOOST_AUTO_TEST_CASE(does_not_hide_a_later_crash)
{
    Observer observer;
    CrashTracker other{CrashTrackerPeriods()};
    other.mergeRecords(observer.nextReports(Start), Start);
    BOOST_TEST(observer.release(Content, Start + 1s));
    other.mergeRecords(observer.nextReports(Start + 1s), Start + 1s);
    other.recordCrash(ReplicaId("i-3"), Content, Start + 2s);
    BOOST_TEST(observer.mergeRecords(other.nextReports(Start + 2s), Start + 2s));
    BOOST_TEST(observer.isSuspect(Content, Start + 2s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(heartbeats)

BOOST_AUTO_TEST_CASE(have_a_bounded_number_of_records_and_all_of_them_in_turn)
{
    constexpr int Records = 700;
    CrashTracker tracker{CrashTrackerPeriods()};
    for (int number = 1; number <= Records; ++number) {
        tracker.recordCrash(ReplicaId("i-1"), ContentHash(number), Start);
    }
    const auto countReported = [&tracker](int heartbeats, std::size_t most) {
        std::set<ContentHash> reported;
        for (int heartbeat = 0; heartbeat < heartbeats; ++heartbeat) {
            const std::vector<CrashRecord> records = tracker.nextReports(Start);
            BOOST_TEST(records.size() <= most);
            for (const CrashRecord &record : records) {
                reported.insert(record.content);
            }
        }
        return static_cast<int>(reported.size());
    };
    BOOST_TEST(countReported(70, CrashTracker::MaxReportedRecords) == Records); // Each of them in three heartbeats.
    BOOST_TEST(countReported(Records / 2, CrashTracker::MaxOtherRepetitions) == Records);
    tracker.recordCrash(ReplicaId("i-1"), ContentHash(Records + 1), Start);
    const std::vector<CrashRecord> records = tracker.nextReports(Start);
    BOOST_TEST(std::ranges::any_of(records, [](const CrashRecord &record) {
        return record.content == ContentHash(Records + 1);
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
