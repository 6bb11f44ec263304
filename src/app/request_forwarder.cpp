#include "apricotarch/app/request_forwarder.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "apricotarch/base/hash.h"
#include "apricotarch/base/log.h"
#include "apricotarch/transport/backend_call.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// Timeout of a call that frees KV memory, which takes one round trip. The memory expires by itself within seconds.
constexpr Duration ReleaseTimeout = 1s;

/// The deadline lies this much before the end of the caller's own timer, so that the answer still arrives in time.
constexpr Duration DeadlineMargin = 15ms;

/// Share of the remaining time after which a safe request is sent to another server.
constexpr double SafeAnswerTimeoutShare = 0.4;

} // namespace

RequestForwarder::RequestForwarder(FrontState &state, CallerConnection &caller, CallerRequest request, CallerConnectionOptions options)
    : m_state(state)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_plan(state.plan)
    , m_response(caller, options, state.shuttingDown, m_request.method == "HEAD")
{
    ++m_state.activeRequests;
    m_state.bufferedBodyBytes += m_request.body.size();
}

RequestForwarder::~RequestForwarder()
{
    --m_state.activeRequests;
    m_state.bufferedBodyBytes -= m_request.body.size();
}

asio::awaitable<bool> RequestForwarder::serve()
{
    if (!refuseEarly()) {
        co_await sendUntilDone();
    }
    co_return m_response.canReuseConnection();
}

// ---- decisions ----

bool RequestForwarder::refuseEarly()
{
    if (m_plan->version() == 0) {
        refuse(RefusalReason::NoConfiguration);
        return true;
    }
    m_route = m_plan->find(m_request.host, m_request.path);
    if (m_route == nullptr) {
        refuse(RefusalReason::NoRoute);
        return true;
    }
    m_serviceId = chooseService();
    m_service = m_plan->service(m_serviceId);
    m_contentHash = contentHash(m_request.host + m_request.target + '\n' + m_request.body);
    Duration time = m_request.timeLimit ? Duration(*m_request.timeLimit) : LongestRequestTime;
    if (m_route->timeout.count() > 0) {
        time = std::min<Duration>(time, m_route->timeout);
    }
    m_deadline = m_request.arrivedAt + time - DeadlineMargin;
    const TimePoint now = m_state.clock.now();
    m_state.metrics.increment(CounterFamily::Requests, m_route->name);
    m_state.retryBudget.request(m_serviceId, now);
    if (now >= m_deadline) {
        refuse(RefusalReason::TooLate);
        return true;
    }
    if (m_state.crashTracker.isQuarantined(m_contentHash, now)) {
        refuse(RefusalReason::Quarantined);
        return true;
    }
    return false;
}

ServiceId RequestForwarder::chooseService() const
{
    int total = 0;
    for (const ServiceWeight &serviceWeight : m_route->services) {
        total += std::max(serviceWeight.weight, 0);
    }
    if (total == 0) {
        return m_route->services.front().service;
    }
    int remaining = std::uniform_int_distribution<int>(0, total - 1)(m_state.random);
    for (const ServiceWeight &serviceWeight : m_route->services) {
        remaining -= std::max(serviceWeight.weight, 0);
        if (remaining < 0) {
            return serviceWeight.service;
        }
    }
    return m_route->services.back().service;
}

Placement RequestForwarder::selectPlacement()
{
    const TimePoint now = m_state.clock.now();
    PlacementRequest request;
    request.zone = m_state.settings.zone;
    request.tried = m_triedServers;
    const std::vector<BackendPointer> servers = m_state.backends.usable(m_serviceId, now);
    if (m_service != nullptr && m_service->engine && m_request.prompt) {
        request.parts = m_request.prompt->parts;
        request.promptTokens = m_request.prompt->promptTokens;
        return m_state.placer.selectEngines(servers, request, *m_service->engine, now);
    }
    return m_state.placer.selectServer(servers, request, now);
}

bool RequestForwarder::exceedsWaitLimit(const Placement &placement) const
{
    return placement.waitMs > m_state.settings.engineSpeed.maxWaitMs;
}

RequestProgress RequestForwarder::collectFacts() const
{
    RequestProgress facts;
    facts.idempotent = m_route->idempotent();
    facts.sends = m_sends;
    facts.maxAttempts = m_route->maxAttempts;
    facts.mayHaveRun = m_mayHaveExecuted;
    facts.answering = m_response.streamStarted();
    const auto servers = m_state.backends.usable(m_serviceId, m_state.clock.now());
    facts.anotherServer = std::any_of(servers.begin(), servers.end(), [this](const BackendPointer &server) {
        return !m_triedServers.contains(server->record.id);
    });
    return facts;
}

