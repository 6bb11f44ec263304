#pragma once

/**
 * @file
 * The wait of a process for the request to shut down.
 */

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "apricotarch/base/clock.h"

namespace apricotarch
{

/**
 * Waits for SIGTERM, SIGINT or the request of an operator. While it lives, these signals do not end the process, so that one that is
 * sent again does not cut a shutdown short.
 */
class ShutdownWait
{
public:
    /**
     * @param loop runs the wait; must outlive this object
     * @param clock for the pauses between two calls of @p requested; must outlive run()
     * @param requested whether an operator has requested a shutdown; is not called after run() has returned
     */
    ShutdownWait(asio::io_context &loop, Clock &clock, std::function<bool()> requested);
    ShutdownWait(const ShutdownWait &) = delete;
    ShutdownWait &operator=(const ShutdownWait &) = delete;
    ~ShutdownWait() = default;

    /// Runs the loop until a shutdown is requested. The loop can be run again afterwards.
    void run();

private:
    [[nodiscard]] asio::awaitable<void> pollRequest();

    asio::io_context &m_loop;
    Clock &m_clock;
    std::function<bool()> m_requested;
    asio::signal_set m_signals;
    std::shared_ptr<bool> m_signalled = std::make_shared<bool>(false); ///< Shared with the handler, which can outlive this object.
};

} // namespace apricotarch
