#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/application_call_executor.h"
#include "apricotarch/state/row_codec.h"
#include "fakes/fake_table.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

/// A fake booking service that counts how often each booking runs and simulates faults.
class FakeBooking final : public ApplicationClient
{
public:
    explicit FakeBooking(TestLoop &loop)
        : m_loop(loop)
    {
    }

    /// The behavior of the next booking.
    enum class Behavior {
        Answer,
        ConnectFailed,
        AnswerLost,
        RequestLost,
    };

    Behavior behavior = Behavior::Answer;
    Duration duration{0};
    std::map<std::string, int> runs;

    [[nodiscard]] asio::awaitable<Result<CallResult>> call(ReplicaSpec replica, ReplicaCall call, Duration /*timeout*/) override
    {
        if (call.method == "GET") {
            const bool hasRun = runs.contains(call.idempotencyKey);
            co_return CallResult{hasRun ? 201 : 404, "text/plain", hasRun ? "booked" : ""};
        }
        const Behavior current = behavior;
        if (current == Behavior::ConnectFailed) {
            co_return fail(ErrorId::ConnectFailed, "fake.call", replica.id.value(), "connection refused");
        }
        if (current != Behavior::RequestLost) {
            ++runs[call.idempotencyKey];
        }
        co_await m_loop.clock.sleep(duration);
        if (current != Behavior::Answer) {
            co_return fail(ErrorId::ConnectionLost, "fake.call", replica.id.value(), "connection lost", Delivery::MaybeSent);
        }
        co_return CallResult{201, "text/plain", "booked"};
    }

private:
    TestLoop &m_loop;
};

/// One node process that accepts bookings.
struct BookingNode
{
    BookingNode(TestLoop &loop, standins::PlatformStore &store, FakeBooking &booking, const char *name)
        : table(store, loop)
        , members(MemberTimeouts())
        , decisions(loop.clock, 10)
        , claims(table, members, loop.clock, metrics, {NodeId(name), Incarnation(1)})
        , policy(makeLeastOutstandingPolicy())
        , calls({booking,
              claims,
              fleet,
              retries,
              *policy,
              loop.clock,
              decisions,
              metrics,
              [](std::size_t) {
                  return std::size_t(0);
              },
              ZoneId("a")})
    {
        Configuration configuration;
        ServiceSpec service;
        service.id = ServiceId("visits");
        service.kind = ServiceKind::Application;
        service.replicas = {{ReplicaId("visits-1"), {"127.0.0.1", 1}, ZoneId("a"), false}};
        configuration.services = {service};
        fleet.setReplicas(configuration);
    }

    FakeTable table;
    MemberTable members;
    DecisionLog decisions;
    Metrics metrics;
    ReplicaTable fleet;
    RetryBudget retries{0.1, 10};
    ClaimManager claims;
    std::unique_ptr<RoutingPolicy> policy;
    ApplicationCallExecutor calls;
};

/// Two nodes that accept bookings for one booking service.
struct BookingFixture
{
    TestLoop loop;
    standins::PlatformStore store{loop.clock, {}};
    FakeBooking booking{loop};
    BookingNode first{loop, store, booking, "first"};
    BookingNode second{loop, store, booking, "second"};

    ApplicationRequest makeRequest(const std::string &key, const std::string &body, bool hasLookUp = true) const
    {
        ApplicationRequest request;
        request.id = RequestId("r");
        request.caller = CallerId("mill");
        request.service.id = ServiceId("visits");
        request.operation = {"book", "POST", "/visits", false, hasLookUp ? "/visits/by-key" : ""};
        request.body = body;
        request.idempotencyKey = key;
        request.deadline = loop.clock.now() + 2s;
        return request;
    }

    ApplicationCallOutcome book(BookingNode &node, const std::string &key, const std::string &body = "tuesday", bool hasLookUp = true)
    {
        return loop.run(node.calls.execute(makeRequest(key, body, hasLookUp)));
    }

    int runs(const std::string &key)
    {
        return booking.runs[key];
    }
};

