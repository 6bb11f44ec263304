#pragma once

/**
 * @file
 * Loads that other nodes report to the steward of a group of engines.
 */

#include <map>

#include "apricotarch/base/clock.h"
#include "apricotarch/state/front_heartbeat.h"

namespace apricotarch
{

/// Outstanding work by engine and reporting node. Not thread-safe; used on one event loop.
class ReportedLoads
{
public:
    /// A report that is not repeated within this time is dropped; nodes repeat theirs every RepeatInterval.
    static constexpr Duration Timeout = std::chrono::milliseconds(3000);
    static constexpr Duration RepeatInterval = std::chrono::milliseconds(1000);

    /// Records a report. @return false if a later one of the same process is known
    bool record(const LoadUpdate &update, TimePoint now);

    /// Returns the work of all nodes but one at an engine. Linear in the number of nodes that use the engine.
    [[nodiscard]] BackendLoad sum(const ReplicaId &engine, const Endpoint &exceptNode, TimePoint now) const;

    /// Drops expired reports.
    void removeExpired(TimePoint now);

private:
    struct Report
    {
        Incarnation incarnation;
        std::int64_t sequence = 0;
        BackendLoad load;
        TimePoint receivedAt;
    };

    std::map<ReplicaId, std::map<Endpoint, Report>> m_reports; ///< By engine and address of the reporting node.
};

} // namespace apricotarch
