#include "apricotarch/app/possible_crash.h"

#include <array>
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

/// What a check has found out of a server's process.
enum class ProcessState {
    Refuses, ///< It accepts no connection.
    Replaced, ///< Another process answers.
    Same, ///< The process that had the requests answers.
    Unknown, ///< It accepts connections, but does not say which process it is.
};

constexpr const char *stateName(ProcessState state)
{
    constexpr std::array<const char *, 4> Names = {"refuses", "replaced", "same", "unknown"};
    return Names.at(static_cast<std::size_t>(state));
}

/// Whether a server may be asked for its process. A server that limits its requests, or wants none, is not.
bool canBeAsked(const FrontState &state, const BackendPointer &server)
{
    return server && state.readEngineReport && server->record.stage != EngineStage::Any && server->record.state == BackendState::Ready
        && !server->statesShutdown() && !server->declines(state.clock.now()) && !server->limitsRequestRate();
}

/// Finds out, a moment after a connection to a server was lost, whether the process at the other end still runs.
asio::awaitable<ProcessState> findProcessState(FrontState &state, PossibleCrash loss)
{
    co_await state.clock.sleep(CheckDelay);
    const Result<std::unique_ptr<HttpConnection>> accepted = co_await HttpConnection::connect(loss.address, CheckTimeout);
    if (!accepted) {
        co_return ProcessState::Refuses;
    }
    const BackendPointer server = state.backends.find(loss.server);
    if (!canBeAsked(state, server)) {
        co_return ProcessState::Unknown;
    }
    const Result<EngineStageReport> report = co_await state.readEngineReport(server);
    if (!report || report->startedAt == 0) {
        co_return ProcessState::Unknown;
    }
    BackendRecord answering = server->record;
    answering.startedAt = report->startedAt;
    co_return engineProcessHash(answering) == loss.process ? ProcessState::Same : ProcessState::Replaced;
}

void logCrash(const PossibleCrash &crash)
{
    LogEvent("server.crash_recorded")
        .field("server", crash.server)
        .field("process", crash.process)
        .field("content", crash.content)
        .field("shared_parts", sharedPartsText(crash.prompt))
        .field("likelihood", std::to_string(crash.likelihood));
}

void recordCrash(FrontState &state, const PossibleCrash &crash, bool isConfirmed)
{
    if (isConfirmed) {
        logCrash(crash);
        state.crashTracker.recordCrash(crash.server, crash.content, crash.at);
    } else {
        state.crashTracker.recordUnconfirmedCrash(crash.server, crash.content, crash.at);
    }
    if (!crash.prompt.empty()) {
        state.partQuarantine.recordCrash(crash.prompt, {crash.process, crash.at, crash.likelihood, isConfirmed});
    }
    if (isConfirmed) {
        state.notifyUrgentChange();
    }
}

/// Applies the outcome of a check to a loss.
void settleLoss(FrontState &state, const PossibleCrash &loss, ProcessState found)
{
    if (loss.mayBeUnread) {
        if (found == ProcessState::Refuses) {
            recordCrash(state, loss, true);
        }
        return;
    }
    if (found == ProcessState::Same) {
        state.crashTracker.refuteCrash(loss.content);
        state.partQuarantine.refuteCrash(loss.process);
        return;
    }
    logCrash(loss);
    state.crashTracker.confirmCrash(loss.content, loss.at);
    state.partQuarantine.confirmCrash(loss.process);
    state.notifyUrgentChange();
}

/// Checks a server once for all losses at one of its processes.
asio::awaitable<void> checkServer(FrontState &state, std::uint32_t process, PossibleCrash first)
{
    const ProcessState found = co_await findProcessState(state, first);
    const std::vector<PossibleCrash> losses = std::move(state.uncheckedLosses.extract(process).mapped());
    LogEvent("server.checked_after_loss").field("server", first.server).field("losses", losses.size()).field("process", stateName(found));
    for (const PossibleCrash &loss : losses) {
        settleLoss(state, loss, found);
    }
}

} // namespace

void recordLoss(FrontState &state, PossibleCrash crash)
{
    const std::uint32_t process = crash.process;
    const bool isCheckRunning = state.uncheckedLosses.contains(process);
    const bool isChecked = crash.mayBeUnread || canBeAsked(state, state.backends.find(crash.server));
    if (!isChecked || (!isCheckRunning && state.uncheckedLosses.size() >= MaxChecks)) {
        recordCrash(state, crash, true);
        return;
    }
    if (!crash.mayBeUnread) {
        recordCrash(state, crash, false);
    }
    state.uncheckedLosses[process].push_back(crash);
    if (!isCheckRunning) {
        asio::co_spawn(state.executor, checkServer(state, process, std::move(crash)), LogFailure("check_server"));
    }
}

} // namespace apricotarch