Duration RequestForwarder::selectAnswerTimeout(const Placement &placement) const
{
    if (!m_route->idempotent() || m_sends + 1 >= m_route->maxAttempts) {
        return LongestRequestTime;
    }
    const Duration timeout = std::chrono::duration_cast<Duration>(SafeAnswerTimeoutShare * (m_deadline - m_state.clock.now()));
    if (m_route->kind == RouteKind::Safe) {
        return std::max<Duration>(m_route->targetLatency, timeout);
    }
    const auto predicted = std::chrono::milliseconds(static_cast<std::int64_t>(2 * placement.predictedFirstEventMs));
    return std::max<Duration>(m_route->targetLatency * 2, predicted);
}

std::chrono::milliseconds RequestForwarder::remainingTime() const
{
    return std::max(1ms, std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline + DeadlineMargin - m_state.clock.now()));
}

// ---- sending ----

asio::awaitable<void> RequestForwarder::sendUntilDone()
{
    while (!m_finished) {
        const Placement placement = selectPlacement();
        m_lastPlacement = placement;
        BackendPointer engine = placement.run;
        if (engine && m_sends == 0 && exceedsWaitLimit(placement)) {
            refuse(RefusalReason::Overloaded);
            break;
        }
        if (engine && placement.prefill && !m_kvLocation && takePrefillBudget()) {
            co_await prefill(placement);
            if (m_finished || !m_kvLocation) {
                continue;
            }
        }
        if (m_kvLocation) {
            // During the prefill, engines may have started to drain and loads have changed.
            const TimePoint now = m_state.clock.now();
            engine = m_state.placer.selectDecodeEngine(m_state.backends.usable(m_serviceId, now), m_triedServers, now);
        }
        if (!engine) {
            m_triedServers.empty() ? refuse(RefusalReason::NoServer) : refuse(RefusalReason::ServersFull);
            break;
        }
        AttemptOptions terms;
        terms.kvSource = m_kvLocation;
        terms.lastEventId = m_eventReader.lastId();
        if (!m_kvLocation && placement.prefixSource && engine == placement.run) {
            terms.kvFetchSource = placement.prefixSource->record.address;
        }
        const std::int64_t tokensToPrefill = m_kvLocation ? 0 : placement.tokensToRead;
        const Attempt result = co_await sendAttempt(engine, std::move(terms), tokensToPrefill, selectAnswerTimeout(placement));
        const bool full = engine->load().requests >= engine->record.slots;
        if (result.end != AttemptResult::NotSent && !(result.end == AttemptResult::NotExecuted && full)) {
            // The decode engine has taken the memory, the memory was lost with the attempt, or it has expired: an engine with free
            // slots declines for no other reason.
            m_kvLocation.reset();
        }
        if (result.finished || !takeNextStep(result)) {
            break;
        }
    }
    if (m_kvLocation) {
        releaseKv();
    }
}

bool RequestForwarder::takePrefillBudget()
{
    const TimePoint now = m_state.clock.now();
    return m_prefillSends == 0 || m_state.retryBudget.take(m_serviceId, m_state.peers.count(now), now);
}

bool RequestForwarder::takeNextStep(const Attempt &attempt)
{
    const RequestProgress facts = collectFacts();
    NextStep next = chooseNextStep(attempt.end, facts);
    if (next == NextStep::Deliver && m_response.streamStarted() && !attempt.answer.success()) {
        next = NextStep::Abort; // The server that should have continued the stream has returned an error.
    }
    const bool isRetry = m_sends > 0;
    if (next == NextStep::TryAnother && isRetry
        && !m_state.retryBudget.take(m_serviceId, m_state.peers.count(m_state.clock.now()), m_state.clock.now())) {
        next = chooseStepWithoutRetry(attempt.end, facts);
        m_state.metrics.increment(CounterFamily::Retries, "no_budget");
    }
    if (attempt.end != AttemptResult::Answered) {
        LogEvent event("request.attempt_failed");
        event.field("request", m_request.id).field("server", m_lastServer).field("end", attemptResultName(attempt.end));
        event.field("status", attempt.answer.status).field("sends", m_sends).field("next", nextStepName(next));
        if (!attempt.error.step.empty()) {
            event.error(attempt.error);
        }
    }
    switch (next) {
    case NextStep::TryAnother:
        m_state.metrics.increment(CounterFamily::Retries, attemptResultName(attempt.end));
        return true;
    case NextStep::Deliver:
        deliverResponse(attempt);
        break;
    case NextStep::Refuse:
        refuse(RefusalReason::ServersFull);
        break;
    case NextStep::Fail:
        sendLocalResponse(502, attemptResultName(attempt.end), std::nullopt);
        break;
    case NextStep::Abort:
        abortResponse(attemptResultName(attempt.end));
        break;
    }
    return false;
}

