#include "apricotarch/app/stage_controller.h"

#include <set>
#include <utility>

#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// Poll interval. A change takes seconds, so shorter intervals gain nothing.
constexpr Duration PollInterval = 500ms;

/// Time after the start in which a node orders no changes, so that it first receives the other nodes' load.
constexpr Duration SettlingTime = 1500ms;

/// Pause between the announcement of a change and its order, so that peers first receive the announcement. Heartbeats are sent
/// every 100 ms in fleets of up to 17 nodes.
constexpr Duration AnnouncementDelay = 250ms;

/// Answer timeout of an order. An unanswered order may still be executed; the engine's row in the servers' table shows the result.
constexpr Duration OrderTimeout = 1s;

/// Added to the configured duration of a stage change. An order that is later than this after its announcement is
/// cancelled.
constexpr Duration StageChangeMargin = 1s;

/// Load must have lasted this long before the mix of stages is adjusted to it. Covers the rate meters' window and the length of a
/// stream.
constexpr Duration MinimumLoadDuration = 8s;

/// Rate of prompt tokens below which a service counts as idle, per millisecond.
constexpr double MinimumPromptTokensPerMs = 2;

/// Interval between two changes that follow the demand: the effect of one must be visible before the next.
constexpr Duration ChangeInterval = 4s;

/// HTTP status of an order that the engine executes.
constexpr int StatusAccepted = 202;
/// HTTP status of an order to an engine that already has the stage; also the status of a report.
constexpr int StatusOk = 200;

} // namespace

StageController::StageController(FrontState &state, DutyLease &lease, StageMessageCodec codec)
    : m_state(state)
    , m_lease(lease)
    , m_codec(std::move(codec))
    , m_startedAt(state.clock.now())
{
    m_plannerSettings.initialPrefillShare = state.settings.prefillShare;
    m_plannerSettings.maxStreamsPerEngine = state.settings.maxStreamsPerEngine;
}

asio::awaitable<void> StageController::run()
{
    while (true) {
        co_await m_state.clock.sleep(PollInterval);
        const TimePoint now = m_state.clock.now();
        if (m_state.isShuttingDown() || now - m_startedAt < SettlingTime || !m_state.isReady() || !m_state.peers.isStageController(now)) {
            continue;
        }
        if (!selectNextChange()) {
            continue;
        }
        const bool isHolder = (co_await m_lease.renew()).has_value();
        if (isHolder) {
            co_await orderChanges();
        }
    }
}

StageDemand StageController::estimateDemand(const ServiceId &service, TimePoint now)
{
    StageDemand demand;
    demand.promptTokensPerMs =
        m_state.prefillRates[service].perMillisecond(now) + m_state.peers.remoteRate(&FrontHeartbeat::prefillRates, service, now);
    // Estimated from events, not from running streams, whose number grows on slow engines independently of the demand.
    const double events =
        m_state.eventRates[service].perMillisecond(now) + m_state.peers.remoteRate(&FrontHeartbeat::eventRates, service, now);
    demand.streams = events * m_plannerSettings.eventIntervalMs;
    if (demand.promptTokensPerMs < MinimumPromptTokensPerMs) {
        m_loadSince = now;
    }
    if (now - m_loadSince < MinimumLoadDuration) {
        demand = StageDemand(); // Streams start seconds after their prompts, so the first prompts do not show the
                                // ratio of prompts to streams.
    }
    return demand;
}

PromptAverages StageController::averagePrompt(const ServiceId &service, TimePoint now)
{
    const double promptsPerMs = m_state.promptRates[service].perMillisecond(now);
    if (promptsPerMs <= 0) {
        return {};
    }
    return {m_state.prefillRates[service].perMillisecond(now) / promptsPerMs,
        m_state.eventRates[service].perMillisecond(now) * m_plannerSettings.eventIntervalMs / promptsPerMs};
}

std::optional<StageController::PendingChange> StageController::selectNextChange()
{
    const TimePoint now = m_state.clock.now();
    std::set<ServiceId> visitedServices;
    for (const Route &route : m_state.plan->routes()) {
        for (const ServiceWeight &serviceWeight : route.services) {
            const RoutedService *service = m_state.plan->service(serviceWeight.service);
            if (service == nullptr || !service->engine || !visitedServices.insert(serviceWeight.service).second) {
                continue;
            }
            std::vector<BackendPointer> engines = m_state.backends.ready(serviceWeight.service);
            std::erase_if(engines, [](const BackendPointer &engine) {
                return engine->statesShutdown() || engine->leavesAt;
            });
            const StageDemand demand =
                subtractLimitedEngines(estimateDemand(serviceWeight.service, now), engines, averagePrompt(serviceWeight.service, now));
            std::erase_if(engines, [](const BackendPointer &engine) {
                return engine->limitsRequestRate();
            });
            std::size_t &previousCount = m_engineCounts[serviceWeight.service];
            if (std::exchange(previousCount, engines.size()) != engines.size()) {
                continue; // Engines are being added or removed; the next poll counts them again.
            }
            if (demand.streams > 0 && now - m_lastChangeAt < ChangeInterval) {
                continue;
            }
            if (const auto change = selectStageChange(engines, demand, m_changedAt, m_plannerSettings, now)) {
                return PendingChange{*change, demand, engines.size(), service->engine->stageChangeTime};
            }
        }
    }
    return std::nullopt;
}

