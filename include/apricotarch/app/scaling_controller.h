#pragma once

/**
 * @file
 * Orders replicas of services whose numbers the operator lets the system choose. Only the node that holds the lease sends orders, one at
 * a time.
 */

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <tuple>
#include <vector>

#include "apricotarch/app/front_state.h"
#include "apricotarch/duties/duty_lease.h"
#include "apricotarch/duties/duty_services.h"
#include "apricotarch/scheduling/scaling_planner.h"

namespace apricotarch
{

/// Runs the loop that orders replicas. All calls must be made on one event loop.
class ScalingController
{
public:
    /// Renews the lease directly before an act, see DutyLease::renew().
    using RenewLease = std::function<asio::awaitable<std::optional<DutyAuthority>>()>;

    /**
     * @param state the node's state; must outlive this object
     * @param renew renews the lease and returns the authority, or nothing if the lease is not held
     * @param services receives the orders; must outlive this object
     */
    ScalingController(FrontState &state, RenewLease renew, DutyServices &services);

    /// Decides each second for each service with a ScalingSpec, and sends the orders. Never returns.
    [[nodiscard]] asio::awaitable<void> run();

private:
    /// A decision that was logged last for a zone and kind.
    struct LoggedDecision
    {
        int count = 0;
        ScalingReason reason = ScalingReason::Demand;
        DutyCallOutcome outcome = DutyCallOutcome::Accepted;

        bool operator==(const LoggedDecision &) const = default;
    };
    using OrderSubject = std::tuple<ServiceId, ZoneId, ReplicaKind>;

    /// Whether this node orders replicas at present.
    [[nodiscard]] bool isActive() const;
    /// Returns the services with a ScalingSpec whose replicas are model engines.
    [[nodiscard]] std::vector<RoutedService> scaledServices();
    [[nodiscard]] asio::awaitable<void> control(RoutedService service);
    [[nodiscard]] ScalingObservation observe(const ServiceId &service);
    [[nodiscard]] ScalingPlanner &planner(const RoutedService &service);
    /// Sends one order. @return the outcome, or nothing if this node may not send orders
    [[nodiscard]] asio::awaitable<std::optional<DutyCallOutcome>> send(ServiceId service, ScalingOrder order);
    void apply(const RoutedService &service, const ScalingOrder &order, DutyCallOutcome outcome);
    /// Logs a decision unless it is the repetition of a failed one.
    void log(const ServiceId &service,
        const ScalingObservation &observation,
        const ScalingDecision &decision,
        const ScalingOrder &order,
        DutyCallOutcome outcome);

    FrontState &m_state;
    RenewLease m_renew;
    DutyServices &m_services;
    TimePoint m_startedAt;
    std::optional<FencingToken> m_lastToken; ///< Of the last authority.
    std::shared_ptr<const RoutingPlan> m_plan; ///< That m_scaledServices was made from.
    std::vector<RoutedService> m_scaledServices;
    std::map<ServiceId, ScalingPlanner> m_planners;
    std::map<OrderSubject, LoggedDecision> m_logged;
};

} // namespace apricotarch
