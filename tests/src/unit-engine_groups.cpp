#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/engine_groups.h"
#include "apricotarch/coordination/reported_loads.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1h);

BackendRecord engineRecord(int index, int zones)
{
    BackendRecord record;
    record.id = ReplicaId("i-" + std::to_string(index * 7919));
    record.service = ServiceId("desk");
    record.zone = ZoneId("zone-" + std::to_string(index % zones));
    record.stage = EngineStage::Decode;
    return record;
}

/// Returns a table with engines spread over availability zones.
BackendTable makeTable(int engines, int zones)
{
    BackendTable table;
    for (int index = 0; index < engines; ++index) {
        table.update(engineRecord(index, zones), Start);
    }
    return table;
}

LoadUpdate updateOf(const char *host, std::int64_t sequence, BackendLoad load)
{
    return {Incarnation(1), sequence, {host, 1}, {ReplicaId("engine"), load}, {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_groups)

BOOST_AUTO_TEST_SUITE(groups)

BOOST_AUTO_TEST_CASE(are_of_bounded_size_and_within_a_zone)
{
    for (const int engines : {160, 1'000, 10'000}) {
        BOOST_TEST_CONTEXT(engines << " engines")
        {
            const BackendTable table = makeTable(engines, 5);
            for (const EngineGroup &group : divideIntoGroups(table.ready(ServiceId("desk")))) {
                BOOST_TEST(group.engines.size() >= 4U);
                BOOST_TEST(group.engines.size() <= 48U);
                BOOST_TEST(std::ranges::all_of(group.engines, [&](const BackendPointer &engine) {
                    return engine->record.zone == group.engines.front()->record.zone;
                }));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(span_zones_that_have_few_engines)
{
    const BackendTable table = makeTable(12, 3);
    const std::vector<EngineGroup> groups = divideIntoGroups(table.ready(ServiceId("desk")));
    BOOST_REQUIRE(groups.size() == 1U);
    BOOST_TEST(groups.front().engines.size() == 12U);
}

BOOST_AUTO_TEST_CASE(receive_prompts_in_proportion_to_their_size)
{
    const BackendTable table = makeTable(160, 5);
    const std::vector<EngineGroup> groups = divideIntoGroups(table.ready(ServiceId("desk")));
    std::map<std::size_t, int> prompts;
    constexpr int Prompts = 16'000;
    for (std::uint64_t key = 0; key < Prompts; ++key) {
        ++prompts[rankGroups(groups, key * 0x9E3779B97F4A7C15).front()];
    }
    for (const auto &[index, count] : prompts) {
        const double expected = Prompts / 160.0 * static_cast<double>(groups[index].engines.size());
        BOOST_TEST(count > expected * 0.85);
        BOOST_TEST(count < expected * 1.15);
    }
}

BOOST_AUTO_TEST_CASE(keep_their_prompts_when_an_engine_of_another_group_leaves)
{
    BackendTable table = makeTable(160, 5);
    const std::vector<EngineGroup> before = divideIntoGroups(table.ready(ServiceId("desk")));
    table.remove(engineRecord(3, 5).id, Start);
    const std::vector<EngineGroup> after = divideIntoGroups(table.ready(ServiceId("desk")));
    int moved = 0;
    for (std::uint64_t key = 0; key < 1'000; ++key) {
        moved += before[rankGroups(before, key).front()].name != after[rankGroups(after, key).front()].name ? 1 : 0;
    }
    BOOST_TEST(moved < 20);
}

BOOST_AUTO_TEST_CASE(are_found_by_engine_and_divided_again_after_a_change)
{
    BackendTable table = makeTable(160, 5);
    EngineGroupCache cache(table);
    const BackendPointer engine = table.find(engineRecord(3, 5).id);
    const std::string name = cache.groupOf(*engine);
    BOOST_REQUIRE(cache.find(ServiceId("desk"), name) != nullptr);
    BOOST_TEST(std::ranges::count(cache.find(ServiceId("desk"), name)->engines, engine) == 1);
    table.remove(engine->record.id, Start);
    BOOST_TEST(cache.groupOf(*engine).empty());
    BOOST_TEST(std::ranges::count(cache.find(ServiceId("desk"), name)->engines, engine) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(reported_loads)

BOOST_AUTO_TEST_CASE(are_summed_without_those_of_the_node_that_asks)
{
    ReportedLoads loads;
    BOOST_TEST(loads.record(updateOf("10.0.0.1", 1, {1, 5'000}), Start));
    BOOST_TEST(loads.record(updateOf("10.0.0.2", 1, {2, 100}), Start));
    const BackendLoad sum = loads.sum(ReplicaId("engine"), {"10.0.0.1", 1}, Start);
    BOOST_TEST(sum.requests == 2);
    BOOST_TEST(sum.promptTokens == 100);
}

BOOST_AUTO_TEST_CASE(are_replaced_by_later_ones_only)
{
    ReportedLoads loads;
    BOOST_TEST(loads.record(updateOf("10.0.0.1", 2, {1, 0}), Start));
    BOOST_TEST(!loads.record(updateOf("10.0.0.1", 1, {1, 5'000}), Start));
    BOOST_TEST(loads.sum(ReplicaId("engine"), {}, Start).promptTokens == 0);
}

BOOST_AUTO_TEST_CASE(of_a_restarted_node_count_from_its_first_one)
{
    ReportedLoads loads;
    BOOST_TEST(loads.record(updateOf("10.0.0.1", 90, {9, 9'000}), Start));
    LoadUpdate restarted = updateOf("10.0.0.1", 1, {1, 100});
    restarted.incarnation = Incarnation(0);
    BOOST_TEST(loads.record(restarted, Start));
    BOOST_TEST(loads.sum(ReplicaId("engine"), {}, Start).requests == 1);
}

BOOST_AUTO_TEST_CASE(expire_unless_they_are_repeated)
{
    ReportedLoads loads;
    BOOST_TEST(loads.record(updateOf("10.0.0.1", 1, {1, 5'000}), Start));
    BOOST_TEST(loads.sum(ReplicaId("engine"), {}, Start + ReportedLoads::Timeout).requests == 1);
    BOOST_TEST(loads.sum(ReplicaId("engine"), {}, Start + ReportedLoads::Timeout + 1ms).requests == 0);
    loads.removeExpired(Start + ReportedLoads::Timeout + 1ms);
    BOOST_TEST(loads.record(updateOf("10.0.0.1", 1, {1, 5'000}), Start + 4s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
