#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/application_call.h"
#include "apricotarch/state/row_codec.h"
#include "fakes/fake_table.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

/// A booking service that counts its runs and fails on demand.
class FakeBooking final : public ReplicaCaller
{
public:
    explicit FakeBooking(Bench &bench)
        : m_bench(bench)
    {
    }

    /// How the next booking goes.
    enum class Course {
        Answer,
        NotReached,
        AnswerLost,
        RequestLost,
    };

    Course course = Course::Answer;
    Duration duration{0};
    std::map<std::string, int> runs;

    [[nodiscard]] asio::awaitable<Result<CallResult>> call(ReplicaSpec replica, ReplicaCall call, Duration /*timeout*/) override
    {
        if (call.method == "GET") {
            const bool known = runs.contains(call.idempotencyKey);
            co_return CallResult{known ? 201 : 404, "text/plain", known ? "booked" : ""};
        }
        const Course now = course;
        if (now == Course::NotReached) {
            co_return fail(ErrorId::ConnectFailed, "fake.call", replica.id.value(), "refused");
        }
        if (now != Course::RequestLost) {
            ++runs[call.idempotencyKey];
        }
        co_await m_bench.clock.sleep(duration);
        if (now != Course::Answer) {
            co_return fail(ErrorId::ConnectionLost, "fake.call", replica.id.value(), "lost", Delivery::MaybeSent);
        }
        co_return CallResult{201, "text/plain", "booked"};
    }

private:
    Bench &m_bench;
};

/// One process that takes bookings.
struct BookingNode
{
    BookingNode(Bench &bench, standins::PlatformStore &store, FakeBooking &booking, const char *name)
        : table(store, bench)
        , members(MemberTimes())
        , decisions(bench.clock, 10)
        , claims(table, members, bench.clock, metrics, {NodeId(name), Incarnation(1)})
        , policy(makeLeastOutstandingPolicy())
        , calls({booking,
              claims,
              fleet,
              retries,
              *policy,
              bench.clock,
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
        fleet.assign(configuration);
    }

    FakeTable table;
    Members members;
    DecisionLog decisions;
    Metrics metrics;
    Fleet fleet;
    RetryBudget retries{0.1, 10};
    ClaimKeeper claims;
    std::unique_ptr<RoutingPolicy> policy;
    ApplicationCalls calls;
};

struct BookingBench
{
    Bench bench;
    standins::PlatformStore store{bench.clock, {}};
    FakeBooking booking{bench};
    BookingNode first{bench, store, booking, "first"};
    BookingNode second{bench, store, booking, "second"};

    ApplicationRequest request(const std::string &key, const std::string &body, bool lookUp = true) const
    {
        ApplicationRequest made;
        made.id = RequestId("r");
        made.caller = CallerId("mill");
        made.service.id = ServiceId("visits");
        made.operation = {"book", "POST", "/visits", false, lookUp ? "/visits/by-key" : ""};
        made.body = body;
        made.idempotencyKey = key;
        made.deadline = bench.clock.now() + 2s;
        return made;
    }

    ApplicationOutcome book(BookingNode &node, const std::string &key, const std::string &body = "tuesday", bool lookUp = true)
    {
        return bench.run(node.calls.run(request(key, body, lookUp)));
    }

