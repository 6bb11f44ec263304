#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "soak/checks.h"
#include "soak/front.h"

using namespace apricotarch::soak;
using namespace std::chrono_literals;

namespace
{

/// Evidence of one call, which tests change before it is judged.
struct OneCall
{
    explicit OneCall(std::string_view kind = "check-long")
    {
        call.id = "call-1-";
        call.workload = &workload(kind);
        call.begin = start + 10s;
        call.sent = call.begin;
        call.end = call.begin + 1s;
        call.status = 200;
        call.complete = true;
        call.isWhole = true;
        call.isPart = true;
        call.isSealed = true;
    }

    void cut()
    {
        call.complete = false;
        call.isWhole = false;
    }

    /// A run of the request that ends as the call does.
    Run &run()
    {
        runs.push_back({call.id, "replica", "service", call.begin, call.end});
        return runs.back();
    }

    /// Stops the call's node a time before the request.
    void stopBefore(milliseconds time, int status = 0)
    {
        const TimePoint at = call.begin - time;
        evidence.addStop({0, at, at + GracePeriod - 800ms, status});
    }

    /// Returns the names of the broken rules, each with a blank after it.
    std::string judge()
    {
        for (const Run &each : runs) {
            evidence.addRun(each);
        }
        evidence.addCall(call);
        std::string rules;
        for (const Finding &finding : findBrokenRules(evidence)) {
            rules += finding.rule + ' ';
        }
        return rules;
    }

    const TimePoint start = Clock::now();
    Evidence evidence;
    Call call;
    std::vector<Run> runs;
};

} // namespace

BOOST_AUTO_TEST_SUITE(soak_checks)

BOOST_AUTO_TEST_SUITE(of_a_request_around_a_stop)

BOOST_FIXTURE_TEST_CASE(accept_a_whole_answer, OneCall)
{
    run();
    stopBefore(5s);
    BOOST_TEST(judge() == "");
}

BOOST_FIXTURE_TEST_CASE(report_a_cut_answer, OneCall)
{
    cut();
    run();
    stopBefore(5s);
    BOOST_TEST(judge() == "LOST ");
}

BOOST_FIXTURE_TEST_CASE(report_a_connection_that_is_closed_without_an_answer, OneCall)
{
    call.status = 0;
    cut();
    stopBefore(5s);
    BOOST_TEST(judge() == "LOST ");
}

BOOST_FIXTURE_TEST_CASE(accept_a_close_that_crosses_the_request, OneCall)
{
    call.status = 0;
    cut();
    call.end = call.begin + 150ms;
    stopBefore(5s);
    BOOST_TEST(judge() == "");
}

BOOST_FIXTURE_TEST_CASE(accept_that_the_replica_broke_off, OneCall)
{
    cut();
    run().brokeOff = true;
    stopBefore(5s);
    BOOST_TEST(judge() == "");
}

BOOST_FIXTURE_TEST_CASE(accept_that_the_replica_of_an_early_request_works_until_the_end, OneCall)
{
    cut();
    call.end = call.begin + 3900ms;
    run().end = call.begin + 4s;
    stopBefore(2900ms);
    BOOST_TEST(judge() == "");
}

BOOST_FIXTURE_TEST_CASE(report_that_a_later_one_is_cut, OneCall)
{
    cut();
    call.end = call.begin + 3900ms;
    run().end = call.begin + 4s;
    stopBefore(3100ms);
    BOOST_TEST(judge() == "LOST ");
}

BOOST_FIXTURE_TEST_CASE(report_a_refusal_that_takes_long, OneCall)
{
    call.status = 503;
    call.end = call.begin + 300ms;
    stopBefore(5s);
    BOOST_TEST(judge() == "SLOW ");
}

BOOST_FIXTURE_TEST_CASE(report_a_process_that_must_be_killed, OneCall)
{
    run();
    stopBefore(5s, -9);
    BOOST_TEST(judge() == "EXIT ");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_what_ran)

BOOST_FIXTURE_TEST_CASE(report_two_runs_of_an_unsafe_request, OneCall)
{
    run();
    run();
    BOOST_TEST(judge() == "TWICE ");
}

BOOST_FIXTURE_TEST_CASE(accept_a_second_run_after_the_first_was_declined, OneCall)
{
    run().declined = true;
    run();
    BOOST_TEST(judge() == "");
}

BOOST_FIXTURE_TEST_CASE(report_a_refusal_of_a_request_that_ran, OneCall)
{
    run();
    call.status = 503;
    BOOST_TEST(judge() == "REFUSED ");
}

BOOST_FIXTURE_TEST_CASE(report_a_run_at_a_replica_that_has_been_leaving_for_too_long, OneCall)
{
    run().leaving = 2100ms;
    BOOST_TEST(judge() == "DRAIN ");
}

BOOST_FIXTURE_TEST_CASE(accept_a_run_at_a_replica_that_has_just_begun_to_leave, OneCall)
{
    run().leaving = 1900ms;
    BOOST_TEST(judge() == "");
}

BOOST_FIXTURE_TEST_CASE(report_a_run_that_no_caller_asked_for, OneCall)
{
    run().requestId = "call-2-";
    BOOST_TEST(judge() == "UNASKED ");
}

BOOST_FIXTURE_TEST_CASE(report_a_broken_off_stream_that_looks_complete, OneCall)
{
    run();
    call.isWhole = false;
    BOOST_TEST(judge() == "ORDER ");
}

