#include <boost/test/unit_test.hpp>

#include "apricotarch/state/backend.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

const ServiceId Service("desk");
const TimePoint Start = TimePoint(1h);

BackendRecord record(const char *id)
{
    BackendRecord entry;
    entry.id = ReplicaId(id);
    entry.service = Service;
    entry.address = {"10.0.0.1", 8080};
    entry.startedAt = 10;
    return entry;
}

BackendRecord drainingRecord(const char *id)
{
    BackendRecord entry = record(id);
    entry.state = BackendState::Draining;
    return entry;
}

} // namespace

BOOST_AUTO_TEST_SUITE(backend_table)

BOOST_AUTO_TEST_SUITE(a_server_that_shuts_down)

BOOST_AUTO_TEST_CASE(gets_no_new_requests_while_it_drains)
{
    BackendTable table;
    table.update(record("a"), Start);
    table.update(record("b"), Start);
    table.update(drainingRecord("a"), Start);
    BOOST_REQUIRE(table.selectUsable(Service, Start).size() == 1U);
    BOOST_TEST(table.selectUsable(Service, Start).front()->record.id.value() == "b");
}

BOOST_AUTO_TEST_CASE(gets_no_requests_after_its_removal_even_if_it_was_the_last_one)
{
    BackendTable table;
    table.update(record("a"), Start);
    table.update(drainingRecord("a"), Start);
    table.remove(ReplicaId("a"), Start);
    BOOST_TEST(table.selectUsable(Service, Start).empty());
}

BOOST_AUTO_TEST_CASE(is_deleted_when_its_requests_have_ended)
{
    BackendTable table;
    table.update(record("a"), Start);
    table.find(ReplicaId("a"))->localLoad.requests = 1;
    table.remove(ReplicaId("a"), Start);
    table.eraseRemoved(Start + 1min);
    BOOST_TEST(table.find(ReplicaId("a")) != nullptr);
    table.find(ReplicaId("a"))->localLoad.requests = 0;
    table.eraseRemoved(Start + 1min);
    BOOST_TEST(table.find(ReplicaId("a")) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(servers_whose_entries_expire_during_an_outage)

BOOST_AUTO_TEST_CASE(are_used_for_a_short_time_if_there_is_no_other)
{
    BackendTable table;
    table.update(record("a"), Start);
    table.replaceAll({}, Start + 1s);
    BOOST_TEST(table.selectUsable(Service, Start + 1s).size() == 1U);
    BOOST_TEST(table.selectUsable(Service, Start + 1s + BackendTable::RemovedServerGracePeriod).empty());
}

BOOST_AUTO_TEST_CASE(are_not_used_if_there_is_a_registered_one)
{
    BackendTable table;
    table.update(record("a"), Start);
    table.update(record("b"), Start);
    table.replaceAll({record("b")}, Start);
    BOOST_TEST(table.selectUsable(Service, Start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(are_used_again_after_their_next_entry)
{
    BackendTable table;
    table.update(record("a"), Start);
    table.replaceAll({}, Start);
    table.update(record("a"), Start + 2s);
    BOOST_TEST(table.selectUsable(Service, Start + 2s).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_server_that_restarts_with_the_same_id)

BOOST_AUTO_TEST_CASE(starts_with_an_empty_cache)
{
    BackendTable table;
    table.resizeCaches(Service, 1000);
    table.update(record("a"), Start);
    const std::vector<PromptPart> prompt{{1, 100}};
    table.find(ReplicaId("a"))->cache.recordPrompt(prompt);
    BackendRecord restarted = record("a");
    restarted.startedAt = 20;
    BOOST_TEST(table.update(restarted, Start));
    BOOST_TEST(table.find(ReplicaId("a"))->cache.cachedTokens(prompt) == 0);
}

BOOST_AUTO_TEST_CASE(ignores_a_late_entry_of_its_previous_process)
{
    BackendTable table;
    BackendRecord restarted = record("a");
    restarted.startedAt = 20;
    table.update(restarted, Start);
    BOOST_TEST(!table.update(drainingRecord("a"), Start));
    BOOST_TEST(table.selectUsable(Service, Start).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(the_time_for_which_a_failing_server_is_avoided_doubles)
{
    Backend backend;
    backend.recordFailure(Start);
    const Duration first = backend.avoidUntil - Start;
    backend.recordFailure(Start);
    BOOST_TEST((backend.avoidUntil - Start == 2 * first));
    backend.recordSuccess();
    backend.recordFailure(Start);
    BOOST_TEST((backend.avoidUntil - Start == first));
}

BOOST_AUTO_TEST_CASE(a_cache_evicts_the_least_recently_used_parts)
{
    PrefixCacheModel cache(300);
    cache.recordPrompt({{1, 100}, {2, 100}});
    cache.recordPrompt({{1, 100}, {3, 100}});
    cache.recordPrompt({{4, 100}});
    BOOST_TEST(cache.cachedTokens({{1, 100}, {3, 100}}) == 200);
    BOOST_TEST(cache.cachedTokens({{1, 100}, {2, 100}}) == 100);
    // A part is useless without the parts before it.
    BOOST_TEST(cache.cachedTokens({{9, 100}, {4, 100}}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
