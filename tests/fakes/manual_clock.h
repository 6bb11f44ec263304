#pragma once

/**
 * @file
 * A clock that stands still until a test moves it, and the loop on which a test runs coroutines.
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

/// Sleepers wake in the order of their times, and in the order of falling asleep where these are equal.
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
        const TimePoint due = m_now + duration;
        const auto initiate = [this, due](auto handler) {
            const auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            m_sleepers.emplace(due, [shared] {
                asio::post(asio::get_associated_executor(*shared), [shared] {
                    std::move (*shared)();
                });
            });
        };
        co_await asio::async_initiate<const asio::use_awaitable_t<>, void()>(initiate, asio::use_awaitable);
    }

    /// Moves to the next sleeper's time, or by @p most where it comes later, and wakes it.
    void step(Duration most)
    {
        const TimePoint end = m_now + most;
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

/// Runs coroutines under a manual clock.
class Bench
{
    asio::io_context m_loop{1}; // Outlives the sleepers, whose coroutines end with the clock.

public:
    ManualClock clock;

    /// Starts a coroutine that goes on while time passes.
    void start(asio::awaitable<void> work)
    {
        asio::co_spawn(m_loop, std::move(work), [](const std::exception_ptr &error) {
            if (error) {
                std::rethrow_exception(error);
            }
        });
    }

    /// Lets time pass. @param check called after every wake-up
    void pass(
        Duration duration, const std::function<void()> &check = [] {})
    {
        const TimePoint end = clock.now() + duration;
        settle();
        while (clock.now() < end) {
            clock.step(end - clock.now());
            settle();
            check();
        }
    }

    /// Runs a coroutine to its end, letting at most ten minutes pass, and gives its value.
    template<typename T>
    T run(asio::awaitable<T> work)
    {
        std::optional<T> value;
        const auto keep = [&]() -> asio::awaitable<void> {
            value.emplace(co_await std::move(work));
        };
        start(keep());
        settle();
        const TimePoint end = clock.now() + std::chrono::minutes(10);
        while (!value && clock.now() < end) {
            clock.step(end - clock.now());
            settle();
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
    void settle()
    {
        m_loop.restart();
        m_loop.poll();
    }
};

} // namespace apricotarch::fakes
