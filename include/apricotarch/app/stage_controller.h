#pragma once

/**
 * @file
 * Orders engines to change their stage. Only the node that holds the lease sends orders, one at a time.
 */

#include <functional>
#include <map>
#include <string>

#include "apricotarch/app/front_state.h"
#include "apricotarch/coordination/stage_order.h"
#include "apricotarch/coordination/stage_planner.h"
#include "apricotarch/duties/duty_lease.h"
#include "apricotarch/transport/backend_call.h"

namespace apricotarch
{

/// Encoders and decoders of messages about engines' stages, provided by the platform's protocol adapter.
struct StageMessageCodec
{
    std::function<std::string(const StageOrder &order, const Endpoint &engine)> encodeOrder;
    std::function<std::string(const ReplicaId &id, const Endpoint &engine)> encodeReportRequest;
    std::function<Result<EngineStageReport>(const std::string &body, const std::string &peer)> decodeReport;
};

/// Runs the loop that changes engines' stages. All calls must be made on one event loop.
class StageController
{
public:
    /**
     * @param state the node's state; must outlive this object
     * @param lease the lease of all duties, which must outlive this object; used only if a change is due
     * @param codec encoders and decoders of messages to and from engines
     */
    StageController(FrontState &state, DutyLease &lease, StageMessageCodec codec);

    /// Polls for due changes and orders them. Never returns.
    [[nodiscard]] asio::awaitable<void> run();

    /// Asks an engine for its state, on a new connection. @return UnexpectedStatus if it has not answered within a second, or not with 200;
    /// MalformedMessage or InvalidField if its answer cannot be read
    [[nodiscard]] asio::awaitable<Result<EngineStageReport>> readReport(BackendPointer engine);

private:
    /// A stage change that is due.
    struct PendingChange
    {
        StageChange change;
        StageDemand demand; ///< Demand that the decision is based on.
        std::size_t engineCount = 0; ///< Number of the service's engines.
        Duration stageChangeTime; ///< Duration of the change.
    };

    /// Returns the next due change of any service.
    [[nodiscard]] std::optional<PendingChange> selectNextChange();
    /// Announces the due changes to the other nodes and orders them after AnnouncementDelay.
    [[nodiscard]] asio::awaitable<void> orderChanges();
    /// Marks an engine as changing, which the next heartbeat reports. @return the engine, never null
    [[nodiscard]] BackendPointer announceChange(const PendingChange &pending);
    /// Sends an order if the engine is idle and the lease is still held; cancels the change otherwise.
    [[nodiscard]] asio::awaitable<void> orderUnderLease(BackendPointer engine, EngineStage stage);
    [[nodiscard]] asio::awaitable<BackendCallAnswer> sendToEngine(const BackendPointer &engine, std::string message);
    /// Whether an engine may be sent reports' requests and orders. It may change while another call is awaited.
    [[nodiscard]] bool takesOrders(const Backend &engine) const;
    /// Makes an engine available again.
    void cancelChange(Backend &engine);
    /// Estimates the demand on a service over all nodes; empty until load has lasted long enough.
    [[nodiscard]] StageDemand estimateDemand(const ServiceId &service, TimePoint now);

    /// Averages over the prompts that this node has forwarded recently.
    [[nodiscard]] PromptAverages averagePrompt(const ServiceId &service, TimePoint now);

    FrontState &m_state;
    DutyLease &m_lease;
    StageMessageCodec m_codec;
    StagePlannerSettings m_plannerSettings;
    std::map<ReplicaId, TimePoint> m_changedAt; ///< Time of the last change, by engine.
    std::map<ServiceId, std::size_t> m_engineCounts; ///< Number of engines at the last poll, by service.
    TimePoint m_startedAt;
    TimePoint m_loadSince; ///< When the rate of prompt tokens was last below the minimum.
    TimePoint m_lastChangeAt;
};

} // namespace apricotarch
