#pragma once

/**
 * @file
 * Writes the response to one request to the caller's connection.
 */

#include <optional>
#include <string>
#include <string_view>

#include "apricotarch/app/front_state.h"
#include "apricotarch/transport/backend_protocol_adapter.h"
#include "apricotarch/transport/caller_connection.h"

namespace apricotarch
{

/// Options of the caller's connection, taken from the request head.
struct CallerConnectionOptions
{
    bool keepAlive = true; ///< The caller wants to reuse the connection.
    bool acceptsChunked = true; ///< The caller accepts chunked transfer encoding.
};

/// Encodes a Retry-After header with its line end.
[[nodiscard]] std::string encodeRetryAfter(Duration retryAfter);

/// Writes one response: a full response, a stream of events, or a local error response. Used by one request's coroutine.
class CallerResponseWriter
{
public:
    /**
     * @param caller the connection to write to; must outlive this object
     * @param options options of the connection
     * @param state the node's state; responses announce the close of their connections if the node is shutting down when they begin.
     *     Must outlive this object
     * @param isHeadRequest whether the request's method is HEAD, so that the response has no body
     */
    CallerResponseWriter(CallerConnection &caller, CallerConnectionOptions options, const FrontState &state, bool isHeadRequest);

    // ---- state ----

    /// Whether the head of a stream has been sent.
    [[nodiscard]] bool streamStarted() const noexcept
    {
        return m_streamStarted;
    }

    /// Whether the connection can serve another request after this response. A connection stays open unless the response's head has
    /// announced the close, since its caller may already have sent the next request.
    [[nodiscard]] bool canReuseConnection() const;

    // ---- streams ----

    /// Sends the response head of a server's event stream.
    void beginStream(const BackendAnswer &answer);

    /// Sends complete events.
    void sendEvents(const std::string &events);

    /// Ends the stream, so that the caller sees it as complete.
    void endStream();

    // ---- full responses ----

    /// Sends a server's complete response.
    void sendFull(const BackendAnswer &answer, const std::string &body);

    /**
     * Sends an error response of this node.
     * @param status the HTTP status
     * @param reason the reason phrase, repeated in the JSON body
     * @param retryAfter delay after which the caller may retry; if empty, no Retry-After header is sent
     */
    void sendLocal(int status, std::string_view reason, std::optional<Duration> retryAfter);

    // ---- aborted responses ----

    /// Closes the connection, so that a started response does not look complete.
    void abort();

    /// Prevents reuse of the connection after this response.
    void disableReuse() noexcept
    {
        m_options.keepAlive = false;
    }

private:
    [[nodiscard]] std::string encodeHead(const BackendAnswer &answer) const;
    void appendConnectionHeader(std::string &message);

    CallerConnection &m_caller;
    CallerConnectionOptions m_options;
    const FrontState &m_state;
    bool m_isHeadRequest;
    bool m_streamStarted = false;
};

} // namespace apricotarch
