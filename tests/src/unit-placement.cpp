#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

#include "apricotarch/coordination/placement.h"
#include "apricotarch/coordination/stage_planner.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1h);
constexpr std::int64_t CacheTokens = 340'000;

BackendPointer engine(const std::string &id, EngineStage stage)
{
    BackendPointer backend(new Backend());
    backend->record.id = ReplicaId(id);
    backend->record.stage = stage;
    backend->record.slots = 64;
    backend->cache.resize(CacheTokens);
    return backend;
}

std::vector<BackendPointer> engines(std::size_t prefillEngines, std::size_t decodeEngines)
{
    std::vector<BackendPointer> fleet;
    for (std::size_t index = 0; index < prefillEngines; ++index) {
        fleet.push_back(engine("reader-" + std::to_string(index), EngineStage::Prefill));
    }
    for (std::size_t index = 0; index < decodeEngines; ++index) {
        fleet.push_back(engine("decoder-" + std::to_string(index), EngineStage::Decode));
    }
    return fleet;
}

EngineSpec spec()
{
    EngineSpec engineSpec;
    engineSpec.slots = 64;
    engineSpec.kvTokens = 491'264;
    engineSpec.kvBytesPerToken = 327'680;
    engineSpec.linkMegabits = 3'200'000;
    return engineSpec;
}

/// Returns a request for a plan: 13,300 tokens of a mill's history, which its plans share, and 3,700 tokens of its own.
PlacementRequest planRequest(std::uint64_t mill, std::uint64_t planNumber)
{
    PlacementRequest request;
    request.parts = {{mill, 13'300}, {1'000'000 + planNumber, 3'700}};
    request.promptTokens = 17'000;
    return request;
}

BackendPointer prefillEngineOf(const Placement &placement)
{
    return placement.prefillEngine ? placement.prefillEngine : placement.server;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement)

BOOST_AUTO_TEST_SUITE(a_prompt)

BOOST_AUTO_TEST_CASE(is_sent_to_the_same_engine_by_every_node)
{
    const auto fleet = engines(8, 4);
    PlacementPlanner first(EngineCostModel(), 1);
    PlacementPlanner second(EngineCostModel(), 2);
    for (std::uint64_t mill = 0; mill < 77; ++mill) {
        const Placement firstPlacement = first.selectEngines(fleet, planRequest(mill, 1), spec(), Start);
        const Placement secondPlacement = second.selectEngines(fleet, planRequest(mill, 2), spec(), Start);
        BOOST_TEST(prefillEngineOf(firstPlacement)->record.id == prefillEngineOf(secondPlacement)->record.id);
    }
}

BOOST_AUTO_TEST_CASE(finds_its_shared_part_cached)
{
    // 77 mills request 1,500 plans in turn. Without cached prefixes the engines would prefill 25 million tokens.
    const auto fleet = engines(8, 4);
    PlacementPlanner placementPlanner(EngineCostModel(), 1);
    std::int64_t prefilledTokens = 0;
    for (std::uint64_t number = 0; number < 1500; ++number) {
        const PlacementRequest request = planRequest(number % 77, number);
        const Placement placement = placementPlanner.selectEngines(fleet, request, spec(), Start);
        prefilledTokens += placement.tokensToPrefill;
        prefillEngineOf(placement)->cache.recordPrompt(request.parts);
    }
    constexpr std::int64_t UnsharedTokens = 1500 * 3'700;
    constexpr std::int64_t SharedTokensOnce = 77 * 13'300;
    BOOST_TEST(prefilledTokens <= UnsharedTokens + 2 * SharedTokensOnce);
}

BOOST_AUTO_TEST_CASE(moves_on_when_its_preferred_engine_is_overloaded)
{
    const auto fleet = engines(8, 4);
    PlacementPlanner placementPlanner(EngineCostModel(), 1);
    const BackendPointer preferred = prefillEngineOf(placementPlanner.selectEngines(fleet, planRequest(5, 1), spec(), Start));
    preferred->cache.recordPrompt(planRequest(5, 1).parts);
    preferred->localLoad.promptTokens = 200'000;
    BOOST_TEST(prefillEngineOf(placementPlanner.selectEngines(fleet, planRequest(5, 2), spec(), Start))->record.id != preferred->record.id);
}

