#pragma once

/**
 * @file
 * A clock whose time advances only when a test advances it, and the event loop on which a test runs coroutines.
 */

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "apricotarch/base/clock.h"

namespace apricotarch::fakes
{

/// Wakes sleeping coroutines in the order of their wake times; coroutines with equal wake times wake in the order in which they began to
/// sleep.
class ManualClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const noexcept override
    {
        return m_now;
    }

    [[nodiscard]] asio::awaitable<void> sleep(Duration duration) override
    {
        if (duration <= Duration::zero()) {
            co_return;
        }
        const TimePoint wakeTime = m_now + duration;
        const auto addSleeper = [this, wakeTime](auto handler) {
            const auto sharedHandler = std::make_shared<decltype(handler)>(std::move(handler));
            m_sleepers.emplace(wakeTime, [sharedHandler] {
                asio::post(asio::get_associated_executor(*sharedHandler), [sharedHandler] {
                    std::move (*sharedHandler)();
                });
            });
        };
        co_await asio::async_initiate<const asio::use_awaitable_t<>, void()>(addSleeper, asio::use_awaitable);
    }

    /// Advances to the earliest wake time and wakes one coroutine, or advances by @p limit if no wake time is that near.
    void advance(Duration limit)
    {
        const TimePoint end = m_now + limit;
        if (m_sleepers.empty() || m_sleepers.begin()->first > end) {
            m_now = end;
            return;
        }
        m_now = std::max(m_now, m_sleepers.begin()->first);
        const auto wake = m_sleepers.begin()->second;
        m_sleepers.erase(m_sleepers.begin());
        wake();
    }

private:
    TimePoint m_now = TimePoint(std::chrono::hours(1));
    std::multimap<TimePoint, std::function<void()>> m_sleepers;
};

/// Runs coroutines with a manual clock.
class TestLoop
{
    asio::io_context m_loop{1}; // Must outlive the clock, which destroys the sleeping coroutines.

public:
    ManualClock clock;

    /// Starts a coroutine, which continues whenever time advances.
    void start(asio::awaitable<void> work)
    {
        asio::co_spawn(m_loop, std::move(work), [](const std::exception_ptr &error) {
            if (error) {
                std::rethrow_exception(error);
            }
        });
    }

    /// Advances time. @param check called after every step of the clock
    void advanceTime(
        Duration duration, const std::function<void()> &check = [] {})
    {
        const TimePoint end = clock.now() + duration;
        runReadyHandlers();
        while (clock.now() < end) {
            clock.advance(end - clock.now());
            runReadyHandlers();
            check();
        }
    }

    /// Runs a coroutine to its end, advancing time by up to ten minutes, and returns its value.
    template<typename T>
    T run(asio::awaitable<T> work)
    {
        std::optional<T> value;
        const auto storeResult = [&]() -> asio::awaitable<void> {
            value.emplace(co_await std::move(work));
        };
        start(storeResult());
        runReadyHandlers();
        const TimePoint end = clock.now() + std::chrono::minutes(10);
        while (!value && clock.now() < end) {
            clock.advance(end - clock.now());
            runReadyHandlers();
        }
        return std::move(value.value());
    }

    void run(asio::awaitable<void> work)
    {
        const auto finish = [&]() -> asio::awaitable<bool> {
            co_await std::move(work);
            co_return true;
        };
        (void)run(finish());
    }

private:
    void runReadyHandlers()
    {
        m_loop.restart();
        m_loop.poll();
    }
};

} // namespace apricotarch::fakes
