#pragma once

/**
 * @file
 * The duty of a cell: its holder brings the cell's engines into the states that the configuration names, one at a time, and
 * drains each before it changes.
 */

#include <map>
#include <mutex>
#include <vector>

#include "apricotarch/coordination/configuration_keeper.h"
#include "apricotarch/coordination/order.h"
#include "apricotarch/state/fleet.h"

namespace apricotarch
{

/// Pace of changes in a cell.
struct CellTimes
{
    Duration drainNotice = std::chrono::seconds(2); ///< From telling the nodes of a drain until no new work arrives.
    Duration drainBound = std::chrono::seconds(60); ///< An engine still busy after this is given up on for now.
    Duration betweenLoads = std::chrono::seconds(2); ///< Between two orders; spares the weight store.
};

/// One engine as the pace sees it.
struct EngineNeed
{
    ReplicaId id;
    ServiceId service;
    bool asWanted = false; ///< It has reported the wanted state.
    bool usable = false; ///< It has reported lately and takes work.
    bool busy = false; ///< It runs work.
};

/**
 * Chooses the engine to change next.
 * @param needs engines of the cell, in a fixed order
 * @param current the engine that is being changed; empty for none
 * @param floor share of a service's engines, 0 to 1, that have to stay usable
 * @return @p current while it is there, until its order is closed; else an engine whose change leaves its service's floor, engines that are
 * not usable first; nothing where there is none
 */
[[nodiscard]] std::optional<ReplicaId> nextToChange(const std::vector<EngineNeed> &needs, const ReplicaId &current, double floor);

/// Runs the duty on the node that holds the lease.
class CellKeeper
{
public:
    /// @param zone availability zone whose engines belong to the cell; empty where one cell has them all
    CellKeeper(OrderKeeper &orders, LeaseKeeper &lease, Fleet &fleet, Clock &clock, Metrics &metrics, ZoneId zone, CellTimes times);

    /// One round. @param inForce what is wanted
    [[nodiscard]] asio::awaitable<void> round(const ConfigurationInForce &inForce);

    /// Engines that no node should give new work to. From any thread.
    [[nodiscard]] std::vector<ReplicaId> drainingReplicas() const;

private:
    struct Change
    {
        ReplicaId engine;
        TimePoint since;
    };

    [[nodiscard]] asio::awaitable<void> changeOne(const ConfigurationInForce &inForce, EngineNeed engine, Change change);
    [[nodiscard]] std::vector<EngineNeed> needs(const Configuration &configuration) const;
    void setChange(std::optional<Change> change);
    [[nodiscard]] std::optional<Change> change() const;

    OrderKeeper &m_orders;
    LeaseKeeper &m_lease;
    Fleet &m_fleet;
    Clock &m_clock;
    Metrics &m_metrics;
    ZoneId m_zone;
    CellTimes m_times;
    TimePoint m_lastOrderAt;
    mutable std::mutex m_mutex;
    std::optional<Change> m_change;
};

} // namespace apricotarch
