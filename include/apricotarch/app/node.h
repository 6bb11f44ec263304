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
#include "apricotarch/coordination/application_call.h"
#include "apricotarch/coordination/cell_keeper.h"
#include "apricotarch/coordination/claims.h"
#include "apricotarch/coordination/configuration_keeper.h"
#include "apricotarch/coordination/language_call.h"
#include "apricotarch/coordination/membership.h"
#include "apricotarch/coordination/order.h"
#include "apricotarch/transport/engine_client.h"
#include "apricotarch/transport/peer_link.h"
#include "apricotarch/transport/platform_client.h"
#include "apricotarch/transport/workers.h"

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
    [[nodiscard]] Workers &workers() noexcept;
    [[nodiscard]] Clock &clock() noexcept;
    [[nodiscard]] Metrics &metrics() noexcept;
    [[nodiscard]] DecisionLog &decisions() noexcept;
    [[nodiscard]] Fleet &fleet() noexcept;
    [[nodiscard]] Members &members() noexcept;
    [[nodiscard]] CrashLedger &crashTracker() noexcept;
    [[nodiscard]] ConfigurationKeeper &configuration() noexcept;
    [[nodiscard]] AdmissionGate &admission() noexcept;
    [[nodiscard]] LanguageCalls &languageCalls() noexcept;
    [[nodiscard]] ApplicationCalls &applicationCalls() noexcept;
    [[nodiscard]] LeaseKeeper &lease() noexcept;
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
    [[nodiscard]] asio::awaitable<void> settleClaims();
    [[nodiscard]] asio::awaitable<void> requestLoad(ReplicaView view);
    [[nodiscard]] PeerReply answerPeerRequest(PeerRequest request);
    [[nodiscard]] std::vector<PeerSettings> heartbeatReceivers() const;
    [[nodiscard]] RandomIndex makeRandomIndex();

    Settings m_settings;
    ProcessId m_self;
    SystemClock m_clock;
    Workers m_workers;
    Metrics m_metrics;
    DecisionLog m_decisions;
    Fleet m_fleet;
    Members m_members;
    CrashLedger m_crashTracker;
    HttpClient m_httpClient;
    PlatformTable m_table;
    PlatformObjects m_objects;
    PlatformVmList m_vmList;
    HttpEngineStreams m_engineStreams;
    HttpEngineConnector m_engineConnector;
    HttpReplicaCaller m_replicaCaller;
    PeerSeal m_authenticator;
    PeerTransport m_peerTransport;
    ConfigurationKeeper m_configuration;
    Membership m_membership;
    LeaseKeeper m_lease;
    OrderKeeper m_orders;
    CellKeeper m_cellController;
    ClaimKeeper m_claims;
    RetryBudget m_retryBudget;
    std::unique_ptr<RoutingPolicy> m_languagePolicy;
    std::unique_ptr<RoutingPolicy> m_applicationPolicy;
    boost::intrusive_ptr<AdmissionGate> m_admission;
    LanguageCalls m_languageCalls;
    ApplicationCalls m_applicationCalls;
    int m_electorateIterations = 0; ///< Iterations since the last check of the electorate; used by its task only.
    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_shutdownRequested = false;
};

} // namespace apricotarch
