#include "apricotarch/app/request_forwarder.h"

#include <algorithm>
#include <utility>

#include "active_attempt.h"
#include "apricotarch/base/log.h"

// Silent servers: a server that has fallen silent keeps its request while another one is asked to take over. The first of them to go on
// delivers, and the connections to the others are closed.

namespace apricotarch
{

bool RequestForwarder::reserveRetryAfterSilence(ActiveAttempt &activeAttempt)
{
    const TimePoint now = m_state.clock.now();
    if (!std::exchange(activeAttempt.silenceNoticed, true)) {
        activeAttempt.backend->recordFailure(now);
        LogEvent("request.server_silent")
            .field("request", m_request.id)
            .field("server", activeAttempt.backend->record.id)
            .field("silent_ms", toMilliseconds(now - m_serverProgressAt))
            .field("answer_started", m_response.streamStarted() ? "yes" : "no");
        // A kept connection may have gone silent for good, and with it the idle ones to the same server.
        if (!activeAttempt.answer && !activeAttempt.connection->isFirstExchange()) {
            m_state.backendPool.retireConnections(activeAttempt.backend->record.id, now);
        }
    }
    if (hasQuarantinedPart() || chooseNextStep(AttemptResult::Silent, collectProgress()) != NextStep::TryAnother) {
        return false;
    }
    const BackendPointer next = placeInGroup(m_groupRank).server;
    if (!next || next->avoidUntil > now || next->load().requests >= next->record.slots) {
        return false;
    }
    // A retry is still reserved if the server asked before has not been reached.
    m_retryReserved = m_retryReserved || m_state.retryBudget.tryTakeRetry(m_serviceId, m_state.peers.countBudgetNodes(now), now);
    return m_retryReserved;
}

void RequestForwarder::keepSilentAttempt(std::unique_ptr<ActiveAttempt> activeAttempt)
{
    activeAttempt->silentStream = m_eventSplitter;
    activeAttempt->hasNewEvents = false;
    m_silentAttempts.push_back(std::move(activeAttempt));
}

bool RequestForwarder::pollSilentAttempts()
{
    if (m_silentAttempts.empty()) {
        return false;
    }
    bool goesOn = false;
    std::vector<std::unique_ptr<ActiveAttempt>> open;
    for (std::unique_ptr<ActiveAttempt> &silent : std::exchange(m_silentAttempts, {})) {
        readSilentAttempt(*silent);
        const ExchangePhase phase = silent->connection->phase();
        const bool isAhead = phase != ExchangePhase::Failed && hasGoneOn(*silent);
        if (isAhead || (phase != ExchangePhase::Failed && phase != ExchangePhase::Complete)) {
            goesOn = goesOn || isAhead;
            open.push_back(std::move(silent));
            continue;
        }
        const Attempt attempt = phase == ExchangePhase::Complete ? handleResponse(*silent) : handleConnectionLoss(*silent);
        recordEnd(*silent, false);
        LogEvent("request.silent_server_failed")
            .field("request", m_request.id)
            .field("server", silent->backend->record.id)
            .field("end", attemptResultName(attempt.result))
            .field("status", attempt.answer.status);
    }
    m_silentAttempts = std::move(open);
    return goesOn;
}

void RequestForwarder::readSilentAttempt(ActiveAttempt &silent)
{
    decodeHead(silent);
    std::string &body = silent.connection->body();
    if (!silent.relaysEvents || !silent.answer->isSigned || silent.hasNewEvents || body.empty()) {
        return;
    }
    EventSplitter stream = *silent.silentStream;
    if (!stream.append(body).empty()) {
        silent.hasNewEvents = true; // They stay in the body until the attempt is taken back.
        return;
    }
    body.clear();
    silent.silentStream = std::move(stream);
    if (const std::optional<StreamFault> &fault = silent.silentStream->fault()) {
        silent.connection->fail(fault->error, fault->detail);
    } else {
        silent.connection->setRetainedBytes(silent.silentStream->retainedBytes());
    }
}

std::unique_ptr<RequestForwarder::ActiveAttempt> RequestForwarder::takeBackSilentAttempt()
{
    auto found = std::ranges::find_if(m_silentAttempts, [this](const std::unique_ptr<ActiveAttempt> &silent) {
        return hasGoneOn(*silent);
    });
    const bool goesOn = found != m_silentAttempts.end();
    if (!goesOn) {
        found = m_silentAttempts.begin();
    }
    std::unique_ptr<ActiveAttempt> activeAttempt = std::move(*found);
    m_silentAttempts.erase(found);
    m_eventSplitter = *std::exchange(activeAttempt->silentStream, std::nullopt);
    activeAttempt->hasNewEvents = false;
    activeAttempt->retryAt = std::max<TimePoint>(activeAttempt->retryAt, m_state.clock.now() + SilencePollInterval);
    if (goesOn) {
        LogEvent("request.silent_server_goes_on")
            .field("request", m_request.id)
            .field("server", activeAttempt->backend->record.id)
            .field("asked", m_lastServer);
    }
    m_lastServer = activeAttempt->backend->record.id;
    m_lastVersion = activeAttempt->softwareVersion;
    m_serverProgressAt = activeAttempt->lastReceivedAt;
    return activeAttempt;
}

void RequestForwarder::replaceSilentServers(const ActiveAttempt &replacement)
{
    for (const std::unique_ptr<ActiveAttempt> &silent : m_silentAttempts) {
        LogEvent("request.silent_server_replaced")
            .field("request", m_request.id)
            .field("server", silent->backend->record.id)
            .field("by", replacement.backend->record.id)
            .field("silent_ms", toMilliseconds(m_state.clock.now() - silent->lastReceivedAt));
    }
    closeSilentAttempts();
}

void RequestForwarder::closeSilentAttempts()
{
    for (const std::unique_ptr<ActiveAttempt> &silent : m_silentAttempts) {
        silent->connection->close();
        recordEnd(*silent, false);
    }
    m_silentAttempts.clear();
}

} // namespace apricotarch
