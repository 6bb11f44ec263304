#pragma once

/**
 * @file
 * Table of the registered backend servers, with the outstanding work of all nodes at each server.
 */

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/prefix_cache.h"
#include "apricotarch/state/request_rate_share.h"
#include "apricotarch/state/request_rate_statement.h"
#include "apricotarch/state/table_currency.h"

namespace apricotarch
{

/// Stage of a model engine.
enum class EngineStage : std::uint8_t {
    Any, ///< Not a model engine, or an engine that does not report its stage.
    Prefill, ///< Prefills prompts only.
    Decode, ///< Decodes; prefills prompts at half the rate.
};

/// State of a backend server, which determines whether it may receive new requests.
enum class BackendState : std::uint8_t {
    Ready,
    Draining, ///< The server is shutting down and receives no new requests.
    Removed, ///< The server's entry has been removed.
};

/// Contents of a backend server's entry, written by the server itself.
struct BackendRecord
{
    ReplicaId id;
    ServiceId service;
    SoftwareVersion softwareVersion; ///< Of the server's program. Versions of one service may generate different continuations.
    Endpoint address;
    ZoneId zone;
    int slots = 1; ///< Number of requests processed at a time.
    BackendState state = BackendState::Ready;
    EngineStage stage = EngineStage::Any;
    std::int64_t renewals = 0; ///< Counts the writes of the entry since the server's start.
    std::int64_t startedAt = 0; ///< Unix time of the server's start, in milliseconds; a new value means that its cache is lost.
    bool reclaimable = false; ///< Whether the platform may take the server back.
    /// Remaining time of a server that is being taken back, at the time at which the entry was written.
    std::optional<std::chrono::milliseconds> remaining;
};

/// Outstanding work at one backend server.
struct BackendLoad
{
    std::int64_t requests = 0; ///< Number of requests in flight.
    std::int64_t promptTokens = 0; ///< Tokens still to prefill, as estimated by the sender.

    BackendLoad &operator+=(const BackendLoad &other) noexcept
    {
        requests += other.requests;
        promptTokens += other.promptTokens;
        return *this;
    }
};

/// Prefills of this node at one engine that were answered recently, as evidence that an older one is lost: engines prefill prompts in
/// order of arrival.
class AnsweredPrefills
{
public:
    /// Records an answered prefill. @param sentAt when its request was sent
    void record(TimePoint sentAt)
    {
        m_sentAt[m_next] = sentAt;
        m_next = (m_next + 1) % m_sentAt.size();
    }

    /// Returns the number of recent answers to requests that were sent after @p time.
    [[nodiscard]] std::size_t countSentAfter(TimePoint time) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_sentAt, [time](TimePoint sentAt) {
            return sentAt > time;
        }));
    }

private:
    std::array<TimePoint, 4> m_sentAt{};
    std::size_t m_next = 0;
};

/// What a node has learned from the answers of a server of the request rate that it takes from all nodes together.
struct ReportedRequestRate
{
    ReplicaId server;
    std::int64_t startedAt = 0; ///< BackendRecord::startedAt of the process that has stated it.
    std::optional<double> perSecond; ///< See RequestRateStatement.
    std::chrono::milliseconds age{0}; ///< Time since the answer arrived.
};

/// Where an answer comes from that states something about its server. The server may have started again under the same id since.
struct StatementOrigin
{
    /// @param connected when the connection with the answer was opened
    StatementOrigin(TimePoint connected) noexcept // NOLINT(google-explicit-constructor): without a request, this is all that is known.
        : StatementOrigin(connected, connected)
    {
    }
    /// @param sent when the request that is answered was sent
    StatementOrigin(TimePoint connected, TimePoint sent) noexcept
        : connectedAt(connected)
        , requestSentAt(sent)
    {
    }

    TimePoint connectedAt;
    TimePoint requestSentAt;
};

