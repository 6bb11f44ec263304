#include "apricotarch/app/scaling_controller.h"

#include <algorithm>
#include <set>
#include <utility>

#include "apricotarch/base/log.h"
#include "apricotarch/coordination/stage_planner.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration DecisionInterval = 1s;

/// Time after the start in which a node orders nothing, so that it first receives the other nodes' load.
constexpr Duration SettlingTime = 1500ms;

/// Longest time of one call. After an unanswered call a new decision is made from the list of servers.
constexpr Duration OrderTimeout = 1s;

/// An order is not sent with less time until the end of the authority.
constexpr Duration MinOrderTime = 200ms;

/// Decisions in one interval. Each but the first replaces orders for which a zone had no replicas.
constexpr int MaxRounds = 4;

EnginePerformance enginePerformance(const FrontSettings &settings, const EngineSpec &spec)
{
    const StagePlannerSettings stages;
    EnginePerformance performance;
    performance.prefillTokensPerMs = stages.prefillTokensPerMs;
    performance.eventIntervalMs = stages.eventIntervalMs;
    performance.streamsPerEngine = std::max(1.0, std::min(settings.maxStreamsPerEngine, static_cast<double>(spec.slots)));
    performance.minStageShare = stages.minShare;
    return performance;
}

/// Whether further orders may be sent directly after one with this outcome.
bool permitsFurtherOrders(DutyCallOutcome outcome)
{
    return outcome == DutyCallOutcome::Accepted || outcome == DutyCallOutcome::NoneAvailable || outcome == DutyCallOutcome::Rejected;
}

std::int64_t thousandths(double value)
{
    return static_cast<std::int64_t>(value * 1000);
}

} // namespace

ScalingController::ScalingController(FrontState &state, RenewLease renew, DutyServices &services)
    : m_state(state)
    , m_renew(std::move(renew))
    , m_services(services)
    , m_startedAt(state.clock.now())
{
}

asio::awaitable<void> ScalingController::run()
{
    while (true) {
        co_await m_state.clock.sleep(DecisionInterval);
        if (!isActive()) {
            m_planners.clear(); // Another node orders replicas in the meantime.
            continue;
        }
        for (const RoutedService &service : scaledServices()) {
            co_await control(service);
        }
    }
}

bool ScalingController::isActive() const
{
    const TimePoint now = m_state.clock.now();
    return !m_state.isShuttingDown() && now - m_startedAt >= SettlingTime && m_state.isReady() && m_state.peers.isStageController(now);
}

std::vector<RoutedService> ScalingController::scaledServices()
{
    if (m_plan == m_state.plan) {
        return m_scaledServices;
    }
    m_plan = m_state.plan;
    m_scaledServices.clear();
    std::set<ServiceId> visited;
    for (const Route &route : m_plan->routes()) {
        for (const ServiceWeight &weight : route.services) {
            const RoutedService *service = m_plan->service(weight.service);
            // The work of one replica is known for model engines only.
            if (service != nullptr && service->scaling && service->engine && visited.insert(service->id).second) {
                m_scaledServices.push_back(*service);
            }
        }
    }
    std::erase_if(m_planners, [&visited](const auto &entry) {
        return !visited.contains(entry.first);
    });
    return m_scaledServices;
}

asio::awaitable<void> ScalingController::control(RoutedService service)
{
    for (int round = 0; round < MaxRounds; ++round) {
        const ScalingObservation observation = observe(service.id);
        const ScalingDecision decision = planner(service).decide(observation, *service.scaling);
        bool repeat = false;
        for (const ScalingOrder &order : decision.orders) {
            const std::optional<DutyCallOutcome> outcome = co_await send(service.id, order);
            if (!outcome) {
                co_return;
            }
            apply(service, order, *outcome);
            log(service.id, observation, decision, order, *outcome);
            if (!permitsFurtherOrders(*outcome)) {
                co_return;
            }
            repeat = repeat || *outcome == DutyCallOutcome::NoneAvailable;
        }
        if (!repeat) {
            co_return;
        }
    }
}