BOOST_AUTO_TEST_CASE(fetches_its_shared_part_from_engines_that_are_too_busy_to_take_it)
{
    const auto busy = engines(4, 4);
    for (const BackendPointer &engine : busy) {
        engine->cache.recordPrompt(planRequest(5, 1).parts);
        engine->localLoad.promptTokens = 200'000;
    }
    const auto idle = engines(4, 4);
    PlacementPlanner placementPlanner(EngineCostModel(), 1);
    PlacementRequest request = planRequest(5, 2);
    BOOST_TEST(placementPlanner.selectEngines(idle, request, spec(), Start).tokensToPrefill == 17'000);
    request.fetchSources = busy;
    const Placement placement = placementPlanner.selectEngines(idle, request, spec(), Start);
    BOOST_TEST(std::ranges::count(idle, prefillEngineOf(placement)) == 1);
    BOOST_TEST(std::ranges::count(busy, placement.prefixSource) == 1);
    BOOST_TEST(placement.tokensToPrefill == 3'700);
}

BOOST_AUTO_TEST_CASE(goes_to_a_decode_engine_that_has_just_failed_if_all_of_them_have)
{
    // Incident inc-428c: all three decode engines lost connections within a second, and 454 prompts were refused.
    const auto fleet = engines(4, 2);
    for (const BackendPointer &engine : fleet) {
        if (engine->record.stage == EngineStage::Decode) {
            engine->recordFailure(Start);
        }
    }
    PlacementPlanner placementPlanner(EngineCostModel(), 1);
    BOOST_TEST(static_cast<bool>(placementPlanner.selectEngines(fleet, planRequest(1, 1), spec(), Start).server));
    BOOST_TEST(static_cast<bool>(placementPlanner.selectDecodeEngine(fleet, {}, Start)));
}

BOOST_AUTO_TEST_CASE(is_not_sent_again_to_a_server_that_was_tried)
{
    const auto fleet = engines(0, 2);
    PlacementPlanner placementPlanner(EngineCostModel(), 1);
    PlacementRequest request = planRequest(1, 1);
    const ReplicaId first = placementPlanner.selectEngines(fleet, request, spec(), Start).server->record.id;
    request.triedServers.insert(first);
    const ReplicaId second = placementPlanner.selectEngines(fleet, request, spec(), Start).server->record.id;
    BOOST_TEST(second != first);
    request.triedServers.insert(second);
    BOOST_TEST(!placementPlanner.selectEngines(fleet, request, spec(), Start).server);
}

BOOST_AUTO_TEST_CASE(that_would_wait_gets_a_prediction_of_the_wait)
{
    // A burst keeps every engine's queue at 60,000 tokens, which is more than a second of prefill.
    const auto fleet = engines(8, 4);
    for (const BackendPointer &backend : fleet) {
        backend->remoteLoad.promptTokens = 60'000;
    }
    PlacementPlanner placementPlanner(EngineCostModel(), 1);
    BOOST_TEST(placementPlanner.selectEngines(fleet, planRequest(1, 1), spec(), Start).waitMs > EngineCostModel().maxWaitMs);
    for (const BackendPointer &backend : fleet) {
        backend->remoteLoad.promptTokens = 0;
    }
    BOOST_TEST(placementPlanner.selectEngines(fleet, planRequest(1, 1), spec(), Start).waitMs < 50);
}

BOOST_AUTO_TEST_CASE(of_a_large_size_does_not_count_as_a_wait)
{
    const auto fleet = engines(8, 4);
    PlacementPlanner placementPlanner(EngineCostModel(), 1);
    PlacementRequest request = planRequest(1, 1);
    request.parts.back().tokens = 53'000;
    request.promptTokens = 66'300;
    const Placement placement = placementPlanner.selectEngines(fleet, request, spec(), Start);
    BOOST_TEST(placement.waitMs < 50);
    BOOST_TEST(placement.predictedFirstEventMs > 1000);
}

BOOST_AUTO_TEST_SUITE(whose_preferred_engine_is_overloaded)

BOOST_AUTO_TEST_CASE(is_prefilled_by_another_engine_that_fetches_the_shared_part)
{
    // A burst of one mill's plans: prefilling the 13,300 tokens again takes 260 ms, fetching them from the other engine 16 ms.
    const auto fleet = engines(8, 4);
    PlacementPlanner placementPlanner(EngineCostModel(), 1);
    const BackendPointer preferred = prefillEngineOf(placementPlanner.selectEngines(fleet, planRequest(5, 1), spec(), Start));
    preferred->cache.recordPrompt(planRequest(5, 1).parts);
    preferred->localLoad.promptTokens = 100'000;
    const Placement moved = placementPlanner.selectEngines(fleet, planRequest(5, 2), spec(), Start);
    BOOST_TEST(prefillEngineOf(moved)->record.id != preferred->record.id);
    BOOST_REQUIRE(moved.prefixSource);
    BOOST_TEST(moved.prefixSource->record.id == preferred->record.id);
    BOOST_TEST(moved.tokensToPrefill == 3'700);
}

BOOST_AUTO_TEST_CASE(fetches_its_shared_part_from_the_same_zone_if_possible)
{
    const auto fleet = engines(3, 1);
    PlacementPlanner placementPlanner(EngineCostModel(), 1);
    for (const BackendPointer &backend : fleet) {
        backend->record.zone = ZoneId("far");
        backend->localLoad.promptTokens = 100'000;
    }
    fleet[0]->record.zone = ZoneId("near");
    fleet[0]->localLoad.promptTokens = 0;
    fleet[1]->record.zone = ZoneId("near");
    fleet[1]->cache.recordPrompt(planRequest(5, 1).parts);
    fleet[2]->cache.recordPrompt(planRequest(5, 1).parts);
    const Placement moved = placementPlanner.selectEngines(fleet, planRequest(5, 2), spec(), Start);
    BOOST_TEST(prefillEngineOf(moved)->record.id == fleet[0]->record.id);
    BOOST_REQUIRE(moved.prefixSource);
    BOOST_TEST(moved.prefixSource->record.id == fleet[1]->record.id);
}

BOOST_AUTO_TEST_CASE(moves_on_at_once_if_its_shared_part_is_small)
{
    // Notes share 350 tokens, 7 ms of prefill, which does not justify a wait of 100 ms at the preferred engine.
    const auto fleet = engines(8, 4);
    PlacementPlanner placementPlanner(EngineCostModel(), 1);
    PlacementRequest note;
    note.parts = {{7, 350}, {8, 1'110}};
    note.promptTokens = 1'460;
    const BackendPointer preferred = prefillEngineOf(placementPlanner.selectEngines(fleet, note, spec(), Start));
    preferred->cache.recordPrompt(note.parts);
    preferred->localLoad.promptTokens = 5'000;
    BOOST_TEST(prefillEngineOf(placementPlanner.selectEngines(fleet, note, spec(), Start))->record.id != preferred->record.id);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(the_decode_engine_is_selected_again_after_the_prefill)
{
    // Guards against a stream that is sent to an engine which has begun to shut down during a prefill of 2.4 s.
    auto fleet = engines(2, 2);
    PlacementPlanner placementPlanner(EngineCostModel(), 1);
    const BackendPointer before = placementPlanner.selectDecodeEngine(fleet, {}, Start);
    std::erase(fleet, before);
    const BackendPointer after = placementPlanner.selectDecodeEngine(fleet, {}, Start);
    BOOST_REQUIRE(after);
    BOOST_TEST(after->record.id != before->record.id);
    BOOST_TEST((after->record.stage == EngineStage::Decode));
}

BOOST_AUTO_TEST_CASE(a_plain_request_goes_to_the_least_loaded_server_preferably_in_its_zone)
{
    std::vector<BackendPointer> servers;
    for (const char *id : {"a", "b", "c"}) {
        servers.push_back(engine(id, EngineStage::Any));
        servers.back()->record.slots = 6;
        servers.back()->record.zone = ZoneId(id);
    }
    PlacementPlanner placementPlanner(EngineCostModel(), 1);
    PlacementRequest request;
    request.zone = ZoneId("b");
    BOOST_TEST(placementPlanner.selectServer(servers, request, Start).server->record.id.value() == "b");
    servers[1]->localLoad.requests = 2;
    servers[0]->remoteLoad.requests = 1;
    BOOST_TEST(placementPlanner.selectServer(servers, request, Start).server->record.id.value() == "c");
    servers[2]->avoidUntil = Start + 1s;
    BOOST_TEST(placementPlanner.selectServer(servers, request, Start).server->record.id.value() == "a");
}

BOOST_AUTO_TEST_SUITE(engines_of_different_speed)

BOOST_AUTO_TEST_CASE(have_predictions_by_their_speed)
{
    auto fleet = engines(0, 1);
    PlacementPlanner placementPlanner(EngineCostModel(), 1);
    fleet[0]->remoteLoad = {1, 4'000};
    const Placement usual = placementPlanner.selectEngines(fleet, planRequest(1, 1), spec(), Start);
    fleet[0]->speedFactor = 1.6;
    const Placement slow = placementPlanner.selectEngines(fleet, planRequest(1, 1), spec(), Start);
    BOOST_TEST(slow.waitMs == 1.6 * usual.waitMs, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(slow.predictedFirstEventMs == 1.6 * usual.predictedFirstEventMs, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(slow.speedFactor == 1.6);
}

BOOST_AUTO_TEST_CASE(are_preferred_in_proportion_to_their_speed_and_none_gets_all_prompts)
{
    auto fleet = engines(0, 3);
    fleet[1]->speedFactor = 0.6;
    fleet[2]->speedFactor = 1.6;
    PlacementPlanner placementPlanner(EngineCostModel(), 1);
    std::map<std::string, int> prompts;
    for (std::uint64_t number = 0; number < 1'000; ++number) {
        PlacementRequest request;
        request.parts = {{number, 100}};
        request.promptTokens = 100;
        ++prompts[placementPlanner.selectEngines(fleet, request, spec(), Start).server->record.id.value()];
    }
    BOOST_TEST(prompts["decoder-1"] > prompts["decoder-0"]);
    BOOST_TEST(prompts["decoder-0"] > prompts["decoder-2"]);
    BOOST_TEST(prompts["decoder-2"] > 100);
}

BOOST_AUTO_TEST_CASE(decode_on_the_faster_engine_for_the_same_load)
{
    auto fleet = engines(1, 3);
    fleet[3]->speedFactor = 0.6;
    PlacementPlanner placementPlanner(EngineCostModel(), 1);
    BOOST_TEST(placementPlanner.selectDecodeEngine(fleet, {}, Start)->record.id.value() == "decoder-2");
    fleet[3]->remoteLoad.requests = 2;
    BOOST_TEST(placementPlanner.selectDecodeEngine(fleet, {}, Start)->record.id.value() == "decoder-0");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(stages)

BOOST_AUTO_TEST_CASE(start_with_most_engines_at_prefill)
{
    BOOST_TEST(planPrefillEngines(12, 4, StageDemand(), StagePlannerSettings()) > 6U);
    BOOST_TEST(planPrefillEngines(1, 0, StageDemand(), StagePlannerSettings()) == 0U);
}

BOOST_AUTO_TEST_CASE(follow_the_ratio_of_prefill_to_decode_demand)
{
    const StageDemand longPrompts{300, 20};
    const StageDemand longAnswers{40, 150};
    BOOST_TEST(planPrefillEngines(12, 6, longPrompts, StagePlannerSettings()) > 6U);
    BOOST_TEST(planPrefillEngines(12, 6, longAnswers, StagePlannerSettings()) < 6U);
}

BOOST_AUTO_TEST_CASE(change_one_by_one_in_small_fleets_and_several_at_once_in_large_fleets)
{
    // At one change per 1.3 s, only 18 of the 29 necessary changes of a site with 90 engines were done when the load arrived.
    BOOST_TEST(maxConcurrentChanges(2) == 1U);
    BOOST_TEST(maxConcurrentChanges(12) == 1U);
    BOOST_TEST(maxConcurrentChanges(90) == 7U);
    BOOST_TEST(maxConcurrentChanges(140) == 11U);
}

BOOST_AUTO_TEST_CASE(do_not_change_for_a_small_gain)
{
    StageDemand demand{150, 60};
    const std::size_t best = planPrefillEngines(12, 0, demand, StagePlannerSettings());
    BOOST_TEST(planPrefillEngines(12, best - 1, demand, StagePlannerSettings()) == best - 1);
}

BOOST_AUTO_TEST_CASE(leave_the_engines_without_a_limit_the_demand_that_those_with_one_do_not_take)
{
    // Six of eight prefill engines and two of four decode engines had limits. The planner moved a third engine of the four others to the
    // prefill stage, although the limited prefill engines had enough requests for it.
    const StageDemand demand{160, 40};
    const PromptAverages averages{4400, 1000};
    std::vector<BackendPointer> limited;
    for (int index = 0; index < 8; ++index) {
        const BackendPointer engine(new Backend());
        engine->record.stage = index < 6 ? EngineStage::Prefill : EngineStage::Decode;
        engine->rateStatement.perSecond = 2.8;
        limited.push_back(engine);
    }
    const StageDemand left = subtractLimitedEngines(demand, limited, averages);
    BOOST_TEST(left.promptTokensPerMs == 160 - 6 * 2.8 * 4.4, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(left.streams == 40 - 2 * 2.8, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(planPrefillEngines(4, 2, left, StagePlannerSettings()) <= 2U);
    limited.front()->rateStatement.perSecond = 1000;
    BOOST_TEST(subtractLimitedEngines(demand, limited, averages).promptTokensPerMs == 0);
}

BOOST_AUTO_TEST_CASE(keep_a_minimum_of_engines_at_each_stage)
{
    for (const StageDemand demand : {StageDemand{10'000, 4}, StageDemand{1, 10'000}}) {
        const std::size_t prefill = planPrefillEngines(10, 5, demand, StagePlannerSettings());
        BOOST_TEST(prefill >= 3U);
        BOOST_TEST(prefill <= 7U);
    }
}

BOOST_AUTO_TEST_CASE(count_changes_in_progress)
{
    // Without counting them, ten engines were ordered to change one after another, and then back.
    auto fleet = engines(4, 8);
    std::map<ReplicaId, TimePoint> lastOrderAt;
    StagePlannerSettings settings;
    settings.initialPrefillShare = 0.5;
    for (int count = 0; count < 2; ++count) {
        const auto change = selectStageChange(fleet, StageDemand(), lastOrderAt, settings, Start);
        BOOST_REQUIRE(change.has_value());
        const auto found = std::find_if(fleet.begin(), fleet.end(), [&](const BackendPointer &backend) {
            return backend->record.id == change->engine;
        });
        (*found)->orderedStage = change->stage;
        (*found)->stageChangeUntil = Start + 4s;
        lastOrderAt[change->engine] = Start;
    }
    BOOST_TEST(!selectStageChange(fleet, StageDemand(), lastOrderAt, settings, Start).has_value());
}

BOOST_AUTO_TEST_CASE(are_not_ordered_from_engines_that_decline)
{
    auto fleet = engines(4, 8);
    StagePlannerSettings settings;
    settings.initialPrefillShare = 0.5;
    for (const BackendPointer &backend : fleet) {
        backend->declinesUntil = Start + 1s;
    }
    BOOST_TEST(!selectStageChange(fleet, StageDemand(), {}, settings, Start).has_value());
    fleet.back()->declinesUntil = Start;
    BOOST_REQUIRE(selectStageChange(fleet, StageDemand(), {}, settings, Start).has_value());
    BOOST_TEST(selectStageChange(fleet, StageDemand(), {}, settings, Start)->engine == fleet.back()->record.id);
    BOOST_TEST(selectStageChange(fleet, StageDemand(), {}, settings, Start + 1s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
