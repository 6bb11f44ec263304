#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <optional>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include "apricotarch/base/clock.h"
#include "apricotarch/transport/http_server.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

using boost::asio::ip::tcp;

constexpr std::size_t LongBodyBytes = 16 * 1024 * 1024;

/// Returns a loopback address with a port that is currently unused.
Endpoint freeEndpoint()
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

/// A caller with one connection that reads and writes when the test says so.
class Caller
{
public:
    explicit Caller(const Endpoint &server)
    {
        m_socket.connect(tcp::endpoint(boost::asio::ip::make_address(server.host), server.port));
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(m_socket, boost::asio::buffer(bytes));
    }

    /// Returns what the server sends until it closes the connection, or nothing if the connection is reset.
    [[nodiscard]] std::string receiveAll()
    {
        boost::system::error_code code;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_received), code);
        return code == boost::asio::error::eof ? m_received : std::string();
    }

    /// Returns the head of the next answer, whose body must be empty.
    [[nodiscard]] std::string receiveHead()
    {
        const std::size_t size = boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(m_received), "\r\n\r\n");
        std::string head = m_received.substr(0, size);
        m_received.erase(0, size);
        return head;
    }

    /// Closes the sending side.
    void endSending()
    {
        m_socket.shutdown(tcp::socket::shutdown_send);
    }

private:
    boost::asio::io_context m_loop;
    tcp::socket m_socket{m_loop};
    std::string m_received;
};

/// A server whose answer to `/long` does not fit into the buffers of the connection, and whose answer to `/held` waits for release().
class StoppingServer
{
public:
    StoppingServer()
    {
        m_eventLoops.emplace(2);
        m_server.emplace(*m_eventLoops, HttpServerLimits(), [this](const HttpRequest &request, HttpResponder &responder) {
            return answer(request, responder);
        });
        BOOST_REQUIRE(m_server->listen(endpoint).has_value());
        m_eventLoops->start();
    }

    void waitForRequest() const
    {
        while (m_handled == 0) {
            std::this_thread::sleep_for(1ms);
        }
    }

    void announceClose()
    {
        m_server->announceClose();
    }

    void release()
    {
        m_released = true;
    }

    /// Finishes and ends all connections, as `serve` and the end of its process do.
    std::size_t finish(Duration limit = 5s)
    {
        auto left = boost::asio::co_spawn(m_eventLoops->coordinationLoop(), m_server->finish(m_clock, limit), boost::asio::use_future);
        const std::size_t count = left.get();
        m_eventLoops->stop();
        m_server.reset();
        m_eventLoops.reset();
        return count;
    }

    const Endpoint endpoint = freeEndpoint();

private:
    asio::awaitable<void> answer(const HttpRequest &request, HttpResponder &responder)
    {
        ++m_handled;
        while (request.path == "/held" && !m_released) {
            co_await m_clock.sleep(1ms);
        }
        HttpResponse response{200, {}, request.path == "/long" ? std::string(LongBodyBytes, 'x') : std::string()};
        (void)co_await responder.respond(std::move(response));
    }

    SystemClock m_clock;
    std::atomic<int> m_handled = 0;
    std::atomic<bool> m_released = false;
    std::optional<EventLoopPool> m_eventLoops;
    std::optional<HttpServer> m_server;
};

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

/// Returns whether an answer promises that the request has not been run, and says when to come back.
bool isRefusalAsNotRun(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 503") && contains(answer, "\"not_run\":true") && contains(answer, "Retry-After: 1")
        && contains(answer, "Connection: close");
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_server_stop)

BOOST_AUTO_TEST_SUITE(a_request_that_is_being_read_at_the_end)

// serve ended beside such requests without a word. Their senders could not know whether they had been run.

BOOST_AUTO_TEST_CASE(is_refused_as_not_run_if_a_part_of_its_body_is_missing)
{
    StoppingServer server;
    Caller caller(server.endpoint);
    caller.send("POST /x HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
    auto answer = std::async(std::launch::async, [&caller] {
        std::string text = caller.receiveAll();
        caller.endSending();
        return text;
    });
    std::this_thread::sleep_for(50ms);
    BOOST_TEST(server.finish() == 0U);
    BOOST_TEST(isRefusalAsNotRun(answer.get()));
}

BOOST_AUTO_TEST_CASE(is_refused_as_not_run_if_a_part_of_its_head_is_missing)
{
    StoppingServer server;
    Caller caller(server.endpoint);
    caller.send("POST /x HTTP/1.1\r\nContent-");
    auto answer = std::async(std::launch::async, [&caller] {
        std::string text = caller.receiveAll();
        caller.endSending();
        return text;
    });
    std::this_thread::sleep_for(50ms);
    BOOST_TEST(server.finish() == 0U);
    BOOST_TEST(isRefusalAsNotRun(answer.get()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_at_the_end)

BOOST_AUTO_TEST_CASE(is_sent_whole_to_a_caller_who_reads_late)
{
    StoppingServer server;
    Caller caller(server.endpoint);
    caller.send("GET /long HTTP/1.1\r\n\r\n");
    server.waitForRequest();
    server.announceClose();
    auto answer = std::async(std::launch::async, [&caller] {
        std::this_thread::sleep_for(200ms);
        std::string text = caller.receiveAll();
        caller.endSending();
        return text;
    });
    BOOST_TEST(server.finish() == 0U);
    BOOST_TEST(answer.get().size() > LongBodyBytes);
}

BOOST_AUTO_TEST_CASE(is_waited_for)
{
    StoppingServer server;
    Caller caller(server.endpoint);
    caller.send("GET /held HTTP/1.1\r\n\r\n");
    server.waitForRequest();
    auto answer = std::async(std::launch::async, [&caller, &server] {
        std::this_thread::sleep_for(100ms);
        server.release();
        std::string text = caller.receiveAll();
        caller.endSending();
        return text;
    });
    BOOST_TEST(server.finish() == 0U);
    BOOST_TEST(answer.get().starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(that_does_not_come_is_counted_as_cut)
{
    StoppingServer server;
    Caller caller(server.endpoint);
    caller.send("GET /held HTTP/1.1\r\n\r\n");
    server.waitForRequest();
    BOOST_TEST(server.finish(50ms) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(connections)

BOOST_AUTO_TEST_CASE(are_announced_to_be_closed_in_each_answer_during_a_shutdown)
{
    // Callers on kept connections sent further requests until the process ended and cut one of them.
    StoppingServer server;
    Caller before(server.endpoint);
    before.send("GET /x HTTP/1.1\r\n\r\n");
    BOOST_TEST(!contains(before.receiveHead(), "Connection: close"));
    server.announceClose();
    before.send("GET /x HTTP/1.1\r\n\r\n");
    BOOST_TEST(contains(before.receiveHead(), "Connection: close"));
}

BOOST_AUTO_TEST_CASE(are_closed_if_the_caller_asks_for_it)
{
    StoppingServer server;
    Caller caller(server.endpoint);
    caller.send("GET /x HTTP/1.1\r\nConnection: close\r\n\r\n");
    BOOST_TEST(contains(caller.receiveAll(), "Connection: close"));
}

BOOST_AUTO_TEST_CASE(without_a_request_do_not_delay_the_end)
{
    StoppingServer server;
    const Caller idle(server.endpoint);
    std::this_thread::sleep_for(20ms);
    const auto startedAt = std::chrono::steady_clock::now();
    BOOST_TEST(server.finish() == 0U);
    BOOST_TEST((std::chrono::steady_clock::now() - startedAt < 2s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
