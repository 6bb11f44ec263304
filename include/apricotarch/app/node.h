#pragma once

/**
 * @file
 * One node: everything put together, its loops, and its graceful shutdown.
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

/// The parts of a node. Members are in the order in which they depend on each other.
class Node
{
public:
    /// @param settings checked settings @param incarnation grows with each start of the process
    Node(Settings settings, Incarnation incarnation);
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    ~Node();

    // ---- life ----

    /// Starts to receive beats and to run the loops. @return ListenFailed
    [[nodiscard]] Result<void> start();

    /// Takes no new work, hands duties over, and waits for standing work up to the bound in the settings.
    [[nodiscard]] asio::awaitable<void> shutDown();

    /// Ends the threads.
    void stop();

    // ---- what requests need ----

    [[nodiscard]] const Settings &settings() const noexcept;
    [[nodiscard]] const ProcessId &self() const noexcept;
    [[nodiscard]] Workers &workers() noexcept;
    [[nodiscard]] Clock &clock() noexcept;
    [[nodiscard]] Metrics &metrics() noexcept;
    [[nodiscard]] DecisionLog &decisions() noexcept;
    [[nodiscard]] Fleet &fleet() noexcept;
    [[nodiscard]] Members &members() noexcept;
    [[nodiscard]] CrashLedger &crashes() noexcept;
    [[nodiscard]] ConfigurationKeeper &configuration() noexcept;
    [[nodiscard]] AdmissionGate &admission() noexcept;
    [[nodiscard]] LanguageCalls &languageCalls() noexcept;
    [[nodiscard]] ApplicationCalls &applicationCalls() noexcept;
    [[nodiscard]] LeaseKeeper &lease() noexcept;
    [[nodiscard]] TableStore &table() noexcept;
    [[nodiscard]] bool isDraining() const noexcept;

    /// Begins a shutdown from an operator's request; the process ends when it is done.
    void requestShutdown();

    /// Whether a shutdown has been asked for.
    [[nodiscard]] bool shutdownRequested() const noexcept;

private:
    using Round = asio::awaitable<void> (Node::*)();

    /// A task that is repeated.
    struct Loop
    {
        const char *name;
        Round round;
        Duration pause;
    };
    static const std::vector<Loop> Loops;

    [[nodiscard]] asio::awaitable<void> repeat(Loop loop);
    [[nodiscard]] asio::awaitable<void> beatRound();
    [[nodiscard]] asio::awaitable<void> configurationRound();
    [[nodiscard]] asio::awaitable<void> electorateRound();
    [[nodiscard]] asio::awaitable<void> leaseRound();
    [[nodiscard]] asio::awaitable<void> cellRound();
    [[nodiscard]] asio::awaitable<void> vmListRound();
    [[nodiscard]] asio::awaitable<void> loadRound();
    [[nodiscard]] asio::awaitable<void> claimRound();
    [[nodiscard]] asio::awaitable<void> askLoad(ReplicaView view);
    [[nodiscard]] PeerReply answerPeer(PeerRequest request);
    [[nodiscard]] std::vector<PeerSettings> receivers() const;
    [[nodiscard]] RandomIndex randomIndex();

    Settings m_settings;
    ProcessId m_self;
    SystemClock m_clock;
    Workers m_workers;
    Metrics m_metrics;
    DecisionLog m_decisions;
    Fleet m_fleet;
    Members m_members;
    CrashLedger m_crashes;
    HttpClient m_client;
    PlatformTable m_table;
    PlatformObjects m_objects;
    PlatformVmList m_vms;
    HttpEngineStreams m_engines;
    HttpEngineConnector m_connector;
    HttpReplicaCaller m_replicaCaller;
    PeerSeal m_seal;
    PeerTransport m_peers;
    ConfigurationKeeper m_configuration;
    Membership m_membership;
    LeaseKeeper m_lease;
    OrderKeeper m_orders;
    CellKeeper m_cell;
    ClaimKeeper m_claims;
    RetryBudget m_retries;
    std::unique_ptr<RoutingPolicy> m_policy;
    std::unique_ptr<RoutingPolicy> m_applicationPolicy;
    boost::intrusive_ptr<AdmissionGate> m_admission;
    LanguageCalls m_languageCalls;
    ApplicationCalls m_applicationCalls;
    int m_electorateRounds = 0; ///< Since the last look at the electorate; used by its loop only.
    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_shutdownRequested = false;
};

} // namespace apricotarch