asio::awaitable<void> StageController::orderChanges()
{
    std::vector<BackendPointer> engines;
    std::optional<PendingChange> pending = selectNextChange();
    while (pending && engines.size() < maxConcurrentChanges(pending->engineCount)) {
        engines.push_back(announceChange(*pending));
        pending = selectNextChange();
    }
    m_lastChangeAt = m_state.clock.now();
    co_await m_state.clock.sleep(AnnouncementDelay);
    for (const BackendPointer &engine : engines) {
        if (m_state.clock.now() - m_lastChangeAt > StageChangeMargin) {
            cancelChange(*engine); // The store was slow: requests would be sent to the engine again long before the change ends.
            continue;
        }
        co_await orderUnderLease(engine, engine->orderedStage);
    }
}

BackendPointer StageController::announceChange(const PendingChange &pending)
{
    const TimePoint now = m_state.clock.now();
    LogEvent("stage.wanted")
        .field("engine", pending.change.engine)
        .field("stage", pending.change.stage == EngineStage::Prefill ? "prefill" : "decode")
        .field("engines", pending.engineCount)
        .field("read_tokens_per_s", static_cast<std::int64_t>(pending.demand.promptTokensPerMs * 1000))
        .field("streams", static_cast<std::int64_t>(pending.demand.streams));
    BackendPointer engine = m_state.backends.find(pending.change.engine);
    m_changedAt[pending.change.engine] = now;
    engine->stageChangeUntil = now + pending.stageChangeTime + StageChangeMargin;
    engine->orderedStage = pending.change.stage;
    m_state.changingEngines[pending.change.engine] = engine->stageChangeUntil;
    m_state.notifyUrgentChange();
    return engine;
}

asio::awaitable<void> StageController::orderUnderLease(BackendPointer engine, EngineStage stage)
{
    if (!takesOrders(*engine)) {
        LogEvent("stage.not_ordered").field("engine", engine->record.id).field("report", "not_requested");
        cancelChange(*engine);
        co_return;
    }
    const Result<EngineStageReport> report = co_await readReport(engine);
    const bool canChange = report && !report->busy && report->stage != stage;
    // Renews the lease directly before the order, so that a process that was suspended since detects its loss.
    const std::optional<DutyAuthority> authority = co_await m_lease.renew();
    if (!canChange || !authority || !takesOrders(*engine)) {
        LogEvent("stage.not_ordered")
            .field("engine", engine->record.id)
            .field("report", report ? "read" : errorName(report.error().id))
            .field("busy", report && report->busy ? "yes" : "no")
            .field("lease", authority ? "held" : "lost")
            .field("takes_orders", takesOrders(*engine) ? "yes" : "no");
        cancelChange(*engine);
        co_return;
    }
    const StageOrder order{engine->record.id, stage, authority->stamp.holder, authority->stamp.token, report->orders};
    const BackendCallAnswer answer = co_await sendToEngine(engine, m_codec.encodeOrder(order, engine->record.address));
    m_state.metrics.increment(CounterFamily::Orders, answer.status == 0 ? "unanswered" : std::to_string(answer.status));
    LogEvent("stage.ordered")
        .field("engine", order.engine)
        .field("stage", stage == EngineStage::Prefill ? "prefill" : "decode")
        .field("fence", order.fencingToken)
        .field("expected_orders", order.expectedOrders)
        .field("status", answer.status);
    if (answer.status != StatusAccepted && answer.status != StatusOk) {
        cancelChange(*engine); // An unanswered order may still be executed; the engine's row then shows the new stage.
    }
}

bool StageController::takesOrders(const Backend &engine) const
{
    return engine.record.state == BackendState::Ready && !engine.statesShutdown() && !engine.declines(m_state.clock.now())
        && !engine.limitsRequestRate();
}

void StageController::cancelChange(Backend &engine)
{
    engine.stageChangeUntil = m_state.clock.now();
    m_state.changingEngines.erase(engine.record.id);
}

asio::awaitable<Result<EngineStageReport>> StageController::readReport(BackendPointer engine)
{
    const std::string peer = engine->record.address.text();
    const BackendCallAnswer answer = co_await sendToEngine(engine, m_codec.encodeReportRequest(engine->record.id, engine->record.address));
    if (answer.status != StatusOk) {
        co_return fail(ErrorId::UnexpectedStatus, "report.read", peer, "status " + std::to_string(answer.status));
    }
    co_return m_codec.decodeReport(answer.body, peer);
}

asio::awaitable<BackendCallAnswer> StageController::sendToEngine(const BackendPointer &engine, std::string message)
{
    return callBackend(
        m_state.backendPool, m_state.clock, {engine->record.id, engine->record.address, std::move(message), true, OrderTimeout});
}

} // namespace apricotarch
