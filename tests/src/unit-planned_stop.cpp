#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include "apricotarch/app/caller_drain.h"
#include "fakes/test_node.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

constexpr Duration GracePeriod = 8s;

/// Lets a node act as if its shutdown had begun some time ago.
void beginShutdown(TestNode &node, Duration ago)
{
    node.state.shutdown.emplace(node.state.clock.now() - ago, GracePeriod);
}

std::string request(const std::string &line, std::chrono::milliseconds timeLimit, const std::string &headers = "Content-Length: 0\r\n")
{
    return line + " HTTP/1.1\r\nHost: desk\r\nX-Request-Id: r1\r\nX-Deadline-Ms: " + std::to_string(timeLimit.count()) + "\r\n" + headers
        + "\r\n";
}

/// Ends the connections of a node's callers, as a planned stop does.
class Drain
{
public:
    explicit Drain(TestNode &node)
    {
        const auto drain = [](TestNode &drained, bool &stopsAccepting, bool &ended) -> boost::asio::awaitable<void> {
            std::function<void()> stopAccepting = [&stopsAccepting] {
                stopsAccepting = true;
            };
            co_await drainCallers(drained.state, std::move(stopAccepting));
            ended = true;
        };
        boost::asio::co_spawn(node.loop, drain(node, m_stopsAccepting, m_ended), boost::asio::detached);
    }

    [[nodiscard]] bool stopsAccepting() const
    {
        return m_stopsAccepting;
    }

