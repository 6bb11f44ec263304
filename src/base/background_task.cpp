#include "apricotarch/base/background_task.h"

#include <string>

#include "apricotarch/base/log.h"

namespace apricotarch
{

void LogFailure::operator()(const std::exception_ptr &failure) const
{
    if (!failure) {
        return;
    }
    std::string detail = "unknown exception";
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        detail = error.what();
    } catch (...) { // NOLINT(bugprone-empty-catch): the text above says all that is known.
    }
    LogEvent("task.failed", LogEvent::Level::Error).field("task", m_task).field("detail", detail);
}

asio::awaitable<void> runLoop(Clock &clock, const char *task, std::function<asio::awaitable<void>()> loop)
{
    while (true) {
        std::exception_ptr failure;
        try {
            co_await loop();
        } catch (...) {
            failure = std::current_exception();
        }
        if (!failure) {
            co_return;
        }
        LogFailure{task}(failure);
        co_await clock.sleep(LoopRestartPause);
    }
}

} // namespace apricotarch
