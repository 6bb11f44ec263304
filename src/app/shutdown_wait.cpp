#include "apricotarch/app/shutdown_wait.h"

#include <csignal>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "apricotarch/base/background_task.h"

namespace apricotarch
{

namespace
{

constexpr std::chrono::milliseconds PollInterval{100};

} // namespace

ShutdownWait::ShutdownWait(asio::io_context &loop, Clock &clock, std::function<bool()> requested)
    : m_loop(loop)
    , m_clock(clock)
    , m_requested(std::move(requested))
    , m_signals(loop, SIGTERM, SIGINT)
{
    m_signals.async_wait([signalled = m_signalled](const boost::system::error_code &code, int) {
        *signalled = *signalled || !code;
    });
}

void ShutdownWait::run()
{
    asio::co_spawn(m_loop, pollRequest(), [&loop = m_loop](const std::exception_ptr &failure) {
        LogFailure("shutdown_wait")(failure);
        loop.stop();
    });
    m_loop.run();
    m_loop.restart();
}

asio::awaitable<void> ShutdownWait::pollRequest()
{
    while (!*m_signalled && !m_requested()) {
        co_await m_clock.sleep(PollInterval);
    }
}

} // namespace apricotarch
