#pragma once

/**
 * @file
 * Functions shared by the stand-in programs: serving HTTP until a signal arrives, and common responses.
 */

#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "apricotarch/base/log.h"
#include "apricotarch/transport/http_server.h"

namespace apricotarch::standins
{

/// Serves HTTP requests on several addresses until SIGTERM or SIGINT. @return the process's exit code
inline int serveUntilSignal(EventLoopPool &eventLoops, const std::vector<std::string> &addresses, const HttpHandler &handler)
{
    std::vector<std::unique_ptr<HttpServer>> servers;
    for (const std::string &address : addresses) {
        const Result<Endpoint> endpoint = parseEndpoint(address);
        servers.push_back(std::make_unique<HttpServer>(eventLoops, HttpServerLimits(), handler));
        const Result<void> listening = endpoint ? servers.back()->listen(*endpoint) : Result<void>(Failure(endpoint.error()));
        if (!listening) {
            std::cerr << formatError(listening.error()) << '\n';
            return 1;
        }
    }
    eventLoops.start();
    boost::asio::io_context loop;
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
    signals.async_wait([](const boost::system::error_code &, int) {});
    loop.run();
    eventLoops.stop();
    return 0;
}

/// Responds with status 404.
inline boost::asio::awaitable<void> respondNotFound(HttpResponder &responder)
{
    (void)co_await responder.respond(jsonResponse(404, R"({"error":"not found"})"));
}

} // namespace apricotarch::standins
