#include "apricotarch/app/stage_keeper.h"

#include <set>
#include <utility>

#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// Between two looks; a change takes seconds, so nothing is gained by looking more often.
constexpr Duration LookPause = 500ms;

/// A node changes nothing before it has had time to hear of the others and their load.
constexpr Duration Settling = 1500ms;

/// Peers have heard by then that an engine takes no work, since they are told every 100 ms.
constexpr Duration NoticeTime = 250ms;

/// An order that has no answer by then may still be carried out; what became of it shows in the engine's entry.
constexpr Duration OrderTimeout = 1s;

/// On top of the time that an engine says its change takes.
constexpr Duration SwitchSlack = 1s;

/// The lease outlives the users' bound for two holders, 3 s, so that no two nodes order within it.
constexpr LeaseTimes StageLease{6s, 1500ms, 2s, 500ms};

/// Load must have lasted this long before the mix is judged: the meters' memory and a stream's length.
constexpr Duration TrustAfter = 8s;

/// Prompt tokens a millisecond below which there is no load to judge by.
constexpr double LeastReading = 2;

/// Between two changes that follow the mix: the effect of one must show before the next.
constexpr Duration BetweenChanges = 4s;

constexpr std::size_t DecisionsKept = 64;

constexpr int Accepted = 202;
constexpr int AlreadySo = 200; ///< Also the status of a report.

} // namespace

StageKeeper::StageKeeper(FrontState &state, TableStore &rows, StageMessages messages, ProcessId self)
    : m_state(state)
    , m_messages(std::move(messages))
    , m_decisions(m_bootClock, DecisionsKept)
    , m_lease(rows, m_bootClock, m_decisions, state.metrics, self, DutyId("stages"), StageLease)
    , m_self(std::move(self))
    , m_startedAt(state.clock.now())
{
    m_policy.initialPrefillShare = state.settings.prefillShare;
    m_policy.streamsPerEngine = state.settings.streamsPerEngine;
}

asio::awaitable<void> StageKeeper::run()
{
    while (true) {
        co_await m_state.clock.sleep(LookPause);
        const TimePoint now = m_state.clock.now();
        if (m_state.leaving || now - m_startedAt < Settling || !m_state.ready() || !m_state.peers.isFirst(now)) {
            continue;
        }
        if (!nextChange()) {
            continue;
        }
        co_await m_lease.step();
        if (m_lease.authority()) {
            co_await carryOut();
        }
    }
}

StageDemand StageKeeper::demandOf(const ServiceId &service, TimePoint now)
{
    StageDemand demand;
    demand.promptTokensPerMs =
        m_state.readRates[service].perMillisecond(now) + m_state.peers.othersRate(&FrontBeat::readRates, service, now);
    // Counted by events, not by running streams: those pile up where engines are slow, whatever the demand.
    const double events = m_state.eventRates[service].perMillisecond(now) + m_state.peers.othersRate(&FrontBeat::eventRates, service, now);
    demand.streams = events * m_policy.eventMs;
    if (demand.promptTokensPerMs < LeastReading) {
        m_loadedSince = now;
    }
    if (now - m_loadedSince < TrustAfter) {
        demand = StageDemand(); // Streams follow prompts by seconds, so the first ones say nothing about the mix.
    }
    return demand;
}

std::optional<StageKeeper::Due> StageKeeper::nextChange()
{
    const TimePoint now = m_state.clock.now();
    std::set<ServiceId> seen;
    for (const Route &route : m_state.plan->routes()) {
        for (const ServiceWeight &share : route.services) {
            const RoutedService *service = m_state.plan->service(share.service);
            if (service == nullptr || !service->engine || !seen.insert(share.service).second) {
                continue;
            }
            const std::vector<BackendPointer> engines = m_state.backends.ready(share.service);
            std::size_t &known = m_engines[share.service];
            if (std::exchange(known, engines.size()) != engines.size()) {
                continue; // Engines are coming or leaving: the next look counts them again.
            }
            const StageDemand demand = demandOf(share.service, now);
            if (demand.streams > 0 && now - m_lastChangeAt < BetweenChanges) {
                continue;
            }
            if (const auto change = nextStageChange(engines, demand, m_changedAt, m_policy, now)) {
                return Due{*change, demand, engines.size(), service->engine->switchTime};
            }
        }
    }
    return std::nullopt;
}

