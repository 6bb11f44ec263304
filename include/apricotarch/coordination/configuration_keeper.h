#pragma once

/**
 * @file
 * Brings accepted configurations into force on this node, and takes new ones from operators.
 */

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "apricotarch/coordination/adoption.h"
#include "apricotarch/coordination/conditional_write.h"
#include "apricotarch/coordination/peers.h"
#include "apricotarch/coordination/platform.h"
#include "apricotarch/state/decision_log.h"
#include "apricotarch/state/members.h"
#include "apricotarch/state/metrics.h"

namespace apricotarch
{

/// A configuration in force together with the row that made it so.
struct ConfigurationInForce
{
    CommittedConfiguration committed;
    Configuration configuration;
};

/// Whether a request may be admitted, and under which configuration.
struct Admissibility
{
    std::shared_ptr<const ConfigurationInForce> inForce; ///< Null where there is none.
    bool admissible = false;
    std::string reason; ///< Why not, as a refusal reason.
};

/// Keeps the configuration of one node.
class ConfigurationKeeper
{
public:
    /// Called whenever another configuration comes into force.
    using ChangeHandler = std::function<void(const ConfigurationInForce &)>;

    /// What the keeper works with; all must outlive it.
    struct Dependencies
    {
        TableStore &table;
        ObjectStore &objects;
        PeerLink &peers;
        Members &members;
        Clock &clock;
        DecisionLog &decisions;
        Metrics &metrics;
    };

    ConfigurationKeeper(Dependencies dependencies, ProcessId self, CurrencyTimes times, ChangeHandler onChange);

    // ---- what is in force; from any thread ----

    /// The configuration in force, or null.
    [[nodiscard]] std::shared_ptr<const ConfigurationInForce> inForce() const;

    /// Whether work for a service may be admitted now.
    [[nodiscard]] Admissibility admissibility(const ServiceId &service) const;

    /// Whether the node is current, for readiness.
    [[nodiscard]] Currency currencyNow() const;

    /// What beats say of this node's configuration.
    [[nodiscard]] ConfigurationClaim claim() const;

    /// Time since this node last read the row.
    [[nodiscard]] std::optional<std::chrono::milliseconds> storeAge() const;

    // ---- what peers ask; from any thread ----

    /// The committed row this node knows.
    [[nodiscard]] std::optional<CommittedConfiguration> committed() const;

    /// A body this node holds, or NotFound.
    [[nodiscard]] Result<std::string> body(const Digest &digest) const;

    /// Holds an offered body. @return Conflict where a later configuration is known
    [[nodiscard]] Result<void> hold(const ConfigurationOffer &offer);

    // ---- work ----

    /// Reads the row and brings what it names into force; withdraws stale offers.
    [[nodiscard]] asio::awaitable<void> poll();

    /// Learns from a peer's beat. @param provenAt the beat was sent after this moment of the own clock
    [[nodiscard]] asio::awaitable<void> hear(Heartbeat heartbeat, std::optional<TimePoint> provenAt);

    /**
     * Accepts or refuses a configuration whole.
     * @param configuration generated from a questionnaire, already validated
     * @param base version the operator started from
     * @return the row in force; Conflict naming the version to start from; NoMajority or StoreUnavailable, both certain not
     *         to have been accepted; OutcomeUnknown where only the store can tell
     */
    [[nodiscard]] asio::awaitable<Result<CommittedConfiguration>> accept(Configuration configuration, ConfigurationVersion base);

    /// Whether a configuration is accepted whose electorate this process is not in, so that it could not help to accept another.
    [[nodiscard]] bool isLeftOut() const;

    /// Writes the members heard now into the row's electorate, where they differ from it.
    [[nodiscard]] asio::awaitable<void> refreshElectorate();

private:
    struct Offering
    {
        std::set<ProcessId> holding;
        std::set<ProcessId> ended;
        std::size_t unanswered = 0; ///< Offers that are still on their way.
    };

    [[nodiscard]] asio::awaitable<Result<std::optional<CommittedConfiguration>>> readRow();
    [[nodiscard]] asio::awaitable<Result<CommittedConfiguration>> commit(
        CommittedConfiguration base, std::string body, Digest digest, bool newVersion);
    [[nodiscard]] asio::awaitable<std::shared_ptr<const Offering>> offerToMembers(
        std::vector<Elector> electorate, ConfigurationOffer offer);
    [[nodiscard]] asio::awaitable<void> offerTo(std::shared_ptr<Offering> offering, MemberView member, ConfigurationOffer offer);
    [[nodiscard]] asio::awaitable<Result<CommittedConfiguration>> writeRow(const CommittedConfiguration &base, ConfigurationRow row);
    [[nodiscard]] asio::awaitable<void> withdraw(CommittedConfiguration base);
    [[nodiscard]] asio::awaitable<void> bringIntoForce();
    void applyInForce();
    [[nodiscard]] asio::awaitable<Result<std::string>> findBody(Digest digest);
    [[nodiscard]] std::vector<Elector> presentElectorate() const;
    [[nodiscard]] std::set<ProcessId> heard() const;
    [[nodiscard]] AdoptionView view() const;
    template<typename Learn>
    void learn(Learn apply);
    void keepBody(const Digest &digest, std::string body);
    void explain(const CommittedConfiguration &committed, std::string seen, std::string weighed, const char *chosen);

    Dependencies m_use;
    ProcessId m_self;
    CurrencyTimes m_times;
    ChangeHandler m_onChange;
    std::mutex m_applyMutex; ///< Keeps change handlers in the order of the epochs.
    mutable std::mutex m_mutex;
    AdoptionView m_view;
    std::shared_ptr<const ConfigurationInForce> m_inForce;
    std::shared_ptr<const Configuration> m_offered; ///< Decoded body of the offer in the view.
    std::map<Digest, std::string> m_bodies;
};

} // namespace apricotarch
