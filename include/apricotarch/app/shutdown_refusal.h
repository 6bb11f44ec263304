#pragma once

/**
 * @file
 * Decides for requests of callers whether a node that shuts down still serves them.
 */

#include <chrono>

#include "apricotarch/app/front_state.h"

namespace apricotarch
{

/// Returns when the time limits of a request and its route end; LongestRequestTime after its arrival if there are none.
[[nodiscard]] TimePoint requestDeadline(const CallerRequest &request, const Route &route);

/// Whether the node shuts down and does not serve a request, since the request may not end before the process does.
[[nodiscard]] bool isRefusedByShutdown(const FrontState &state, const CallerRequest &request, const Route &route);

/// Returns when a caller that a stopping node refuses may come again: soon, if there are other nodes that can serve it.
[[nodiscard]] std::chrono::milliseconds stoppingRetryDelay(FrontState &state);

} // namespace apricotarch
