#pragma once

/**
 * @file
 * Ends the connections of callers in a planned stop.
 */

#include <functional>

#include <boost/asio/awaitable.hpp>

#include "apricotarch/app/front_state.h"

namespace apricotarch
{

/**
 * Serves callers for as long as the schedule of the shutdown says, then closes idle connections and waits until the requests in progress
 * have been answered and their answers have been sent. Ends when no connection is left, and at the latest when the process must exit.
 * @param state the node's state with the shutdown's schedule; must outlive the coroutine
 * @param stopAccepting called once, before idle connections are closed
 */
[[nodiscard]] asio::awaitable<void> drainCallers(FrontState &state, std::function<void()> stopAccepting);

} // namespace apricotarch
