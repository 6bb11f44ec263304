#include <boost/test/unit_test.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>

#include "apricotarch/transport/backend_call.h"
#include "apricotarch/transport/http_client.h"
#include "apricotarch/transport/http_server.h"
#include "fakes/cut_answers.h"

using namespace apricotarch;
using namespace apricotarch::fakes;

// The other half of unit-answer_cut_short.cpp: answers of the store, the platform and engines to calls of the node itself, and requests.

namespace
{

/// Runs a coroutine on an event loop and returns its result.
template<typename T>
T run(boost::asio::io_context &loop, asio::awaitable<T> work)
{
    std::optional<T> result;
    const auto store = [&](asio::awaitable<T> awaited) -> asio::awaitable<void> {
        result = co_await std::move(awaited);
    };
    boost::asio::co_spawn(loop, store(std::move(work)), boost::asio::detached);
    for (int turn = 0; turn < 1000 && !result; ++turn) {
        loop.run_one_for(10ms);
    }
    BOOST_REQUIRE(result.has_value());
    return std::move(*result);
}

asio::awaitable<Result<HttpResponse>> exchange(HttpClient &client, Endpoint endpoint, std::string path)
{
    HttpRequest request;
    request.path = std::move(path);
    co_return co_await client.exchange(std::move(endpoint), std::move(request), 1s);
}

/// Reads an answer piece by piece.
asio::awaitable<Result<std::string>> readStream(Endpoint endpoint)
{
    const auto connection = co_await HttpConnection::connect(std::move(endpoint), 1s);
    HttpRequest request;
    request.path = "/stream";
    const Result<HttpResponse> head = co_await (*connection)->open(std::move(request), 1s);
    if (!head) {
        co_return Failure(head.error());
    }
    std::string text;
    while (true) {
        const Result<std::string> bytes = co_await (*connection)->readSome(1s);
        if (!bytes || bytes->empty()) {
            co_return bytes ? Result<std::string>(text) : bytes;
        }
        text += *bytes;
    }
}

/// Requests with a length and in chunks.
std::vector<std::string> requests(const std::string &target)
{
    const std::string head = "POST " + target + " HTTP/1.1\r\nHost: desk\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 5000\r\n";
    return {head + "Content-Length: 12\r\n\r\ntwelve bytes",
        head + "Transfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n6\r\n bytes\r\n0\r\nX-Sum: 1\r\n\r\n"};
}

} // namespace

BOOST_AUTO_TEST_SUITE(answer_cut_short_calls)

BOOST_AUTO_TEST_CASE(of_a_call_to_an_engine_has_no_status)
{
    const std::string bytes = InformationalHeads + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nload";
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        boost::asio::io_context loop;
        ScriptedServer server(loop, [&](const RequestHead &, const std::string &) {
            return cutAnswer(bytes, cut, Ending::Normal);
        });
        SystemClock clock;
        BackendConnectionPool pool(ConnectionPoolLimits{});
        std::optional<BackendCallAnswer> answer;
        const auto call = [&]() -> asio::awaitable<void> {
            BackendCall request{ReplicaId("a"), server.endpoint(), "GET /report HTTP/1.1\r\nHost: a\r\n\r\n", true, 1s};
            answer = co_await callBackend(pool, clock, std::move(request));
        };
        boost::asio::co_spawn(loop, call(), boost::asio::detached);
        for (int turn = 0; turn < 1000 && !answer; ++turn) {
            loop.run_one_for(10ms);
        }
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->status == (cut == bytes.size() ? 200 : 0), "cut after " << cut << " bytes");
        loop.stop();
    }
}

BOOST_AUTO_TEST_SUITE(of_the_store_or_the_platform)