/// One backend server, with this node's state for it.
class Backend : public boost::intrusive_ref_counter<Backend, boost::thread_unsafe_counter>
{
public:
    BackendRecord record;
    BackendLoad localLoad; ///< Outstanding requests of this node.
    BackendLoad remoteLoad; ///< Outstanding requests of other nodes, as reported last.
    PrefixCacheModel cache;
    AnsweredPrefills answeredPrefills;
    TimePoint removedAt; ///< Time from which the grace period after the entry's removal counts; valid in state Removed.
    TimePoint avoidUntil; ///< The server is avoided until this time, after failures.
    TimePoint stageChangeUntil; ///< The server takes no requests until this time, since its stage is being changed.
    EngineStage orderedStage = EngineStage::Any; ///< Stage that this node has ordered; valid until stageChangeUntil.
    TimePoint stageChangedAt; ///< Time at which its stage was last found to have changed.
    TimePoint processKnownSince; ///< When this node learned of the server's current process.
    /// Connections that were opened before were connections to the previous process. Later ones may have been to either process, until the
    /// entry of the current one was read.
    std::optional<TimePoint> previousProcessConnectedAt;
    std::optional<TimePoint> connectionLostAt; ///< When a connection to it was last lost or could not be opened.
    TimePoint shutdownConnectedAt; ///< When the connection was opened on which shutdownStatedAt was learned.
    TimePoint declineConnectedAt; ///< When the connection was opened on which declinesUntil was learned.
    std::optional<TimePoint> shutdownStatedAt; ///< When an answer of the current process first stated that it is shutting down.
    /// Set if that may have been an answer of the previous process: when the entry of the current one was read.
    std::optional<TimePoint> shutdownUnconfirmedSince;
    TimePoint declinesUntil; ///< The server wants no requests from this node until this time. Other nodes may still send some.
    RequestRateStatement rateStatement;
    RequestRateShare rateShare; ///< Requests that this node may send to it; follows from rateStatement.
    TimePoint lastAnswerByteAt; ///< Time at which this node last received a byte of an answer from it.
    int failures = 0; ///< Number of consecutive failures.
    double speedFactor = 1; ///< Factor on the usual duration of the server's work, more for slower servers; 1 if it is not in use.
    double loggedSpeedFactor = 1; ///< Value of speedFactor that was logged last.
    /// Latest time at which the server is taken back, unless its entry states none. Entries arrive late, so the true time is earlier.
    std::optional<TimePoint> leavesAt;

    /// Returns the sum of the local and the remote load.
    [[nodiscard]] BackendLoad load() const noexcept
    {
        BackendLoad sum = localLoad;
        sum += remoteLoad;
        return sum;
    }

    /// Returns the stage that the server has, or that it will have when a pending order is carried out.
    [[nodiscard]] EngineStage targetStage(TimePoint now) const noexcept
    {
        return stageChangeUntil > now && orderedStage != EngineStage::Any ? orderedStage : record.stage;
    }

    /// Whether the server's current process has stated in an answer that it is shutting down, whatever its entry says.
    [[nodiscard]] bool statesShutdown() const noexcept
    {
        return shutdownStatedAt.has_value();
    }

    /// Whether the server wants no requests from this node at present.
    [[nodiscard]] bool declines(TimePoint now) const noexcept
    {
        return declinesUntil > now;
    }

    /// Whether the server can execute a request as a whole. Prefill engines only prepare it for another engine.
    [[nodiscard]] bool executesRequests() const noexcept
    {
        return record.stage != EngineStage::Prefill;
    }

    /// Whether the server limits the request rate of all nodes together.
    [[nodiscard]] bool limitsRequestRate() const noexcept
    {
        return rateStatement.perSecond.has_value();
    }

    /// Updates leavesAt from the record, which has just been read. @param newProcess whether the record is the first of a process
    void updateLeavingTime(bool newProcess, TimePoint now);

    /// Records a failure of the server; it is avoided for a time that doubles with each consecutive failure, up to a limit.
    void recordFailure(TimePoint now);

    /// Records that a connection to the server was lost or could not be opened.
    void recordConnectionLoss(TimePoint now)
    {
        connectionLostAt = now;
        recordFailure(now);
    }

    /**
     * Called when the server's entry shows that it has started again: drops what the previous process has stated in its answers.
     * @param now current time
     * @param tableCurrentAsOf when the table was last known to be current, with the entry of the previous process
     */
    void dropStatementsOfPreviousProcess(TimePoint now, std::optional<TimePoint> tableCurrentAsOf);

    /// Records a valid answer.
    void recordSuccess() noexcept
    {
        failures = 0;
    }
};

using BackendPointer = boost::intrusive_ptr<Backend>;

/// Table of all backend servers, by id and by service. Not thread-safe; used on one event loop.
class BackendTable
{
public:
    /// How long a server whose entry is missing may still be used if its service has no other, from TableCurrency::missingSince() on. An
    /// entry that expired during an outage of the store is written again within two seconds after the store's recovery.
    static constexpr std::chrono::milliseconds RemovedServerGracePeriod{1500};

    /// How long a server whose answers say that it is shutting down may still be used if its service has no other.
    static constexpr std::chrono::milliseconds ShutdownGracePeriod{500};

    /// A server that has started writes its entry within this time.
    static constexpr std::chrono::milliseconds RegistrationTime{3000};

    /// A server that is shutting down says so in its entry, or removes it, within this time after its answers say so.
    static constexpr std::chrono::milliseconds ShutdownReportTime{5000};

    // ---- changes ----

