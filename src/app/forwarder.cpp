#include "apricotarch/app/forwarder.h"

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

/// A call that frees KV memory takes a round trip; the memory lapses by itself within seconds.
constexpr Duration ReleaseTimeout = 1s;

/// An answer is due this much before the caller's own timer ends, so that it still arrives.
constexpr Duration AnswerAhead = 15ms;

/// Share of the time left after which an idempotent request is sent elsewhere.
constexpr double PatienceShare = 0.4;

} // namespace

Forwarder::Forwarder(FrontState &state, CallerConnection &caller, CallerRequest request, CallerTerms terms)
    : m_state(state)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_plan(state.plan)
    , m_answer(caller, terms, state.leaving, m_request.method == "HEAD")
{
    ++m_state.activeRequests;
    m_state.bufferedBytes += m_request.body.size();
}

Forwarder::~Forwarder()
{
    --m_state.activeRequests;
    m_state.bufferedBytes -= m_request.body.size();
}

asio::awaitable<bool> Forwarder::serve()
{
    if (!refuseEarly()) {
        co_await sendUntilDone();
    }
    co_return m_answer.keepsConnection();
}

// ---- deciding ----

bool Forwarder::refuseEarly()
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
    m_content = contentHash(m_request.host + m_request.target + '\n' + m_request.body);
    Duration time = m_request.timeLimit ? Duration(*m_request.timeLimit) : LongestRequestTime;
    if (m_route->timeout.count() > 0) {
        time = std::min<Duration>(time, m_route->timeout);
    }
    m_deadline = m_request.arrivedAt + time - AnswerAhead;
    const TimePoint now = m_state.clock.now();
    m_state.metrics.increment(CounterFamily::Requests, m_route->name);
    m_state.budget.request(m_serviceId, now);
    if (now >= m_deadline) {
        refuse(RefusalReason::TooLate);
        return true;
    }
    if (m_state.crashes.isConvicted(m_content, now)) {
        refuse(RefusalReason::Convicted);
        return true;
    }
    return false;
}

ServiceId Forwarder::chooseService() const
{
    int total = 0;
    for (const ServiceWeight &share : m_route->services) {
        total += std::max(share.weight, 0);
    }
    if (total == 0) {
        return m_route->services.front().service;
    }
    int draw = std::uniform_int_distribution<int>(0, total - 1)(m_state.random);
    for (const ServiceWeight &share : m_route->services) {
        draw -= std::max(share.weight, 0);
        if (draw < 0) {
            return share.service;
        }
    }
    return m_route->services.back().service;
}

Placement Forwarder::place()
{
    const TimePoint now = m_state.clock.now();
    PlacementRequest request;
    request.zone = m_state.settings.zone;
    request.tried = m_tried;
    const std::vector<BackendPointer> servers = m_state.backends.usable(m_serviceId, now);
    if (m_service != nullptr && m_service->engine && m_request.prompt) {
        request.parts = m_request.prompt->parts;
        request.promptTokens = m_request.prompt->promptTokens;
        return m_state.placer.placePrompt(servers, request, *m_service->engine, now);
    }
    return m_state.placer.placePlain(servers, request, now);
}

bool Forwarder::isHopeless(const Placement &placement) const
{
    return placement.waitMs > m_state.settings.engineSpeed.longestWaitMs;
}

AttemptFacts Forwarder::facts() const
{
    AttemptFacts facts;
    facts.idempotent = m_route->idempotent();
    facts.sends = m_sends;
    facts.maxAttempts = m_route->maxAttempts;
    facts.mayHaveRun = m_mayHaveRun;
    facts.answering = m_answer.begun();
    const auto servers = m_state.backends.usable(m_serviceId, m_state.clock.now());
    facts.anotherServer = std::any_of(servers.begin(), servers.end(), [this](const BackendPointer &server) {
        return !m_tried.contains(server->record.id);
    });
    return facts;
}

Duration Forwarder::patience(const Placement &placement) const
{
    if (!m_route->idempotent() || m_sends + 1 >= m_route->maxAttempts) {
        return LongestRequestTime;
    }
    const Duration share = std::chrono::duration_cast<Duration>(PatienceShare * (m_deadline - m_state.clock.now()));
    if (m_route->kind == RouteKind::Safe) {
        return std::max<Duration>(m_route->targetLatency, share);
    }
    const auto predicted = std::chrono::milliseconds(static_cast<std::int64_t>(2 * placement.predictedFirstMs));
    return std::max<Duration>(m_route->targetLatency * 2, predicted);
}

