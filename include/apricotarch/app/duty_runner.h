#pragma once

/**
 * @file
 * The duties of an installation on one front node: the lease, usage reports and orders of replicas.
 */

#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "apricotarch/app/fleet_synchronizer.h"
#include "apricotarch/app/scaling_controller.h"
#include "apricotarch/app/usage_exchange.h"
#include "apricotarch/app/usage_reporter.h"
#include "apricotarch/duties/duty_lease.h"
#include "apricotarch/duties/duty_services.h"

namespace apricotarch
{

/// Runs the duties that the settings name. Not thread-safe; used on one event loop.
class DutyRunner
{
public:
    /**
     * @param state the node's state; must outlive this object
     * @param rows the store; must outlive this object
     * @param link the link to other nodes; must outlive this object
     * @param incarnation the incarnation of this process
     * @param services the platform's calls; null if there are no duties but engine stages
     */
    DutyRunner(
        FrontState &state, TableStore &rows, AuthenticatedLink &link, Incarnation incarnation, std::unique_ptr<DutyServices> services);

    /// The lease under which duties are performed, engine stages included.
    [[nodiscard]] DutyLease &lease() noexcept
    {
        return m_lease;
    }

    /// Starts the duties of the settings. Must be called before FleetSynchronizer::start().
    void start(asio::io_context &loop, FleetSynchronizer &fleetSynchronizer);

    /// Releases the lease during a planned stop. Runs in the background; the lease expires if it cannot be released in time.
    void release(asio::io_context &loop);

    /// Sends the counts of the last requests in a planned stop.
    void sendLastCounts();

private:
    [[nodiscard]] asio::awaitable<std::optional<DutyAuthority>> renewLease();
    void startUsageReports(asio::io_context &loop, FleetSynchronizer &fleetSynchronizer);

    FrontState &m_state;
    TableStore &m_rows;
    AuthenticatedLink &m_link;
    Incarnation m_incarnation;
    std::unique_ptr<DutyServices> m_services;
    BootClock m_bootClock;
    DutyLease m_lease;
    UsageTimes m_usageTimes;
    TrueTime m_trueTime;
    UsageLedger m_ledger;
    std::optional<UsageExchange> m_usageExchange;
    std::optional<UsageReporter> m_usageReporter;
    std::optional<ScalingController> m_scalingController;
};

} // namespace apricotarch
