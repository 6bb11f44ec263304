#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/attempt_policy.h"
#include "apricotarch/coordination/directory.h"
#include "apricotarch/coordination/peer_table.h"
#include "apricotarch/coordination/shared_retry_budget.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1h);

RequestProgress nonIdempotentAttempt()
{
    RequestProgress facts;
    facts.attemptsSent = 1;
    facts.maxAttempts = 2;
    facts.hasUntriedServer = true;
    return facts;
}

RequestProgress idempotentAttempt()
{
    RequestProgress facts = nonIdempotentAttempt();
    facts.idempotent = true;
    return facts;
}

FrontHeartbeat heartbeatOf(const char *node, std::uint16_t port)
{
    FrontHeartbeat beat;
    beat.node = NodeId(node);
    beat.incarnation = Incarnation(1);
    beat.sequence = 1;
    beat.zone = ZoneId("z");
    beat.callerAddress = {"10.0.0.1", port};
    beat.peerAddress = {"10.0.0.1", static_cast<std::uint16_t>(port + 1)};
    beat.ready = true;
    return beat;
}

} // namespace

BOOST_AUTO_TEST_SUITE(front_policy)

BOOST_AUTO_TEST_SUITE(a_request_that_is_not_idempotent)

BOOST_AUTO_TEST_CASE(is_sent_to_another_server_only_if_it_has_certainly_not_run)
{
    BOOST_TEST((chooseNextStep(AttemptResult::NotExecuted, nonIdempotentAttempt()) == NextStep::TryAnother));
    RequestProgress notSent = nonIdempotentAttempt();
    notSent.attemptsSent = 0;
    BOOST_TEST((chooseNextStep(AttemptResult::NotSent, notSent) == NextStep::TryAnother));
    RequestProgress possiblyRun = nonIdempotentAttempt();
    possiblyRun.mayHaveRun = true;
    BOOST_TEST((chooseNextStep(AttemptResult::Broken, possiblyRun) == NextStep::Fail));
    BOOST_TEST((chooseNextStep(AttemptResult::ServerError, possiblyRun) == NextStep::Deliver));
}

BOOST_AUTO_TEST_CASE(is_refused_only_if_no_server_may_have_run_it)
{
    RequestProgress onlyServer = nonIdempotentAttempt();
    onlyServer.hasUntriedServer = false;
    BOOST_TEST((chooseNextStep(AttemptResult::NotExecuted, onlyServer) == NextStep::Refuse));
    // This server declined the request, but an earlier one may have run it: a refusal would be wrong.
    onlyServer.mayHaveRun = true;
    BOOST_TEST((chooseNextStep(AttemptResult::NotExecuted, onlyServer) == NextStep::Fail));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_idempotent_request)

BOOST_AUTO_TEST_CASE(is_retried_within_its_attempt_limit)
{
    RequestProgress facts = idempotentAttempt();
    facts.mayHaveRun = true;
    for (const AttemptResult end : {AttemptResult::Broken, AttemptResult::ServerError, AttemptResult::Silent}) {
        BOOST_TEST((chooseNextStep(end, facts) == NextStep::TryAnother));
    }
    facts.attemptsSent = 2;
    BOOST_TEST((chooseNextStep(AttemptResult::Broken, facts) == NextStep::Fail));
    BOOST_TEST((chooseNextStep(AttemptResult::ServerError, facts) == NextStep::Deliver));
}

BOOST_AUTO_TEST_CASE(is_aborted_if_its_stream_cannot_be_continued)
{
    RequestProgress facts = idempotentAttempt();
    facts.answerStarted = true;
    facts.mayHaveRun = true;
    BOOST_TEST((chooseNextStep(AttemptResult::Broken, facts) == NextStep::TryAnother));
    BOOST_TEST((chooseStepWithoutRetry(AttemptResult::Broken, facts) == NextStep::Abort));
    facts.attemptsSent = 2;
    BOOST_TEST((chooseNextStep(AttemptResult::NotExecuted, facts) == NextStep::Abort));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_retry_budget)

BOOST_AUTO_TEST_CASE(of_all_nodes_together_stays_within_the_limit)
{
    const RetryLimits limits{0.2, 54, 10s};
    constexpr std::size_t NodeCount = 7;
    const ServiceId service("desk");
    int retries = 0;
    for (std::size_t node = 0; node < NodeCount; ++node) {
        SharedRetryBudget budget(limits);
        for (int request = 0; request < 100; ++request) {
            budget.recordRequest(service, Start);
            while (budget.tryTakeRetry(service, NodeCount, Start)) {
                ++retries;
            }
        }
    }
    BOOST_TEST(retries > 0);
    BOOST_TEST(retries <= 0.2 * 100 * NodeCount + 54);
}

