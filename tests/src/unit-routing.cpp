#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

#include "apricotarch/coordination/admission.h"
#include "apricotarch/coordination/retry_budget.h"
#include "apricotarch/coordination/routing.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

const TimePoint Now = TimePoint(std::chrono::hours(1));
const ModelSpec PlanModel{"plan", "", "3"};

ReplicaView engine(const char *id)
{
    ReplicaView view;
    view.spec.id = ReplicaId(id);
    view.spec.zone = ZoneId("a");
    view.health = ReplicaHealth::Up;
    LoadReport report;
    report.state.model = PlanModel;
    report.slots = 4;
    report.freeKvBlocks = KvBlocks(2000);
    report.prefillRate = 1000;
    report.decodeRate = 100;
    view.report = report;
    return view;
}

RouteRequest routeRequest()
{
    RouteRequest request;
    request.prompt = Tokens(100);
    request.output = Tokens(10);
    request.zone = ZoneId("a");
    request.model = PlanModel;
    return request;
}

std::size_t firstIndex(std::size_t /*limit*/)
{
    return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(routing)

BOOST_AUTO_TEST_SUITE(eligibility)

BOOST_AUTO_TEST_CASE(excludes_replicas_that_must_not_receive_requests)
{
    const auto eligible = [](auto change) {
        ReplicaView view = engine("e");
        change(view);
        return isEligible(view, routeRequest(), Now);
    };
    BOOST_TEST(eligible([](ReplicaView &) {}));
    BOOST_TEST(!eligible([](ReplicaView &view) {
        view.health = ReplicaHealth::ShuttingDown;
    }));
    BOOST_TEST(!eligible([](ReplicaView &view) {
        view.vmShuttingDown = true;
    }));
    BOOST_TEST(!eligible([](ReplicaView &view) {
        view.report->changingStage = true;
    }));
    BOOST_TEST(!eligible([](ReplicaView &view) {
        view.report.reset();
    }));
    BOOST_TEST(!eligible([](ReplicaView &view) {
        view.report->state.model.model = "other";
    }));
    BOOST_TEST(eligible([](ReplicaView &view) {
        view.report->state.model.version = "4";
    }));
}

BOOST_AUTO_TEST_CASE(readmits_a_suspect_replica_after_its_pause)
{
    ReplicaView view = engine("e");
    view.health = ReplicaHealth::Suspect;
    view.suspectUntil = Now + 1s;
    BOOST_TEST(!isEligible(view, routeRequest(), Now));
    BOOST_TEST(isEligible(view, routeRequest(), Now + 1s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(prediction)

BOOST_AUTO_TEST_CASE(adds_queue_prompt_and_output)
{
    ReplicaView view = engine("e");
    view.report->queuedPrefill = Tokens(400);
    view.sinceReport.prompt = Tokens(500);
    const Prediction prediction = predict(view, routeRequest());
    BOOST_TEST(toMilliseconds(prediction.firstToken) == 1000);
    BOOST_TEST(toMilliseconds(prediction.total) == 1100);
}

BOOST_AUTO_TEST_CASE(assumes_that_other_nodes_dispatched_as_much_since_the_report)
{
    ReplicaView view = engine("e");
    view.sinceReport.prompt = Tokens(100);
    RouteRequest request = routeRequest();
    request.dispatchingNodes = 3;
    BOOST_TEST(toMilliseconds(predict(view, request).firstToken) == 400);
}

BOOST_AUTO_TEST_CASE(adds_work_that_is_too_recent_for_the_report)
{
    ReplicaTable fleet;
    Configuration configuration;
    ServiceSpec service;
    service.id = ServiceId("s");
    service.replicas = {{ReplicaId("e"), {"127.0.0.1", 1}, ZoneId("a"), true}};
    configuration.services = {service};
    fleet.setReplicas(configuration);
    fleet.addDispatch(ReplicaId("e"), Tokens(10), Tokens(1), Now);
    fleet.handleLoadReport(ReplicaId("e"), LoadReport(), Now + MaxReportAge - 1ms);
    BOOST_TEST(fleet.replica(ReplicaId("e"))->sinceReport.requests == 1);
    fleet.handleLoadReport(ReplicaId("e"), LoadReport(), Now + MaxReportAge);
    BOOST_TEST(fleet.replica(ReplicaId("e"))->sinceReport.requests == 0);
}

BOOST_AUTO_TEST_CASE(discards_old_dispatches_to_a_replica_that_never_reports)
{
    ReplicaTable fleet;
    Configuration configuration;
    ServiceSpec service;
    service.id = ServiceId("visits");
    service.kind = ServiceKind::Application;
    service.replicas = {{ReplicaId("visits-1"), {"127.0.0.1", 1}, ZoneId("a"), false}};
    configuration.services = {service};
    fleet.setReplicas(configuration);
    for (int second = 0; second < 100; ++second) {
        fleet.addDispatch(ReplicaId("visits-1"), Tokens(), Tokens(), Now + second * 1s);
        fleet.removeDispatch(ReplicaId("visits-1"), Tokens(), Tokens(), true);
    }
    BOOST_TEST(fleet.replica(ReplicaId("visits-1"))->sinceReport.requests == MaxDispatchAge / 1s);
    BOOST_TEST(fleet.replica(ReplicaId("visits-1"))->localLoad.requests == 0);
}

BOOST_AUTO_TEST_CASE(includes_the_wait_for_a_slot_in_a_full_batch)
{
    ReplicaView view = engine("e");
    view.report->running = 4;
    BOOST_TEST((predict(view, routeRequest()).firstToken > predict(engine("f"), routeRequest()).firstToken));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(predicted_time)

BOOST_AUTO_TEST_CASE(avoids_the_engine_with_the_longer_queue)
{
    ReplicaView queued = engine("queued");
    queued.report->queuedPrefill = Tokens(5000);
    const auto policy = makePredictedTimePolicy();
    const auto choice = route(*policy, {queued, engine("free")}, routeRequest(), Now, firstIndex);
    BOOST_TEST(choice->replica.id.value() == "free");
}

BOOST_AUTO_TEST_CASE(counts_its_own_dispatches_since_the_report)
{
    ReplicaView loaded = engine("loaded");
    loaded.sinceReport.prompt = Tokens(5000);
    const auto policy = makePredictedTimePolicy();
    const auto choice = route(*policy, {loaded, engine("free")}, routeRequest(), Now, firstIndex);
    BOOST_TEST(choice->replica.id.value() == "free");
}

BOOST_AUTO_TEST_CASE(spreads_requests_over_equal_engines_so_that_nodes_do_not_all_choose_the_same_one)
{
    std::mt19937 generator(7);
    const RandomIndex random = [&](std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(generator);
    };
    const auto policy = makePredictedTimePolicy();
    std::map<std::string, int> counts;
    for (int request = 0; request < 300; ++request) {
        ++counts[route(*policy, {engine("a"), engine("b"), engine("c")}, routeRequest(), Now, random)->replica.id.value()];
    }
    for (const auto &[id, count] : counts) {
        BOOST_TEST(count > 60);
    }
    BOOST_TEST(counts.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(baseline_policies_are_found_by_name)
{
    BOOST_TEST((makePolicy("round_robin") != nullptr));
    BOOST_TEST((makePolicy("least_outstanding") != nullptr));
    BOOST_TEST((makePolicy("no_such_policy") == nullptr));
}

BOOST_AUTO_TEST_SUITE(admission)

BOOST_AUTO_TEST_CASE(prevents_one_caller_from_starving_another)
{
    AdmissionController controller({10, 0.5});
    int greedyRequests = 0;
    BOOST_TEST(controller.tryAdmit(CallerId("modest")).empty());
    while (controller.tryAdmit(CallerId("greedy")).empty()) {
        ++greedyRequests;
    }
    BOOST_TEST(greedyRequests == 5);
    BOOST_TEST(controller.tryAdmit(CallerId("greedy")) == "caller_share_used");
    BOOST_TEST(controller.tryAdmit(CallerId("modest")).empty());
}

BOOST_AUTO_TEST_CASE(refuses_requests_beyond_the_limit_until_one_ends)
{
    AdmissionController controller({1, 1.0});
    BOOST_TEST(controller.tryAdmit(CallerId("a")).empty());
    BOOST_TEST(controller.tryAdmit(CallerId("b")) == "node_full");
    controller.release(CallerId("a"));
    BOOST_TEST(controller.tryAdmit(CallerId("b")).empty());
}

BOOST_AUTO_TEST_CASE(limits_retries_to_their_budget)
{
    RetryBudget budget(0.1, 2);
    BOOST_TEST(budget.tryTakeRetry());
    BOOST_TEST(budget.tryTakeRetry());
    BOOST_TEST(!budget.tryTakeRetry());
    for (int request = 0; request < 11; ++request) {
        budget.recordAdmission();
    }
    BOOST_TEST(budget.tryTakeRetry());
    BOOST_TEST(!budget.tryTakeRetry());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