std::chrono::milliseconds Forwarder::timeLeft() const
{
    return std::max(1ms, std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline + AnswerAhead - m_state.clock.now()));
}

// ---- sending ----

asio::awaitable<void> Forwarder::sendUntilDone()
{
    while (!m_done) {
        const Placement placement = place();
        m_placement = placement;
        BackendPointer engine = placement.run;
        if (engine && m_sends == 0 && isHopeless(placement)) {
            refuse(RefusalReason::Overloaded);
            break;
        }
        if (engine && placement.prefill && !m_kv && payPrefill()) {
            co_await prefill(placement);
            if (m_done || !m_kv) {
                continue;
            }
        }
        if (m_kv) {
            // Reading has taken its time: engines may have begun to leave meanwhile, and loads have changed.
            const TimePoint now = m_state.clock.now();
            engine = m_state.placer.placeRun(m_state.backends.usable(m_serviceId, now), m_tried, now);
        }
        if (!engine) {
            m_tried.empty() ? refuse(RefusalReason::NoServer) : refuse(RefusalReason::ServersFull);
            break;
        }
        SendTerms terms;
        terms.kvSource = m_kv;
        terms.lastEvent = m_events.lastId();
        if (!m_kv && placement.partsFrom && engine == placement.run) {
            terms.fetchParts = placement.partsFrom->record.address;
        }
        const std::int64_t toRead = m_kv ? 0 : placement.tokensToRead;
        const Attempt ended = co_await attempt(engine, std::move(terms), toRead, patience(placement));
        const bool full = engine->load().requests >= engine->record.slots;
        if (ended.end != AttemptEnd::NotSent && !(ended.end == AttemptEnd::NotExecuted && full)) {
            m_kv.reset(); // Taken by the run, lost with it, or lapsed: an engine with places free declines for no other reason.
        }
        if (ended.finished || !step(ended)) {
            break;
        }
    }
    if (m_kv) {
        releaseKv();
    }
}

bool Forwarder::payPrefill()
{
    const TimePoint now = m_state.clock.now();
    return m_prefills == 0 || m_state.budget.take(m_serviceId, m_state.peers.count(now), now);
}

bool Forwarder::step(const Attempt &attempt)
{
    const AttemptFacts known = facts();
    NextStep next = nextStep(attempt.end, known);
    if (next == NextStep::Deliver && m_answer.begun() && !attempt.answer.success()) {
        next = NextStep::Abort; // The server that should have continued the stream has answered something else.
    }
    const bool paid = m_sends > 0;
    if (next == NextStep::TryAnother && paid
        && !m_state.budget.take(m_serviceId, m_state.peers.count(m_state.clock.now()), m_state.clock.now())) {
        next = withoutBudget(attempt.end, known);
        m_state.metrics.increment(CounterFamily::Retries, "no_budget");
    }
    if (attempt.end != AttemptEnd::Answered) {
        LogEvent event("request.attempt_failed");
        event.field("request", m_request.id).field("server", m_lastServer).field("end", attemptEndName(attempt.end));
        event.field("status", attempt.answer.status).field("sends", m_sends).field("next", nextStepName(next));
        if (!attempt.error.step.empty()) {
            event.error(attempt.error);
        }
    }
    switch (next) {
    case NextStep::TryAnother:
        m_state.metrics.increment(CounterFamily::Retries, attemptEndName(attempt.end));
        return true;
    case NextStep::Deliver:
        deliver(attempt);
        break;
    case NextStep::Refuse:
        refuse(RefusalReason::ServersFull);
        break;
    case NextStep::Fail:
        answerOwn(502, attemptEndName(attempt.end), std::nullopt);
        break;
    case NextStep::Abort:
        abort(attemptEndName(attempt.end));
        break;
    }
    return false;
}

