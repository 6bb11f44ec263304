#include <boost/test/unit_test.hpp>

#include "apricotarch/state/backend.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

const ServiceId Desk("desk");
const TimePoint Start = TimePoint(1h);

BackendRecord record(const char *id)
{
    BackendRecord made;
    made.id = ReplicaId(id);
    made.service = Desk;
    made.address = {"10.0.0.1", 8080};
    made.startedAt = 10;
    return made;
}

BackendRecord draining(const char *id)
{
    BackendRecord made = record(id);
    made.state = BackendState::Draining;
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(backend_table)

BOOST_AUTO_TEST_SUITE(a_server_that_leaves)

BOOST_AUTO_TEST_CASE(gets_no_new_work_once_it_drains)
{
    BackendTable table;
    table.put(record("a"), Start);
    table.put(record("b"), Start);
    table.put(draining("a"), Start);
    BOOST_REQUIRE(table.usable(Desk, Start).size() == 1U);
    BOOST_TEST(table.usable(Desk, Start).front()->record.id.value() == "b");
}

BOOST_AUTO_TEST_CASE(gets_none_after_its_removal_either_even_as_the_last_one)
{
    BackendTable table;
    table.put(record("a"), Start);
    table.put(draining("a"), Start);
    table.remove(ReplicaId("a"), Start);
    BOOST_TEST(table.usable(Desk, Start).empty());
}

BOOST_AUTO_TEST_CASE(is_forgotten_when_its_work_is_done)
{
    BackendTable table;
    table.put(record("a"), Start);
    table.find(ReplicaId("a"))->own.requests = 1;
    table.remove(ReplicaId("a"), Start);
    table.forgetGone(Start + 1min);
    BOOST_TEST(table.find(ReplicaId("a")) != nullptr);
    table.find(ReplicaId("a"))->own.requests = 0;
    table.forgetGone(Start + 1min);
    BOOST_TEST(table.find(ReplicaId("a")) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(entries_that_lapse_during_an_outage)

BOOST_AUTO_TEST_CASE(may_be_used_for_a_short_time_where_there_is_no_other)
{
    BackendTable table;
    table.put(record("a"), Start);
    table.replaceAll({}, Start + 1s);
    BOOST_TEST(table.usable(Desk, Start + 1s).size() == 1U);
    BOOST_TEST(table.usable(Desk, Start + 1s + BackendTable::LapsedUse).empty());
}

BOOST_AUTO_TEST_CASE(are_not_used_beside_one_that_is_there)
{
    BackendTable table;
    table.put(record("a"), Start);
    table.put(record("b"), Start);
    table.replaceAll({record("b")}, Start);
    BOOST_TEST(table.usable(Desk, Start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(are_back_with_their_next_entry)
{
    BackendTable table;
    table.put(record("a"), Start);
    table.replaceAll({}, Start);
    table.put(record("a"), Start + 2s);
    BOOST_TEST(table.usable(Desk, Start + 2s).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_server_that_starts_again_under_its_id)

BOOST_AUTO_TEST_CASE(has_lost_its_cache)
{
    BackendTable table;
    table.resizeCaches(Desk, 1000);
    table.put(record("a"), Start);
    const std::vector<PromptPart> prompt{{1, 100}};
    table.find(ReplicaId("a"))->cache.use(prompt);
    BackendRecord reborn = record("a");
    reborn.startedAt = 20;
    BOOST_TEST(table.put(reborn, Start));
    BOOST_TEST(table.find(ReplicaId("a"))->cache.cachedTokens(prompt) == 0);
}

BOOST_AUTO_TEST_CASE(is_not_undone_by_a_late_entry_of_the_start_before)
{
    BackendTable table;
    BackendRecord reborn = record("a");
    reborn.startedAt = 20;
    table.put(reborn, Start);
    BOOST_TEST(!table.put(draining("a"), Start));
    BOOST_TEST(table.usable(Desk, Start).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_failing_server_is_avoided_for_longer_each_time)
{
    Backend backend;
    backend.failed(Start);
    const Duration first = backend.avoidUntil - Start;
    backend.failed(Start);
    BOOST_TEST((backend.avoidUntil - Start == 2 * first));
    backend.succeeded();
    backend.failed(Start);
    BOOST_TEST((backend.avoidUntil - Start == first));
}

BOOST_AUTO_TEST_CASE(a_cache_forgets_the_parts_used_longest_ago)
{
    PrefixCacheModel cache(300);
    cache.use({{1, 100}, {2, 100}});
    cache.use({{1, 100}, {3, 100}});
    cache.use({{4, 100}});
    BOOST_TEST(cache.cachedTokens({{1, 100}, {3, 100}}) == 200);
    BOOST_TEST(cache.cachedTokens({{1, 100}, {2, 100}}) == 100);
    // A part is of no use without those before it.
    BOOST_TEST(cache.cachedTokens({{9, 100}, {4, 100}}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
