#include "apricotarch/app/caller_answer.h"

#include <array>
#include <cstdio>

namespace apricotarch
{

namespace
{

std::string chunk(std::string_view bytes)
{
    std::array<char, 24> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string text(size.data(), static_cast<std::size_t>(length));
    text += bytes;
    text += "\r\n";
    return text;
}

std::string statusLine(int status, std::string_view reason)
{
    return "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(reason) + "\r\n";
}

std::string retryLine(Duration retryAfter)
{
    std::array<char, 48> line{};
    const double seconds = static_cast<double>(toMilliseconds(retryAfter)) / 1000;
    const int length = std::snprintf(line.data(), line.size(), "Retry-After: %.3f\r\n", seconds);
    return {line.data(), static_cast<std::size_t>(length)};
}

} // namespace

CallerAnswer::CallerAnswer(CallerConnection &caller, CallerTerms terms, const bool &leaving, bool toHead)
    : m_caller(caller)
    , m_terms(terms)
    , m_leaving(leaving)
    , m_toHead(toHead)
{
}

bool CallerAnswer::keepsConnection() const
{
    return m_terms.keepAlive && !m_leaving && !m_caller.ended();
}

std::string CallerAnswer::head(const BackendAnswer &answer) const
{
    std::string message = statusLine(answer.status, answer.reason);
    for (const HttpHeader &line : answer.passed.lines()) {
        message += line.name + ": " + line.value + "\r\n";
    }
    return message;
}

void CallerAnswer::appendConnectionLine(std::string &message)
{
    if (!m_terms.keepAlive || m_leaving) {
        m_terms.keepAlive = false;
        message += "Connection: close\r\n";
    }
}

void CallerAnswer::beginStream(const BackendAnswer &answer)
{
    m_begun = true;
    std::string message = head(answer);
    if (m_terms.readsChunks) {
        message += "Transfer-Encoding: chunked\r\n";
    } else {
        m_terms.keepAlive = false; // The end of the connection ends the answer.
    }
    appendConnectionLine(message);
    message += "\r\n";
    m_caller.send(std::move(message));
}

void CallerAnswer::sendEvents(const std::string &events)
{
    m_caller.send(m_terms.readsChunks ? chunk(events) : events);
}

void CallerAnswer::endStream()
{
    if (m_terms.readsChunks) {
        m_caller.send("0\r\n\r\n");
    }
}

void CallerAnswer::sendWhole(const BackendAnswer &answer, const std::string &body)
{
    std::string message = head(answer);
    const std::uint64_t length = m_toHead ? answer.contentLength.value_or(0) : static_cast<std::uint64_t>(body.size());
    message += "Content-Length: " + std::to_string(length) + "\r\n";
    appendConnectionLine(message);
    message += "\r\n";
    message += body;
    m_caller.send(std::move(message));
}

void CallerAnswer::sendOwn(int status, std::string_view reason, std::optional<Duration> retryAfter)
{
    const std::string body = "{\"error\":\"" + std::string(reason) + "\"}";
    std::string message = statusLine(status, reason);
    message += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (retryAfter) {
        message += retryLine(*retryAfter);
    }
    appendConnectionLine(message);
    message += "\r\n";
    if (!m_toHead) {
        message += body;
    }
    m_caller.send(std::move(message));
}

void CallerAnswer::abort()
{
    dropConnection();
    m_caller.close();
}

} // namespace apricotarch
