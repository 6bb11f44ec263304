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
#include "fakes/free_port.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

using boost::asio::ip::tcp;

/// Returns a loopback address with a port that is currently unused.
Endpoint freeEndpoint()
{
    return {"127.0.0.1", fakes::findFreePort()};
}

/// A server with small size limits whose answer depends on the path of the request.
class TestServer
{
public:
    explicit TestServer(std::chrono::milliseconds requestTimeout = 60s)
        : m_server(m_eventLoops,
            limits(requestTimeout),
            [](const HttpRequest &request, HttpResponder &responder) {
                return answer(request, responder);
            })
        , endpoint(freeEndpoint())
    {
        BOOST_REQUIRE(m_server.listen(endpoint).has_value());
        m_eventLoops.start();
    }

    /// Sends bytes unchanged and reads until the server closes the connection.
    [[nodiscard]] std::string exchangeRaw(const std::string &bytes) const
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

    [[nodiscard]] std::size_t activeRequests() const noexcept
    {
        return m_server.activeRequests();
    }

    /// Runs a coroutine on a separate event loop and returns its result.
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
            throw std::runtime_error("an error in a handler");
        }
        if (request.path == "/abort") {
            responder.abort();
            co_return;
        }
        HttpResponse response{200, {}, request.method + ' ' + request.path + ' ' + std::string(request.parameter("a")) + request.body};
        (void)co_await responder.respond(std::move(response));
    }

    EventLoopPool m_eventLoops{2};
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

/// A server that answers one request with a body of a given length, in pieces with pauses between them.
class SlowServer
{
public:
    SlowServer(std::size_t bodyBytes, std::size_t pieceBytes, std::chrono::milliseconds pause)
        : m_acceptor(m_loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , endpoint{"127.0.0.1", m_acceptor.local_endpoint().port()}
        , m_thread([this, bodyBytes, pieceBytes, pause] {
            tcp::socket connection = m_acceptor.accept();
            std::string request(4096, ' ');
            (void)connection.read_some(boost::asio::buffer(request));
            boost::system::error_code code;
            const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
            boost::asio::write(connection, boost::asio::buffer(head), code);
            for (std::size_t sent = 0; sent < bodyBytes && !code; sent += pieceBytes) {
                std::this_thread::sleep_for(pause);
                boost::asio::write(connection, boost::asio::buffer(std::string(pieceBytes, 'x')), code);
            }
        })
    {
    }
    SlowServer(const SlowServer &) = delete;
    SlowServer &operator=(const SlowServer &) = delete;
    ~SlowServer()
    {
        m_thread.join();
    }

private:
    boost::asio::io_context m_loop;
    tcp::acceptor m_acceptor;

public:
    const Endpoint endpoint;

private:
    std::thread m_thread;
};

asio::awaitable<Result<HttpResponse>> exchangeWithin(Endpoint endpoint, Duration timeout)
{
    HttpClient client;
    HttpRequest request;
    request.path = "/";
    co_return co_await client.exchange(endpoint, request, timeout);
}

asio::awaitable<Result<CallResult>> callOnce(Endpoint endpoint, std::string path)
{
    HttpApplicationClient caller{BackendTimeouts()};
    const ReplicaSpec replica{ReplicaId("r"), endpoint, ZoneId("a"), false};
    const ReplicaCall call{"POST", path, "", "", "", "key"};
    co_return co_await caller.call(replica, call, 2s);
}

} // namespace

BOOST_AUTO_TEST_SUITE(http)

BOOST_AUTO_TEST_SUITE(a_request)

BOOST_AUTO_TEST_CASE(is_answered_and_its_query_is_parsed)
{
    TestServer server;
    const auto response = TestServer::run(exchange(server.endpoint, "/x"));
    BOOST_TEST(response->body == "GET /x b");
}

BOOST_AUTO_TEST_CASE(receives_a_complete_stream)
{
    TestServer server;
    BOOST_TEST(TestServer::run(readStream(server.endpoint, "/stream")).value() == "onetwo");
}

BOOST_AUTO_TEST_CASE(fails_with_connection_lost_if_its_stream_is_aborted)
{
    TestServer server;
    const auto text = TestServer::run(readStream(server.endpoint, "/cut"));
    BOOST_TEST((text.error().id == ErrorId::ConnectionLost));
}

