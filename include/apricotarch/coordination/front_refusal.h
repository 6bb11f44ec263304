#pragma once

/**
 * @file
 * Reasons for which a front node refuses a request, and the responses for them.
 */

#include <cstdint>

namespace apricotarch
{

/// Reason for which a request was refused. A refused request has not run.
enum class RefusalReason : std::uint8_t {
    NoConfiguration, ///< The node has no configuration yet.
    NoRoute, ///< No route matches the request.
    Unauthenticated, ///< The request has no key of a customer, and its route is not public.
    NoServer, ///< No backend server can take the request.
    TooLate, ///< The request cannot be served before its deadline.
    Quarantined, ///< The request is quarantined: its content has crashed backend servers.
    ServersFull, ///< Every server that the request may be sent to has declined it.
    Overloaded, ///< The request would wait too long for a server.
    UnknownVersion, ///< It resumes a stream, and more than one software version may have begun the stream.
    NodeStopping, ///< The node shuts down, and the request may not end before the process does.
};

/// Response to a refused request.
struct RefusalResponse
{
    int status; ///< HTTP status.
    const char *reason; ///< Name of the reason in the response, the log and the metrics.
    bool retry; ///< Whether the caller may try again later.
};

/// Returns the response for a reason. Constant time.
[[nodiscard]] const RefusalResponse &refusalResponse(RefusalReason reason) noexcept;

} // namespace apricotarch
