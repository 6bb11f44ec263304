#include "apricotarch/coordination/cell_keeper.h"

#include <algorithm>
#include <cmath>

#include "apricotarch/base/log.h"
#include "apricotarch/coordination/routing.h"

namespace apricotarch
{

namespace
{

/// Whether taking one usable engine away leaves its service above the floor. A lone engine may always be changed.
bool leavesFloor(const std::vector<EngineNeed> &needs, const EngineNeed &engine, double floor)
{
    const auto ofService = [&engine](const EngineNeed &need) {
        return need.service == engine.service;
    };
    const auto all = std::ranges::count_if(needs, ofService);
    const auto usable = std::ranges::count_if(needs, [&](const EngineNeed &need) {
        return ofService(need) && need.usable;
    });
    const auto required = static_cast<std::int64_t>(std::floor(floor * static_cast<double>(all)));
    return usable - 1 >= std::min<std::int64_t>(required, all - 1);
}

} // namespace

std::optional<ReplicaId> nextToChange(const std::vector<EngineNeed> &needs, const ReplicaId &current, double floor)
{
    const auto present = std::ranges::find(needs, current, &EngineNeed::id);
    if (present != needs.end()) {
        return current;
    }
    for (const EngineNeed &need : needs) {
        if (!need.asWanted && !need.usable) {
            return need.id;
        }
    }
    for (const EngineNeed &need : needs) {
        if (!need.asWanted && leavesFloor(needs, need, floor)) {
            return need.id;
        }
    }
    return std::nullopt;
}

CellKeeper::CellKeeper(OrderKeeper &orders, LeaseKeeper &lease, Fleet &fleet, Clock &clock, Metrics &metrics, ZoneId zone, CellTimes times)
    : m_orders(orders)
    , m_lease(lease)
    , m_fleet(fleet)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_zone(std::move(zone))
    , m_times(times)
{
}

void CellKeeper::setChange(std::optional<Change> change)
{
    const std::lock_guard lock(m_mutex);
    m_change = std::move(change);
}

std::optional<CellKeeper::Change> CellKeeper::change() const
{
    const std::lock_guard lock(m_mutex);
    return m_change;
}

std::vector<ReplicaId> CellKeeper::drainingReplicas() const
{
    const std::optional<Change> present = change();
    return present ? std::vector<ReplicaId>{present->engine} : std::vector<ReplicaId>();
}

std::vector<EngineNeed> CellKeeper::needs(const Configuration &configuration) const
{
    std::vector<EngineNeed> engines;
    for (const ServiceSpec &service : configuration.services) {
        if (service.kind != ServiceKind::Language) {
            continue;
        }
        for (const ReplicaView &view : m_fleet.replicas(service.id)) {
            const bool ofCell = m_zone.empty() || view.spec.zone == m_zone;
            if (!view.report || !ofCell) {
                continue;
            }
            EngineNeed need{view.spec.id, service.id};
            need.asWanted = hasReached({service.model, EngineRole::Mixed}, *view.report);
            need.usable = view.health == ReplicaHealth::Up && !view.vmLeaving && !view.report->changing
                && servesFor(view.report->state.model, service.model);
            need.busy = view.report->running > 0;
            engines.push_back(need);
        }
    }
    std::ranges::sort(engines, {}, &EngineNeed::id);
    return engines;
}

asio::awaitable<void> CellKeeper::round(const ConfigurationInForce &inForce)
{
    if (!m_lease.authority()) {
        setChange(std::nullopt);
        co_return;
    }
    const TimePoint now = m_clock.now();
    const std::vector<EngineNeed> engines = needs(inForce.configuration);
    const std::optional<Change> present = change();
    const auto next = nextToChange(engines, present ? present->engine : ReplicaId(), inForce.configuration.policy.goodputFloor);
    if (!next) {
        setChange(std::nullopt);
        co_return;
    }
    if (!present || present->engine != *next) {
        setChange(Change{*next, now});
        co_return;
    }
    co_await changeOne(inForce, *std::ranges::find(engines, *next, &EngineNeed::id), *present);
}

asio::awaitable<void> CellKeeper::changeOne(const ConfigurationInForce &inForce, EngineNeed engine, Change change)
{
    const TimePoint now = m_clock.now();
    const Duration drained = now - change.since;
    if (engine.busy && !engine.asWanted && drained >= m_times.drainBound) {
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
    const bool maySend = !engine.busy && drained >= m_times.drainNotice && now - m_lastOrderAt >= m_times.betweenLoads;
    const EngineTarget wanted{service->model, EngineRole::Mixed};
    const Result<OrderStep> step = co_await m_orders.step(view->spec, wanted, maySend);
    if (!step) {
        LogEvent("order.step_failed", LogEvent::Level::Warning).field("engine", engine.id).error(step.error());
        co_return;
    }
    const bool sent = maySend && (*step == OrderStep::Issue || *step == OrderStep::Adopt);
    if (sent) {
        m_lastOrderAt = m_clock.now();
    }
    const bool settled = *step == OrderStep::Idle || *step == OrderStep::Close || *step == OrderStep::Blocked;
    if (settled) {
        setChange(std::nullopt);
    }
}

} // namespace apricotarch
