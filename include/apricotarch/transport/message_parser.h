#pragma once

/**
 * @file
 * Incremental parsing of HTTP/1.1 messages, based on Boost.Beast's parser.
 */

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "apricotarch/base/error.h"
#include "apricotarch/transport/http_message.h"

namespace apricotarch
{

/// Request line and headers of a request as received.
struct RequestHead
{
    std::string method;
    std::string target;
    HttpHeaders headers;
    bool keepAlive = true; ///< Whether the sender wants to reuse the connection.
    bool acceptsChunked = true; ///< Whether the sender supports chunked answers, that is, HTTP/1.1.
    bool expectsContinue = false; ///< Whether the sender waits for `100 Continue` before sending the body.
};

/// Status line and headers of an answer as received.
struct AnswerHead
{
    int status = 0;
    std::string reason;
    HttpHeaders headers;
    bool keepAlive = true; ///< Whether the sender keeps the connection open after the answer.
    bool endsWithConnection = false; ///< The body has neither a length nor chunks and ends when the connection is closed.
};

/// Size limits of a request.
struct ReadLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
};

/// Parses one request incrementally.
class RequestParser
{
public:
    explicit RequestParser(ReadLimits limits);
    ~RequestParser();
    RequestParser(const RequestParser &) = delete;
    RequestParser &operator=(const RequestParser &) = delete;

    /**
     * Parses bytes that follow those parsed before.
     * @return number of bytes consumed; MalformedMessage, with step `request.transfer_coding` if only the coding of the body is not
     *     supported, or MessageTooLarge with step `request.header` or `request.body`
     */
    [[nodiscard]] Result<std::size_t> parse(std::string_view bytes);

    [[nodiscard]] bool isHeadComplete() const noexcept;
    [[nodiscard]] bool isComplete() const noexcept;
    [[nodiscard]] RequestHead &head() noexcept;
    [[nodiscard]] std::string &body() noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Parses one answer incrementally.
class AnswerParser
{
public:
    /// @param isHeadRequest whether the request was a HEAD, whose answer has no body
    explicit AnswerParser(bool isHeadRequest);
    ~AnswerParser();
    AnswerParser(const AnswerParser &) = delete;
    AnswerParser &operator=(const AnswerParser &) = delete;

    /// Parses bytes that follow those parsed before. @return number of bytes consumed, or MalformedMessage
    [[nodiscard]] Result<std::size_t> parse(std::string_view bytes);

    /// Reports the end of the connection to the parser. @return whether it completes the answer
    [[nodiscard]] bool handleEndOfStream();

    [[nodiscard]] bool isHeadComplete() const noexcept;
    [[nodiscard]] bool isComplete() const noexcept;
    [[nodiscard]] AnswerHead &head() noexcept;

    /// Received bytes of the body. The user removes those that it has processed.
    [[nodiscard]] std::string &body() noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace apricotarch