/// Returns a behavior in which the first @p count writes are affected by @p fault.
FakeTable::Behavior failFirstWrites(TableFault fault, int count)
{
    return [fault, remaining = count](bool isWrite) mutable {
        const bool isFaulty = isWrite && remaining > 0;
        remaining -= isWrite ? 1 : 0;
        return TableBehavior{isFaulty ? fault : TableFault::None, Duration(0), Duration(0)};
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(claims)

BOOST_AUTO_TEST_SUITE(a_booking)

BOOST_AUTO_TEST_CASE(runs_once_and_a_repetition_at_another_node_receives_its_result)
{
    BookingFixture setup;
    const ApplicationCallOutcome first = setup.book(setup.first, "k");
    const ApplicationCallOutcome repeat = setup.book(setup.second, "k");
    BOOST_TEST(first.answered);
    BOOST_TEST(repeat.replayed);
    BOOST_TEST((first.result == repeat.result));
    BOOST_TEST(setup.runs("k") == 1);
}

BOOST_AUTO_TEST_CASE(with_a_used_key_and_a_different_body_is_refused)
{
    BookingFixture setup;
    (void)setup.book(setup.first, "k", "tuesday");
    const ApplicationCallOutcome other = setup.book(setup.second, "k", "wednesday");
    BOOST_TEST(other.reason == "key_reused");
    BOOST_TEST(setup.runs("k") == 1);
}

BOOST_AUTO_TEST_CASE(requested_several_times_at_once_runs_once)
{
    BookingFixture setup;
    setup.booking.duration = 500ms;
    std::vector<ApplicationCallOutcome> outcomes;
    const auto sendRequest = [&](BookingNode &node) -> asio::awaitable<void> {
        outcomes.push_back(co_await node.calls.execute(setup.makeRequest("k", "tuesday", false)));
    };
    setup.loop.start(sendRequest(setup.first));
    setup.loop.start(sendRequest(setup.first));
    setup.loop.start(sendRequest(setup.second));
    setup.loop.advanceTime(3s);
    BOOST_TEST(outcomes.size() == 3U);
    BOOST_TEST(setup.runs("k") == 1);
}

BOOST_AUTO_TEST_CASE(runs_once_when_the_answer_to_its_claim_was_lost)
{
    BookingFixture setup;
    setup.first.table.behavior = failFirstWrites(TableFault::AnswerLost, 1);
    BOOST_TEST(setup.book(setup.first, "k").answered);
    BOOST_TEST(setup.runs("k") == 1);
}

BOOST_AUTO_TEST_CASE(whose_replica_cannot_be_reached_is_reported_as_not_run_and_may_be_repeated)
{
    BookingFixture setup;
    setup.booking.behavior = FakeBooking::Behavior::ConnectFailed;
    const ApplicationCallOutcome refused = setup.book(setup.first, "k");
    BOOST_TEST(refused.notRun);
    BOOST_TEST(setup.runs("k") == 0);
    setup.booking.behavior = FakeBooking::Behavior::Answer;
    setup.loop.advanceTime(20s);
    BOOST_TEST(setup.book(setup.second, "k").answered);
    BOOST_TEST(setup.runs("k") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_unknown_outcome)

BOOST_AUTO_TEST_CASE(is_resolved_by_the_look_up)
{
    BookingFixture setup;
    setup.booking.behavior = FakeBooking::Behavior::AnswerLost;
    const ApplicationCallOutcome outcome = setup.book(setup.first, "k");
    BOOST_TEST(outcome.answered);
    BOOST_TEST(outcome.result.body == "booked");
    BOOST_TEST(setup.runs("k") == 1);
}

BOOST_AUTO_TEST_CASE(without_a_look_up_is_reported_and_the_call_is_not_sent_again)
{
    BookingFixture setup;
    setup.booking.behavior = FakeBooking::Behavior::AnswerLost;
    const ApplicationCallOutcome outcome = setup.book(setup.first, "k", "tuesday", false);
    BOOST_TEST(outcome.reason == "outcome_unknown");
    BOOST_TEST(!outcome.notRun);
    setup.booking.behavior = FakeBooking::Behavior::Answer;
    BOOST_TEST(setup.book(setup.second, "k", "tuesday", false).reason == "outcome_unknown");
    BOOST_TEST(setup.runs("k") == 1);
}

BOOST_AUTO_TEST_CASE(for_which_the_look_up_finds_nothing_prevents_another_send)
{
    BookingFixture setup;
    setup.booking.behavior = FakeBooking::Behavior::RequestLost;
    BOOST_TEST(setup.book(setup.first, "k").reason == "outcome_unknown");
    setup.booking.behavior = FakeBooking::Behavior::Answer;
    BOOST_TEST(setup.book(setup.second, "k").reason == "outcome_unknown");
    BOOST_TEST(setup.runs("k") == 0);
}

BOOST_AUTO_TEST_CASE(of_an_owner_that_is_gone_prevents_another_send)
{
    BookingFixture setup;
    setup.first.table.behavior = [writes = 0](bool isWrite) mutable {
        writes += isWrite ? 1 : 0;
        return TableBehavior{TableFault::None, Duration(0), writes == 1 && isWrite ? Duration(1h) : Duration(0)};
    };
    const auto sendRequest = [&]() -> asio::awaitable<void> {
        (void)co_await setup.first.calls.execute(setup.makeRequest("k", "tuesday"));
    };
    setup.loop.start(sendRequest());
    setup.loop.advanceTime(1s);
    BOOST_TEST(setup.book(setup.second, "k").reason == "outcome_unknown");
    BOOST_TEST(setup.runs("k") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_store_outage)

BOOST_AUTO_TEST_CASE(leads_to_refusals_that_report_the_booking_as_not_run)
{
    BookingFixture setup;
    setup.first.table.behavior = [](bool) {
        return TableBehavior{TableFault::Unreachable, Duration(0), Duration(0)};
    };
    const ApplicationCallOutcome refused = setup.book(setup.first, "k");
    BOOST_TEST(refused.reason == "store_unavailable");
    BOOST_TEST(refused.notRun);
    BOOST_TEST(setup.runs("k") == 0);
}

BOOST_AUTO_TEST_CASE(in_which_the_answer_to_a_claim_is_lost_leaves_the_key_usable_afterwards)
{
    BookingFixture setup;
    bool outage = true;
    bool isFirstWrite = true;
    setup.first.table.behavior = [&](bool isWrite) {
        const bool isAnswerLost = outage && isWrite && std::exchange(isFirstWrite, false);
        const TableFault fault = isAnswerLost ? TableFault::AnswerLost : outage ? TableFault::Unreachable : TableFault::None;
        return TableBehavior{fault, Duration(0), Duration(0)};
    };
    const ApplicationCallOutcome refused = setup.book(setup.first, "k");
    BOOST_TEST(refused.notRun);
    BOOST_TEST(setup.first.claims.pendingReleaseCount() == 1U);
    outage = false;
    setup.loop.run(setup.first.claims.retryPendingReleases());
    BOOST_TEST(setup.first.claims.pendingReleaseCount() == 0U);
    BOOST_TEST(setup.book(setup.second, "k").answered);
    BOOST_TEST(setup.runs("k") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(no_booking_runs_twice_or_is_answered_without_a_run_under_random_faults)
{
    constexpr unsigned Seeds = 500;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937 random(seed);
            const auto randomBelow = [&random](int limit) {
                return static_cast<int>(random() % static_cast<unsigned>(limit));
            };
            BookingFixture setup;
            const FakeTable::Behavior randomFaults = [&](bool) {
                const TableFault fault = randomBelow(5) == 0 ? static_cast<TableFault>(1 + randomBelow(4)) : TableFault::None;
                return TableBehavior{fault, Duration(randomBelow(400) * 1ms), Duration(randomBelow(400) * 1ms)};
            };
            setup.first.table.behavior = randomFaults;
            setup.second.table.behavior = randomFaults;
            setup.booking.duration = 200ms;
            const auto sendRepeatedly = [&](BookingNode &node) -> asio::awaitable<void> {
                for (int attempt = 0; attempt < 6; ++attempt) {
                    setup.booking.behavior =
                        randomBelow(4) == 0 ? static_cast<FakeBooking::Behavior>(randomBelow(4)) : FakeBooking::Behavior::Answer;
                    const ApplicationCallOutcome outcome =
                        co_await node.calls.execute(setup.makeRequest("k", "tuesday", randomBelow(2) == 0));
                    const bool hasNotRun = setup.booking.runs.empty() || setup.booking.runs["k"] == 0;
                    BOOST_REQUIRE(!outcome.answered || !hasNotRun);
                    co_await setup.loop.clock.sleep(randomBelow(1000) * 1ms);
                    co_await node.claims.retryPendingReleases();
                }
            };
            setup.loop.start(sendRepeatedly(setup.first));
            setup.loop.start(sendRepeatedly(setup.second));
            setup.loop.start(sendRepeatedly(setup.first));
            setup.loop.advanceTime(60s);
            BOOST_REQUIRE_LE(setup.runs("k"), 1);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
