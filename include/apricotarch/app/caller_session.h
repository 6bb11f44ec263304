#pragma once

/**
 * @file
 * One caller's connection from its first byte to its end.
 */

#include <optional>

#include <boost/asio/ip/tcp.hpp>

#include "apricotarch/app/front_state.h"
#include "apricotarch/transport/caller_connection.h"

namespace apricotarch
{

/**
 * Serves requests of one caller one after another until either side closes.
 * @param state of the node; must outlive the coroutine
 * @param socket connected
 */
[[nodiscard]] asio::awaitable<void> serveCaller(FrontState &state, asio::ip::tcp::socket socket);

} // namespace apricotarch
