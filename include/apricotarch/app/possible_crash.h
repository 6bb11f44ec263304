#pragma once

/**
 * @file
 * Crashes of backend servers that a request may have caused, as seen by this node's attempts.
 */

#include <cstdint>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/backend.h"

namespace apricotarch
{

struct FrontState;

/// The loss of a connection while a server had a request.
struct PossibleCrash
{
    ReplicaId server;
    Endpoint address;
    std::uint32_t process = 0; ///< The server's process when the request was sent, see engineProcessHash().
    ContentHash content; ///< Of the request.
    std::vector<PromptPart> prompt; ///< Parts of the request's prompt; empty if it has none or an answer has cleared it.
    double likelihood = 1; ///< That the prompt is the cause, see crashLikelihood().
    TimePoint at;
    /// Whether the server may have closed the connection without having read the request: an idle one, or one beyond the number that it
    /// accepts.
    bool mayBeUnread = false;
};

/**
 * Records the loss of a connection as a crash of its server, which is evidence against the request and the parts of its prompt.
 *
 * Connections are also lost without a crash. A moment later the server is asked for a connection and, if it is an engine, for the start of
 * its process: the same process refutes the crash. Until then, the crash counts at this node only. Other servers than engines cannot be
 * asked, so their losses count at once. A loss with mayBeUnread counts only if the server refuses a connection.
 */
void recordLoss(FrontState &state, PossibleCrash crash);

} // namespace apricotarch