    int runs(const std::string &key)
    {
        return booking.runs[key];
    }
};

/// Lets the first so many writes go a given way.
FakeTable::Behavior writesGo(TableFault fault, int count)
{
    return [fault, left = count](bool isWrite) mutable {
        const bool faulty = isWrite && left > 0;
        left -= isWrite ? 1 : 0;
        return TableBehavior{faulty ? fault : TableFault::None, Duration(0), Duration(0)};
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(claims)

BOOST_AUTO_TEST_SUITE(a_booking)

BOOST_AUTO_TEST_CASE(runs_once_and_a_repeat_through_another_node_gets_its_result)
{
    BookingBench bench;
    const ApplicationOutcome first = bench.book(bench.first, "k");
    const ApplicationOutcome repeat = bench.book(bench.second, "k");
    BOOST_TEST(first.answered);
    BOOST_TEST(repeat.replayed);
    BOOST_TEST((first.result == repeat.result));
    BOOST_TEST(bench.runs("k") == 1);
}

BOOST_AUTO_TEST_CASE(with_a_used_key_and_another_body_is_refused)
{
    BookingBench bench;
    (void)bench.book(bench.first, "k", "tuesday");
    const ApplicationOutcome other = bench.book(bench.second, "k", "wednesday");
    BOOST_TEST(other.reason == "key_reused");
    BOOST_TEST(bench.runs("k") == 1);
}

BOOST_AUTO_TEST_CASE(asked_twice_at_once_runs_once)
{
    BookingBench bench;
    bench.booking.duration = 500ms;
    std::vector<ApplicationOutcome> outcomes;
    const auto ask = [&](BookingNode &node) -> asio::awaitable<void> {
        outcomes.push_back(co_await node.calls.run(bench.request("k", "tuesday", false)));
    };
    bench.bench.start(ask(bench.first));
    bench.bench.start(ask(bench.first));
    bench.bench.start(ask(bench.second));
    bench.bench.pass(3s);
    BOOST_TEST(outcomes.size() == 3U);
    BOOST_TEST(bench.runs("k") == 1);
}

BOOST_AUTO_TEST_CASE(whose_claims_answer_was_lost_runs_once)
{
    BookingBench bench;
    bench.first.table.behavior = writesGo(TableFault::AnswerLost, 1);
    BOOST_TEST(bench.book(bench.first, "k").answered);
    BOOST_TEST(bench.runs("k") == 1);
}

BOOST_AUTO_TEST_CASE(whose_replica_cannot_be_reached_was_not_run_and_may_be_repeated)
{
    BookingBench bench;
    bench.booking.course = FakeBooking::Course::NotReached;
    const ApplicationOutcome refused = bench.book(bench.first, "k");
    BOOST_TEST(refused.notRun);
    BOOST_TEST(bench.runs("k") == 0);
    bench.booking.course = FakeBooking::Course::Answer;
    bench.bench.pass(20s);
    BOOST_TEST(bench.book(bench.second, "k").answered);
    BOOST_TEST(bench.runs("k") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_unknown_outcome)

BOOST_AUTO_TEST_CASE(is_settled_by_the_look_up)
{
    BookingBench bench;
    bench.booking.course = FakeBooking::Course::AnswerLost;
    const ApplicationOutcome outcome = bench.book(bench.first, "k");
    BOOST_TEST(outcome.answered);
    BOOST_TEST(outcome.result.body == "booked");
    BOOST_TEST(bench.runs("k") == 1);
}

BOOST_AUTO_TEST_CASE(without_a_look_up_is_told_and_never_sent_again)
{
    BookingBench bench;
    bench.booking.course = FakeBooking::Course::AnswerLost;
    const ApplicationOutcome outcome = bench.book(bench.first, "k", "tuesday", false);
    BOOST_TEST(outcome.reason == "outcome_unknown");
    BOOST_TEST(!outcome.notRun);
    bench.booking.course = FakeBooking::Course::Answer;
    BOOST_TEST(bench.book(bench.second, "k", "tuesday", false).reason == "outcome_unknown");
    BOOST_TEST(bench.runs("k") == 1);
}

BOOST_AUTO_TEST_CASE(that_the_look_up_does_not_know_is_never_sent_again)
{
    BookingBench bench;
    bench.booking.course = FakeBooking::Course::RequestLost;
    BOOST_TEST(bench.book(bench.first, "k").reason == "outcome_unknown");
    bench.booking.course = FakeBooking::Course::Answer;
    BOOST_TEST(bench.book(bench.second, "k").reason == "outcome_unknown");
    BOOST_TEST(bench.runs("k") == 0);
}

BOOST_AUTO_TEST_CASE(of_an_owner_that_is_gone_is_never_sent_again)
{
    BookingBench bench;
    bench.first.table.behavior = [writes = 0](bool isWrite) mutable {
        writes += isWrite ? 1 : 0;
        return TableBehavior{TableFault::None, Duration(0), writes == 1 && isWrite ? Duration(1h) : Duration(0)};
    };
    const auto ask = [&]() -> asio::awaitable<void> {
        (void)co_await bench.first.calls.run(bench.request("k", "tuesday"));
    };
    bench.bench.start(ask());
    bench.bench.pass(1s);
    BOOST_TEST(bench.book(bench.second, "k").reason == "outcome_unknown");
    BOOST_TEST(bench.runs("k") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_outage_of_the_store)

BOOST_AUTO_TEST_CASE(refuses_bookings_truthfully)
{
    BookingBench bench;
    bench.first.table.behavior = [](bool) {
        return TableBehavior{TableFault::Unreachable, Duration(0), Duration(0)};
    };
    const ApplicationOutcome refused = bench.book(bench.first, "k");
    BOOST_TEST(refused.reason == "store_unavailable");
    BOOST_TEST(refused.notRun);
    BOOST_TEST(bench.runs("k") == 0);
}

BOOST_AUTO_TEST_CASE(that_swallows_the_claim_leaves_the_key_usable_once_it_is_over)
{
    BookingBench bench;
    bool outage = true;
    bool first = true;
    bench.first.table.behavior = [&](bool isWrite) {
        const bool taken = outage && isWrite && std::exchange(first, false);
        const TableFault fault = taken ? TableFault::AnswerLost : outage ? TableFault::Unreachable : TableFault::None;
        return TableBehavior{fault, Duration(0), Duration(0)};
    };
    const ApplicationOutcome refused = bench.book(bench.first, "k");
    BOOST_TEST(refused.notRun);
    BOOST_TEST(bench.first.claims.unsettled() == 1U);
    outage = false;
    bench.bench.run(bench.first.claims.settleAbandoned());
    BOOST_TEST(bench.first.claims.unsettled() == 0U);
    BOOST_TEST(bench.book(bench.second, "k").answered);
    BOOST_TEST(bench.runs("k") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(random_faults_never_double_a_booking_nor_make_a_refusal_untrue)
{
    constexpr unsigned Seeds = 500;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937 random(seed);
            const auto below = [&random](int limit) {
                return static_cast<int>(random() % static_cast<unsigned>(limit));
            };
            BookingBench bench;
            const FakeTable::Behavior course = [&](bool) {
                const TableFault fault = below(5) == 0 ? static_cast<TableFault>(1 + below(4)) : TableFault::None;
                return TableBehavior{fault, Duration(below(400) * 1ms), Duration(below(400) * 1ms)};
            };
            bench.first.table.behavior = course;
            bench.second.table.behavior = course;
            bench.booking.duration = 200ms;
            const auto repeat = [&](BookingNode &node) -> asio::awaitable<void> {
                for (int attempt = 0; attempt < 6; ++attempt) {
                    bench.booking.course = below(4) == 0 ? static_cast<FakeBooking::Course>(below(4)) : FakeBooking::Course::Answer;
                    const ApplicationOutcome outcome = co_await node.calls.run(bench.request("k", "tuesday", below(2) == 0));
                    const bool neverRan = bench.booking.runs.empty() || bench.booking.runs["k"] == 0;
                    BOOST_REQUIRE(!outcome.answered || !neverRan);
                    co_await bench.bench.clock.sleep(below(1000) * 1ms);
                    co_await node.claims.settleAbandoned();
                }
            };
            bench.bench.start(repeat(bench.first));
            bench.bench.start(repeat(bench.second));
            bench.bench.start(repeat(bench.first));
            bench.bench.pass(60s);
            BOOST_REQUIRE_LE(bench.runs("k"), 1);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
