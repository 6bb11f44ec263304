#include "apricotarch/app/caller_drain.h"

#include <algorithm>

#include "apricotarch/app/incomplete_close.h"
#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration PollInterval = 20ms;

/// Logs and closes the connections that the end of the process cuts. @return their number
std::size_t closeCutConnections(FrontState &state)
{
    std::size_t cut = 0;
    for (CallerConnection &caller : state.callers) {
        if (caller.isBusy() && !caller.isClosed()) {
            ++cut;
            reportIncompleteClose(state, caller, {.reason = "process_ends", .discardedInputBytes = caller.unreadBytes()});
            caller.close();
        }
    }
    return cut;
}

} // namespace

asio::awaitable<void> drainCallers(FrontState &state, std::function<void()> stopAccepting)
{
    const ShutdownSchedule schedule = *state.shutdown;
    co_await state.clock.sleep(schedule.servesUntil() - state.clock.now());
    stopAccepting();
    state.closesIdleCallers = true;
    for (CallerConnection &caller : state.callers) {
        caller.changeEvent().notify();
    }
    while (!state.callers.empty() && state.clock.now() < schedule.exitsBy()) {
        co_await state.clock.sleep(std::min<Duration>(PollInterval, schedule.exitsBy() - state.clock.now()));
    }
    const std::size_t cut = closeCutConnections(state);
    LogEvent("node.stopped")
        .field("connections", state.callers.size())
        .field("cut", cut)
        .field("ms", toMilliseconds(state.clock.now() - schedule.startedAt()));
}

} // namespace apricotarch
