#include "apricotarch/base/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace apricotarch
{

TimePoint SystemClock::now() const noexcept
{
    return std::chrono::steady_clock::now();
}

asio::awaitable<void> SystemClock::sleep(Duration duration)
{
    if (duration <= Duration::zero()) {
        co_return;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace apricotarch
