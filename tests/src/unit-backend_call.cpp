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

BOOST_AUTO_TEST_SUITE_END()