ScalingObservation ScalingController::observe(const ServiceId &service)
{
    const TimePoint now = m_state.clock.now();
    PeerTable &peers = m_state.peers;
    ScalingObservation observation;
    observation.now = now;
    observation.promptTokensPerMs =
        m_state.prefillRates[service].perMillisecond(now) + peers.remoteRate(&FrontHeartbeat::prefillRates, service, now);
    observation.eventsPerMs = m_state.eventRates[service].perMillisecond(now) + peers.remoteRate(&FrontHeartbeat::eventRates, service, now);
    const std::size_t known = peers.countBudgetNodes(now);
    const std::size_t reporting = peers.countReportingPeers(now) + 1;
    // With partial views, the rates are extrapolated from a few nodes, whose number varies.
    observation.nodes = peers.usesPartialView() ? known : reporting;
    observation.allNodesHeard = peers.usesPartialView() ? reporting > 1 : reporting >= known;
    for (const auto &[id, server] : m_state.backends.all()) {
        const BackendRecord &record = server->record;
        if (record.service != service || record.state == BackendState::Removed) {
            continue;
        }
        ZoneReplicas &zone = observation.zones[record.zone];
        ReplicaCounts &counts = record.reclaimable ? zone.reclaimable : zone.regular;
        const bool isReady = record.state == BackendState::Ready && !server->statesShutdown() && !server->leavesAt;
        counts.ready += isReady ? 1 : 0;
        counts.draining += isReady ? 0 : 1;
        counts.reclaimed += server->leavesAt ? 1 : 0;
    }
    return observation;
}

ScalingPlanner &ScalingController::planner(const RoutedService &service)
{
    return m_planners.try_emplace(service.id, enginePerformance(m_state.settings, *service.engine)).first->second;
}

asio::awaitable<std::optional<DutyCallOutcome>> ScalingController::send(ServiceId service, ScalingOrder order)
{
    const std::optional<DutyAuthority> authority = co_await m_renew();
    if (!authority || authority->remaining < MinOrderTime || !isActive()) {
        co_return std::nullopt;
    }
    if (std::exchange(m_lastToken, authority->stamp.token).value_or(authority->stamp.token) != authority->stamp.token) {
        m_planners.clear(); // Another node may have sent orders since the last ones of this node.
        co_return std::nullopt;
    }
    const ReplicaOrder request{std::move(service), order.zone, order.count, order.kind == ReplicaKind::Reclaimable};
    co_return co_await m_services.orderReplicas(request, authority->stamp, std::min(OrderTimeout, authority->remaining));
}

void ScalingController::apply(const RoutedService &service, const ScalingOrder &order, DutyCallOutcome outcome)
{
    m_state.metrics.increment(CounterFamily::Orders, std::string("scaling_") + outcomeName(outcome));
    const TimePoint now = m_state.clock.now();
    switch (outcome) {
    case DutyCallOutcome::Accepted:
        planner(service).recordAccepted(order, *service.scaling, now);
        break;
    case DutyCallOutcome::NoneAvailable:
    case DutyCallOutcome::Rejected:
        planner(service).recordUnavailable(order.zone, order.kind, now);
        break;
    case DutyCallOutcome::Unanswered:
        planner(service).recordUnanswered(order, now);
        break;
    case DutyCallOutcome::RateLimited:
    case DutyCallOutcome::Unavailable:
        break;
    }
}

void ScalingController::log(const ServiceId &service,
    const ScalingObservation &observation,
    const ScalingDecision &decision,
    const ScalingOrder &order,
    DutyCallOutcome outcome)
{
    const LoggedDecision logged{order.count, order.reason, outcome};
    LoggedDecision &last = m_logged[{service, order.zone, order.kind}];
    const bool repeated = outcome != DutyCallOutcome::Accepted && last == logged;
    last = logged;
    if (repeated) {
        return; // A failed order is decided again each second until it succeeds.
    }
    LogEvent("scaling.decided")
        .field("service", service)
        .field("zone", order.zone)
        .field("kind", order.kind == ReplicaKind::Reclaimable ? "reclaimable" : "regular")
        .field("count", order.count)
        .field("zone_ready", order.ready)
        .field("zone_expected", order.expected)
        .field("reason", reasonName(order.reason))
        .field("outcome", outcomeName(outcome))
        .field("stands_ms", toMilliseconds(order.standsUntil - observation.now))
        .field("read_tokens_per_s", thousandths(observation.promptTokensPerMs))
        .field("events_per_s", thousandths(observation.eventsPerMs))
        .field("load_per_mille", thousandths(decision.load))
        .field("peak_per_mille", thousandths(decision.peakLoad))
        .field("required", decision.required)
        .field("kept", decision.kept)
        .field("after_reclaim", decision.afterReclaim)
        .field("ready", decision.ready)
        .field("planned", decision.planned)
        .field("may_give_back", decision.mayGiveBack ? "yes" : "no")
        .field("nodes", observation.nodes)
        .field("all_nodes_heard", observation.allNodesHeard ? "yes" : "no");
}

} // namespace apricotarch
