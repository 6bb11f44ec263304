#include <boost/test/unit_test.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "apricotarch/transport/backend_call.h"
#include "fakes/scripted_server.h"

using namespace apricotarch;
using namespace std::chrono_literals;
using fakes::ScriptedAnswer;
using fakes::ScriptedServer;

namespace
{

/// Calls a scripted server once, on a separate event loop.
BackendCallAnswer call(ScriptedServer::Script script, Duration timeout)
{
    boost::asio::io_context loop;
    SystemClock clock;
    BackendConnectionPool pool{ConnectionPoolLimits()};
    ScriptedServer server(loop, std::move(script));
    BackendCallAnswer answer;
    bool answered = false;
    const auto runCall = [&]() -> asio::awaitable<void> {
        BackendCall request{ReplicaId("e"), server.endpoint(), "GET /v1/report HTTP/1.1\r\nHost: e\r\n\r\n", true, timeout};
        answer = co_await callBackend(pool, clock, std::move(request));
        answered = true;
    };
    boost::asio::co_spawn(loop, runCall(), boost::asio::detached);
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (!answered && std::chrono::steady_clock::now() < deadline) {
        loop.run_one_for(50ms);
    }
    BOOST_TEST(answered);
    return answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(backend_call)

BOOST_AUTO_TEST_CASE(returns_status_and_body)
{
    const BackendCallAnswer answer = call(
        [](const RequestHead &, const std::string &) {
            return ScriptedAnswer{"HTTP/1.1 409 Busy\r\nContent-Length: 4\r\n\r\nbusy"};
        },
        2s);
    BOOST_TEST(answer.status == 409);
    BOOST_TEST(answer.body == "busy");
}

BOOST_AUTO_TEST_SUITE(returns_status_0_and_no_body)

BOOST_AUTO_TEST_CASE(if_the_server_does_not_answer)
{
    const BackendCallAnswer answer = call(
        [](const RequestHead &, const std::string &) {
            return ScriptedAnswer{""};
        },
        100ms);
    BOOST_TEST(answer.status == 0);
    BOOST_TEST(answer.body.empty());
}

BOOST_AUTO_TEST_CASE(if_the_connection_fails_during_the_answer)
{
    const BackendCallAnswer answer = call(
        [](const RequestHead &, const std::string &) {
            return ScriptedAnswer{"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf", true};
        },
        2s);
    BOOST_TEST(answer.status == 0);
    BOOST_TEST(answer.body.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_not_answered_by_a_late_answer_to_an_earlier_call)
{
    // Answers to calls have no id: that the order before had been accepted was taken for the answer to the order after it.
    boost::asio::io_context loop;
    SystemClock clock;
    BackendConnectionPool pool{ConnectionPoolLimits()};
    std::vector<int> statuses;
    std::unique_ptr<ScriptedServer> server;
    server = std::make_unique<ScriptedServer>(loop, [&server](const RequestHead &head, const std::string &) {
        const std::string accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
        const std::string busy = "HTTP/1.1 409 Busy\r\nContent-Length: 0\r\n\r\n";
        const bool kept = server->requestsOnConnection > 1;
        return ScriptedAnswer{head.target == "/1" ? accepted : (kept ? accepted : "") + busy};
    });
    const auto runCalls = [&]() -> asio::awaitable<void> {
        for (const char *target : {"/1", "/2"}) {
            BackendCall request{
                ReplicaId("e"), server->endpoint(), "POST " + std::string(target) + " HTTP/1.1\r\nHost: e\r\n\r\n", true, 2s};
            statuses.push_back((co_await callBackend(pool, clock, std::move(request))).status);
        }
    };
    boost::asio::co_spawn(loop, runCalls(), boost::asio::detached);
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (statuses.size() < 2 && std::chrono::steady_clock::now() < deadline) {
        loop.run_one_for(50ms);
    }
    BOOST_REQUIRE(statuses.size() == 2U);
    BOOST_TEST(statuses[0] == 202);
    BOOST_TEST(statuses[1] == 409);
}

BOOST_AUTO_TEST_SUITE_END()