    [[nodiscard]] bool hasEnded() const
    {
        return m_ended;
    }

private:
    bool m_stopsAccepting = false;
    bool m_ended = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(planned_stop)

BOOST_AUTO_TEST_SUITE(a_request_that_may_not_end_before_the_process)

BOOST_AUTO_TEST_CASE(was_forwarded_and_cut_at_the_end_of_the_grace_period)
{
    TestNode node;
    ScriptedServer &server = node.addServer("a", [](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{streamHead(head) + chunk(event(1)) + "0\r\n\r\n"};
    });
    beginShutdown(node, 5s);
    for (const char *line : {"POST /check/1", "POST /plan/1", "POST /book/1"}) {
        const std::string answer = node.sendRequest(request(line, 5000ms), "node_stopping");
        BOOST_TEST(answer.find("node_stopping") != std::string::npos);
        BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
        BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
        BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    }
    BOOST_TEST(server.targets.empty());
}

BOOST_AUTO_TEST_CASE(is_served_if_its_time_limit_ends_before)
{
    TestNode node;
    node.addServer("a", [](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{fullResponse(head, "booked")};
    });
    beginShutdown(node, 5s);
    const std::string answer = node.sendRequest(request("POST /book/1", 1500ms), "booked");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(is_served_just_after_the_signal_unless_its_route_takes_too_long)
{
    TestNode node;
    node.addServer("a", [](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{fullResponse(head, "booked")};
    });
    beginShutdown(node, 1s);
    BOOST_TEST(node.sendRequest(request("POST /book/1", 15'000ms), "booked").starts_with("HTTP/1.1 200"));
    for (int answered = 0; answered < 64; ++answered) {
        node.state.routeDurations.record("/book/", 7s);
    }
    BOOST_TEST(node.sendRequest(request("POST /book/1", 15'000ms), "node_stopping").starts_with("HTTP/1.1 503"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_refusal)

BOOST_AUTO_TEST_CASE(came_after_the_whole_body_had_arrived)
{
    TestNode node;
    beginShutdown(node, 5s);
    const std::string answer =
        node.sendRequest(request("POST /book/1", 5000ms, "Content-Length: 100\r\nExpect: 100-continue\r\n"), "node_stopping");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(asks_callers_to_come_back_after_the_restart_if_there_is_no_other_node)
{
    TestNode node;
    beginShutdown(node, 5s);
    const std::string answer = node.sendRequest(request("POST /book/1", 5000ms), "node_stopping");
    BOOST_TEST(answer.find("Retry-After: 1.") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(at_the_end_of_the_grace_period_named_the_time_limit_of_the_caller)
{
    TestNode node;
    // Nothing accepts connections at this address.
    node.addServer("a", answerView);
    BackendRecord record = node.state.backends.find(ReplicaId("a"))->record;
    record.address = {"192.0.2.1", 9};
    node.state.backends.update(record, node.state.clock.now());
    const ShutdownSchedule example(TimePoint(), GracePeriod);
    CallerProbe caller(node, request("POST /book/1", 5000ms));
    node.runFor(20ms);
    beginShutdown(node, example.answersDueBy() - TimePoint() - 50ms);
    node.runFor(600ms);
    BOOST_TEST(caller.answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(caller.answer.find("too_late") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_durations_of_requests)

BOOST_AUTO_TEST_CASE(are_recorded_for_successes_only)
{
    TestNode node;
    bool succeeds = false;
    node.addServer("a", [&succeeds](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{succeeds ? fullResponse(head, "booked") : "HTTP/1.1 404 No\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"};
    });
    for (int sent = 0; sent < 10; ++sent) {
        (void)node.sendRequest(request("POST /book/1", 1500ms));
    }
    BOOST_TEST(!node.state.routeDurations.longDuration("/book/").has_value());
    succeeds = true;
    for (int sent = 0; sent < 10; ++sent) {
        (void)node.sendRequest(request("POST /book/1", 1500ms), "booked");
    }
    BOOST_TEST(node.state.routeDurations.longDuration("/book/").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_end_of_the_process)

BOOST_AUTO_TEST_CASE(dropped_a_request_that_had_been_read_but_not_handled)
{
    // The node accepts the connection and reads the request in the moment in which it closes idle connections.
    TestNode node;
    node.addServer("a", [](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{fullResponse(head, "booked")};
    });
    beginShutdown(node, 4s);
    node.state.closesIdleCallers = true;
    CallerProbe caller(node, request("POST /book/1", 1500ms));
    node.runFor(200ms);
    BOOST_TEST(caller.answer.ends_with("booked"));
}

BOOST_AUTO_TEST_CASE(waits_for_a_caller_that_reads_slowly)
{
    TestNode node;
    const std::string week(3'500'000, 'w');
    node.addServer("a", [&week](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{fullResponse(head, week)};
    });
    tcp::socket caller(node.loop, tcp::v4());
    caller.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    node.connectCaller(caller);
    boost::asio::write(caller, boost::asio::buffer(request("GET /view/1", 5000ms)));
    node.runFor(300ms);
    BOOST_REQUIRE(node.state.callers.front().pending() > 0);
    beginShutdown(node, 4s);
    const Drain drain(node);
    node.runFor(300ms);
    BOOST_TEST(!drain.hasEnded());
    std::string answer;
    bool isRead = false;
    boost::asio::async_read(caller, boost::asio::dynamic_buffer(answer), [&isRead](const boost::system::error_code &code, std::size_t) {
        isRead = code == boost::asio::error::eof;
    });
    for (int waits = 0; waits < 10 && !drain.hasEnded(); ++waits) {
        node.runFor(300ms);
    }
    BOOST_TEST(isRead);
    BOOST_TEST(answer.ends_with(week));
    BOOST_TEST(drain.hasEnded());
}

BOOST_AUTO_TEST_CASE(made_a_cut_stream_look_complete_to_a_caller_whose_answer_ends_with_its_connection)
{
    TestNode node;
    node.addServer("a", [](const RequestHead &head, const std::string &) {
        const std::string largeEvent = "data: " + std::string(8000, 'x') + "\n\n";
        return ScriptedAnswer{streamHead(head) + chunk(event(1)), false, chunk(largeEvent), 1ms};
    });
    tcp::socket caller(node.loop, tcp::v4());
    caller.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    node.connectCaller(caller);
    boost::asio::write(caller,
        boost::asio::buffer(
            std::string("POST /check/1 HTTP/1.0\r\nHost: desk\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n")));
    node.runFor(20ms);
    for (int waits = 0; waits < 200 && node.state.callers.front().pending() < 100'000; ++waits) {
        node.runFor(20ms);
    }
    BOOST_REQUIRE(node.state.callers.front().pending() > 0);
    beginShutdown(node, GracePeriod);
    const Drain drain(node);
    node.runFor(100ms);
    BOOST_REQUIRE(drain.hasEnded());
    std::string answer;
    boost::system::error_code end;
    boost::asio::read(caller, boost::asio::dynamic_buffer(answer), end);
    BOOST_TEST(end == boost::asio::error::connection_reset);
}

BOOST_AUTO_TEST_CASE(left_a_request_that_was_still_arriving_without_an_answer)
{
    TestNode node;
    CallerProbe caller(node, request("POST /book/1", 5000ms, "Content-Length: 100\r\n") + "visit");
    node.runFor(100ms);
    const ShutdownSchedule example(TimePoint(), GracePeriod);
    beginShutdown(node, example.answersDueBy() - TimePoint() - 300ms);
    const Drain drain(node);
    node.runFor(200ms);
    BOOST_TEST(!drain.hasEnded());
    node.runFor(300ms);
    BOOST_TEST(caller.answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(caller.answer.find("Retry-After") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(comes_when_idle_connections_are_closed_and_requests_in_progress_answered)
{
    TestNode node;
    node.addServer("a", [](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{"", false, fullResponse(head, "booked"), 400ms};
    });
    CallerProbe idle(node, "GET /none/1 HTTP/1.1\r\nHost: desk\r\n\r\n");
    CallerProbe unused(node, "");
    CallerProbe booking(node, request("POST /book/1", 1500ms));
    node.runFor(100ms);
    beginShutdown(node, 4s);
    const Drain drain(node);
    node.runFor(100ms);
    BOOST_TEST(drain.stopsAccepting());
    BOOST_TEST(idle.isClosed());
    BOOST_TEST(unused.isClosed());
    BOOST_TEST(!booking.isClosed());
    BOOST_TEST(!drain.hasEnded());
    node.runFor(1700ms);
    BOOST_TEST(booking.answer.ends_with("booked"));
    BOOST_TEST(drain.hasEnded());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
