#pragma once

/**
 * @file
 * Activates accepted configurations on this node and accepts new ones from operators.
 */

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "apricotarch/coordination/adoption.h"
#include "apricotarch/coordination/conditional_write.h"
#include "apricotarch/coordination/peer_client.h"
#include "apricotarch/coordination/platform_services.h"
#include "apricotarch/state/decision_log.h"
#include "apricotarch/state/member_table.h"
#include "apricotarch/state/metrics.h"

namespace apricotarch
{

/// A configuration in force and the committed row that names it.
struct ActiveConfiguration
{
    CommittedConfiguration committed;
    Configuration configuration;
};

/// The decision whether a request may be admitted, and the configuration to use for it.
struct Admissibility
{
    std::shared_ptr<const ActiveConfiguration> inForce; ///< Null if no configuration is in force.
    bool admissible = false;
    std::string reason; ///< Refusal reason if the request may not be admitted; otherwise empty.
};

/// Manages the configuration of one node.
class ConfigurationManager
{
public:
    /// Called when a configuration of another version comes into force.
    using ChangeHandler = std::function<void(const ActiveConfiguration &)>;

    /// Objects that the manager uses. They must outlive it.
    struct Dependencies
    {
        TableStore &table;
        ObjectStore &objects;
        PeerClient &peers;
        MemberTable &members;
        Clock &clock;
        DecisionLog &decisions;
        Metrics &metrics;
    };

    ConfigurationManager(Dependencies dependencies, ProcessId self, FreshnessTimes times, ChangeHandler onChange);

    // ---- the configuration in force; thread-safe ----

    /// Returns the configuration in force, or null.
    [[nodiscard]] std::shared_ptr<const ActiveConfiguration> inForce() const;

    /// Returns whether work for a service may be admitted now.
    [[nodiscard]] Admissibility admissibility(const ServiceId &service) const;

    /// Returns the present freshness of the configuration, for the readiness check.
    [[nodiscard]] ConfigurationFreshness freshness() const;

    /// Returns the configuration state that heartbeats report to other nodes.
    [[nodiscard]] ConfigurationState reportedState() const;

    /// Returns the time since this node last read the row; nothing if it has not read it yet.
    [[nodiscard]] std::optional<std::chrono::milliseconds> storeAge() const;

    // ---- requests of peers; thread-safe ----

    /// Returns the committed row with the highest epoch that this node has received.
    [[nodiscard]] std::optional<CommittedConfiguration> committed() const;

    /// Returns a body by its digest. @return the body; NotFound if this node does not hold it
    [[nodiscard]] Result<std::string> findLocalBody(const Digest &digest) const;

    /**
     * Stores an offered body and records the offer.
     * @return InvalidField if the body is invalid or has another digest; Conflict if this node has a later configuration
     */
    [[nodiscard]] Result<void> storeOffer(const ConfigurationOffer &offer);

    // ---- actions ----

    /// Reads the row, activates the configuration that it names and withdraws a stale offer.
    [[nodiscard]] asio::awaitable<void> poll();

    /**
     * Handles a peer's heartbeat.
     * @param heartbeat the heartbeat
     * @param sentAfter a moment of this node's clock after which the heartbeat was certainly sent, if there is one
     */
    [[nodiscard]] asio::awaitable<void> handleHeartbeat(Heartbeat heartbeat, std::optional<TimePoint> sentAfter);

    /**
     * Accepts or refuses a configuration as a unit.
     * @param configuration validated configuration, generated from a questionnaire
     * @param base version on which the operator based the change
     * @return the committed row; Conflict with the version on which to base the change; NoMajority or StoreUnavailable if the
     *         configuration was certainly not accepted; OutcomeUnknown if only a read of the store can determine the outcome
     */
    [[nodiscard]] asio::awaitable<Result<CommittedConfiguration>> accept(Configuration configuration, ConfigurationVersion base);

    /// Returns whether the committed row's electorate excludes this process, which then cannot vote on the next configuration.
    [[nodiscard]] bool isOutsideElectorate() const;

    /// Replaces the row's electorate by the members that are alive now, if it differs from them.
    [[nodiscard]] asio::awaitable<void> refreshElectorate();

private:
    /// The answers to one offer.
    struct OfferProgress
    {
        std::set<ProcessId> holders; ///< Processes that hold the offered body.
        std::set<ProcessId> ended; ///< Electors whose processes have ended.
        std::size_t unanswered = 0; ///< Number of requests without an answer so far.
    };

    /// Returns the key of the configuration's row.
    [[nodiscard]] static RowKey rowKey();
    [[nodiscard]] asio::awaitable<Result<std::optional<CommittedConfiguration>>> readRow();
    /// Offers a body to the members and, if a majority holds it, replaces the row @p base.
    [[nodiscard]] asio::awaitable<Result<CommittedConfiguration>> commit(
        CommittedConfiguration base, std::string body, Digest digest, bool isNewVersion);
    /// Offers a body to all members and returns when enough have answered, or after a timeout.
    [[nodiscard]] asio::awaitable<std::shared_ptr<const OfferProgress>> offerToMembers(
        std::vector<Elector> electorate, ConfigurationOffer offer);
    [[nodiscard]] asio::awaitable<void> offerTo(std::shared_ptr<OfferProgress> progress, MemberView member, ConfigurationOffer offer);
    [[nodiscard]] asio::awaitable<Result<CommittedConfiguration>> writeRow(const CommittedConfiguration &base, ConfigurationRow row);
    /// Withdraws offers that are based on a row by writing the row again, which starts a new epoch.
    [[nodiscard]] asio::awaitable<void> withdrawOffers(CommittedConfiguration base);
    [[nodiscard]] asio::awaitable<void> activateCommitted();
    void notifyChange();
    /// Returns a body from this node, a member or the object store.
    [[nodiscard]] asio::awaitable<Result<std::string>> findBody(Digest digest);
    [[nodiscard]] std::vector<Elector> currentElectorate() const;
    [[nodiscard]] std::set<ProcessId> reachableProcesses() const;
    [[nodiscard]] AdoptionView view() const;
    template<typename Update>
    void updateView(Update update);
    void cacheBody(const Digest &digest, std::string body);
    void recordDecision(const CommittedConfiguration &committed, std::string seen, std::string weighed, const char *chosen);

    Dependencies m_dependencies;
    ProcessId m_self;
    FreshnessTimes m_times;
    ChangeHandler m_onChange;
    std::mutex m_notifyMutex; ///< Serializes the calls of the change handler, so that they follow the order of the epochs.
    mutable std::mutex m_mutex;
    AdoptionView m_view;
    std::shared_ptr<const ActiveConfiguration> m_inForce;
    std::shared_ptr<const Configuration> m_offered; ///< Decoded body of the offer in m_view.
    std::map<Digest, std::string> m_bodies;
};

} // namespace apricotarch
