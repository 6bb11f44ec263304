#include "apricotarch/app/forwarder.h"

#include <algorithm>
#include <utility>

#include <boost/asio/this_coro.hpp>

// One send of a request to a backend server, and how it ends.

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// A connection within a desk's region is made in a few milliseconds; a lost packet is sent again after a second.
constexpr Duration ConnectTimeout = 300ms;

/// A server that has sent nothing for this long while it has a request may be gone without a trace.
constexpr Duration SilentFor = 1200ms;

/// A connection that breaks sooner than this was closed before the server read the request.
constexpr Duration CrashAfter = 5ms;

/// Least priority that a server knows; 0 is the most urgent.
constexpr int LeastPriority = 9;

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

asio::awaitable<Forwarder::Attempt> Forwarder::attempt(
    BackendPointer backend, SendTerms terms, std::int64_t tokensToRead, Duration patience)
{
    const TimePoint now = m_state.clock.now();
    Sending sending(m_state, backend, tokensToRead);
    sending.prefillOnly = terms.prefillOnly;
    sending.begunAt = now;
    sending.heardAt = now;
    sending.until = patience >= LongestRequestTime ? TimePoint::max() : now + patience;
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
    if (!m_answer.begun()) {
        m_firstEventAt = now;
        m_state.metrics.observe(LatencyKind::FirstToken, *m_firstEventAt - m_request.arrivedAt);
        m_answer.beginStream(*sending.answer);
    }
    m_answer.sendEvents(events);
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

} // namespace apricotarch
