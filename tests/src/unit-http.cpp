#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include "apricotarch/transport/engine_client.h"
#include "apricotarch/transport/http_client.h"
#include "apricotarch/transport/http_server.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

using boost::asio::ip::tcp;

/// A port of loopback that nobody uses at the moment.
Endpoint freeEndpoint()
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

/// A server with small limits that answers by path.
class ServerBench
{
public:
    explicit ServerBench(std::chrono::milliseconds requestTimeout = 60s)
        : m_server(m_workers,
            limits(requestTimeout),
            [](const HttpRequest &request, HttpResponder &responder) {
                return answer(request, responder);
            })
        , endpoint(freeEndpoint())
    {
        BOOST_REQUIRE(m_server.listen(endpoint).has_value());
        m_workers.start();
    }

    /// Sends bytes as they are and reads until the server closes.
    [[nodiscard]] std::string raw(const std::string &bytes) const
    {
        boost::asio::io_context loop;
        tcp::socket socket(loop);
        socket.connect(tcp::endpoint(boost::asio::ip::make_address(endpoint.host), endpoint.port));
        boost::system::error_code code;
        boost::asio::write(socket, boost::asio::buffer(bytes), code);
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), code);
        return answer;
    }

    [[nodiscard]] std::size_t active() const noexcept
    {
        return m_server.activeRequests();
    }

    /// Runs a coroutine on a loop of its own.
    template<typename T>
    static T run(asio::awaitable<T> work)
    {
        boost::asio::io_context loop;
        auto future = boost::asio::co_spawn(loop, std::move(work), boost::asio::use_future);
        loop.run();
        return future.get();
    }

private:
    static HttpServerLimits limits(std::chrono::milliseconds requestTimeout)
    {
        HttpServerLimits limits;
        limits.headerBytes = 1024;
        limits.bodyBytes = 64;
        limits.requestTimeout = requestTimeout;
        return limits;
    }

    static asio::awaitable<void> answer(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.path == "/stream" || request.path == "/cut") {
            (void)co_await responder.beginStream(200, HttpHeaders());
            (void)co_await responder.write("one");
            (void)co_await responder.write("two");
            if (request.path == "/cut") {
                responder.abort();
                co_return;
            }
            (void)co_await responder.endStream();
            co_return;
        }
        if (request.path == "/throw") {
            throw std::runtime_error("a fault in a handler");
        }
        if (request.path == "/abort") {
            responder.abort();
            co_return;
        }
        HttpResponse response{200, {}, request.method + ' ' + request.path + ' ' + std::string(request.parameter("a")) + request.body};
        (void)co_await responder.respond(std::move(response));
    }

    Workers m_workers{2};
    HttpServer m_server;

public:
    Endpoint endpoint;
};

asio::awaitable<Result<std::string>> readStream(Endpoint endpoint, std::string path)
{
    auto connection = co_await HttpConnection::connect(endpoint, 1s);
    HttpRequest request;
    request.path = std::move(path);
    (void)co_await (*connection)->open(request, 1s);
    std::string text;
    while (true) {
        Result<std::string> bytes = co_await (*connection)->readSome(1s);
        if (!bytes || bytes->empty()) {
            co_return bytes ? Result<std::string>(text) : bytes;
        }
        text += *bytes;
    }
}

asio::awaitable<Result<HttpResponse>> exchange(Endpoint endpoint, std::string path)
{
    HttpClient client;
    HttpRequest request;
    request.path = std::move(path);
    request.query = "a=b";
    co_return co_await client.exchange(endpoint, request, 2s);
}

asio::awaitable<Result<CallResult>> callOnce(Endpoint endpoint, std::string path)
{
    HttpReplicaCaller caller{BackendTimes()};
    const ReplicaSpec replica{ReplicaId("r"), endpoint, ZoneId("a"), false};
    const ReplicaCall call{"POST", path, "", "", "", "key"};
    co_return co_await caller.call(replica, call, 2s);
}

} // namespace

BOOST_AUTO_TEST_SUITE(http)

BOOST_AUTO_TEST_SUITE(a_request)

BOOST_AUTO_TEST_CASE(is_answered_and_its_query_read)
{
    ServerBench server;
    const auto response = ServerBench::run(exchange(server.endpoint, "/x"));
    BOOST_TEST(response->body == "GET /x b");
}

BOOST_AUTO_TEST_CASE(gets_a_stream_to_its_end)
{
    ServerBench server;
    BOOST_TEST(ServerBench::run(readStream(server.endpoint, "/stream")).value() == "onetwo");
}

BOOST_AUTO_TEST_CASE(sees_a_stream_that_is_cut_as_lost)
{
    ServerBench server;
    const auto text = ServerBench::run(readStream(server.endpoint, "/cut"));
    BOOST_TEST((text.error().id == ErrorId::ConnectionLost));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(what_may_have_been_sent)

BOOST_AUTO_TEST_CASE(is_nothing_where_no_connection_was_made)
{
    const auto result = ServerBench::run(callOnce(freeEndpoint(), "/x"));
    BOOST_TEST((result.error().delivery == Delivery::NotSent));
}

BOOST_AUTO_TEST_CASE(is_something_where_the_answer_was_lost)
{
    ServerBench server;
    const auto result = ServerBench::run(callOnce(server.endpoint, "/abort"));
    BOOST_TEST((result.error().delivery == Delivery::MaybeSent));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(bad_input)

BOOST_AUTO_TEST_CASE(gets_a_clear_error)
{
    ServerBench server;
    const auto status = [&server](const std::string &bytes) {
        return server.raw(bytes).substr(0, 12);
    };
    BOOST_TEST(status("nonsense\r\n\r\n") == "HTTP/1.1 400");
    BOOST_TEST(status("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n") == "HTTP/1.1 431");
    BOOST_TEST(status("POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x')) == "HTTP/1.1 413");
}

BOOST_AUTO_TEST_CASE(that_never_ends_gets_a_clear_error_too)
{
    ServerBench server(100ms);
    BOOST_TEST(server.raw("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nslow").substr(0, 12) == "HTTP/1.1 408");
}

BOOST_AUTO_TEST_CASE(that_makes_a_handler_throw_ends_one_connection_and_no_more)
{
    ServerBench server;
    BOOST_TEST(!ServerBench::run(exchange(server.endpoint, "/throw")).has_value());
    BOOST_TEST(ServerBench::run(exchange(server.endpoint, "/x")).has_value());
    // The caller has its answer before the handler has returned on the server's thread.
    const auto until = std::chrono::steady_clock::now() + 5s;
    while (server.active() != 0U && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(1ms);
    }
    BOOST_TEST(server.active() == 0U);
}

BOOST_AUTO_TEST_CASE(says_that_nothing_was_run)
{
    ServerBench server;
    BOOST_TEST(server.raw("nonsense\r\n\r\n").find("\"not_run\":true") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(addresses_are_ip_numbers_with_ports)
{
    BOOST_TEST(parseEndpoint("127.0.0.1:80")->port == 80);
    BOOST_TEST(parseEndpoint("[::1]:80")->text() == "[::1]:80");
    for (const char *text : {"", "127.0.0.1", "host:80", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:80x"}) {
        BOOST_TEST(!parseEndpoint(text).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
