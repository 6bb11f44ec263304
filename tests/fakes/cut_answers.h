#pragma once

/**
 * @file
 * Answers of servers, and what is left of them if they are cut after any of their bytes.
 */

#include <string>
#include <vector>

#include "fakes/test_node.h"

namespace apricotarch::fakes
{

inline const std::string InformationalHeads = "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
inline const std::string Identity = "X-Request-Id: r2\r\nX-Response-Seal: s\r\n";

/// An answer, and the number of its bytes from which on it is whole.
struct Shape
{
    const char *name;
    std::string bytes;
    std::size_t wholeFrom;
    bool isHeadRequest = false;
};

/// Size of the first head of a message, with its empty line.
inline std::size_t headSize(const std::string &bytes)
{
    return bytes.find("\r\n\r\n") + 4;
}

/// An answer that is whole with its last byte.
inline Shape framed(const char *name, const std::string &bytes)
{
    return {name, bytes, bytes.size()};
}

/// An answer that is whole once its head is: it has no body, or one that ends with the connection.
inline Shape endingWithItsHead(const char *name, const std::string &bytes, bool isHeadRequest = false)
{
    return {name, bytes, headSize(bytes), isHeadRequest};
}

/// Answers to the request r2, in every framing.
inline std::vector<Shape> fullAnswers()
{
    const std::string ok = "HTTP/1.1 200 OK\r\n" + Identity;
    return {
        framed("a length", ok + "Content-Length: 12\r\n\r\ntwelve bytes"),
        framed("a length as first header", "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n" + Identity + "\r\n" + std::string(1234, 'x')),
        framed("chunks", ok + "Transfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n"),
        framed("chunks with extensions and a trailer",
            ok + "Transfer-Encoding: chunked\r\n\r\n0c;a=\"b\";c\r\ntwelve bytes\r\n000;z\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n"),
        framed("an empty body in chunks", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        framed("an empty body with a length", ok + "Content-Length: 0\r\n\r\n"),
        endingWithItsHead("neither length nor chunks", ok + "\r\ntwelve bytes"),
        endingWithItsHead("neither, with HTTP/1.0", "HTTP/1.0 200 OK\r\n" + Identity + "\r\ntwelve bytes"),
        endingWithItsHead("neither, and the close announced", ok + "Connection: close\r\n\r\ntwelve bytes"),
        endingWithItsHead("no content", "HTTP/1.1 204 No Content\r\n" + Identity + "\r\n"),
        endingWithItsHead("not modified", "HTTP/1.1 304 Not Modified\r\n" + Identity + "Content-Length: 12\r\n\r\n"),
        endingWithItsHead("the answer to HEAD", ok + "Content-Length: 12\r\n\r\n", true),
        framed("an error with a length", "HTTP/1.1 404 Not Found\r\n" + Identity + "Content-Length: 4\r\n\r\nnone"),
    };
}

/// How a server ends its connection.
enum class Ending : std::uint8_t {
    Normal,
    Reset,
};

/// The first bytes of an answer, after which the connection ends.
inline ScriptedAnswer cutAnswer(const std::string &bytes, std::size_t cut, Ending ending)
{
    ScriptedAnswer answer{bytes.substr(0, cut)};
    answer.closes = ending == Ending::Reset;
    answer.endsConnection = ending == Ending::Normal;
    return answer;
}

/// An answer that streams events.
struct StreamShape
{
    const char *name;
    std::string head;
    std::string body;
    bool endsWithConnection = false;
};

/// Streams with the events @p first and the next one.
inline std::vector<StreamShape> streams(int first)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + Identity;
    const std::string events = event(first) + event(first + 1);
    return {
        {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", chunk(event(first)) + chunk(event(first + 1)) + "0\r\n\r\n"},
        {"chunks across events and a trailer",
            head + "Transfer-Encoding: chunked\r\n\r\n",
            chunk(events.substr(0, 9)) + chunk(events.substr(9)) + "0\r\nX-Sum: 1\r\n\r\n"},
        {"a length", head + "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n", events},
        {"neither length nor chunks", head + "\r\n", events, true},
    };
}

/// Whether a stream has arrived as a whole if it is cut after @p cut bytes.
inline bool isWhole(const StreamShape &shape, std::size_t cut, Ending ending)
{
    const std::size_t size = shape.head.size() + shape.body.size();
    if (!shape.endsWithConnection) {
        return cut == size;
    }
    if (cut <= shape.head.size() || ending == Ending::Reset) {
        return false;
    }
    return shape.body.substr(0, cut - shape.head.size()).ends_with("\n\n");
}

} // namespace apricotarch::fakes
