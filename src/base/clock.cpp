#include "apricotarch/base/clock.h"

#include <ctime>

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

TimePoint BootClock::now() const noexcept
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

asio::awaitable<void> BootClock::sleep(Duration duration)
{
    return m_sleeper.sleep(duration);
}

} // namespace apricotarch
