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
    RequestProgress progress;
    progress.attemptsSent = 1;
    progress.maxAttempts = 2;
    progress.hasUntriedServer = true;
    return progress;
}

RequestProgress idempotentAttempt()
{
    RequestProgress progress = nonIdempotentAttempt();
    progress.idempotent = true;
    return progress;
}

PeerIdentity selfIdentity()
{
    return {NodeId("self"), {"10.0.0.9", 1}, ZoneId("z")};
}

FrontHeartbeat heartbeatOf(const char *node, std::uint16_t port)
{
    FrontHeartbeat heartbeat;
    heartbeat.node = NodeId(node);
    heartbeat.incarnation = Incarnation(1);
    heartbeat.sequence = 1;
    heartbeat.zone = ZoneId("z");
    heartbeat.callerAddress = {"10.0.0.1", port};
    heartbeat.peerAddress = {"10.0.0.1", static_cast<std::uint16_t>(port + 1)};
    heartbeat.ready = true;
    return heartbeat;
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
    RequestProgress progress = idempotentAttempt();
    progress.mayHaveRun = true;
    for (const AttemptResult result : {AttemptResult::Broken, AttemptResult::ServerError, AttemptResult::Silent}) {
        BOOST_TEST((chooseNextStep(result, progress) == NextStep::TryAnother));
    }
    progress.attemptsSent = 2;
    BOOST_TEST((chooseNextStep(AttemptResult::Broken, progress) == NextStep::Fail));
    BOOST_TEST((chooseNextStep(AttemptResult::ServerError, progress) == NextStep::Deliver));
}

BOOST_AUTO_TEST_CASE(is_aborted_if_its_stream_cannot_be_continued)
{
    RequestProgress progress = idempotentAttempt();
    progress.answerStarted = true;
    progress.mayHaveRun = true;
    BOOST_TEST((chooseNextStep(AttemptResult::Broken, progress) == NextStep::TryAnother));
    BOOST_TEST((chooseStepWithoutRetry(AttemptResult::Broken, progress) == NextStep::Abort));
    progress.attemptsSent = 2;
    BOOST_TEST((chooseNextStep(AttemptResult::NotExecuted, progress) == NextStep::Abort));
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
    PeerTable peers(selfIdentity(), PeerTimeouts());
    BOOST_TEST(peers.recordHeartbeat(heartbeatOf("a", 1000), Start));
    BOOST_TEST(peers.callerAddresses(Start).size() == 1U);
    BOOST_TEST(peers.callerAddresses(Start + 2s).empty());
    FrontHeartbeat shuttingDown = heartbeatOf("a", 1000);
    shuttingDown.sequence = 2;
    shuttingDown.shuttingDown = true;
    BOOST_TEST(peers.recordHeartbeat(shuttingDown, Start + 1s));
    BOOST_TEST(peers.callerAddresses(Start + 1s).empty());
}

BOOST_AUTO_TEST_SUITE(report_changed_loads_at_once)

LoadUpdate loadUpdateOf(const FrontHeartbeat &heartbeat, std::int64_t sequence, std::int64_t tokens)
{
    return {heartbeat.incarnation, sequence, heartbeat.peerAddress, {ReplicaId("engine"), {1, tokens}}, {}};
}

