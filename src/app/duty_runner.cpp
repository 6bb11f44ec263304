#include "apricotarch/app/duty_runner.h"

#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "apricotarch/base/background_task.h"

namespace apricotarch
{

namespace
{

UsageTimes usageTimes(const FrontSettings &settings)
{
    UsageTimes times;
    times.window = std::chrono::duration_cast<std::chrono::milliseconds>(settings.usageWindow);
    times.late = std::chrono::duration_cast<std::chrono::milliseconds>(settings.usageDueTime);
    return times;
}

UnixTime timeOfDay()
{
    return std::chrono::time_point_cast<UnixTime::duration>(std::chrono::system_clock::now());
}

} // namespace

DutyRunner::DutyRunner(
    FrontState &state, TableStore &rows, AuthenticatedLink &link, Incarnation incarnation, std::unique_ptr<DutyServices> services)
    : m_state(state)
    , m_rows(rows)
    , m_link(link)
    , m_incarnation(incarnation)
    , m_services(std::move(services))
    , m_lease(rows, m_bootClock, state.metrics, ProcessId{state.settings.node, incarnation}, state.settings.leaseReturnInterval)
    , m_usageTimes(usageTimes(state.settings))
    , m_trueTime(m_bootClock, timeOfDay())
    , m_ledger(m_usageTimes)
{
}

void DutyRunner::start(asio::io_context &loop, FleetSynchronizer &fleetSynchronizer)
{
    if (!m_services) {
        return;
    }
    if (m_state.settings.hasDuty(duty_name::UsageReport)) {
        startUsageReports(loop, fleetSynchronizer);
    }
    if (m_state.settings.hasDuty(duty_name::Autoscale)) {
        const auto renew = [this] {
            return renewLease();
        };
        m_scalingController.emplace(m_state, renew, *m_services);
        const auto scale = [this] {
            return m_scalingController->run();
        };
        asio::co_spawn(loop, runLoop(m_state.clock, "order_replicas", scale), LogFailure("order_replicas"));
    }
}

void DutyRunner::startUsageReports(asio::io_context &loop, FleetSynchronizer &fleetSynchronizer)
{
    const auto renew = [this] {
        return renewLease();
    };
    m_usageExchange.emplace(m_state, m_link, m_trueTime, m_ledger, m_usageTimes, m_incarnation);
    m_usageReporter.emplace(m_state, m_ledger, m_rows, renew, *m_services, m_trueTime, m_usageTimes);
    m_usageExchange->onStoreIncarnation = [this](StoreIncarnation incarnation) {
        m_usageReporter->observeIncarnation(incarnation);
    };
    fleetSynchronizer.setUsageExchange(*m_usageExchange);
    m_usageExchange->start();
    const auto report = [this] {
        return m_usageReporter->run();
    };
    asio::co_spawn(loop, runLoop(m_state.clock, "report_usage", report), LogFailure("report_usage"));
}

asio::awaitable<std::optional<DutyAuthority>> DutyRunner::renewLease()
{
    return m_lease.renew();
}

void DutyRunner::release(asio::io_context &loop)
{
    asio::co_spawn(loop, m_lease.release(), LogFailure("release_lease"));
}

void DutyRunner::sendLastCounts()
{
    if (m_usageExchange) {
        m_usageExchange->sendUpdates();
    }
}

} // namespace apricotarch
