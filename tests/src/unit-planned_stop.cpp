#include <boost/test/unit_test.hpp>

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
        BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
        BOOST_TEST(answer.find("Retry-After: 0.") != std::string::npos);
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

BOOST_AUTO_TEST_SUITE_END()