BOOST_AUTO_TEST_CASE(with_an_update_that_applies_until_the_next_heartbeat)
{
    PeerTable peers(selfIdentity(), PeerTimeouts());
    FrontHeartbeat heartbeat = heartbeatOf("a", 1000);
    BOOST_TEST(peers.recordHeartbeat(heartbeat, Start));
    BOOST_TEST(peers.recordLoadUpdate(loadUpdateOf(heartbeat, heartbeat.sequence + 1, 20'000)));
    BOOST_TEST(peers.remoteLoad(ReplicaId("engine"), Start).promptTokens == 20'000);
    BOOST_TEST(peers.recordLoadUpdate(loadUpdateOf(heartbeat, heartbeat.sequence + 2, 5'000)));
    BOOST_TEST(peers.remoteLoad(Start).at(ReplicaId("engine")).promptTokens == 5'000);
    heartbeat.sequence += 3;
    BOOST_TEST(peers.recordHeartbeat(heartbeat, Start));
    BOOST_TEST(peers.remoteLoad(ReplicaId("engine"), Start).promptTokens == 0);
}

BOOST_AUTO_TEST_CASE(except_in_updates_that_are_outdated_or_from_another_incarnation)
{
    PeerTable peers(selfIdentity(), PeerTimeouts());
    FrontHeartbeat heartbeat = heartbeatOf("a", 1000);
    BOOST_TEST(!peers.recordLoadUpdate(loadUpdateOf(heartbeat, heartbeat.sequence + 1, 20'000)));
    BOOST_TEST(peers.recordHeartbeat(heartbeat, Start));
    BOOST_TEST(!peers.recordLoadUpdate(loadUpdateOf(heartbeat, heartbeat.sequence, 20'000)));
    LoadUpdate other = loadUpdateOf(heartbeat, heartbeat.sequence + 1, 20'000);
    other.incarnation = Incarnation(heartbeat.incarnation.value() + 1);
    BOOST_TEST(!peers.recordLoadUpdate(other));
    BOOST_TEST(peers.remoteLoad(ReplicaId("engine"), Start).promptTokens == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(are_accepted_after_a_restart_with_an_earlier_wall_clock_time)
{
    PeerTable peers(selfIdentity(), PeerTimeouts());
    FrontHeartbeat beforeRestart = heartbeatOf("a", 1000);
    beforeRestart.incarnation = Incarnation(500);
    beforeRestart.sequence = 90;
    BOOST_TEST(peers.recordHeartbeat(beforeRestart, Start));
    BOOST_TEST(!peers.recordHeartbeat(beforeRestart, Start));
    BOOST_TEST(peers.recordHeartbeat(heartbeatOf("a", 1000), Start));
}

BOOST_AUTO_TEST_CASE(with_newer_rows_are_found)
{
    PeerTable peers(selfIdentity(), PeerTimeouts());
    FrontHeartbeat heartbeat = heartbeatOf("a", 1000);
    heartbeat.planVersion = ConfigurationVersion(5);
    (void)peers.recordHeartbeat(heartbeat, Start);
    const auto find = [&peers](std::int64_t known, TimePoint now) {
        return peers.findPeersWithNewerRows(
            [known](const FrontHeartbeat &sent) {
                return sent.planVersion > ConfigurationVersion(known);
            },
            now);
    };
    BOOST_TEST(find(5, Start).empty());
    BOOST_REQUIRE(find(4, Start).size() == 1U);
    BOOST_TEST(find(4, Start).front().address.port == 1001);
    BOOST_TEST(find(4, Start + 10s).empty());
    const auto hasServers = [](const FrontHeartbeat &sent) {
        return sent.serversVersion > StorePosition();
    };
    BOOST_TEST(peers.findPeersWithNewerRows(hasServers, Start).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(callers_get_nodes_of_their_zone_if_there_are_enough)
{
    const ZoneId nearZone("near");
    std::vector<NodeAddress> nodes{{{"10.0.0.1", 1}, nearZone}, {{"10.0.0.2", 1}, ZoneId("far")}};
    BOOST_TEST(chooseAddresses(nodes, nearZone, NodeId("self")).size() == 2U);
    nodes.push_back({{"10.0.0.3", 1}, nearZone});
    BOOST_TEST(chooseAddresses(nodes, nearZone, NodeId("self")).size() == 2U);
    BOOST_TEST(chooseAddresses(nodes, ZoneId("far"), NodeId("self")).size() == 3U);
    BOOST_TEST(chooseAddresses(nodes, ZoneId(), NodeId("self")).size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
