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
};

/// Records a crash of a server as evidence against the request and the parts of its prompt.
void recordCrash(FrontState &state, const PossibleCrash &crash);

/**
 * Records a crash unless the server still accepts connections a moment later. For a connection that the server may have closed without
 * having read the request: an idle one, or one beyond the number that it accepts. No server starts again within that moment.
 */
void recordCrashUnlessServerAccepts(FrontState &state, PossibleCrash crash);

} // namespace apricotarch