BOOST_AUTO_TEST_CASE(is_available_again_after_the_window)
{
    SharedRetryBudget budget({0.2, 4, 10s});
    const ServiceId service("desk");
    while (budget.tryTakeRetry(service, 1, Start)) {
    }
    BOOST_TEST(!budget.tryTakeRetry(service, 1, Start + 9s));
    BOOST_TEST(budget.tryTakeRetry(service, 1, Start + 11s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(other_nodes)

BOOST_AUTO_TEST_CASE(are_listed_while_they_are_live_ready_and_not_shutting_down)
{
    PeerTable peers(NodeId("self"), PeerTimeouts());
    BOOST_TEST(peers.recordHeartbeat(heartbeatOf("a", 1000), Start));
    BOOST_TEST(peers.callerAddresses(Start).size() == 1U);
    BOOST_TEST(peers.callerAddresses(Start + 2s).empty());
    FrontHeartbeat shuttingDown = heartbeatOf("a", 1000);
    shuttingDown.sequence = 2;
    shuttingDown.leaving = true;
    BOOST_TEST(peers.recordHeartbeat(shuttingDown, Start + 1s));
    BOOST_TEST(peers.callerAddresses(Start + 1s).empty());
}

BOOST_AUTO_TEST_SUITE(report_changed_loads_at_once)

LoadUpdate noticeOf(const FrontHeartbeat &beat, std::int64_t sequence, std::int64_t tokens)
{
    return {beat.incarnation, sequence, beat.peerAddress, {ReplicaId("engine"), {1, tokens}}};
}

BOOST_AUTO_TEST_CASE(with_a_notice_that_applies_until_the_next_heartbeat)
{
    PeerTable peers(NodeId("self"), PeerTimeouts());
    FrontHeartbeat heartbeat = heartbeatOf("a", 1000);
    BOOST_TEST(peers.recordHeartbeat(heartbeat, Start));
    BOOST_TEST(peers.recordLoadUpdate(noticeOf(heartbeat, heartbeat.sequence + 1, 20'000)));
    BOOST_TEST(peers.remoteLoad(ReplicaId("engine"), Start).promptTokens == 20'000);
    BOOST_TEST(peers.recordLoadUpdate(noticeOf(heartbeat, heartbeat.sequence + 2, 5'000)));
    BOOST_TEST(peers.remoteLoad(Start).at(ReplicaId("engine")).promptTokens == 5'000);
    heartbeat.sequence += 3;
    BOOST_TEST(peers.recordHeartbeat(heartbeat, Start));
    BOOST_TEST(peers.remoteLoad(ReplicaId("engine"), Start).promptTokens == 0);
}

BOOST_AUTO_TEST_CASE(except_in_notices_that_are_outdated_or_from_another_incarnation)
{
    PeerTable peers(NodeId("self"), PeerTimeouts());
    FrontHeartbeat heartbeat = heartbeatOf("a", 1000);
    BOOST_TEST(!peers.recordLoadUpdate(noticeOf(heartbeat, heartbeat.sequence + 1, 20'000)));
    BOOST_TEST(peers.recordHeartbeat(heartbeat, Start));
    BOOST_TEST(!peers.recordLoadUpdate(noticeOf(heartbeat, heartbeat.sequence, 20'000)));
    LoadUpdate other = noticeOf(heartbeat, heartbeat.sequence + 1, 20'000);
    other.incarnation = Incarnation(heartbeat.incarnation.value() + 1);
    BOOST_TEST(!peers.recordLoadUpdate(other));
    BOOST_TEST(peers.remoteLoad(ReplicaId("engine"), Start).promptTokens == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(are_accepted_after_a_restart_with_an_earlier_wall_clock_time)
{
    PeerTable peers(NodeId("self"), PeerTimeouts());
    FrontHeartbeat beforeRestart = heartbeatOf("a", 1000);
    beforeRestart.incarnation = Incarnation(500);
    beforeRestart.sequence = 90;
    BOOST_TEST(peers.recordHeartbeat(beforeRestart, Start));
    BOOST_TEST(!peers.recordHeartbeat(beforeRestart, Start));
    BOOST_TEST(peers.recordHeartbeat(heartbeatOf("a", 1000), Start));
}

BOOST_AUTO_TEST_CASE(with_newer_rows_are_found)
{
    PeerTable peers(NodeId("self"), PeerTimeouts());
    FrontHeartbeat heartbeat = heartbeatOf("a", 1000);
    heartbeat.planVersion = RowVersion(5);
    (void)peers.recordHeartbeat(heartbeat, Start);
    BOOST_TEST(!peers.findPeerWithNewerRows(RowVersion(5), RowVersion(0), Start).has_value());
    BOOST_REQUIRE(peers.findPeerWithNewerRows(RowVersion(4), RowVersion(0), Start).has_value());
    BOOST_TEST(peers.findPeerWithNewerRows(RowVersion(4), RowVersion(0), Start)->port == 1001);
    BOOST_TEST(!peers.findPeerWithNewerRows(RowVersion(4), RowVersion(0), Start + 10s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(callers_get_nodes_of_their_zone_if_there_are_enough)
{
    const ZoneId nearZone("near");
    std::vector<NodeAddress> nodes{{{"10.0.0.1", 1}, nearZone}, {{"10.0.0.2", 1}, ZoneId("far")}};
    BOOST_TEST(chooseAddresses(nodes, nearZone).size() == 2U);
    nodes.push_back({{"10.0.0.3", 1}, nearZone});
    BOOST_TEST(chooseAddresses(nodes, nearZone).size() == 2U);
    BOOST_TEST(chooseAddresses(nodes, ZoneId("far")).size() == 3U);
    BOOST_TEST(chooseAddresses(nodes, ZoneId()).size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