    /// Adds or updates a server from its entry. @return whether anything but a counter has changed
    bool update(const BackendRecord &record, TimePoint now);

    /**
     * Records an answer in which a server states that it is shutting down. Valid until the server's next start.
     * @param origin origin of the answer, which may be from an earlier process of the server
     * @return whether this was not known before
     */
    bool recordShutdownStatement(const ReplicaId &id, const StatementOrigin &origin, TimePoint now);

    /**
     * Records an answer in which a server states that it wants no requests from this node until a time. Of several, the latest time counts.
     * @param origin see recordShutdownStatement()
     * @return whether the time is later than the one known before
     */
    bool recordDecline(const ReplicaId &id, const StatementOrigin &origin, TimePoint until);

    /**
     * Records what an answer states of the request rate that the server takes from all nodes together.
     * @param origin see recordShutdownStatement()
     * @param perSecond requests per second; empty if the answer states no limit, which ends a limit that was stated before its request was
     * sent
     * @return whether the limit has changed
     */
    bool recordRequestRate(const ReplicaId &id, const StatementOrigin &origin, std::optional<double> perSecond, TimePoint now);

    /**
     * Drops statements of shutdowns that may have been made by the previous process of a server, if the entry of the current one has been
     * ready for ShutdownReportTime since. Linear in the number of servers.
     * @return the servers whose statements were dropped
     */
    std::vector<ReplicaId> dropRefutedShutdowns();

    /// Records what another node has learned from answers of a server's current process. @return whether the limit has changed
    bool mergeRequestRate(const ReportedRequestRate &report, TimePoint now);

    /**
     * Marks a server as removed after its entry was removed.
     * @param id the server
     * @param now current time
     * @param missingSince since when its entry may have been missing; by default TableCurrency::missingSince()
     */
    void remove(const ReplicaId &id, TimePoint now, std::optional<TimePoint> missingSince = std::nullopt);

    /// Replaces the table by a full list of entries; servers without an entry are marked as removed.
    void replaceAll(const std::vector<BackendRecord> &records, TimePoint now);

    /// Deletes servers that were removed some time ago and have no requests of this node in flight.
    void eraseRemoved(TimePoint now);

    /// Sets the cache capacity in tokens of each engine of a service.
    void resizeCaches(const ServiceId &service, std::int64_t tokens);

    /// Up to which time the table agrees with the store.
    [[nodiscard]] TableCurrency &currency() noexcept
    {
        return m_currency;
    }

    // ---- views ----

    [[nodiscard]] const TableCurrency &currency() const noexcept
    {
        return m_currency;
    }

    /// Returns a server by its id, or null if there is none.
    [[nodiscard]] BackendPointer find(const ReplicaId &id) const;

    /**
     * Returns the servers of a service that may receive new requests now. Recently removed ones, and those whose answers have recently
     * announced their shutdown, are returned only if there is no other. The same applies to servers that are being taken back; a stream
     * may take longer than the notice that the platform gives.
     * @param version software version that the servers must have; empty for any
     */
    [[nodiscard]] std::vector<BackendPointer> selectUsable(
        const ServiceId &service, TimePoint now, const std::optional<SoftwareVersion> &version = std::nullopt) const;

    /// Whether selectUsable() returns a server. Checks a server that was selected some time ago.
    [[nodiscard]] bool isUsable(
        const BackendPointer &server, TimePoint now, const std::optional<SoftwareVersion> &version = std::nullopt) const;

    /// Returns the time until one of the service's servers takes requests from this node again; 0 if one takes them now or none is known
    /// to do so later. If other nodes have the shares of a server's request rate, it is the time until one of them may send a request.
    [[nodiscard]] Duration remainingDeclineTime(const ServiceId &service, TimePoint now) const;

    /// Returns the ready servers of a service, including those whose stage is being changed.
    [[nodiscard]] std::vector<BackendPointer> ready(const ServiceId &service) const;

    /// Returns a number that changes whenever servers are added, removed, or change their state, stage, service or address.
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return m_revision;
    }

    /// Returns all servers in any state.
    [[nodiscard]] const std::map<ReplicaId, BackendPointer> &all() const noexcept
    {
        return m_backends;
    }

private:
    /// Returns the server if a statement is from its current process; otherwise null.
    [[nodiscard]] BackendPointer findProcess(const ReplicaId &id, const StatementOrigin &origin) const;

    std::map<ReplicaId, BackendPointer> m_backends;
    std::unordered_map<ServiceId, std::vector<BackendPointer>> m_byService;
    std::unordered_map<ServiceId, std::int64_t> m_cacheTokens;
    TableCurrency m_currency;
    std::uint64_t m_revision = 0;
};

} // namespace apricotarch