asio::awaitable<void> RequestForwarder::prefill(const Placement &placement)
{
    AttemptOptions terms;
    terms.prefillOnly = true;
    if (placement.prefixSource) {
        terms.kvFetchSource = placement.prefixSource->record.address;
    }
    const TimePoint startedAt = m_state.clock.now();
    const int sendsBefore = m_sends;
    const bool mayHaveExecutedBefore = m_mayHaveExecuted;
    const Attempt result = co_await sendAttempt(placement.prefill, std::move(terms), placement.tokensToRead, LongestRequestTime);
    m_mayHaveExecuted = mayHaveExecutedBefore; // A prefill does not execute the request.
    m_prefillSends += m_sends - sendsBefore;
    if (result.finished) {
        co_return;
    }
    if (result.end == AttemptResult::Answered && result.answer.success()) {
        const Result<PrefillReceipt> receipt = m_state.protocolAdapter.decodePrefill(result.body, placement.prefill->record.address.text());
        if (receipt) {
            m_sends = sendsBefore; // An accepted prefill does not count as an attempt of the request.
            m_kvLocation = KvLocation{placement.prefill->record.address, receipt->handle};
            m_prefillEngine = placement.prefill->record.id;
            m_prefillDuration = m_state.clock.now() - startedAt;
            co_return;
        }
    }
    Attempt declined;
    declined.end = result.end == AttemptResult::NotSent ? AttemptResult::NotSent : AttemptResult::NotExecuted;
    declined.error = result.error;
    declined.answer = result.answer;
    if (!takeNextStep(declined)) {
        m_finished = true;
    }
}

void RequestForwarder::releaseKv()
{
    // If the call fails, the memory is freed when it expires.
    BackendCall call{m_prefillEngine, m_kvLocation->engine, m_state.protocolAdapter.encodeRelease(*m_kvLocation), false, ReleaseTimeout};
    const auto release = [](FrontState &state, BackendCall releaseCall) -> asio::awaitable<void> {
        (void)co_await callBackend(state.backendPool, state.clock, std::move(releaseCall));
    };
    asio::co_spawn(m_caller.executor(), release(m_state, std::move(call)), asio::detached);
}

// ---- responses ----

void RequestForwarder::deliverResponse(const Attempt &attempt)
{
    if (m_response.streamStarted()) {
        m_response.endStream();
        finishRequest(attempt.answer.status, "streamed");
        return;
    }
    m_response.sendFull(attempt.answer, attempt.body);
    finishRequest(attempt.answer.status, "answered");
}

void RequestForwarder::refuse(RefusalReason reason)
{
    const RefusalResponse &form = refusalResponse(reason);
    // Spreads the retries of refused callers over a second, which is about the time that the backlog of one burst takes.
    const auto delay = std::chrono::milliseconds(std::uniform_int_distribution<int>(200, 1000)(m_state.random));
    m_state.metrics.increment(CounterFamily::Refusals, form.reason);
    sendLocalResponse(form.status, form.reason, form.retry ? std::optional<Duration>(delay) : std::nullopt);
}

void RequestForwarder::sendLocalResponse(int status, std::string_view reason, std::optional<Duration> retryAfter)
{
    if (m_response.streamStarted()) {
        abortResponse("answer_already_begun");
        return;
    }
    m_response.sendLocal(status, reason, retryAfter);
    finishRequest(status, reason);
}

void RequestForwarder::abortResponse(const char *outcome)
{
    m_response.abort();
    finishRequest(0, outcome);
}

void RequestForwarder::handleTimeout()
{
    m_state.metrics.increment(CounterFamily::Answers, "out_of_time");
    if (m_response.streamStarted()) {
        abortResponse("out_of_time");
    } else if (m_mayHaveExecuted) {
        sendLocalResponse(504, "out_of_time", std::nullopt);
    } else {
        refuse(RefusalReason::TooLate);
    }
}

void RequestForwarder::handleCallerDisconnect()
{
    m_response.disableReuse();
    finishRequest(0, "caller_left");
}

void RequestForwarder::finishRequest(int status, std::string_view outcome)
{
    m_finished = true;
    const Duration duration = m_state.clock.now() - m_request.arrivedAt;
    m_state.metrics.increment(CounterFamily::Answers, outcome);
    m_state.metrics.observe(LatencyKind::Total, duration);
    LogEvent event("request.done");
    event.field("request", m_request.id).field("route", m_route == nullptr ? "" : m_route->name).field("status", status);
    event.field("outcome", outcome).field("server", m_lastServer).field("sends", m_sends).field("ms", toMilliseconds(duration));
    if (m_firstEventAt) {
        event.field("first_ms", toMilliseconds(*m_firstEventAt - m_request.arrivedAt)).field("events", m_eventReader.count());
        event.field("longest_gap_ms", toMilliseconds(m_longestGap));
    }
    if (m_request.prompt) {
        event.field("prompt_tokens", m_request.prompt->promptTokens).field("read_tokens", m_lastPlacement.tokensToRead);
        event.field("wait_ms", std::lround(m_lastPlacement.waitMs))
            .field("predicted_ms", std::lround(m_lastPlacement.predictedFirstEventMs));
        event.field("parts_from", m_lastPlacement.prefixSource ? m_lastPlacement.prefixSource->record.id.value() : "");
    }
    if (m_prefillDuration) {
        event.field("reader", m_prefillEngine).field("prefill_ms", toMilliseconds(*m_prefillDuration));
    }
    event.field("caller", m_caller.peer()).field("plan", m_plan->version());
}

} // namespace apricotarch
