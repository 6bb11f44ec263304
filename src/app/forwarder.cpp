#include "apricotarch/app/forwarder.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "apricotarch/base/hash.h"
#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// A connection within a desk's region is made in a few milliseconds; a lost packet is sent again after a second.
constexpr Duration ConnectTimeout = 300ms;

/// An answer is due this much before the caller's own timer ends, so that it still arrives.
constexpr Duration AnswerAhead = 15ms;

/// Longest time that a request waits where neither caller nor route sets one.
constexpr Duration LongestTime = 60s;

/// A server that has sent nothing for this long while it has a request may be gone without a trace.
constexpr Duration SilentFor = 1200ms;

/// Share of the time left after which an idempotent request is sent elsewhere.
constexpr double PatienceShare = 0.4;

/// A connection that breaks sooner than this was closed before the server read the request.
constexpr Duration CrashAfter = 5ms;

/// Least priority that a server knows; 0 is the most urgent.
constexpr int LeastPriority = 9;

/// What a refusal says, and when it may be repeated.
struct RefusalForm
{
    int status;
    const char *reason;
    bool retry;
};

RefusalForm formOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoConfiguration:
        return {503, "no_configuration", true};
    case RefusalReason::NoRoute:
        return {404, "no_route", false};
    case RefusalReason::NoServer:
        return {503, "no_server", true};
    case RefusalReason::TooLate:
        return {503, "too_late", true};
    case RefusalReason::Convicted:
        return {503, "content_crashes_servers", true};
    case RefusalReason::ServersFull:
        return {503, "servers_full", true};
    case RefusalReason::Overloaded:
        return {503, "overloaded", true};
    case RefusalReason::OutOfMemory:
        return {503, "node_memory", true};
    }
    return {503, "unknown", true};
}

const char *endName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::ServerError:
        return "server_error";
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::NotExecuted:
        return "not_executed";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::Silent:
        return "silent";
    }
    return "unknown";
}

const char *nextName(NextStep next)
{
    switch (next) {
    case NextStep::Deliver:
        return "deliver";
    case NextStep::TryAnother:
        return "try_another";
    case NextStep::Refuse:
        return "refuse";
    case NextStep::Fail:
        return "fail";
    case NextStep::Abort:
        return "abort";
    }
    return "unknown";
}

std::string chunk(std::string_view bytes)
{
    std::array<char, 24> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string text(size.data(), static_cast<std::size_t>(length));
    text += bytes;
    text += "\r\n";
    return text;
}

std::string statusLine(int status, std::string_view reason)
{
    return "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(reason) + "\r\n";
}

} // namespace

/// One send to one server. Takes the work off the server's load when it ends.
struct Forwarder::Sending
{
    Sending(FrontState &node, BackendPointer server, std::int64_t tokens)
        : state(node)
        , backend(std::move(server))
        , tokensToRead(tokens)
    {
        backend->own.requests += 1;
        backend->own.promptTokens += tokensToRead;
        state.loadChanged(*backend, tokensToRead);
    }
    Sending(const Sending &) = delete;
    Sending &operator=(const Sending &) = delete;
    ~Sending()
    {
        promptRead();
        backend->own.requests -= 1;
    }

    /// Notes that the server has read the prompt.
    void promptRead()
    {
        const std::int64_t read = std::exchange(tokensToRead, 0);
        backend->own.promptTokens -= read;
        state.loadChanged(*backend, read);
    }

    FrontState &state;

    BackendPointer backend;
    std::int64_t tokensToRead;
    BackendChannel::Pointer channel;
    std::optional<BackendAnswer> answer;
    bool prefillOnly = false;
    bool relaysEvents = false;
    TimePoint begunAt;
    TimePoint until; ///< When another server is tried.
    TimePoint heardAt; ///< When the last bytes came.
};

Forwarder::Forwarder(FrontState &state, CallerConnection &caller, CallerRequest request, CallerTerms terms)
    : m_state(state)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_plan(state.plan)
    , m_terms(terms)
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
    co_return m_terms.keepAlive && !m_state.leaving && !m_caller.ended();
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
    Duration time = m_request.timeLimit ? Duration(*m_request.timeLimit) : LongestTime;
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
    facts.kind = m_route->kind;
    facts.idempotent = m_route->idempotent();
    facts.sends = m_sends;
    facts.maxAttempts = m_route->maxAttempts;
    facts.mayHaveRun = m_mayHaveRun;
    facts.answering = m_answering;
    const auto servers = m_state.backends.usable(m_serviceId, m_state.clock.now());
    facts.anotherServer = std::any_of(servers.begin(), servers.end(), [this](const BackendPointer &server) {
        return !m_tried.contains(server->record.id);
    });
    return facts;
}

