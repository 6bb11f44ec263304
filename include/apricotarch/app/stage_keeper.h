#pragma once

/**
 * @file
 * Orders engines to change their stage, one node at a time under a lease, one order at a time.
 */

#include <functional>
#include <map>
#include <string>

#include "apricotarch/app/front_state.h"
#include "apricotarch/coordination/lease.h"
#include "apricotarch/coordination/stage_order.h"
#include "apricotarch/coordination/stage_planner.h"
#include "apricotarch/state/decision_log.h"
#include "apricotarch/transport/backend_call.h"

namespace apricotarch
{

/// Messages to and from engines about their stage; given by the platform's adapter.
struct StageMessages
{
    std::function<std::string(const StageOrder &order, const Endpoint &engine)> order;
    std::function<std::string(const ReplicaId &id, const Endpoint &engine)> reportRequest;
    std::function<Result<EngineReport>(const std::string &body, const std::string &peer)> report;
};

/// One node's part in changing stages. Used on one event loop.
class StageKeeper
{
public:
    /**
     * @param state of the node
     * @param rows where the lease's row is
     * @param messages to and from engines
     * @param self this process
     */
    StageKeeper(FrontState &state, TableStore &rows, StageMessages messages, ProcessId self);

    /// Looks for changes that are due, for ever.
    [[nodiscard]] asio::awaitable<void> run();

private:
    struct Due
    {
        StageChange change;
        StageDemand demand; ///< By which it was decided.
        std::size_t engines = 0; ///< Of the service.
        Duration switchTime;
    };

    [[nodiscard]] std::optional<Due> nextChange();
    /// Announces what is due to the other nodes, and orders it once they have heard.
    [[nodiscard]] asio::awaitable<void> carryOut();
    /// Marks an engine as changing, which the next beat tells. @return the engine, never null
    [[nodiscard]] BackendPointer announce(const Due &due);
    [[nodiscard]] asio::awaitable<void> orderUnderLease(BackendPointer engine, EngineStage stage);
    [[nodiscard]] asio::awaitable<Result<EngineReport>> readReport(BackendPointer engine);

    [[nodiscard]] asio::awaitable<BackendCallAnswer> exchange(const BackendPointer &engine, std::string message);
    void callOff(Backend &engine);
    [[nodiscard]] StageDemand demandOf(const ServiceId &service, TimePoint now);

    FrontState &m_state;
    StageMessages m_messages;
    BootClock m_bootClock;
    DecisionLog m_decisions;
    LeaseKeeper m_lease;
    ProcessId m_self;
    StagePolicy m_policy;
    std::map<ReplicaId, TimePoint> m_changedAt;
    std::map<ServiceId, std::size_t> m_engines; ///< At the last look.
    TimePoint m_startedAt;
    TimePoint m_loadedSince;
    TimePoint m_lastChangeAt;
};

} // namespace apricotarch
