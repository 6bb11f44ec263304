#pragma once

/**
 * @file
 * The answer to one request, as it is written to the caller's connection.
 */

#include <optional>
#include <string>
#include <string_view>

#include "apricotarch/transport/backend_dialect.h"
#include "apricotarch/transport/caller_connection.h"

namespace apricotarch
{

/// What the caller's connection allows.
struct CallerTerms
{
    bool keepAlive = true; ///< The caller wants to use its connection again.
    bool readsChunks = true; ///< It can read an answer in chunks.
};

/// Writes one answer: whole, as a stream of events, or this node's own. Used by one request's coroutine.
class CallerAnswer
{
public:
    /**
     * @param caller whom to answer; must outlive this
     * @param terms of the connection
     * @param leaving whether the node shuts down, so that connections end with their answers; read at each use
     * @param toHead whether a HEAD request is answered, whose answer has no body
     */
    CallerAnswer(CallerConnection &caller, CallerTerms terms, const bool &leaving, bool toHead);

    // ---- views ----

    /// Whether the head of a stream has been sent.
    [[nodiscard]] bool begun() const noexcept
    {
        return m_begun;
    }

    /// Whether the connection can serve another request after this answer.
    [[nodiscard]] bool keepsConnection() const;

    // ---- streams ----

    /// Sends the head of a server's stream.
    void beginStream(const BackendAnswer &answer);

    /// Sends whole events.
    void sendEvents(const std::string &events);

    /// Marks the stream as complete.
    void endStream();

    // ---- whole answers ----

    /// Sends a server's answer.
    void sendWhole(const BackendAnswer &answer, const std::string &body);

    /// Sends an answer of this node's own. @param retryAfter when the caller may come back, if it may
    void sendOwn(int status, std::string_view reason, std::optional<Duration> retryAfter);

    // ---- ends without an answer ----

    /// Closes the connection, so that a begun answer does not look complete.
    void abort();

    /// Notes that the connection cannot be used again.
    void dropConnection() noexcept
    {
        m_terms.keepAlive = false;
    }

private:
    [[nodiscard]] std::string head(const BackendAnswer &answer) const;
    void appendConnectionLine(std::string &message);

    CallerConnection &m_caller;
    CallerTerms m_terms;
    const bool &m_leaving;
    bool m_toHead;
    bool m_begun = false;
};

} // namespace apricotarch
