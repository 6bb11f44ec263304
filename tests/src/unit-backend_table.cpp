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

BOOST_AUTO_TEST_SUITE(a_server_that_states_in_an_answer_that_it_is_shutting_down)

/// A table with the servers "a", whose answer states so at the time Start, and "b".
struct Fixture
{
    Fixture()
    {
        table.update(record("a"), Start);
        table.update(record("b"), Start);
        BOOST_TEST(table.recordShutdownStatement(ReplicaId("a"), Start, Start));
    }

    [[nodiscard]] std::vector<std::string> usable(TimePoint now) const
    {
        std::vector<std::string> ids;
        for (const BackendPointer &server : table.selectUsable(Service, now)) {
            ids.push_back(server->record.id.value());
        }
        return ids;
    }

    BackendTable table;
};

const std::vector<std::string> OnlyB{"b"};
const std::vector<std::string> Both{"a", "b"};
const std::vector<std::string> OnlyA{"a"};

BOOST_FIXTURE_TEST_CASE(gets_no_new_requests_while_its_entry_says_ready, Fixture)
{
    BOOST_TEST(usable(Start) == OnlyB);
    BOOST_TEST(!table.recordShutdownStatement(ReplicaId("a"), Start, Start + 1s)); // Nothing new.
    table.update(record("a"), Start + 1s);
    BOOST_TEST(usable(Start + 1s) == OnlyB);
    table.replaceAll({record("a"), record("b")}, Start + 1min);
    BOOST_TEST(usable(Start + 1min) == OnlyB);
}

BOOST_FIXTURE_TEST_CASE(gets_requests_after_its_next_start, Fixture)
{
    BackendRecord restarted = record("a");
    restarted.startedAt = 20;
    table.update(restarted, Start + 1s);
    BOOST_TEST(usable(Start + 1s) == Both);
    // A late answer of the previous process, on a connection from before.
    BOOST_TEST(!table.recordShutdownStatement(ReplicaId("a"), Start, Start + 2s));
    BOOST_TEST(usable(Start + 2s) == Both);
}

BOOST_FIXTURE_TEST_CASE(is_used_for_a_short_time_if_there_is_no_other, Fixture)
{
    table.update(drainingRecord("b"), Start);
    BOOST_TEST(usable(Start + 100ms) == OnlyA);
    BOOST_TEST(usable(Start + BackendTable::ShutdownGracePeriod).empty());
}

BOOST_FIXTURE_TEST_CASE(is_used_for_a_short_time_if_the_others_only_prefill, Fixture)
{
    BackendRecord prefill = record("b");
    prefill.stage = EngineStage::Prefill;
    table.update(prefill, Start);
    BOOST_TEST(usable(Start + 100ms).size() == 2U);
    BOOST_TEST(usable(Start + BackendTable::ShutdownGracePeriod) == OnlyB);
}

BOOST_FIXTURE_TEST_CASE(is_not_used_after_its_removal, Fixture)
{
    table.replaceAll({}, Start + 100ms);
    BOOST_TEST(usable(Start + 100ms) == OnlyB);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_server_that_declines_requests_for_a_time)

BOOST_AUTO_TEST_CASE(gets_none_until_the_latest_of_the_times)
{
    BackendTable table;
    table.update(record("a"), Start);
    BOOST_TEST(table.recordDecline(ReplicaId("a"), Start, Start + 3s));
    BOOST_TEST(!table.recordDecline(ReplicaId("a"), Start, Start + 1s));
    const BackendPointer server = table.find(ReplicaId("a"));
    BOOST_TEST(!table.isUsable(server, Start + 2999ms));
    BOOST_TEST(table.selectUsable(Service, Start + 2999ms).empty());
    BOOST_TEST(table.isUsable(server, Start + 3s));
}

BOOST_AUTO_TEST_CASE(gets_none_even_if_it_is_the_last_one_and_was_removed_recently)
{
    BackendTable table;
    table.update(record("a"), Start);
    table.recordDecline(ReplicaId("a"), Start, Start + 3s);
    table.replaceAll({}, Start);
    BOOST_TEST(table.selectUsable(Service, Start).empty());
}

