#pragma once

/**
 * @file
 * Answers to the requests of HttpServer.
 */

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "apricotarch/transport/http_server.h"

namespace apricotarch
{

/// How a server serves; only grows.
enum class ServerPhase : std::uint8_t {
    Serving,
    AnnouncingClose, ///< Each answer announces the close of its connection.
    Finishing, ///< No connections are accepted, and requests that are still being read are refused.
};

/// Answers one request on a Beast stream.
class BeastResponder final : public HttpResponder
{
public:
    /// @param phase announces the close of the connection in answers that begin later; must outlive this object
    BeastResponder(boost::beast::tcp_stream &stream,
        std::string peer,
        std::chrono::milliseconds writeTimeout,
        bool keepAlive,
        const std::atomic<ServerPhase> &phase)
        : m_stream(stream)
        , m_peer(std::move(peer))
        , m_writeTimeout(writeTimeout)
        , m_keepAlive(keepAlive)
        , m_phase(phase)
    {
    }

    asio::awaitable<Result<void>> respond(HttpResponse response) override
    {
        boost::beast::http::response<boost::beast::http::string_body> message(static_cast<boost::beast::http::status>(response.status), 11);
        setHeaders(message, response.headers);
        beginAnswer(message);
        message.body() = std::move(response.body);
        message.prepare_payload();
        m_stream.expires_after(m_writeTimeout);
        boost::beast::error_code code;
        co_await boost::beast::http::async_write(m_stream, message, asio::redirect_error(asio::use_awaitable, code));
        co_return recordWriteResult(code, "http.respond");
    }

    asio::awaitable<Result<void>> beginStream(int status, HttpHeaders headers) override
    {
        boost::beast::http::response<boost::beast::http::empty_body> message(static_cast<boost::beast::http::status>(status), 11);
        setHeaders(message, headers);
        beginAnswer(message);
        message.chunked(true);
        boost::beast::http::response_serializer<boost::beast::http::empty_body> serializer(message);
        m_stream.expires_after(m_writeTimeout);
        boost::beast::error_code code;
        co_await boost::beast::http::async_write_header(m_stream, serializer, asio::redirect_error(asio::use_awaitable, code));
        co_return recordWriteResult(code, "http.begin_stream");
    }

    asio::awaitable<Result<void>> write(std::string_view chunk) override
    {
        m_stream.expires_after(m_writeTimeout);
        boost::beast::error_code code;
        const asio::const_buffer buffer(chunk.data(), chunk.size());
        co_await asio::async_write(m_stream, boost::beast::http::make_chunk(buffer), asio::redirect_error(asio::use_awaitable, code));
        co_return recordWriteResult(code, "http.write");
    }

    asio::awaitable<Result<void>> endStream() override
    {
        m_stream.expires_after(m_writeTimeout);
        boost::beast::error_code code;
        co_await asio::async_write(m_stream, boost::beast::http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, code));
        co_return recordWriteResult(code, "http.end_stream");
    }

    void abort() noexcept override
    {
        m_keepAlive = false;
        m_failed = true;
        boost::beast::error_code ignored;
        m_stream.socket().close(ignored);
    }

    [[nodiscard]] bool keepAlive() const noexcept
    {
        return m_keepAlive && m_started;
    }

    /// Whether a whole answer has told the peer that no further request is read.
    [[nodiscard]] bool closeAnnounced() const noexcept
    {
        return m_started && !m_keepAlive && !m_failed;
    }

private:
    template<typename Message>
    static void setHeaders(Message &message, const HttpHeaders &headers)
    {
        for (const HttpHeader &header : headers.fields()) {
            message.set(header.name, header.value);
        }
    }

    template<typename Message>
    void beginAnswer(Message &message)
    {
        m_started = true;
        m_keepAlive = m_keepAlive && m_phase == ServerPhase::Serving;
        message.keep_alive(m_keepAlive);
    }

    Result<void> recordWriteResult(const boost::beast::error_code &code, const char *step)
    {
        if (!code) {
            return {};
        }
        m_keepAlive = false;
        m_failed = true;
        const ErrorId id = code == boost::beast::error::timeout ? ErrorId::TimedOut : ErrorId::ConnectionLost;
        return fail(id, step, m_peer, code.message(), Delivery::MaybeSent);
    }

    boost::beast::tcp_stream &m_stream;
    std::string m_peer;
    std::chrono::milliseconds m_writeTimeout;
    bool m_keepAlive;
    bool m_started = false;
    bool m_failed = false; ///< Whether the connection has been lost or closed.
    const std::atomic<ServerPhase> &m_phase;
};

} // namespace apricotarch
