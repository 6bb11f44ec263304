#pragma once

/**
 * @file
 * The row of one non-idempotent call in the platform's table. It is inserted before the call's only send.
 */

#include <string>

#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// How far a non-idempotent call has come.
enum class ClaimState {
    Dispatched, ///< It was sent, is being sent, or may yet be sent by its owner.
    NotSent, ///< Its owner gave up before sending; another try may take the row.
    Unknown, ///< It was sent and its owner could not learn the outcome.
    Done, ///< The result is known and kept in the row.
};

/// The result of a call.
struct CallResult
{
    int status = 0; ///< HTTP status at the backend server.
    std::string contentType;
    std::string body;

    bool operator==(const CallResult &) const = default;
};

/// One non-idempotent call.
struct ClaimRow
{
    ClaimState state = ClaimState::Dispatched;
    ContentHash content; ///< Of operation and body; the same key with another hash is an error.
    NodeId owner;
    Incarnation ownerIncarnation;
    ReplicaId replica; ///< Backend server that ran it, once known.
    CallResult result; ///< Valid in state Done.
    AttemptId attempt; ///< The write that made this row.

    bool operator==(const ClaimRow &) const = default;
};

} // namespace apricotarch
