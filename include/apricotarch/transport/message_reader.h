#pragma once

/**
 * @file
 * Incremental reading of HTTP/1.1 messages on top of Boost.Beast's parser.
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

/// Start line and headers of a request, as they came.
struct RequestHead
{
    std::string method;
    std::string target;
    HttpHeaders headers;
    bool keepAlive = true; ///< Whether the sender wants to use the connection again.
    bool readsChunks = true; ///< Whether the sender can read an answer in chunks: HTTP/1.1.
    bool expectsContinue = false; ///< Whether the sender waits for a 100 before it sends the body.
};

/// Start line and headers of an answer, as they came.
struct AnswerHead
{
    int status = 0;
    std::string reason;
    HttpHeaders headers;
    bool keepAlive = true; ///< Whether the sender keeps the connection open afterwards.
    bool endsWithConnection = false; ///< Neither length nor chunks: the body ends with the connection.
};

/// How much of a message may be read.
struct ReadLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
};

/// Reads one request from bytes as they come.
class RequestReader
{
public:
    explicit RequestReader(ReadLimits limits);
    ~RequestReader();
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    /**
     * Takes bytes.
     * @return how many were used; MalformedMessage, or MessageTooLarge with step `request.header` or `request.body`
     */
    [[nodiscard]] Result<std::size_t> put(std::string_view bytes);

    [[nodiscard]] bool headDone() const noexcept;
    [[nodiscard]] bool done() const noexcept;
    [[nodiscard]] RequestHead &head() noexcept;
    [[nodiscard]] std::string &body() noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Reads one answer from bytes as they come.
class AnswerReader
{
public:
    /// @param toHead whether the request was a HEAD, whose answer has no body
    explicit AnswerReader(bool toHead);
    ~AnswerReader();
    AnswerReader(const AnswerReader &) = delete;
    AnswerReader &operator=(const AnswerReader &) = delete;

    /// Takes bytes. @return how many were used, or MalformedMessage
    [[nodiscard]] Result<std::size_t> put(std::string_view bytes);

    /// Notes the end of the connection. @return whether that is the proper end of the answer
    [[nodiscard]] bool finish();

    [[nodiscard]] bool headDone() const noexcept;
    [[nodiscard]] bool done() const noexcept;
    [[nodiscard]] AnswerHead &head() noexcept;

    /// Body bytes that were not taken yet.
    [[nodiscard]] std::string &body() noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace apricotarch
