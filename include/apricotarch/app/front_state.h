#pragma once

/**
 * @file
 * State shared by the components of a front node.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "apricotarch/app/front_settings.h"
#include "apricotarch/app/possible_crash.h"
#include "apricotarch/coordination/crash_tracker.h"
#include "apricotarch/coordination/engine_groups.h"
#include "apricotarch/coordination/prompt_part_quarantine.h"
#include "apricotarch/coordination/service_versions.h"
#include "apricotarch/coordination/shutdown_schedule.h"
#include "apricotarch/coordination/stage_order.h"
#include "apricotarch/scheduling/server_speeds.h"
#include "apricotarch/state/metrics.h"
#include "apricotarch/state/rate_meter.h"
#include "apricotarch/state/recent_durations.h"
#include "apricotarch/state/routing_plan.h"
#include "apricotarch/state/stream_version_table.h"
#include "apricotarch/transport/backend_connection.h"
#include "apricotarch/transport/backend_protocol_adapter.h"
#include "apricotarch/transport/caller_connection.h"

namespace apricotarch
{

/// State of one front node. Entry VMs have one core, so a single event loop owns all of it and no lock is needed.
struct FrontState
{
    FrontState(asio::any_io_executor eventLoopExecutor,
        FrontSettings initialSettings,
        Clock &nodeClock,
        const BackendProtocolAdapter &adapter,
        std::uint64_t seed)
        : executor(std::move(eventLoopExecutor))
        , settings(std::move(initialSettings))
        , clock(nodeClock)
        , protocolAdapter(adapter)
        , engineGroups(backends)
        , peers({settings.node, settings.peerAddress, settings.zone}, PeerTimeouts(), settings.maxFullMeshNodes)
        , retryBudget(settings.retryLimits)
        , crashTracker(CrashTrackerPeriods())
        , placementPlanner(settings.engineCosts, seed)
        , buffers(settings.bufferLimitBytes())
        , backendPool(ConnectionPoolLimits(), &buffers)
        , random(seed + 1)
    {
        backendPool.setHeadObserver([this](const BackendConnection &connection, const AnswerHead &head) {
            recordServerStatements(connection, head);
        });
    }
    FrontState(const FrontState &) = delete;
    FrontState &operator=(const FrontState &) = delete;
    ~FrontState() = default;

    /// Applies what an answer of a backend server states about the server itself. Called for each answer, whatever it answers.
    void recordServerStatements(const BackendConnection &connection, const AnswerHead &head);

    /// Applies what an answer states of the request rate that its server takes from all nodes together.
    void recordRequestRate(const ReplicaId &server, const BackendAnswer &answer, const StatementOrigin &origin);

    [[nodiscard]] bool isShuttingDown() const noexcept
    {
        return shutdown.has_value();
    }

    /// Whether the node accepts new callers.
    [[nodiscard]] bool isReady() const noexcept
    {
        return !isShuttingDown() && plan->version() > 0 && serversLoaded;
    }

    /// Whether prompts are placed by loads that are asked of stewards, in place of those in heartbeats.
    [[nodiscard]] bool asksStewards() const noexcept
    {
        return peers.usesPartialView() || peers.nodeCount() > settings.maxBroadcastLoadNodes;
    }

    /**
     * Reports a change of this node's load on a server to onLoadChanged.
     * @param backend the server
     * @param tokens number of prompt tokens added or removed
     * @param prompt the prompt that is being sent to the server; empty for other changes
     */
    void notifyLoadChanged(const Backend &backend, std::int64_t tokens, const std::vector<PromptPart> &prompt = {})
    {
        if (onLoadChanged) {
            onLoadChanged(backend, tokens, prompt);
        }
    }

    /// Reports a change that other nodes must learn of before the next regular heartbeat.
    void notifyUrgentChange()
    {
        if (onUrgentChange) {
            onUrgentChange();
        }
    }

    asio::any_io_executor executor;
    FrontSettings settings;
    Clock &clock;
    const BackendProtocolAdapter &protocolAdapter;
    Metrics metrics;
    std::shared_ptr<const RoutingPlan> plan = std::make_shared<RoutingPlan>();
    bool serversLoaded = false; ///< Whether the servers' table has been read at least once.
    BackendTable backends;
    EngineGroupCache engineGroups;
    PeerTable peers;
    SharedRetryBudget retryBudget;
    CrashTracker crashTracker;
    PromptPartQuarantine partQuarantine;
    /// Losses of connections that may have been crashes, by process of the server, until it has been checked.
    std::map<std::uint32_t, std::vector<PossibleCrash>> uncheckedLosses;
    PlacementPlanner placementPlanner;
    ServerSpeeds serverSpeeds;
    ServiceVersions serviceVersions;
    /// Versions that may have begun streams before this node observed the table of servers, as last read from the store.
    std::map<ServiceId, VersionSet> recordedVersions;
    /// Reads what the store has of the origins of streams; see StreamOriginStore.
    std::function<asio::awaitable<void>()> refreshStreamOrigins;
    /// Asks other nodes for the origin of a stream; see StreamOriginExchange::ask().
    std::function<asio::awaitable<bool>(StreamKey)> askForStreamOrigin;
    /// Confirms that the table of servers was not outdated at a time; see ServerTableCheck::confirm().
    std::function<asio::awaitable<bool>(TimePoint)> confirmServers;
    /// Asks an engine for its state; see StageController::readReport(). Not set if engines cannot be asked.
    std::function<asio::awaitable<Result<EngineStageReport>>(BackendPointer)> readEngineReport;
    /// Called when a stream of this node has begun, with its keys.
    std::function<void(const std::vector<StreamRecord> &)> onStreamBegan;
    StreamVersionTable streamVersions; ///< Streams that began at this node, or of which other nodes have told it.
    BufferBudget buffers; ///< What is kept of answers, of callers' input and output, and of messages of the store and of other nodes.
    BackendConnectionPool backendPool;
    /// Called when this node's load on a server changes, see notifyLoadChanged().
    std::function<void(const Backend &, std::int64_t tokens, const std::vector<PromptPart> &prompt)> onLoadChanged;
    std::function<void()> onUrgentChange; ///< Called by notifyUrgentChange().
    /// Called once for each request of a customer that a server has begun to run, with the time at which it did, by this node's clock. Not
    /// set unless usage is counted.
    std::function<void(const CustomerId &, TimePoint)> onRequestBegan;
    /// With partial views: updates the loads and caches of the engines of a group for a prompt.
    std::function<asio::awaitable<void>(EngineGroupQuery)> refreshGroupLoad;
    std::vector<SentPrompt> sentPrompts; ///< Prompts sent since the last heartbeat, by engine.
    std::map<ServiceId, RateMeter> prefillRates; ///< Rate of prompt tokens sent to engines for prefill, by service.
    std::map<ServiceId, RateMeter> promptRates; ///< Rate of prompts sent to engines, without repetitions, by service.
    std::map<ServiceId, RateMeter> eventRates; ///< Rate of events relayed to callers, by service.
    /// Engines that this node has ordered to change their stage, with the time until which they are unavailable.
    std::map<ReplicaId, TimePoint> changingEngines;
    std::mt19937_64 random; ///< For jitter and the weighted choice of services.
    std::size_t activeRequests = 0; ///< Number of requests in progress.
    std::size_t bufferedBodyBytes = 0; ///< Total size of the request bodies that have arrived or are arriving.
    CallerConnectionList callers; ///< Connections of callers that are open.
    std::optional<ShutdownSchedule> shutdown; ///< Set when the shutdown begins.
    bool closesIdleCallers = false; ///< During a shutdown: connections are closed as soon as no request is in progress on them.
    RecentDurations routeDurations; ///< Of the requests that servers have answered.
};

} // namespace apricotarch
