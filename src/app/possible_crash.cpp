#include "apricotarch/app/possible_crash.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "apricotarch/app/front_state.h"
#include "apricotarch/base/background_task.h"
#include "apricotarch/base/log.h"
#include "apricotarch/transport/http_client.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// Pause before a server is asked for a connection: a process that ends does not close all its sockets at once.
constexpr Duration CheckDelay = 50ms;

/// A server that accepts no connection within this time is taken to have ended.
constexpr Duration CheckTimeout = 300ms;

/// Most processes that are checked at a time. Losses at further ones are recorded as crashes.
constexpr std::size_t MaxChecks = 64;

/// Checks a server once for all losses at one of its processes.
asio::awaitable<void> checkServer(FrontState &state, std::uint32_t process, PossibleCrash first)
{
    co_await state.clock.sleep(CheckDelay);
    const Result<std::unique_ptr<HttpConnection>> accepted = co_await HttpConnection::connect(first.address, CheckTimeout);
    const std::vector<PossibleCrash> losses = std::move(state.uncheckedLosses.extract(process).mapped());
    LogEvent event("server.checked_after_loss");
    event.field("server", first.server).field("losses", losses.size()).field("accepts", accepted ? "yes" : "no");
    if (accepted) {
        co_return;
    }
    event.error(accepted.error());
    for (const PossibleCrash &loss : losses) {
        recordCrash(state, loss);
    }
}

} // namespace

void recordCrash(FrontState &state, const PossibleCrash &crash)
{
    LogEvent("server.crash_recorded")
        .field("server", crash.server)
        .field("process", crash.process)
        .field("content", crash.content)
        .field("shared_parts", sharedPartsText(crash.prompt))
        .field("likelihood", std::to_string(crash.likelihood));
    state.crashTracker.recordCrash(crash.server, crash.content, crash.at);
    if (!crash.prompt.empty()) {
        state.partQuarantine.recordCrash(crash.prompt, {crash.process, crash.at, crash.likelihood});
    }
    state.notifyUrgentChange();
}

void recordCrashUnlessServerAccepts(FrontState &state, PossibleCrash crash)
{
    const std::uint32_t process = crash.process;
    const bool isCheckRunning = state.uncheckedLosses.contains(process);
    if (!isCheckRunning && state.uncheckedLosses.size() >= MaxChecks) {
        recordCrash(state, crash);
        return;
    }
    state.uncheckedLosses[process].push_back(crash);
    if (!isCheckRunning) {
        asio::co_spawn(state.executor, checkServer(state, process, std::move(crash)), LogFailure("check_server"));
    }
}

} // namespace apricotarch
