#pragma once

/**
 * @file
 * An event that a coroutine can await with a deadline.
 */

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "apricotarch/base/clock.h"

namespace apricotarch
{

/// Event notification for one waiting coroutine on one event loop. A notification is kept until the next wait.
class AsyncEvent
{
public:
    explicit AsyncEvent(const asio::any_io_executor &executor)
        : m_timer(executor)
    {
    }

    /// Ends the current wait, or the next one if there is none.
    void notify()
    {
        m_notified = true;
        m_timer.cancel();
    }

    /// Waits until notified or until @p deadline.
    [[nodiscard]] asio::awaitable<void> waitUntil(TimePoint deadline)
    {
        if (!m_notified) {
            m_timer.expires_at(deadline);
            boost::system::error_code ignored; // Cancelled by notify() or expired; both end the wait.
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        m_notified = false;
    }

private:
    asio::steady_timer m_timer;
    bool m_notified = false;
};

} // namespace apricotarch
