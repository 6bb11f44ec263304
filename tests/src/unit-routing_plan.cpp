#include <boost/test/unit_test.hpp>

#include "platform/records.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

Route route(std::string name, std::string host, std::string prefix)
{
    Route result;
    result.name = std::move(name);
    result.host = std::move(host);
    result.prefix = std::move(prefix);
    result.services = {{ServiceId("desk"), 1}};
    return result;
}

const char *const PlanText = R"({"version":7,"routes":[
    {"name":"plans","host":"Desk.example","prefix":"/plans/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":600,
     "priority":2,"trafficSplit":[{"service":"a","weight":90},{"service":"b","weight":10}],"maxAttempts":2,"sticky":true,
     "resumable":true,"targetGapMs":200},
    {"name":"visits","host":"desk.example","prefix":"/visits/","kind":"unsafe","service":"c","maxAttempts":1,"timeoutMs":800}],
    "services":[{"name":"a","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,
      "engine":{"slots":64,"kvTokens":491264,"tokenKvBytes":327680,"linkMbps":3200000.0,"switchS":3.0,"models":[{"name":"m"}]}},
      {"name":"c","healthPath":"/healthz","maxConnections":100}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

const char *const ServerText = R"({"service":"a","address":"10.0.0.9:8080","zone":"z1","version":"v1","slots":64,
    "state":"ready","coldRemainingMs":0,"stage":"decode","models":[],"sequence":4,"born":17})";

std::string without(std::string text, const std::string &part)
{
    text.erase(text.find(part), part.size());
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(routing_plan)

BOOST_AUTO_TEST_CASE(knows_how_long_streams_of_each_service_can_be_resumed)
{
    std::vector<Route> routes(4);
    routes[0].resumable = routes[1].resumable = routes[2].resumable = true;
    routes[0].services = {{ServiceId("a"), 1}};
    routes[0].timeout = 4s;
    routes[1].services = {{ServiceId("a"), 1}, {ServiceId("b"), 1}};
    routes[1].timeout = 8s;
    routes[2].services = {{ServiceId("b"), 1}}; // Without a timeout.
    routes[3].services = {{ServiceId("c"), 1}};
    const RoutingPlan plan(1, routes, {}, {});
    BOOST_TEST(plan.resumableServices().size() == 2U);
    BOOST_TEST((plan.resumableServices().at(ServiceId("a")) == 8s));
    BOOST_TEST((plan.resumableServices().at(ServiceId("b")) == 0s));
}

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
    const RoutingPlan plan(
        1, {route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "i", "/a/b/c/"), route("all", "h", "/")}, {}, {});
    BOOST_TEST(plan.find("h", "/a/x")->name == "short");
    BOOST_TEST(plan.find("h", "/a/b/x/y")->name == "long");
    BOOST_TEST(plan.find("h", "/a/b/")->name == "long");
    BOOST_TEST(plan.find("h", "/a/b")->name == "short");
    BOOST_TEST(plan.find("h", "/q")->name == "all");
    BOOST_TEST(plan.find("i", "/a/b/x") == nullptr);
    BOOST_TEST(plan.find("unknown", "/a/") == nullptr);
    BOOST_TEST(plan.find("h", "") == nullptr);
}

BOOST_AUTO_TEST_SUITE(the_operators_configuration)

BOOST_AUTO_TEST_CASE(is_decoded_with_its_routes_services_and_limits)
{
    const Result<RoutingPlan> plan = platform::decodeRoutingPlan(PlanText);
    BOOST_REQUIRE(plan.has_value());
    BOOST_TEST(plan->version() == 7);
    const Route *plans = plan->find("desk.example", "/plans/x");
    BOOST_REQUIRE(plans != nullptr);
    BOOST_TEST((plans->kind == RouteKind::Streaming));
    BOOST_TEST(plans->idempotent());
    BOOST_TEST((plans->timeout == 8s));
    BOOST_TEST((plans->targetLatency == 600ms));
    BOOST_TEST(plans->services.size() == 2U);
    BOOST_TEST(plans->services[1].weight == 10);
    BOOST_TEST(!plan->find("desk.example", "/visits/1")->idempotent());
    BOOST_TEST(plan->service(ServiceId("a"))->engine->kvTokens == 491264);
    BOOST_TEST((plan->service(ServiceId("a"))->engine->stageChangeTime == 3s));
    BOOST_TEST(!plan->service(ServiceId("c"))->engine.has_value());
    BOOST_TEST((plan->limits().idleTimeout == 15s));
}

BOOST_AUTO_TEST_CASE(is_rejected_completely_if_a_part_is_malformed)
{
    BOOST_TEST((platform::decodeRoutingPlan("{").error().id == ErrorId::MalformedMessage));
    BOOST_TEST((platform::decodeRoutingPlan(without(PlanText, R"("prefix":"/visits/",)")).error().id == ErrorId::InvalidField));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_servers_entry)

BOOST_AUTO_TEST_CASE(contains_service_address_state_and_stage)
{
    const Result<BackendRecord> record = platform::decodeBackendRecord("i-1", ServerText);
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST(record->id.value() == "i-1");
    BOOST_TEST(record->service.value() == "a");
    BOOST_TEST(record->address.text() == "10.0.0.9:8080");
    BOOST_TEST((record->state == BackendState::Ready));
    BOOST_TEST((record->stage == EngineStage::Decode));
    BOOST_TEST(record->startedAt == 17);
}

BOOST_AUTO_TEST_CASE(is_rejected_if_a_field_is_missing_or_malformed)
{
    for (const char *part : {R"("service":"a",)", R"("zone":"z1",)", R"("slots":64,)", R"("version":"v1",)", R"("coldRemainingMs":0,)"}) {
        BOOST_TEST(!platform::decodeBackendRecord("i-1", without(ServerText, part)).has_value(), part);
    }
    std::string unknownState = ServerText;
    unknownState.replace(unknownState.find("ready"), 5, "burnt");
    BOOST_TEST(!platform::decodeBackendRecord("i-1", unknownState).has_value());
    BOOST_TEST(!platform::decodeBackendRecord("i-1", "\x01\x02").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