BOOST_AUTO_TEST_CASE(is_an_error_at_every_byte)
{
    for (const Shape &shape : fullAnswers()) {
        if (shape.isHeadRequest) {
            continue;
        }
        const std::string bytes = InformationalHeads + shape.bytes;
        const std::size_t step = shape.bytes.size() > 1000 ? 97 : 1;
        for (std::size_t cut = 0; cut <= bytes.size(); cut += cut < bytes.size() - shape.bytes.size() + headSize(shape.bytes) ? 1 : step) {
            for (const Ending ending : {Ending::Normal, Ending::Reset}) {
                boost::asio::io_context loop;
                HttpClient client;
                ScriptedServer server(loop, [&](const RequestHead &, const std::string &) {
                    return cutAnswer(bytes, cut, ending);
                });
                const Result<HttpResponse> response = run(loop, exchange(client, server.endpoint(), "/"));
                const bool whole = cut >= InformationalHeads.size() + shape.wholeFrom;
                BOOST_TEST((response.has_value() == whole || (!response && ending == Ending::Reset)),
                    shape.name << " cut after " << cut << " bytes, ending " << int(ending));
                BOOST_TEST((response || response.error().delivery == Delivery::MaybeSent));
                loop.stop();
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(is_an_error_at_every_byte_of_a_stream)
{
    for (const StreamShape &shape : streams(1)) {
        const std::string bytes = InformationalHeads + shape.head + shape.body;
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
            boost::asio::io_context loop;
            ScriptedServer server(loop, [&](const RequestHead &, const std::string &) {
                return cutAnswer(bytes, cut, Ending::Normal);
            });
            const Result<std::string> text = run(loop, readStream(server.endpoint()));
            const bool whole = cut >= (shape.endsWithConnection ? InformationalHeads.size() + shape.head.size() : bytes.size());
            BOOST_TEST(text.has_value() == whole, shape.name << " cut after " << cut << " bytes");
            loop.stop();
        }
    }
}

BOOST_AUTO_TEST_CASE(is_not_followed_by_answers_to_earlier_requests)
{
    // An informational head was taken for the answer, and the answer itself for that to the next request on the connection.
    for (const char *before : {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n"}) {
        boost::asio::io_context loop;
        HttpClient client;
        ScriptedServer server(loop, [&](const RequestHead &head, const std::string &) {
            return ScriptedAnswer{
                before + ("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(head.target.size()) + "\r\n\r\n" + head.target)};
        });
        for (const char *path : {"/first", "/second", "/third"}) {
            const Result<HttpResponse> response = run(loop, exchange(client, server.endpoint(), path));
            BOOST_REQUIRE(response.has_value());
            BOOST_TEST(response->status == 200);
            BOOST_TEST(response->body == path);
        }
        loop.stop();
    }
}

BOOST_AUTO_TEST_CASE(is_not_followed_by_bytes_after_the_end_of_an_earlier_answer)
{
    boost::asio::io_context loop;
    HttpClient client;
    ScriptedServer server(loop, [&](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(head.target.size()) + "\r\n\r\n" + head.target
            + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse"};
    });
    for (const char *path : {"/first", "/second", "/third"}) {
        const Result<HttpResponse> response = run(loop, exchange(client, server.endpoint(), path));
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(response->body == path);
    }
    BOOST_TEST(server.connections == 3U);
    loop.stop();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_cut_short)

BOOST_AUTO_TEST_CASE(is_not_forwarded)
{
    for (const std::string &bytes : requests("/book/1")) {
        for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
            TestNode node;
            ScriptedServer &server = node.addServer("a", answerView);
            tcp::socket caller = node.connectCaller();
            boost::asio::write(caller, boost::asio::buffer(bytes.substr(0, cut)));
            caller.shutdown(tcp::socket::shutdown_send);
            std::string answer;
            std::array<char, 4096> part{};
            bool ended = false;
            caller.async_read_some(boost::asio::buffer(part), [&](const boost::system::error_code &code, std::size_t size) {
                answer.append(part.data(), size);
                ended = static_cast<bool>(code);
            });
            for (int turn = 0; turn < 100 && !ended && answer.empty(); ++turn) {
                node.loop.run_one_for(10ms);
            }
            BOOST_TEST(ended, "cut after " << cut << " bytes");
            BOOST_TEST(server.targets.empty(), "cut after " << cut << " bytes");
            BOOST_TEST(answer.empty(), "cut after " << cut << " bytes: " << answer);
        }
    }
}

BOOST_AUTO_TEST_CASE(is_not_run_by_the_management_server)
{
    EventLoopPool eventLoops{1};
    std::atomic<std::size_t> runs = 0;
    HttpServer server(eventLoops, HttpServerLimits(), [&](const HttpRequest &, HttpResponder &responder) -> asio::awaitable<void> {
        ++runs;
        HttpResponse response;
        (void)co_await responder.respond(std::move(response));
    });
    Endpoint endpoint;
    {
        boost::asio::io_context loop;
        const tcp::acceptor acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0});
        endpoint = {"127.0.0.1", acceptor.local_endpoint().port()};
    }
    BOOST_REQUIRE(server.listen(endpoint).has_value());
    eventLoops.start();
    for (const std::string &bytes : requests("/orders")) {
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
            const std::size_t before = runs;
            boost::asio::io_context loop;
            tcp::socket socket(loop);
            socket.connect({boost::asio::ip::make_address(endpoint.host), endpoint.port});
            boost::asio::write(socket, boost::asio::buffer(bytes.substr(0, cut)));
            socket.shutdown(tcp::socket::shutdown_send);
            std::string answer;
            boost::system::error_code code;
            boost::asio::read(socket, boost::asio::dynamic_buffer(answer), code);
            const bool whole = cut == bytes.size();
            BOOST_TEST(runs - before == (whole ? 1U : 0U), "cut after " << cut << " bytes");
            BOOST_TEST((whole || answer.empty() || answer.starts_with("HTTP/1.1 400")), "cut after " << cut << " bytes: " << answer);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
