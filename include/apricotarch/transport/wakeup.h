#pragma once

/**
 * @file
 * Lets a coroutine wait until something happens or a moment has come.
 */

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "apricotarch/base/clock.h"

namespace apricotarch
{

/// For one waiting coroutine on one event loop. A notification that comes before the wait is kept.
class Wakeup
{
public:
    explicit Wakeup(const asio::any_io_executor &executor)
        : m_timer(executor)
    {
    }

    /// Ends the present wait, or the next one.
    void notify()
    {
        m_notified = true;
        m_timer.cancel();
    }

    /// Waits for a notification, at most until @p deadline.
    [[nodiscard]] asio::awaitable<void> waitUntil(TimePoint deadline)
    {
        if (!m_notified) {
            m_timer.expires_at(deadline);
            boost::system::error_code ignored; // Tells only whether the wait was notified or ran out.
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        m_notified = false;
    }

private:
    asio::steady_timer m_timer;
    bool m_notified = false;
};

} // namespace apricotarch
