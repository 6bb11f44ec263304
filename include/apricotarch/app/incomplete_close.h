#pragma once

/**
 * @file
 * Reports connections of callers that this node closes although an answer is missing or incomplete, or input was not served.
 */

#include <cstddef>
#include <optional>
#include <string_view>

#include "apricotarch/app/front_state.h"
#include "apricotarch/transport/caller_connection.h"

namespace apricotarch
{

/// What was left undone when a caller's connection was closed.
struct IncompleteClose
{
    std::string_view reason = {}; ///< For the log.
    RequestId requestId = {}; ///< Empty if no request was being served.
    ReplicaId server = {}; ///< Server of the last attempt; empty if there was none.
    std::optional<Duration> serverSilence = {}; ///< Time since the last progress of the server on the request, if there was an attempt.
    std::size_t discardedInputBytes = 0; ///< Input that was not served.
};

/// Logs and counts the close of a caller's connection. To be called before the connection is closed.
void reportIncompleteClose(FrontState &state, const CallerConnection &caller, const IncompleteClose &close);

} // namespace apricotarch
