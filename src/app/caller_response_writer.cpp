#include "apricotarch/app/caller_response_writer.h"

#include <array>
#include <cstdio>

namespace apricotarch
{

namespace
{

constexpr int StatusUnauthorized = 401;

std::string encodeChunk(std::string_view bytes)
{
    std::array<char, 24> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string text(size.data(), static_cast<std::size_t>(length));
    text += bytes;
    text += "\r\n";
    return text;
}

std::string encodeStatusLine(int status, std::string_view reason)
{
    return "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(reason) + "\r\n";
}

} // namespace

std::string encodeRetryAfter(Duration retryAfter)
{
    std::array<char, 48> line{};
    const double seconds = static_cast<double>(toMilliseconds(retryAfter)) / 1000;
    const int length = std::snprintf(line.data(), line.size(), "Retry-After: %.3f\r\n", seconds);
    return {line.data(), static_cast<std::size_t>(length)};
}

CallerResponseWriter::CallerResponseWriter(
    CallerConnection &caller, CallerConnectionOptions options, const FrontState &state, bool isHeadRequest)
    : m_caller(caller)
    , m_options(options)
    , m_state(state)
    , m_isHeadRequest(isHeadRequest)
{
}

bool CallerResponseWriter::canReuseConnection() const
{
    return m_options.keepAlive && !m_caller.isClosed();
}

std::string CallerResponseWriter::encodeHead(const BackendAnswer &answer) const
{
    std::string message = encodeStatusLine(answer.status, answer.reason);
    for (const HttpHeader &line : answer.forwardedHeaders.fields()) {
        message += line.name + ": " + line.value + "\r\n";
    }
    return message;
}

void CallerResponseWriter::appendConnectionHeader(std::string &message)
{
    if (!m_options.keepAlive || m_state.isShuttingDown()) {
        m_options.keepAlive = false;
        message += "Connection: close\r\n";
    }
}

void CallerResponseWriter::beginStream(const BackendAnswer &answer)
{
    m_streamStarted = true;
    std::string message = encodeHead(answer);
    if (m_options.acceptsChunked) {
        message += "Transfer-Encoding: chunked\r\n";
    } else {
        m_options.keepAlive = false; // Closing the connection marks the end of the response.
        m_caller.setAnswerEndsWithConnection(true);
    }
    appendConnectionHeader(message);
    message += "\r\n";
    m_caller.send(std::move(message));
}

void CallerResponseWriter::sendEvents(const std::string &events)
{
    m_caller.send(m_options.acceptsChunked ? encodeChunk(events) : events);
}

void CallerResponseWriter::endStream()
{
    if (m_options.acceptsChunked) {
        m_caller.send("0\r\n\r\n");
    } else {
        m_caller.setAnswerEndsWithConnection(false);
    }
}

void CallerResponseWriter::sendFull(const BackendAnswer &answer, const std::string &body)
{
    std::string message = encodeHead(answer);
    const std::uint64_t length = m_isHeadRequest ? answer.contentLength.value_or(0) : static_cast<std::uint64_t>(body.size());
    message += "Content-Length: " + std::to_string(length) + "\r\n";
    appendConnectionHeader(message);
    message += "\r\n";
    message += body;
    m_caller.send(std::move(message));
}

void CallerResponseWriter::sendLocal(int status, std::string_view reason, std::optional<Duration> retryAfter)
{
    const std::string body = "{\"error\":\"" + std::string(reason) + "\"}";
    std::string message = encodeStatusLine(status, reason);
    message += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (status == StatusUnauthorized) {
        message += "WWW-Authenticate: Bearer\r\n";
    }
    if (retryAfter) {
        message += encodeRetryAfter(*retryAfter);
    }
    appendConnectionHeader(message);
    message += "\r\n";
    if (!m_isHeadRequest) {
        message += body;
    }
    m_caller.send(std::move(message));
}

void CallerResponseWriter::abort()
{
    disableReuse();
    m_caller.close();
}

} // namespace apricotarch
