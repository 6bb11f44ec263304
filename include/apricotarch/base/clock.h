#pragma once

/**
 * @file
 * The clock as an interface, so that tests decide what time it is.
 */

#include <chrono>

#include <boost/asio/awaitable.hpp>

namespace apricotarch
{

namespace asio = boost::asio;

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;

/// A monotonic clock that can also be slept on. Clocks of different VMs are never compared.
class Clock
{
public:
    Clock() = default;
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;
    virtual ~Clock() = default;

    /// The present moment of this process. Does not throw.
    [[nodiscard]] virtual TimePoint now() const noexcept = 0;

    /**
     * Suspends the calling coroutine.
     * @param duration how long; not positive means not at all
     */
    [[nodiscard]] virtual asio::awaitable<void> sleep(Duration duration) = 0;
};

/// The machine's monotonic clock.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const noexcept override;
    [[nodiscard]] asio::awaitable<void> sleep(Duration duration) override;
};

/// A monotonic clock that also counts time during which the VM was suspended. For leases, which lapse meanwhile.
class BootClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const noexcept override;
    [[nodiscard]] asio::awaitable<void> sleep(Duration duration) override;

private:
    SystemClock m_sleeper;
};

/// A duration in whole milliseconds, for logs and messages.
[[nodiscard]] constexpr std::int64_t toMilliseconds(Duration duration) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace apricotarch