BOOST_AUTO_TEST_CASE(may_take_longer_for_a_large_body_that_keeps_arriving)
{
    // A node with a link of 10 Mbit/s could not read a configuration of 1 MB from the store: each read was given up while it arrived.
    const SlowServer server(512 * 1024, 64 * 1024, 60ms);
    const auto response = TestServer::run(exchangeWithin(server.endpoint, 200ms));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->body.size() == 512U * 1024);
}

BOOST_AUTO_TEST_CASE(fails_if_its_small_body_arrives_byte_by_byte)
{
    const SlowServer server(100, 1, 100ms);
    const auto response = TestServer::run(exchangeWithin(server.endpoint, 200ms));
    BOOST_TEST((response.error().id == ErrorId::TimedOut));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(delivery_of_a_failed_request)

BOOST_AUTO_TEST_CASE(is_not_sent_if_the_connection_was_refused)
{
    const auto result = TestServer::run(callOnce(freeEndpoint(), "/x"));
    BOOST_TEST((result.error().delivery == Delivery::NotSent));
}

BOOST_AUTO_TEST_CASE(is_maybe_sent_if_the_answer_was_lost)
{
    TestServer server;
    const auto result = TestServer::run(callOnce(server.endpoint, "/abort"));
    BOOST_TEST((result.error().delivery == Delivery::MaybeSent));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_invalid_request)

BOOST_AUTO_TEST_CASE(is_answered_with_a_specific_status)
{
    TestServer server;
    const auto statusLine = [&server](const std::string &bytes) {
        return server.exchangeRaw(bytes).substr(0, 12);
    };
    BOOST_TEST(statusLine("nonsense\r\n\r\n") == "HTTP/1.1 400");
    BOOST_TEST(statusLine("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n") == "HTTP/1.1 431");
    BOOST_TEST(statusLine("POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x')) == "HTTP/1.1 413");
}

BOOST_AUTO_TEST_CASE(that_is_never_completed_is_answered_with_status_408)
{
    TestServer server(100ms);
    BOOST_TEST(server.exchangeRaw("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nslow").substr(0, 12) == "HTTP/1.1 408");
}

BOOST_AUTO_TEST_CASE(whose_handler_throws_closes_only_its_connection)
{
    TestServer server;
    BOOST_TEST(!TestServer::run(exchange(server.endpoint, "/throw")).has_value());
    BOOST_TEST(TestServer::run(exchange(server.endpoint, "/x")).has_value());
    // The caller can receive its answer before the handler returns on the server's thread.
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (server.activeRequests() != 0U && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(1ms);
    }
    BOOST_TEST(server.activeRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(with_more_than_one_reading_is_refused_and_its_body_is_not_run)
{
    TestServer server;
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    for (const char *framing : {"Transfer-Encoding: identity\r\n",
             "Transfer-Encoding: chunked, identity\r\n",
             "Transfer-Encoding: gzip, chunked\r\n",
             "Content-Length: 5, 5\r\n",
             "Content-Length: 5\r\nTransfer-Encoding: identity\r\n"}) {
        const std::string answer = server.exchangeRaw("POST /x HTTP/1.1\r\nHost: a\r\n" + std::string(framing) + "\r\n" + hidden);
        BOOST_TEST(answer.starts_with("HTTP/1.1 400"), framing << answer);
        BOOST_TEST(answer.find("/hidden") == std::string::npos, framing << answer);
    }
}

BOOST_AUTO_TEST_CASE(is_answered_as_not_run)
{
    TestServer server;
    BOOST_TEST(server.exchangeRaw("nonsense\r\n\r\n").find("\"not_run\":true") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(endpoints_consist_of_an_ip_address_and_a_port)
{
    BOOST_TEST(parseEndpoint("127.0.0.1:80")->port == 80);
    BOOST_TEST(parseEndpoint("[::1]:80")->text() == "[::1]:80");
    for (const char *text : {"", "127.0.0.1", "host:80", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:80x"}) {
        BOOST_TEST(!parseEndpoint(text).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