BOOST_FIXTURE_TEST_CASE(report_a_success_without_the_seal_of_a_replica, OneCall)
{
    run();
    call.isSealed = false;
    BOOST_TEST(judge() == "MIXED ");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_the_configuration)

struct Versions : OneCall
{
    Versions()
    {
        evidence.addConfiguration(start);
        evidence.addConfiguration(start + 20s);
    }

    void probe(int version, milliseconds at, int status)
    {
        evidence.addProbe({"probe-", 0, version, start + at, start + at + 5ms, status});
    }
};

BOOST_FIXTURE_TEST_CASE(accept_the_old_version_within_the_bound, Versions)
{
    probe(2, 21s, 404);
    probe(1, 21900ms, 200);
    probe(2, 22100ms, 200);
    BOOST_TEST(judge() == "");
}

BOOST_FIXTURE_TEST_CASE(report_a_dropped_route_that_is_served_after_the_bound, Versions)
{
    probe(1, 22100ms, 200);
    BOOST_TEST(judge() == "CONFIG ");
}

BOOST_FIXTURE_TEST_CASE(report_a_new_route_that_is_unknown_after_the_bound, Versions)
{
    probe(2, 22100ms, 404);
    BOOST_TEST(judge() == "CONFIG ");
}

BOOST_FIXTURE_TEST_CASE(report_a_node_that_goes_back, Versions)
{
    probe(2, 20500ms, 200);
    probe(1, 21s, 200);
    BOOST_TEST(judge() == "CONFIG ");
}

BOOST_FIXTURE_TEST_CASE(excuse_a_node_that_was_disturbed, Versions)
{
    const std::size_t disturbance = evidence.addDisturbance(0, false);
    probe(1, 22100ms, 200);
    BOOST_TEST(judge() == "");
    evidence.endDisturbance(disturbance);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_limited_replica)

/// A replica that takes one request per second for 20 s, so that 11 are allowed in 4 s.
struct Limited
{
    Limited()
    {
        evidence.addRateLimit({"replica", 1, start, start + 20s});
        call(0ms);
    }

    void call(milliseconds at)
    {
        Call call;
        call.id = "call-" + std::to_string(++number) + '-';
        call.workload = &workload("visit");
        call.begin = start + at;
        call.sent = call.begin;
        call.end = call.begin + 50ms;
        call.status = 200;
        call.complete = call.isWhole = call.isPart = call.isSealed = true;
        Run run{call.id, "replica", "service", call.begin, call.end};
        run.namesLimit = true;
        evidence.addRun(run);
        evidence.addCall(call);
    }

    /// Sends requests within 2 s, so that they are in one window.
    void callOften(int count)
    {
        for (int index = 0; index < count; ++index) {
            call(10s + 2000ms / count * index);
        }
    }

    std::string judge()
    {
        std::string rules;
        for (const Finding &finding : findBrokenRules(evidence)) {
            rules += finding.rule + ' ';
        }
        return rules;
    }

    const TimePoint start = Clock::now();
    Evidence evidence;
    int number = 0;
};

BOOST_FIXTURE_TEST_CASE(accept_as_many_requests_as_are_allowed, Limited)
{
    callOften(11);
    BOOST_TEST(judge() == "");
}

BOOST_FIXTURE_TEST_CASE(report_more_requests, Limited)
{
    callOften(12);
    BOOST_TEST(judge() == "LIMIT ");
}

BOOST_FIXTURE_TEST_CASE(excuse_a_node_that_has_started_since, Limited)
{
    const std::size_t disturbance = evidence.addDisturbance(0, true);
    callOften(12);
    BOOST_TEST(judge() == "");
    evidence.endDisturbance(disturbance);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_two_software_versions)

/// Streams that were broken off after their second event, each with a request that resumes it.
struct BrokenStreams
{
    void addStream(const std::string &nextVersion)
    {
        const std::string first = "first-" + std::to_string(++number) + '-';
        add(first, "", "v1", 0);
        add("next-" + std::to_string(number) + '-', first, nextVersion, 2);
    }

    void add(const std::string &id, const std::string &resumes, const std::string &version, std::size_t from)
    {
        Call call;
        call.id = id;
        call.workload = &workload("plan-long");
        call.begin = start + 10s + milliseconds(100 * evidence.calls().size());
        call.sent = call.begin;
        call.end = call.begin + 50ms;
        call.status = 200;
        call.complete = call.isWhole = call.isPart = call.isSealed = true;
        call.resumes = resumes;
        Run run{call.id, "replica-" + version, "service", call.begin, call.end};
        run.version = version;
        run.from = from;
        run.events = 2;
        evidence.addRun(run);
        evidence.addCall(call);
    }

    std::size_t countOrder()
    {
        return static_cast<std::size_t>(std::ranges::count(findBrokenRules(evidence), "ORDER", &Finding::rule));
    }

    const TimePoint start = Clock::now();
    Evidence evidence;
    int number = 0;
};

BOOST_FIXTURE_TEST_CASE(accept_streams_that_go_on_at_their_version, BrokenStreams)
{
    for (int stream = 0; stream < 5; ++stream) {
        addStream("v1");
    }
    BOOST_TEST(countOrder() == 0U);
}

BOOST_FIXTURE_TEST_CASE(report_more_than_two_streams_that_go_on_at_another_version, BrokenStreams)
{
    addStream("v1.1");
    addStream("v1.1");
    BOOST_TEST(countOrder() == 0U);
    addStream("v1.1");
    BOOST_TEST(countOrder() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
