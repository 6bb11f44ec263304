#include "apricotarch/coordination/cell_controller.h"

#include <algorithm>
#include <cmath>

#include "apricotarch/base/log.h"
#include "apricotarch/coordination/routing.h"

namespace apricotarch
{

namespace
{

/// Returns whether enough engines of the service stay usable while @p engine changes. A sole engine may always be changed.
bool keepsFloor(const std::vector<EngineStatus> &engines, const EngineStatus &engine, double floor)
{
    const auto isOfService = [&engine](const EngineStatus &other) {
        return other.service == engine.service;
    };
    const auto total = std::ranges::count_if(engines, isOfService);
    const auto usable = std::ranges::count_if(engines, [&](const EngineStatus &other) {
        return isOfService(other) && other.isUsable;
    });
    const auto required = static_cast<std::int64_t>(std::floor(floor * static_cast<double>(total)));
    return usable - 1 >= std::min<std::int64_t>(required, total - 1);
}

} // namespace

std::optional<ReplicaId> selectEngineToChange(const std::vector<EngineStatus> &engines, const ReplicaId &current, double floor)
{
    const auto present = std::ranges::find(engines, current, &EngineStatus::id);
    if (present != engines.end()) {
        return current;
    }
    for (const EngineStatus &engine : engines) {
        if (!engine.hasDesiredState && !engine.isUsable) {
            return engine.id;
        }
    }
    for (const EngineStatus &engine : engines) {
        if (!engine.hasDesiredState && keepsFloor(engines, engine, floor)) {
            return engine.id;
        }
    }
    return std::nullopt;
}

CellController::CellController(
    OrderManager &orders, LeaseManager &lease, ReplicaTable &fleet, Clock &clock, Metrics &metrics, ZoneId zone, CellTimes times)
    : m_orders(orders)
    , m_lease(lease)
    , m_fleet(fleet)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_zone(std::move(zone))
    , m_times(times)
{
}

void CellController::setChange(std::optional<Change> change)
{
    const std::lock_guard lock(m_mutex);
    m_change = std::move(change);
}

std::optional<CellController::Change> CellController::change() const
{
    const std::lock_guard lock(m_mutex);
    return m_change;
}

std::vector<ReplicaId> CellController::drainingReplicas() const
{
    const std::optional<Change> present = change();
    return present ? std::vector<ReplicaId>{present->engine} : std::vector<ReplicaId>();
}

std::vector<EngineStatus> CellController::engineStatuses(const Configuration &configuration) const
{
    std::vector<EngineStatus> engines;
    for (const ServiceSpec &service : configuration.services) {
        if (service.kind != ServiceKind::Language) {
            continue;
        }
        for (const ReplicaView &view : m_fleet.replicas(service.id)) {
            const bool isInCell = m_zone.empty() || view.spec.zone == m_zone;
            if (!view.report || !isInCell) {
                continue;
            }
            EngineStatus status{view.spec.id, service.id};
            status.hasDesiredState = hasReached({service.model, EngineRole::Mixed}, *view.report);
            status.isUsable = view.health == ReplicaHealth::Up && !view.vmShuttingDown && !view.report->changingStage
                && canServe(view.report->state.model, service.model);
            status.isBusy = view.report->running > 0;
            engines.push_back(status);
        }
    }
    std::ranges::sort(engines, {}, &EngineStatus::id);
    return engines;
}

asio::awaitable<void> CellController::reconcile(const ActiveConfiguration &inForce)
{
    if (!m_lease.authority()) {
        setChange(std::nullopt);
        co_return;
    }
    const TimePoint now = m_clock.now();
    const std::vector<EngineStatus> engines = engineStatuses(inForce.configuration);
    const std::optional<Change> present = change();
    const auto next = selectEngineToChange(engines, present ? present->engine : ReplicaId(), inForce.configuration.policy.goodputFloor);
    if (!next) {
        setChange(std::nullopt);
        co_return;
    }
    if (!present || present->engine != *next) {
        setChange(Change{*next, now});
        co_return;
    }
    co_await advanceChange(inForce, *std::ranges::find(engines, *next, &EngineStatus::id), *present);
}

asio::awaitable<void> CellController::advanceChange(const ActiveConfiguration &inForce, EngineStatus engine, Change change)
{
    const TimePoint now = m_clock.now();
    const Duration drainTime = now - change.startedAt;
    if (engine.isBusy && !engine.hasDesiredState && drainTime >= m_times.drainTimeout) {
        m_metrics.increment(CounterFamily::Orders, "drain_bound_reached");
        setChange(std::nullopt);
        co_return;
    }
    const std::optional<ReplicaView> view = m_fleet.replica(engine.id);
    const ServiceSpec *service = view ? inForce.configuration.service(view->service) : nullptr;
    if (service == nullptr) {
        setChange(std::nullopt);
        co_return;
    }
    const bool maySend = !engine.isBusy && drainTime >= m_times.drainDelay && now - m_lastOrderAt >= m_times.orderInterval;
    const EngineTarget desired{service->model, EngineRole::Mixed};
    const Result<OrderStep> step = co_await m_orders.step(view->spec, desired, maySend);
    if (!step) {
        LogEvent("order.step_failed", LogEvent::Level::Warning).field("engine", engine.id).error(step.error());
        co_return;
    }
    const bool isSent = maySend && (*step == OrderStep::Issue || *step == OrderStep::Adopt);
    if (isSent) {
        m_lastOrderAt = m_clock.now();
    }
    const bool isFinished = *step == OrderStep::Idle || *step == OrderStep::Close || *step == OrderStep::Blocked;
    if (isFinished) {
        setChange(std::nullopt);
    }
}

} // namespace apricotarch
