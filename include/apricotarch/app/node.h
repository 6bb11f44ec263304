#pragma once

/**
 * @file
 * A node: its components, periodic tasks and graceful shutdown.
 */

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "apricotarch/app/settings.h"
#include "apricotarch/coordination/admission.h"
#include "apricotarch/coordination/application_call_executor.h"
#include "apricotarch/coordination/cell_controller.h"
#include "apricotarch/coordination/claim_manager.h"
#include "apricotarch/coordination/configuration_manager.h"
#include "apricotarch/coordination/language_call_executor.h"
#include "apricotarch/coordination/membership.h"
#include "apricotarch/coordination/order.h"
#include "apricotarch/transport/engine_client.h"
#include "apricotarch/transport/event_loop_pool.h"
#include "apricotarch/transport/peer_transport.h"
#include "apricotarch/transport/platform_client.h"

namespace apricotarch
{

/// Owns the components of a node. Members are declared in the order of their dependencies.
class Node
{
public:
    /**
     * @param settings valid settings
     * @param incarnation incarnation of this process; must be greater than that of the previous start
     */
    Node(Settings settings, Incarnation incarnation);
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    ~Node();

    // ---- life cycle ----

    /// Starts to receive messages from peers and to run the periodic tasks. @return ListenFailed if the peer address cannot be bound
    [[nodiscard]] Result<void> start();

    /// Stops admitting requests, releases the lease, and waits for running requests up to the limit in the settings.
    [[nodiscard]] asio::awaitable<void> shutDown();

    /// Stops the worker threads.
    void stop();

    // ---- components ----

    [[nodiscard]] const Settings &settings() const noexcept;
    [[nodiscard]] const ProcessId &self() const noexcept;
    [[nodiscard]] EventLoopPool &eventLoops() noexcept;
    [[nodiscard]] Clock &clock() noexcept;
    [[nodiscard]] Metrics &metrics() noexcept;
    [[nodiscard]] DecisionLog &decisions() noexcept;
    [[nodiscard]] ReplicaTable &replicas() noexcept;
    [[nodiscard]] MemberTable &members() noexcept;
    [[nodiscard]] CrashTracker &crashTracker() noexcept;
    [[nodiscard]] ConfigurationManager &configuration() noexcept;
    [[nodiscard]] AdmissionController &admission() noexcept;
    [[nodiscard]] LanguageCallExecutor &languageCalls() noexcept;
    [[nodiscard]] ApplicationCallExecutor &applicationCalls() noexcept;
    [[nodiscard]] LeaseManager &lease() noexcept;
    [[nodiscard]] TableStore &table() noexcept;
    [[nodiscard]] bool isDraining() const noexcept;

    /// Requests a shutdown on behalf of an operator. The process exits when the shutdown has finished.
    void requestShutdown();

    /// Whether a shutdown has been requested.
    [[nodiscard]] bool shutdownRequested() const noexcept;

private:
    using Iteration = asio::awaitable<void> (Node::*)();

    /// A periodic task.
    struct PeriodicTask
    {
        const char *name; ///< For the log.
        Iteration iterate;
        Duration pause; ///< Pause between two iterations.
    };
    static const std::vector<PeriodicTask> PeriodicTasks;

    [[nodiscard]] asio::awaitable<void> repeat(PeriodicTask task);
    [[nodiscard]] asio::awaitable<void> sendHeartbeats();
    [[nodiscard]] asio::awaitable<void> pollConfiguration();
    [[nodiscard]] asio::awaitable<void> checkElectorate();
    [[nodiscard]] asio::awaitable<void> renewLease();
    [[nodiscard]] asio::awaitable<void> controlCell();
    [[nodiscard]] asio::awaitable<void> updateVmList();
    [[nodiscard]] asio::awaitable<void> requestLoads();
    [[nodiscard]] asio::awaitable<void> retryAbandonedClaims();
    [[nodiscard]] asio::awaitable<void> requestLoad(ReplicaView view);
    [[nodiscard]] PeerReply answerPeerRequest(PeerRequest request);
    [[nodiscard]] std::vector<PeerSettings> heartbeatReceivers() const;
    [[nodiscard]] RandomIndex makeRandomIndex();

    Settings m_settings;
    ProcessId m_self;
    SystemClock m_clock;
    EventLoopPool m_eventLoops;
    Metrics m_metrics;
    DecisionLog m_decisions;
    ReplicaTable m_replicas;
    MemberTable m_members;
    CrashTracker m_crashTracker;
    HttpClient m_httpClient;
    PlatformTable m_table;
    PlatformObjects m_objects;
    PlatformVmDirectory m_vmDirectory;
    HttpEngineStreams m_engineStreams;
    HttpEngineConnector m_engineConnector;
    HttpApplicationClient m_applicationClient;
    MessageAuthenticator m_authenticator;
    PeerTransport m_peerTransport;
    ConfigurationManager m_configuration;
    Membership m_membership;
    LeaseManager m_lease;
    OrderManager m_orders;
    CellController m_cellController;
    ClaimManager m_claims;
    RetryBudget m_retryBudget;
    std::unique_ptr<RoutingPolicy> m_languagePolicy;
    std::unique_ptr<RoutingPolicy> m_applicationPolicy;
    boost::intrusive_ptr<AdmissionController> m_admission;
    LanguageCallExecutor m_languageCalls;
    ApplicationCallExecutor m_applicationCalls;
    int m_electorateIterations = 0; ///< Iterations since the last check of the electorate; used only by checkElectorate().
    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_shutdownRequested = false;
};

} // namespace apricotarch
