#pragma once

/**
 * @file
 * A single control call to a backend server, such as an order or a report request, on a connection of the pool.
 */

#include <string>

#include "apricotarch/transport/backend_connection.h"

namespace apricotarch
{

/// Parameters of a call.
struct BackendCall
{
    ReplicaId replica;
    Endpoint endpoint;
    std::string message; ///< Encoded HTTP request, head and body.
    bool usesAnswer = true; ///< Opens a new connection: on a kept one, a late answer to an earlier call could be taken for this one's.
    Duration timeout; ///< For connecting, and for the call as a whole.
};

/// Answer to a call. Status 0 means that no complete answer arrived in time; the connection is closed then.
struct BackendCallAnswer
{
    int status = 0;
    std::string body;
};

/**
 * Calls a backend server once, without retries.
 * @param pool source of the connection; must outlive the call
 * @param clock must outlive the call
 * @param call recipient, message and timeout
 */
[[nodiscard]] asio::awaitable<BackendCallAnswer> callBackend(BackendConnectionPool &pool, Clock &clock, BackendCall call);

} // namespace apricotarch
