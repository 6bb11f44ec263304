#pragma once

/**
 * @file
 * Interface of the clock, which tests replace by a clock that they control.
 */

#include <chrono>

#include <boost/asio/awaitable.hpp>

namespace apricotarch
{

namespace asio = boost::asio;

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;

/// A monotonic clock with timers. Times of different VMs must never be compared.
class Clock
{
public:
    Clock() = default;
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;
    virtual ~Clock() = default;

    /// Returns the current time.
    [[nodiscard]] virtual TimePoint now() const noexcept = 0;

    /**
     * Suspends the calling coroutine.
     * @param duration length of the suspension; returns immediately if it is not positive
     */
    [[nodiscard]] virtual asio::awaitable<void> sleep(Duration duration) = 0;
};

/// The system's monotonic clock.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const noexcept override;
    [[nodiscard]] asio::awaitable<void> sleep(Duration duration) override;
};

/// A monotonic clock that also counts the time while the VM is suspended, during which leases expire. sleep() does not count that time.
class BootClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const noexcept override;
    [[nodiscard]] asio::awaitable<void> sleep(Duration duration) override;

private:
    SystemClock m_sleeper;
};

/// Converts a duration to whole milliseconds, rounded towards zero, for logs and messages.
[[nodiscard]] constexpr std::int64_t toMilliseconds(Duration duration) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace apricotarch