asio::awaitable<void> StageKeeper::carryOut()
{
    std::vector<BackendPointer> engines;
    std::optional<Due> due = nextChange();
    while (due && engines.size() < mostChangesAtOnce(due->engines)) {
        engines.push_back(announce(*due));
        due = nextChange();
    }
    m_lastChangeAt = m_state.clock.now();
    co_await m_state.clock.sleep(NoticeTime);
    for (const BackendPointer &engine : engines) {
        if (m_state.clock.now() - m_lastChangeAt > SwitchSlack) {
            callOff(*engine); // The store was slow: by the end of the change the engine would long take work again.
            continue;
        }
        co_await orderUnderLease(engine, engine->changingTo);
    }
}

BackendPointer StageKeeper::announce(const Due &due)
{
    const TimePoint now = m_state.clock.now();
    LogEvent("stage.wanted")
        .field("engine", due.change.engine)
        .field("stage", due.change.stage == EngineStage::Prefill ? "prefill" : "decode")
        .field("engines", due.engines)
        .field("read_tokens_per_s", static_cast<std::int64_t>(due.demand.promptTokensPerMs * 1000))
        .field("streams", static_cast<std::int64_t>(due.demand.streams));
    BackendPointer engine = m_state.backends.find(due.change.engine);
    m_changedAt[due.change.engine] = now;
    engine->changingUntil = now + due.switchTime + SwitchSlack;
    engine->changingTo = due.change.stage;
    m_state.changing[due.change.engine] = engine->changingUntil;
    return engine;
}

asio::awaitable<void> StageKeeper::orderUnderLease(BackendPointer engine, EngineStage stage)
{
    const Result<EngineReport> report = co_await readReport(engine);
    const bool fit = report && !report->busy && report->stage != stage;
    // The lease is renewed right before the order: a process that was suspended meanwhile finds that it has lost it.
    co_await m_lease.step();
    const std::optional<Authority> authority = m_lease.authority();
    if (!fit || !authority || engine->record.state != BackendState::Ready) {
        LogEvent("stage.not_ordered")
            .field("engine", engine->record.id)
            .field("report", report ? "read" : errorName(report.error().id))
            .field("busy", report && report->busy ? "yes" : "no")
            .field("lease", authority ? "held" : "lost");
        callOff(*engine);
        co_return;
    }
    const StageOrder order{engine->record.id, stage, m_self.node, authority->token, report->orders};
    const BackendCallAnswer answer = co_await exchange(engine, m_messages.order(order, engine->record.address));
    m_state.metrics.increment(CounterFamily::Orders, answer.status == 0 ? "unanswered" : std::to_string(answer.status));
    LogEvent("stage.ordered")
        .field("engine", order.engine)
        .field("stage", stage == EngineStage::Prefill ? "prefill" : "decode")
        .field("fence", order.fence)
        .field("expected_orders", order.expectedOrders)
        .field("status", answer.status);
    if (answer.status != Accepted && answer.status != AlreadySo) {
        callOff(*engine); // An order without an answer may still be carried out; the entry will tell.
    }
}

void StageKeeper::callOff(Backend &engine)
{
    engine.changingUntil = m_state.clock.now();
    m_state.changing.erase(engine.record.id);
}

asio::awaitable<Result<EngineReport>> StageKeeper::readReport(BackendPointer engine)
{
    const std::string peer = engine->record.address.text();
    const BackendCallAnswer answer = co_await exchange(engine, m_messages.reportRequest(engine->record.id, engine->record.address));
    if (answer.status != AlreadySo) {
        co_return fail(ErrorId::UnexpectedStatus, "report.read", peer, "status " + std::to_string(answer.status));
    }
    co_return m_messages.report(answer.body, peer);
}

asio::awaitable<BackendCallAnswer> StageKeeper::exchange(const BackendPointer &engine, std::string message)
{
    return callBackend(m_state.pool, m_state.clock, {engine->record.id, engine->record.address, std::move(message), true, OrderTimeout});
}

} // namespace apricotarch