Duration Forwarder::patience(const Placement &placement) const
{
    if (!m_route->idempotent() || m_sends + 1 >= m_route->maxAttempts) {
        return LongestTime;
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
        releaseKv(*m_kv, m_kvEngine);
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
    if (next == NextStep::Deliver && m_answering && !attempt.answer.success()) {
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
        event.field("request", m_request.id).field("server", m_lastServer).field("end", endName(attempt.end));
        event.field("status", attempt.answer.status).field("sends", m_sends).field("next", nextName(next));
        if (!attempt.error.step.empty()) {
            event.error(attempt.error);
        }
    }
    switch (next) {
    case NextStep::TryAnother:
        m_state.metrics.increment(CounterFamily::Retries, endName(attempt.end));
        return true;
    case NextStep::Deliver:
        deliver(attempt);
        break;
    case NextStep::Refuse:
        refuse(RefusalReason::ServersFull);
        break;
    case NextStep::Fail:
        answerOwn(502, endName(attempt.end), std::nullopt);
        break;
    case NextStep::Abort:
        abort(endName(attempt.end));
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
    const Attempt ended = co_await attempt(placement.prefill, std::move(terms), placement.tokensToRead, LongestTime);
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

asio::awaitable<Forwarder::Attempt> Forwarder::attempt(
    BackendPointer backend, SendTerms terms, std::int64_t tokensToRead, Duration patience)
{
    const TimePoint now = m_state.clock.now();
    Sending sending(m_state, backend, tokensToRead);
    sending.prefillOnly = terms.prefillOnly;
    sending.begunAt = now;
    sending.heardAt = now;
    sending.until = patience >= LongestTime ? TimePoint::max() : now + patience;
    m_lastServer = backend->record.id;
    m_tried.insert(backend->record.id);
    terms.replica = backend->record.id;
    terms.timeLeft = timeLeft();
    if (m_request.prompt) {
        if (m_state.settings.engineSpeed.usePriorities) {
            terms.priority = std::clamp(m_route->priority, 0, LeastPriority);
        }
        backend->cache.use(m_request.prompt->parts);
        m_state.readRates[m_serviceId].add(static_cast<double>(tokensToRead), now);
        m_state.uses.push_back({backend->record.id, m_request.prompt->parts});
    }
    if (!terms.prefillOnly) {
        m_events.beginRun();
        m_state.crashes.started(backend->record.id, m_content);
    }
    const auto ownAnswer = [this](const AnswerHead &head) {
        const BackendAnswer answer = m_state.dialect.decodeAnswer(head.status, head.reason, head.headers);
        return head.status >= 200 && (answer.request ? *answer.request == m_request.id : !answer.success());
    };
    const bool freshest = !m_route->idempotent() && !terms.prefillOnly;
    sending.channel = m_state.pool.acquire(co_await asio::this_coro::executor, backend->record.id, backend->record.address, freshest, now);
    sending.channel->begin(
        m_state.dialect.encodeRequest(m_request, terms), m_request.method == "HEAD", ownAnswer, ConnectTimeout, m_caller.wakeup());
    Attempt ended = co_await follow(sending);
    if (!terms.prefillOnly) {
        m_state.crashes.ended(backend->record.id, m_content, ended.end == AttemptEnd::Answered, m_state.clock.now());
    }
    co_return ended;
}

asio::awaitable<Forwarder::Attempt> Forwarder::follow(Sending &sending)
{
    BackendChannel &channel = *sending.channel;
    bool counted = false;
    while (true) {
        if (!counted && channel.maybeSent()) {
            counted = true;
            ++m_sends;
        }
        progress(sending);
        if (channel.phase() == ChannelPhase::Done) {
            co_return conclude(sending);
        }
        if (channel.phase() == ChannelPhase::Failed) {
            co_return lost(sending);
        }
        const TimePoint now = m_state.clock.now();
        if (m_caller.ended() || now >= m_deadline) {
            co_return giveUp(sending);
        }
        TimePoint wake = m_deadline;
        if (sending.until != TimePoint::max()) {
            const TimePoint silentAt = std::max(sending.until, std::max(sending.heardAt, sending.backend->progressAt) + SilentFor);
            const TimePoint due = m_route->kind == RouteKind::Safe ? sending.until : silentAt;
            if (now >= due) {
                m_mayHaveRun = true;
                channel.close();
                sending.backend->failed(now);
                Attempt ended;
                ended.end = AttemptEnd::Silent;
                co_return ended;
            }
            wake = std::min(wake, due);
        }
        co_await m_caller.wakeup().waitUntil(wake);
    }
}

void Forwarder::progress(Sending &sending)
{
    BackendChannel &channel = *sending.channel;
    const bool answering = channel.phase() == ChannelPhase::Answering || channel.phase() == ChannelPhase::Done;
    if (!answering && !sending.answer) {
        return;
    }
    if (!sending.answer) {
        const AnswerHead &head = channel.head();
        sending.answer = m_state.dialect.decodeAnswer(head.status, head.reason, head.headers);
        sending.relaysEvents = !sending.prefillOnly && m_route->kind == RouteKind::Streaming && sending.answer->success();
    }
    if (!channel.body().empty()) {
        sending.heardAt = m_state.clock.now();
        sending.backend->progressAt = sending.heardAt;
    }
    if (sending.relaysEvents && sending.answer->sealed) {
        passEvents(sending);
    }
}

void Forwarder::passEvents(Sending &sending)
{
    const std::uint64_t before = m_events.count();
    const std::string events = m_events.take(sending.channel->body());
    sending.channel->body().clear();
    if (events.empty()) {
        return;
    }
    sending.promptRead();
    const TimePoint now = m_state.clock.now();
    if (m_firstEventAt) {
        m_longestGap = std::max<Duration>(m_longestGap, now - m_lastEventAt);
    }
    m_lastEventAt = now;
    if (!m_answering) {
        m_firstEventAt = now;
        m_state.metrics.observe(LatencyKind::FirstToken, *m_firstEventAt - m_request.arrivedAt);
        beginStream(*sending.answer);
    }
    m_caller.send(m_terms.readsChunks ? chunk(events) : events);
    m_state.eventRates[m_serviceId].add(static_cast<double>(m_events.count() - before), m_state.clock.now());
}

Forwarder::Attempt Forwarder::conclude(Sending &sending)
{
    const TimePoint now = m_state.clock.now();
    Attempt ended;
    ended.answer = *sending.answer;
    ended.body = std::move(sending.channel->body());
    if (sending.channel->detach()) {
        m_state.pool.release(sending.channel, now);
    }
    const int status = ended.answer.status;
    if (ended.answer.notExecuted && (status == 503 || status == 429 || status == 421)) {
        ended.end = AttemptEnd::NotExecuted;
        sending.backend->failed(now);
        return ended;
    }
    const bool cutEvent = sending.relaysEvents && !m_events.betweenEvents();
    const bool foreign = ended.answer.success() && !sending.prefillOnly && (!ended.answer.sealed || !ended.answer.request);
    if (cutEvent || foreign) {
        m_mayHaveRun = true;
        ended.end = AttemptEnd::Broken;
        ended.error = Error{ErrorId::MalformedMessage,
            "backend.read",
            sending.backend->record.address.text(),
            cutEvent ? "the stream ends within an event" : "the answer bears no signature or request id",
            Delivery::MaybeSent};
        return ended;
    }
    m_mayHaveRun = true;
    if (status >= 500) {
        ended.end = AttemptEnd::ServerError;
        return ended;
    }
    sending.backend->succeeded();
    ended.end = AttemptEnd::Answered;
    return ended;
}

Forwarder::Attempt Forwarder::lost(Sending &sending)
{
    const TimePoint now = m_state.clock.now();
    Attempt ended;
    ended.error = sending.channel->error();
    const bool sent = sending.channel->maybeSent();
    sending.channel->close();
    sending.backend->failed(now);
    if (!sent) {
        ended.end = AttemptEnd::NotSent;
        return ended;
    }
    m_mayHaveRun = true;
    ended.end = AttemptEnd::Broken;
    if (!sending.prefillOnly && ended.error.id == ErrorId::ConnectionLost && now - sending.begunAt > CrashAfter) {
        m_state.crashes.crashed(sending.backend->record.id, m_content, now);
    }
    return ended;
}

Forwarder::Attempt Forwarder::giveUp(Sending &sending)
{
    Attempt ended;
    ended.finished = true;
    ended.end = sending.channel->maybeSent() ? AttemptEnd::Silent : AttemptEnd::NotSent;
    m_mayHaveRun = m_mayHaveRun || (sending.channel->maybeSent() && !sending.prefillOnly);
    sending.channel->close();
    m_caller.ended() ? callerLeft() : outOfTime();
    m_done = true;
    return ended;
}

void Forwarder::releaseKv(const KvLocation &location, const ReplicaId &replica)
{
    const auto release = [](FrontState &state, KvLocation kv, ReplicaId id) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        Wakeup wakeup(executor);
        const BackendChannel::Pointer channel = state.pool.acquire(executor, id, kv.engine, false, state.clock.now());
        const TimePoint until = state.clock.now() + 1s;
        channel->begin(
            state.dialect.encodeRelease(kv),
            false,
            [](const AnswerHead &) {
                return true;
            },
            ConnectTimeout,
            wakeup);
        while (channel->phase() != ChannelPhase::Done && channel->phase() != ChannelPhase::Failed && state.clock.now() < until) {
            co_await wakeup.waitUntil(until);
        }
        if (channel->phase() == ChannelPhase::Done && channel->detach()) {
            state.pool.release(channel, state.clock.now());
        } else {
            channel->close(); // The memory is freed when its time ends.
        }
    };
    asio::co_spawn(m_caller.executor(), release(m_state, location, replica), asio::detached);
}

// ---- answering ----

void Forwarder::appendConnectionLine(std::string &message)
{
    if (!m_terms.keepAlive || m_state.leaving) {
        m_terms.keepAlive = false;
        message += "Connection: close\r\n";
    }
}

void Forwarder::beginStream(const BackendAnswer &answer)
{
    m_answering = true;
    std::string message = statusLine(answer.status, answer.reason);
    for (const HttpHeader &line : answer.passed.lines()) {
        message += line.name + ": " + line.value + "\r\n";
    }
    if (m_terms.readsChunks) {
        message += "Transfer-Encoding: chunked\r\n";
    } else {
        m_terms.keepAlive = false; // The end of the connection ends the answer.
    }
    appendConnectionLine(message);
    message += "\r\n";
    m_caller.send(std::move(message));
}

void Forwarder::endStream()
{
    if (m_terms.readsChunks) {
        m_caller.send("0\r\n\r\n");
    }
}

void Forwarder::deliver(const Attempt &attempt)
{
    if (m_answering) {
        endStream();
        finish(attempt.answer.status, "streamed");
        return;
    }
    std::string message = statusLine(attempt.answer.status, attempt.answer.reason);
    for (const HttpHeader &line : attempt.answer.passed.lines()) {
        message += line.name + ": " + line.value + "\r\n";
    }
    const std::uint64_t length =
        m_request.method == "HEAD" ? attempt.answer.contentLength.value_or(0) : static_cast<std::uint64_t>(attempt.body.size());
    message += "Content-Length: " + std::to_string(length) + "\r\n";
    appendConnectionLine(message);
    message += "\r\n";
    message += attempt.body;
    m_caller.send(std::move(message));
    finish(attempt.answer.status, "answered");
}

void Forwarder::refuse(RefusalReason reason)
{
    const RefusalForm form = formOf(reason);
    // Refused callers come back spread over a second, which is about the time that a backlog of one burst takes.
    const auto delay = std::chrono::milliseconds(std::uniform_int_distribution<int>(200, 1000)(m_state.random));
    m_state.metrics.increment(CounterFamily::Refusals, form.reason);
    answerOwn(form.status, form.reason, form.retry ? std::optional<Duration>(delay) : std::nullopt);
}

void Forwarder::answerOwn(int status, std::string_view reason, std::optional<Duration> retryAfter)
{
    if (m_answering) {
        abort("answer_already_begun");
        return;
    }
    const std::string body = "{\"error\":\"" + std::string(reason) + "\"}";
    std::string message = statusLine(status, reason);
    message += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (retryAfter) {
        std::array<char, 48> line{};
        const double seconds = static_cast<double>(toMilliseconds(*retryAfter)) / 1000;
        const int length = std::snprintf(line.data(), line.size(), "Retry-After: %.3f\r\n", seconds);
        message.append(line.data(), static_cast<std::size_t>(length));
    }
    appendConnectionLine(message);
    message += "\r\n";
    if (m_request.method != "HEAD") {
        message += body;
    }
    m_caller.send(std::move(message));
    finish(status, reason);
}

void Forwarder::abort(const char *why)
{
    m_terms.keepAlive = false;
    m_caller.close();
    finish(0, why);
}

void Forwarder::outOfTime()
{
    m_state.metrics.increment(CounterFamily::Answers, "out_of_time");
    if (m_answering) {
        abort("out_of_time");
    } else if (m_mayHaveRun) {
        answerOwn(504, "out_of_time", std::nullopt);
    } else {
        refuse(RefusalReason::TooLate);
    }
}

void Forwarder::callerLeft()
{
    m_terms.keepAlive = false;
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
