#include <boost/test/unit_test.hpp>

#include "fakes/test_node.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(request_deadline)

BOOST_AUTO_TEST_SUITE(a_stream_that_goes_on_at_its_time_limit)

BOOST_AUTO_TEST_CASE(was_cut_shortly_before)
{
    TestNode node;
    node.addServer("a", [](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{streamHead(head) + chunk(event(1)), false, chunk("data: x\n\n"), 20ms};
    });
    const auto sentAt = std::chrono::steady_clock::now();
    const std::string answer = node.sendRequest(
        "POST /check/1 HTTP/1.1\r\nHost: desk\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 400\r\nContent-Length: 0\r\n\r\n", "0\r\n\r\n");
    BOOST_TEST((std::chrono::steady_clock::now() - sentAt >= 400ms));
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_request_without_an_answer_gets_one_within_its_time_limit)
{
    TestNode node;
    node.addServer("a", [](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{"", false, fullResponse(head, "late"), 2s};
    });
    const std::string answer = node.sendRequest(
        "POST /check/1 HTTP/1.1\r\nHost: desk\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 400\r\nContent-Length: 0\r\n\r\n", "out_of_time");
    BOOST_TEST(answer.starts_with("HTTP/1.1 504"));
}

BOOST_AUTO_TEST_SUITE_END()
