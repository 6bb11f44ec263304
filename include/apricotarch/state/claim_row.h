#pragma once

/**
 * @file
 * The row of one non-idempotent call in the platform's table. It is inserted before the call's only send.
 */

#include <string>

#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// The progress of a non-idempotent call.
enum class ClaimState {
    Dispatched, ///< The call was sent, is being sent, or may still be sent by its owner.
    NotSent, ///< The owner released the call without sending it; another request may take over the row.
    Unknown, ///< The call was sent, but its owner could not determine the outcome.
    Done, ///< The call has run and the row contains its result.
};

/// The answer of a backend server to a call.
struct CallResult
{
    int status = 0; ///< HTTP status code.
    std::string contentType;
    std::string body;

    bool operator==(const CallResult &) const = default;
};

/// One non-idempotent call.
struct ClaimRow
{
    ClaimState state = ClaimState::Dispatched;
    ContentHash content; ///< Hash of operation and body; the same key with another hash is an error.
    NodeId owner;
    Incarnation ownerIncarnation;
    ReplicaId replica; ///< Backend server that ran the call; set in state Done.
    CallResult result; ///< Valid in state Done.
    WriteAttemptId attempt; ///< Identifies the write that produced this row.

    bool operator==(const ClaimRow &) const = default;
};

} // namespace apricotarch
