#pragma once

/**
 * @file
 * Coroutines that nobody waits for. An exception that one of them does not handle is logged instead of being lost with it.
 */

#include <chrono>
#include <exception>
#include <functional>

#include "apricotarch/base/clock.h"

namespace apricotarch
{

/// Completion handler of asio::co_spawn() that logs the exception with which the coroutine has ended, if any.
class LogFailure
{
public:
    /// @param task name of the coroutine, for the log; must be a string literal
    explicit LogFailure(const char *task) noexcept
        : m_task(task)
    {
    }

    void operator()(const std::exception_ptr &failure) const;

private:
    const char *m_task;
};

/// Pause before a loop that has ended with an exception is started again.
constexpr std::chrono::milliseconds LoopRestartPause{500};

/**
 * Runs a loop that must not end, and starts it again if it ends with an exception, which is logged.
 * @param clock for the pause; must outlive the coroutine
 * @param task name of the loop, for the log; must be a string literal
 * @param loop returns the loop's coroutine. If that ends without an exception, so does this one.
 */
[[nodiscard]] asio::awaitable<void> runLoop(Clock &clock, const char *task, std::function<asio::awaitable<void>()> loop);

} // namespace apricotarch