BOOST_AUTO_TEST_CASE(gets_requests_after_its_next_start)
{
    BackendTable table;
    table.update(record("a"), Start);
    table.recordDecline(ReplicaId("a"), Start, Start + 3s);
    BackendRecord restarted = record("a");
    restarted.startedAt = 20;
    table.update(restarted, Start + 1s);
    BOOST_TEST(table.selectUsable(Service, Start + 1s).size() == 1U);
    BOOST_TEST(!table.recordDecline(ReplicaId("a"), Start, Start + 9s)); // Stated by the previous process.
    BOOST_TEST(table.selectUsable(Service, Start + 1s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(like_all_others_is_available_after_the_shortest_of_the_times)
{
    BackendTable table;
    BOOST_TEST((table.remainingDeclineTime(Service, Start) == 0s));
    table.update(record("a"), Start);
    table.update(record("b"), Start);
    BackendRecord prefill = record("c");
    prefill.stage = EngineStage::Prefill;
    table.update(prefill, Start);
    table.recordDecline(ReplicaId("a"), Start, Start + 3s);
    BOOST_TEST((table.remainingDeclineTime(Service, Start) == 0s));
    table.recordDecline(ReplicaId("b"), Start, Start + 2s);
    BOOST_TEST((table.remainingDeclineTime(Service, Start + 500ms) == 1500ms));
    table.recordShutdownStatement(ReplicaId("b"), Start, Start);
    BOOST_TEST((table.remainingDeclineTime(Service, Start + 500ms) == 2500ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_server_that_is_being_taken_back)

BOOST_AUTO_TEST_CASE(gets_requests_only_if_there_is_no_other_and_never_after_its_time)
{
    // A request that does not end before the server is taken back is lost.
    BackendTable table;
    table.update(record("a"), Start);
    table.update(record("b"), Start);
    BackendRecord leaving = record("a");
    leaving.remaining = 4s;
    BOOST_TEST(table.update(leaving, Start));
    BOOST_REQUIRE(table.selectUsable(Service, Start).size() == 1U);
    BOOST_TEST(table.selectUsable(Service, Start).front()->record.id.value() == "b");
    table.update(drainingRecord("b"), Start);
    BOOST_TEST(table.selectUsable(Service, Start + 3s).size() == 1U);
    BOOST_TEST(table.selectUsable(Service, Start + 4s).empty());
}

BOOST_AUTO_TEST_CASE(leaves_no_later_than_any_of_its_entries_states)
{
    // The same entry is read again after an unknown time; the time since it was written must not be added again.
    BackendTable table;
    BackendRecord leaving = record("a");
    leaving.remaining = 4s;
    table.update(leaving, Start);
    table.update(leaving, Start + 3s);
    BOOST_TEST((table.find(ReplicaId("a"))->leavesAt == Start + 4s));
    leaving.remaining = 500ms;
    table.update(leaving, Start + 3s);
    BOOST_TEST((table.find(ReplicaId("a"))->leavesAt == Start + 3500ms));
    table.update(record("a"), Start + 3s);
    BOOST_TEST(!table.find(ReplicaId("a"))->leavesAt.has_value());
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

BOOST_AUTO_TEST_CASE(are_not_used_for_longer_if_their_removal_is_learned_of_late)
{
    BackendTable table;
    table.update(record("a"), Start);
    table.currency().recordCurrent(Start);
    table.remove(ReplicaId("a"), Start + 1s);
    BOOST_TEST(table.selectUsable(Service, Start + 1s).size() == 1U);
    BOOST_TEST(table.selectUsable(Service, Start + BackendTable::RemovedServerGracePeriod).empty());
}

BOOST_AUTO_TEST_CASE(are_used_for_the_whole_time_since_the_store_last_failed_to_answer)
{
    BackendTable table;
    table.update(record("a"), Start);
    table.currency().recordCurrent(Start);
    table.currency().recordOutage(Start + 5s);
    table.remove(ReplicaId("a"), Start + 6s);
    BOOST_TEST(table.selectUsable(Service, Start + 5s + BackendTable::RemovedServerGracePeriod - 1ms).size() == 1U);
    BOOST_TEST(table.selectUsable(Service, Start + 5s + BackendTable::RemovedServerGracePeriod).empty());
}

BOOST_AUTO_TEST_CASE(are_not_used_for_longer_if_their_removal_after_the_outage_is_learned_of_late)
{
    // The time counted from the moment at which the removal was learned of, if a call had failed shortly before.
    BackendTable table;
    table.update(record("a"), Start);
    table.currency().recordOutage(Start + 3s);
    table.currency().recordCurrent(Start + 4s);
    table.remove(ReplicaId("a"), Start + 5s);
    BOOST_TEST(table.selectUsable(Service, Start + 5s).size() == 1U);
    BOOST_TEST(table.selectUsable(Service, Start + 4s + BackendTable::RemovedServerGracePeriod).empty());
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

BOOST_AUTO_TEST_CASE(the_time_until_a_server_takes_requests_includes_the_change_of_its_stage)
{
    // Callers that were refused while the only other decode engine changed its stage were told that there was no server at all.
    BackendTable table;
    for (const char *id : {"limited", "changing"}) {
        BackendRecord record;
        record.id = ReplicaId(id);
        record.service = Service;
        record.stage = EngineStage::Decode;
        table.update(record, Start);
    }
    table.find(ReplicaId("limited"))->rateShare.setAllowance({0.25, 1, 0.25}, Start);
    table.find(ReplicaId("changing"))->stageChangeUntil = Start + 2s;
    BOOST_TEST(table.selectUsable(Service, Start).empty());
    BOOST_TEST((table.remainingDeclineTime(Service, Start) == 2s));
    table.find(ReplicaId("changing"))->stageChangeUntil = Start + 10s;
    BOOST_TEST((table.remainingDeclineTime(Service, Start) == 4s));
}

BOOST_AUTO_TEST_SUITE_END()