asio::awaitable<void> Forwarder::prefill(const Placement &placement)
{
    SendTerms terms;
    terms.prefillOnly = true;
    if (placement.partsFrom) {
        terms.fetchParts = placement.partsFrom->record.address;
    }
    const TimePoint begun = m_state.clock.now();
    const int sendsBefore = m_sends;
    const bool mayHaveRunBefore = m_mayHaveRun;
    const Attempt ended = co_await attempt(placement.prefill, std::move(terms), placement.tokensToRead, LongestRequestTime);
    m_mayHaveRun = mayHaveRunBefore; // A prefill runs nothing.
    m_prefills += m_sends - sendsBefore;
    if (ended.finished) {
        co_return;
    }
    if (ended.end == AttemptEnd::Answered && ended.answer.success()) {
        const Result<PrefillReceipt> receipt = m_state.dialect.decodePrefill(ended.body, placement.prefill->record.address.text());
        if (receipt) {
            m_sends = sendsBefore; // A prefill that is accepted is no send of the request itself.
            m_kv = KvLocation{placement.prefill->record.address, receipt->handle};
            m_kvEngine = placement.prefill->record.id;
            m_prefillTook = m_state.clock.now() - begun;
            co_return;
        }
    }
    Attempt declined;
    declined.end = ended.end == AttemptEnd::NotSent ? AttemptEnd::NotSent : AttemptEnd::NotExecuted;
    declined.error = ended.error;
    declined.answer = ended.answer;
    if (!step(declined)) {
        m_done = true;
    }
}

void Forwarder::releaseKv()
{
    // Without an answer the memory is freed when its time ends.
    BackendCall call{m_kvEngine, m_kv->engine, m_state.dialect.encodeRelease(*m_kv), false, ReleaseTimeout};
    const auto release = [](FrontState &state, BackendCall toMake) -> asio::awaitable<void> {
        (void)co_await callBackend(state.pool, state.clock, std::move(toMake));
    };
    asio::co_spawn(m_caller.executor(), release(m_state, std::move(call)), asio::detached);
}

// ---- answering ----

void Forwarder::deliver(const Attempt &attempt)
{
    if (m_answer.begun()) {
        m_answer.endStream();
        finish(attempt.answer.status, "streamed");
        return;
    }
    m_answer.sendWhole(attempt.answer, attempt.body);
    finish(attempt.answer.status, "answered");
}

void Forwarder::refuse(RefusalReason reason)
{
    const RefusalForm &form = refusalForm(reason);
    // Refused callers come back spread over a second, which is about the time that a backlog of one burst takes.
    const auto delay = std::chrono::milliseconds(std::uniform_int_distribution<int>(200, 1000)(m_state.random));
    m_state.metrics.increment(CounterFamily::Refusals, form.reason);
    answerOwn(form.status, form.reason, form.retry ? std::optional<Duration>(delay) : std::nullopt);
}

void Forwarder::answerOwn(int status, std::string_view reason, std::optional<Duration> retryAfter)
{
    if (m_answer.begun()) {
        abort("answer_already_begun");
        return;
    }
    m_answer.sendOwn(status, reason, retryAfter);
    finish(status, reason);
}

void Forwarder::abort(const char *why)
{
    m_answer.abort();
    finish(0, why);
}

void Forwarder::outOfTime()
{
    m_state.metrics.increment(CounterFamily::Answers, "out_of_time");
    if (m_answer.begun()) {
        abort("out_of_time");
    } else if (m_mayHaveRun) {
        answerOwn(504, "out_of_time", std::nullopt);
    } else {
        refuse(RefusalReason::TooLate);
    }
}

void Forwarder::callerLeft()
{
    m_answer.dropConnection();
    finish(0, "caller_left");
}

void Forwarder::finish(int status, std::string_view outcome)
{
    m_done = true;
    const Duration took = m_state.clock.now() - m_request.arrivedAt;
    m_state.metrics.increment(CounterFamily::Answers, outcome);
    m_state.metrics.observe(LatencyKind::Total, took);
    LogEvent event("request.done");
    event.field("request", m_request.id).field("route", m_route == nullptr ? "" : m_route->name).field("status", status);
    event.field("outcome", outcome).field("server", m_lastServer).field("sends", m_sends).field("ms", toMilliseconds(took));
    if (m_firstEventAt) {
        event.field("first_ms", toMilliseconds(*m_firstEventAt - m_request.arrivedAt)).field("events", m_events.count());
        event.field("longest_gap_ms", toMilliseconds(m_longestGap));
    }
    if (m_request.prompt) {
        event.field("prompt_tokens", m_request.prompt->promptTokens).field("read_tokens", m_placement.tokensToRead);
        event.field("wait_ms", std::lround(m_placement.waitMs)).field("predicted_ms", std::lround(m_placement.predictedFirstMs));
        event.field("parts_from", m_placement.partsFrom ? m_placement.partsFrom->record.id.value() : "");
    }
    if (m_prefillTook) {
        event.field("reader", m_kvEngine).field("prefill_ms", toMilliseconds(*m_prefillTook));
    }
    event.field("caller", m_caller.peer()).field("plan", m_plan->version());
}

} // namespace apricotarch
