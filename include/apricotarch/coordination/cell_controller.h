#pragma once

/**
 * @file
 * Control of a cell. The node that holds the cell's lease changes the engines of the cell, one at a time, to the states that
 * the configuration requires, and drains each engine before the change.
 */

#include <map>
#include <mutex>
#include <vector>

#include "apricotarch/coordination/configuration_manager.h"
#include "apricotarch/coordination/order.h"
#include "apricotarch/state/replica_table.h"

namespace apricotarch
{

/// Timing of changes in a cell.
struct CellTimes
{
    Duration drainDelay = std::chrono::seconds(2); ///< Time from the start of a drain until no node sends new work to the engine.
    Duration drainTimeout = std::chrono::seconds(60); ///< The change of an engine that stays busy for longer is abandoned for now.
    Duration orderInterval = std::chrono::seconds(2); ///< Minimum time between two orders; limits the load on the weight store.
};

/// The properties of an engine that determine when it is changed.
struct EngineStatus
{
    ReplicaId id;
    ServiceId service;
    bool hasDesiredState = false; ///< The engine has reported the desired state.
    bool isUsable = false; ///< The engine has reported recently and accepts work.
    bool isBusy = false; ///< The engine runs requests.
};

/**
 * Selects the engine to change next.
 * @param engines engines of the cell, in a fixed order
 * @param current the engine that is being changed; empty for none
 * @param floor share of a service's engines, 0 to 1, that must stay usable
 * @return @p current while it is one of @p engines, even in its desired state, so that its order is closed first; otherwise an
 *         engine that does not have the desired state: an unusable one, or else one whose change does not violate the floor of
 *         its service; nothing if there is none
 */
[[nodiscard]] std::optional<ReplicaId> selectEngineToChange(
    const std::vector<EngineStatus> &engines, const ReplicaId &current, double floor);

/// Controls the engines of a cell on the node that holds the cell's lease.
class CellController
{
public:
    /// @param zone availability zone whose engines belong to the cell; empty if the cell contains the engines of all zones
    CellController(
        OrderManager &orders, LeaseManager &lease, ReplicaTable &fleet, Clock &clock, Metrics &metrics, ZoneId zone, CellTimes times);

    /// Performs one iteration of the control loop. @param inForce configuration that gives the desired states
    [[nodiscard]] asio::awaitable<void> reconcile(const ActiveConfiguration &inForce);

    /// Returns the engines to which no node should send new work. Thread-safe.
    [[nodiscard]] std::vector<ReplicaId> drainingReplicas() const;

private:
    /// A change in progress; it begins with a drain.
    struct Change
    {
        ReplicaId engine;
        TimePoint startedAt;
    };

    [[nodiscard]] asio::awaitable<void> advanceChange(const ActiveConfiguration &inForce, EngineStatus engine, Change change);
    [[nodiscard]] std::vector<EngineStatus> engineStatuses(const Configuration &configuration) const;
    void setChange(std::optional<Change> change);
    [[nodiscard]] std::optional<Change> change() const;

    OrderManager &m_orders;
    LeaseManager &m_lease;
    ReplicaTable &m_fleet;
    Clock &m_clock;
    Metrics &m_metrics;
    ZoneId m_zone;
    CellTimes m_times;
    TimePoint m_lastOrderAt;
    mutable std::mutex m_mutex;
    std::optional<Change> m_change;
};

} // namespace apricotarch
