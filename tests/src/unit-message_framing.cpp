#include <boost/test/unit_test.hpp>

#include "apricotarch/transport/message_framing.h"
#include "fakes/test_node.h"

using namespace apricotarch;
using namespace apricotarch::fakes;

namespace
{

/// What becomes of a message.
enum class Outcome : std::uint8_t {
    Whole, ///< It has exactly one reading.
    Refused,
    UnknownCoding,
};

std::ostream &operator<<(std::ostream &stream, Outcome outcome)
{
    constexpr std::array Names = {"whole", "refused", "unknown coding"};
    return stream << Names.at(static_cast<std::size_t>(outcome));
}

/// A message: what stands between its first lines and the empty line, and what follows.
struct Shape
{
    std::string headers;
    std::string body;
    Outcome outcome = Outcome::Whole;
    std::string content = {}; ///< The body that a whole message has.
};

const std::string Chunks = "5\r\nhello\r\n0\r\n\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n";

/// Shapes that mean the same in requests and in answers.
std::vector<Shape> commonShapes()
{
    return {
        // Lengths
        {"Content-Length: 5\r\n", "hello", Outcome::Whole, "hello"},
        {"content-length:5\r\n", "hello", Outcome::Whole, "hello"},
        {"Content-Length: \t5 \t\r\n", "hello", Outcome::Whole, "hello"},
        {"Content-Length: 005\r\n", "hello", Outcome::Whole, "hello"},
        {"Content-Length: 0\r\n", "", Outcome::Whole},
        {"Content-Length: 5\r\nContent-Length: 5\r\n", "hello", Outcome::Refused},
        {"Content-Length: 5\r\nContent-Length: 6\r\n", "hello", Outcome::Refused},
        {"Content-Length: 0\r\nContent-Length: 5\r\n", "hello", Outcome::Refused},
        {"Content-Length: 5, 5\r\n", "hello", Outcome::Refused},
        {"Content-Length: 5,\r\n", "hello", Outcome::Refused},
        {"Content-Length: 5, 6\r\n", "hello", Outcome::Refused},
        {"Content-Length: +5\r\n", "hello", Outcome::Refused},
        {"Content-Length: -5\r\n", "hello", Outcome::Refused},
        {"Content-Length: 0x5\r\n", "hello", Outcome::Refused},
        {"Content-Length: 5 0\r\n", "hello", Outcome::Refused},
        {"Content-Length: 5;a\r\n", "hello", Outcome::Refused},
        {"Content-Length: five\r\n", "hello", Outcome::Refused},
        {"Content-Length:\r\n", "hello", Outcome::Refused},
        {"Content-Length: \"5\"\r\n", "hello", Outcome::Refused},
        {"Content-Length: 18446744073709551621\r\n", "hello", Outcome::Refused},
        // Transfer codings
        {Chunked, Chunks, Outcome::Whole, "hello"},
        {"TRANSFER-ENCODING:CHUNKED\r\n", Chunks, Outcome::Whole, "hello"},
        {"Transfer-Encoding: Chunked \t\r\n", Chunks, Outcome::Whole, "hello"},
        {"Transfer-Encoding: identity\r\n", Chunks, Outcome::Refused},
        {"Transfer-Encoding: gzip\r\n", Chunks, Outcome::Refused},
        {"Transfer-Encoding: xchunked\r\n", Chunks, Outcome::Refused},
        {"Transfer-Encoding: chunked, identity\r\n", Chunks, Outcome::Refused},
        {"Transfer-Encoding: chunked, chunked\r\n", Chunks, Outcome::Refused},
        {"Transfer-Encoding: chunked,\r\n", Chunks, Outcome::Refused},
        {"Transfer-Encoding: , chunked\r\n", Chunks, Outcome::Refused},
        {"Transfer-Encoding: \"chunked\"\r\n", Chunks, Outcome::Refused},
        {"Transfer-Encoding: chunked;q=1\r\n", Chunks, Outcome::Refused},
        {"Transfer-Encoding: chunked x\r\n", Chunks, Outcome::Refused},
        {"Transfer-Encoding: \r\n", Chunks, Outcome::Refused},
        {"Transfer-Encoding: gzip, chunked\r\n", Chunks, Outcome::UnknownCoding},
        {"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", Chunks, Outcome::UnknownCoding},
        {"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", Chunks, Outcome::Refused},
        {Chunked + Chunked, Chunks, Outcome::Refused},
        {Chunked + "Content-Length: 15\r\n", Chunks, Outcome::Refused},
        {"Content-Length: 15\r\n" + Chunked, Chunks, Outcome::Refused},
        {"Content-Length: 0\r\n" + Chunked, Chunks, Outcome::Refused},
        {"Content-Length: 5\r\nTransfer-Encoding: identity\r\n", "hello", Outcome::Refused},
        {"Transfer-Encoding : chunked\r\n", Chunks, Outcome::Refused},
        {"Transfer-Encoding: \vchunked\r\n", Chunks, Outcome::Refused},
        {"Transfer-Encoding:\r\n chunked\r\n", Chunks, Outcome::Refused},
        // Chunks
        {Chunked, "5;a=b;c=\"d e\";f\r\nhello\r\n0;z\r\n\r\n", Outcome::Whole, "hello"},
        {Chunked, "5 ; a = b\r\nhello\r\n0\r\n\r\n", Outcome::Whole, "hello"},
        {Chunked, "0005\r\nhello\r\n000\r\n\r\n", Outcome::Whole, "hello"},
        {Chunked, "a\r\nhello you!\r\nA\r\nhello you!\r\n0\r\n\r\n", Outcome::Whole, "hello you!hello you!"},
        {Chunked, "5\r\nhello\r\n0\r\nX-Sum: 1\r\nX-Request-Id: other\r\n\r\n", Outcome::Whole, "hello"},
        {Chunked, "+5\r\nhello\r\n0\r\n\r\n", Outcome::Refused},
        {Chunked, "-5\r\nhello\r\n0\r\n\r\n", Outcome::Refused},
        {Chunked, " 5\r\nhello\r\n0\r\n\r\n", Outcome::Refused},
        {Chunked, "5 \r\nhello\r\n0\r\n\r\n", Outcome::Refused},
        {Chunked, "0x5\r\nhello\r\n0\r\n\r\n", Outcome::Refused},
        {Chunked, "\r\nhello\r\n0\r\n\r\n", Outcome::Refused},
        {Chunked, "5;\r\nhello\r\n0\r\n\r\n", Outcome::Refused},
        {Chunked, "10000000000000005\r\nhello\r\n0\r\n\r\n", Outcome::Refused},
        {Chunked, "5\nhello\r\n0\r\n\r\n", Outcome::Refused},
        {Chunked, "5\rhello\r\n0\r\n\r\n", Outcome::Refused},
        {Chunked, "5\r\nhello!\r\n0\r\n\r\n", Outcome::Refused},
        {Chunked, "5\r\nhello\n0\r\n\r\n", Outcome::Refused},
        {Chunked, "5\r\nhello0\r\n\r\n", Outcome::Refused},
        {Chunked, "5;a=\"\n\"\r\nhello\r\n0\r\n\r\n", Outcome::Refused},
        {Chunked, "5;a=\"" + std::string(1, '\0') + "\"\r\nhello\r\n0\r\n\r\n", Outcome::Refused},
        {Chunked, "5\r\nhello\r\n0;a=\"\n\"\r\n\r\n", Outcome::Refused},
        {Chunked, "5\r\nhello\r\n0\r\nContent-Length: 5\r\n\r\n", Outcome::Refused},
        {Chunked, "5\r\nhello\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n", Outcome::Refused},
        {Chunked, "5\r\nhello\r\n0\r\nX-Sum : 1\r\n\r\n", Outcome::Refused},
        // Lines
        {"X-A: b\n" + Chunked, Chunks, Outcome::Refused},
        {"X-A: b\rX-B: c\r\n" + Chunked, Chunks, Outcome::Refused},
        {"X-A: b\r\r\n" + Chunked, Chunks, Outcome::Refused},
        {"X-A: b" + std::string(1, '\0') + "\r\n" + Chunked, Chunks, Outcome::Refused},
        {"X-A: b\x7F\r\n" + Chunked, Chunks, Outcome::Refused},
        {"X-A: b\x01\r\n" + Chunked, Chunks, Outcome::Refused},
        {"X-A: \xC3\xA9\tb\r\n" + Chunked, Chunks, Outcome::Whole, "hello"},
        {"X-A:\r\n" + Chunked, Chunks, Outcome::Whole, "hello"},
        {"X-A: b\r\n c\r\n" + Chunked, Chunks, Outcome::Refused},
        {"X-A: b\r\n\tc\r\n" + Chunked, Chunks, Outcome::Refused},
        {"X-A: b\r\n \r\n" + Chunked, Chunks, Outcome::Refused},
        {"X-A : b\r\n" + Chunked, Chunks, Outcome::Refused},
        {"X-A\t: b\r\n" + Chunked, Chunks, Outcome::Refused},
        {"X A: b\r\n" + Chunked, Chunks, Outcome::Refused},
        {": b\r\n" + Chunked, Chunks, Outcome::Refused},
        {"X-A\r\n" + Chunked, Chunks, Outcome::Refused},
        {"(X): b\r\n" + Chunked, Chunks, Outcome::Refused},
    };
}

/// A request with its expected outcome.
struct RequestShape
{
    std::string bytes;
    Outcome outcome = Outcome::Whole;
    std::string content = {};
};

const std::string Id = "X-Request-Id: r1\r\nX-Deadline-Ms: 5000\r\n";

std::vector<RequestShape> requestShapes()
{
    std::vector<RequestShape> shapes = {
        {"GET /book/1 HTTP/1.1\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Whole},
        {"GET /book/1 HTTP/1.0\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Whole},
        {"POST /book/1 HTTP/1.0\r\nHost: desk\r\n" + Id + "Content-Length: 5\r\n\r\nhello", Outcome::Whole, "hello"},
        {"POST /book/1 HTTP/1.0\r\nHost: desk\r\n" + Id + Chunked + "\r\n" + Chunks, Outcome::Refused},
        {"POST /book/1 HTTP/1.0\r\nHost: desk\r\n" + Id + "Transfer-Encoding: gzip, chunked\r\n\r\n" + Chunks, Outcome::Refused},
        {"GET /book/1 HTTP/1.2\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET /book/1 HTTP/2.0\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET /book/1 http/1.1\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET /book/1\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET  /book/1 HTTP/1.1\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET /book/1  HTTP/1.1\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET /book/1 HTTP/1.1 \r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET\t/book/1 HTTP/1.1\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET /book/1 x HTTP/1.1\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET /book/1 HTTP/1.1\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET /book/1 HTTP/1.1\rHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET /book/\x01 HTTP/1.1\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"G(T /book/1 HTTP/1.1\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {" GET /book/1 HTTP/1.1\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET /book/1 HTTP/1.1\r\n Host: desk\r\n" + Id + "\r\n", Outcome::Refused},
    };
    for (const Shape &shape : commonShapes()) {
        shapes.push_back(
            {"POST /book/1 HTTP/1.1\r\nHost: desk\r\n" + Id + shape.headers + "\r\n" + shape.body, shape.outcome, shape.content});
    }
    return shapes;
}

/// Requests whose target or Host header leaves open what they are for. Refused by the decoder of requests.
std::vector<RequestShape> addressShapes()
{
    std::vector<RequestShape> shapes = {
        {"GET http://desk/book/1 HTTP/1.1\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET http://other/book/1 HTTP/1.1\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"CONNECT desk:80 HTTP/1.1\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"OPTIONS * HTTP/1.1\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET book/1 HTTP/1.1\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET /book/1 HTTP/1.1\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET /book/1 HTTP/1.1\r\nHost: desk\r\nHost: desk\r\n" + Id + "\r\n", Outcome::Refused},
        {"GET /book/1 HTTP/1.1\r\nHost: desk\r\n" + Id + "host: other\r\n\r\n", Outcome::Refused},
    };
    for (const char *host :
        {"", "desk, other", "desk other", "desk,other", "desk/", "user@desk", "desk:80:90", "desk:x", ":80", "[::1", "\"desk\""}) {
        shapes.push_back({"GET /book/1 HTTP/1.1\r\nHost: " + std::string(host) + "\r\n" + Id + "\r\n", Outcome::Refused});
    }
    for (const char *host : {"desk", "DESK", "desk:80", "desk:"}) {
        shapes.push_back({"GET /book/1 HTTP/1.1\r\nHost: " + std::string(host) + "\r\n" + Id + "\r\n", Outcome::Whole});
    }
    return shapes;
}

/// How a message was read.
struct Reading
{
    Outcome outcome = Outcome::Refused;
    bool isComplete = false;
    std::size_t used = 0;
};

template<typename Parser>
Reading read(Parser &parser, const std::string &bytes, std::size_t step)
{
    Reading reading{Outcome::Whole};
    std::string input;
    for (std::size_t at = 0; at < bytes.size() && !parser.isComplete(); at += step) {
        input += bytes.substr(at, step);
        const Result<std::size_t> used = parser.parse(input);
        if (!used) {
            const bool isUnknown = used.error().step == "request.transfer_coding";
            return {isUnknown ? Outcome::UnknownCoding : Outcome::Refused};
        }
        reading.used += *used;
        input.erase(0, *used);
    }
    reading.isComplete = parser.isComplete();
    return reading;
}

const std::string OtherRequest = "POST /book/hidden HTTP/1.1\r\nHost: desk\r\nX-Request-Id: hidden\r\nContent-Length: 0\r\n\r\n";
const std::string AnswerId = "X-Request-Id: r1\r\nX-Response-Seal: s\r\n";

std::string printable(const std::string &bytes)
{
    std::string text;
    for (const char byte : bytes) {
        text += byte == '\r' ? "\\r" : byte == '\n' ? "\\n" : byte == '\0' ? "\\0" : std::string(1, byte);
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(message_framing)

BOOST_AUTO_TEST_SUITE(a_request)

BOOST_AUTO_TEST_CASE(is_refused_unless_it_has_exactly_one_reading)
{
    BOOST_TEST(requestShapes().size() >= 60U);
    for (const RequestShape &shape : requestShapes()) {
        for (const std::size_t step : {std::size_t(10'000), std::size_t(1), std::size_t(7)}) {
            BOOST_TEST_CONTEXT(printable(shape.bytes) << " fed by " << step)
            {
                RequestParser parser{ReadLimits()};
                const Reading reading = read(parser, shape.bytes + OtherRequest, step);
                BOOST_TEST(reading.outcome == shape.outcome);
                if (shape.outcome == Outcome::Whole) {
                    BOOST_TEST(reading.isComplete);
                    BOOST_TEST(reading.used == shape.bytes.size());
                    BOOST_TEST(parser.body() == shape.content);
                    BOOST_TEST(parser.head().headers.value("X-Request-Id") == "r1");
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(has_no_headers_from_its_trailer_however_it_arrives)
{
    // The fields of a trailer became headers if the request arrived in one piece.
    const std::string bytes =
        "POST /book/1 HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Request-Id: r1\r\n\r\n";
    for (const std::size_t step : {std::size_t(10'000), std::size_t(1)}) {
        RequestParser parser{ReadLimits()};
        BOOST_TEST(read(parser, bytes, step).isComplete);
        BOOST_TEST(parser.head().headers.value("X-Request-Id").empty());
    }
}

BOOST_AUTO_TEST_CASE(reaches_no_server_if_it_is_refused_and_neither_does_what_stands_in_its_body)
{
    // The body of a request whose Transfer-Encoding did not end with `chunked` was run as a request of its own.
    std::vector<RequestShape> shapes = requestShapes();
    std::ranges::copy(addressShapes(), std::back_inserter(shapes));
    for (const RequestShape &shape : shapes) {
        TestNode node;
        const ScriptedServer &server = node.addServer("a", [](const RequestHead &head, const std::string &) {
            return ScriptedAnswer{fullResponse(head, "booked")};
        });
        const bool whole = shape.outcome == Outcome::Whole;
        CallerProbe caller(node, whole ? shape.bytes : shape.bytes + OtherRequest);
        for (int turn = 0; turn < 200 && caller.answers() == 0; ++turn) {
            node.loop.run_one_for(10ms);
        }
        // The node's own idle time, so that a busy machine takes nothing of it.
        for (int turn = 0; turn < 200 && node.loop.run_one_for(5ms) > 0; ++turn) {
        }
        BOOST_TEST_CONTEXT(printable(shape.bytes) << ": " << caller.answer)
        {
            BOOST_TEST(server.targets.size() == (whole ? 1U : 0U));
            BOOST_TEST(caller.answers() == 1U);
            const char *status = whole ? "HTTP/1.1 200" : shape.outcome == Outcome::Refused ? "HTTP/1.1 400" : "HTTP/1.1 501";
            BOOST_TEST(caller.answer.starts_with(status));
            BOOST_TEST((whole || caller.answer.find("Connection: close\r\n") != std::string::npos));
            BOOST_TEST((whole || caller.isClosed()));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer)

BOOST_AUTO_TEST_CASE(is_unusable_unless_it_has_exactly_one_reading)
{
    for (const Shape &shape : commonShapes()) {
        for (const std::size_t step : {std::size_t(10'000), std::size_t(1), std::size_t(7)}) {
            AnswerParser parser(false);
            const std::string bytes = "HTTP/1.1 200 OK\r\n" + AnswerId + shape.headers + "\r\n" + shape.body;
            const Reading reading = read(parser, bytes, step);
            BOOST_TEST_CONTEXT(printable(bytes) << " fed by " << step)
            {
                BOOST_TEST((reading.outcome == Outcome::Whole) == (shape.outcome == Outcome::Whole));
                BOOST_TEST(reading.isComplete == (shape.outcome == Outcome::Whole));
                if (shape.outcome == Outcome::Whole) {
                    BOOST_TEST(parser.body() == shape.content);
                    BOOST_TEST(parser.head().headers.value("X-Request-Id") == "r1");
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(is_unusable_in_chunks_with_a_version_that_has_none)
{
    AnswerParser parser(false);
    BOOST_TEST(read(parser, "HTTP/1.0 200 OK\r\n" + Chunked + "\r\n" + Chunks, 1).outcome == Outcome::Refused);
}

BOOST_AUTO_TEST_CASE(without_a_body_by_its_status_ends_its_connection_if_it_announces_one)
{
    for (const char *headers : {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"}) {
        AnswerParser parser(false);
        BOOST_TEST(read(parser, "HTTP/1.1 204 No Content\r\n" + std::string(headers) + "\r\n", 1).isComplete);
        BOOST_TEST(!parser.head().keepAlive);
        AnswerParser informational(false);
        BOOST_TEST(read(informational, "HTTP/1.1 103 Early\r\n" + std::string(headers) + "\r\n", 1).outcome == Outcome::Refused);
    }
    for (const char *head :
        {"204 No Content\r\n", "204 No Content\r\nContent-Length: 0\r\n", "304 Not Modified\r\nContent-Length: 5\r\n"}) {
        AnswerParser parser(false);
        BOOST_TEST(read(parser, "HTTP/1.1 " + std::string(head) + "\r\n", 1).isComplete);
        BOOST_TEST(parser.head().keepAlive);
    }
}

BOOST_AUTO_TEST_CASE(that_is_unusable_reaches_no_caller_and_ends_its_connection)
{
    for (const Shape &shape : commonShapes()) {
        TestNode node;
        const ScriptedServer &server = node.addServer("a", [&](const RequestHead &, const std::string &) {
            return ScriptedAnswer{"HTTP/1.1 200 OK\r\n" + AnswerId + shape.headers + "\r\n" + shape.body};
        });
        const std::string request = "POST /book/1 HTTP/1.1\r\nHost: desk\r\n" + Id + "Content-Length: 0\r\n\r\n";
        const bool whole = shape.outcome == Outcome::Whole;
        for (std::size_t number = 1; number <= 2; ++number) {
            const std::string answer = node.sendRequest(request);
            BOOST_TEST_CONTEXT(printable(shape.headers + "\r\n" + shape.body) << ": " << answer)
            {
                BOOST_TEST(answer.starts_with(whole ? "HTTP/1.1 200" : "HTTP/1.1 502"));
                BOOST_TEST((whole || server.connections == number));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
