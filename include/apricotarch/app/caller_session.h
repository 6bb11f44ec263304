#pragma once

/**
 * @file
 * Serves one caller's connection from accept to close.
 */

#include <optional>

#include <boost/asio/ip/tcp.hpp>

#include "apricotarch/app/front_state.h"
#include "apricotarch/transport/caller_connection.h"

namespace apricotarch
{

/**
 * Serves the requests of one connection sequentially until either side closes it.
 * @param state the node's state; must outlive the coroutine
 * @param socket the connected socket
 */
[[nodiscard]] asio::awaitable<void> serveCaller(FrontState &state, asio::ip::tcp::socket socket);

} // namespace apricotarch
