#pragma once

/**
 * @file
 * One small call of a backend server on a pooled connection, beside callers' requests.
 */

#include <string>

#include "apricotarch/transport/backend_channel.h"

namespace apricotarch
{

/// Whom to call, and with what.
struct BackendCall
{
    ReplicaId replica;
    Endpoint endpoint;
    std::string message; ///< Head and body on the wire.
    bool freshest = true; ///< Only a connection used a moment ago will do, since the call cannot be repeated.
    Duration timeout; ///< For connecting and for the answer, each.
};

/// What came back; status 0 for no answer in time, after which the connection is closed.
struct BackendCallAnswer
{
    int status = 0;
    std::string body;
};

/// Makes a call. @param pool, clock must outlive the call
[[nodiscard]] asio::awaitable<BackendCallAnswer> callBackend(BackendPool &pool, Clock &clock, BackendCall call);

} // namespace apricotarch
