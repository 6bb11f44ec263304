#pragma once

/**
 * @file
 * Forwards one request from a caller to a backend server and relays the response.
 */

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "apricotarch/app/caller_response_writer.h"
#include "apricotarch/app/front_state.h"
#include "apricotarch/coordination/attempt_policy.h"
#include "apricotarch/coordination/front_refusal.h"
#include "apricotarch/transport/backend_connection.h"
#include "apricotarch/transport/caller_connection.h"
#include "apricotarch/transport/event_splitter.h"

namespace apricotarch
{

/// Time limit of a request if neither the caller nor the route sets one. As an answer timeout it means that there is no timeout.
constexpr Duration LongestRequestTime = std::chrono::seconds(60);

/// Serves one request. Its lifetime is that of the request's coroutine.
class RequestForwarder
{
public:
    /**
     * @param state the node's state; must outlive this object
     * @param caller the caller's connection; must outlive this object
     * @param request the request to serve
     * @param options options of the caller's connection
     */
    RequestForwarder(FrontState &state, CallerConnection &caller, CallerRequest request, CallerConnectionOptions options);
    ~RequestForwarder();
    RequestForwarder(const RequestForwarder &) = delete;
    RequestForwarder &operator=(const RequestForwarder &) = delete;

    /// Serves the request. @return whether the connection can be used for another request
    [[nodiscard]] asio::awaitable<bool> serve();

private:
    /// Outcome of one attempt to send the request to a server.
    struct Attempt
    {
        AttemptResult result = AttemptResult::NotSent;
        bool finished = false; ///< The request has ended: the caller has disconnected or the deadline has passed.
        bool answerStarted = false; ///< Events of a stream were received in this attempt.
        bool keptOpen = false; ///< The server is silent; the attempt goes on in m_silentAttempts while another server is asked.
        bool superseded = false; ///< A silent server went on before this one had begun an answer.
        BackendAnswer answer;
        std::string body;
        Error error;
    };

    struct ActiveAttempt;

    // ---- decisions ----

    /// Refuses a request that cannot be served. @return whether it has been refused
    [[nodiscard]] bool refuseEarly();
    /// For a resumed stream: limits the servers to the software version at which it began. @return whether the request has been refused
    /// because that version is not known
    [[nodiscard]] asio::awaitable<bool> refuseUnknownOrigin();
    /// Whether servers of the stream's software version may be back before its caller gives it up, while only other versions are at hand.
    [[nodiscard]] bool canWaitForVersion() const;
    /// Waits for servers of the stream's software version. @return whether they are to be tried again; the request may have ended
    [[nodiscard]] asio::awaitable<bool> waitForVersion();
    /// Whether a part of the request's prompt is quarantined.
    [[nodiscard]] bool hasQuarantinedPart();
    /// Logs that parts of the prompt are left out, since their list cannot be read to its end.
    void reportMalformedPart();
    /// Ends a request with a quarantined part, if it has one. @return whether it has been ended
    [[nodiscard]] bool endIfQuarantined();
    /// Selects the servers for the next attempt. With partial views, prompts first get the loads of the groups that are compared.
    [[nodiscard]] asio::awaitable<Placement> selectPlacement();
    /// Selects the servers from those of m_groups that have been asked.
    [[nodiscard]] Placement placeInBestGroup();
    /// Returns the number of the prompt's tokens that other prompts share and that would have to be prefilled.
    [[nodiscard]] std::int64_t uncachedSharedTokens(const Placement &placement) const;
    /// Selects the servers from one of m_groups, or from all if it is empty.
    [[nodiscard]] Placement placeInGroup(std::size_t rank);
    /// Removes servers without a free slot, unless there are no others that can execute the request. A retry that is declined is lost.
    void removeFullServers(std::vector<BackendPointer> &servers) const;
    /// Returns what backend servers learn of the caller; nothing if the configuration has no customers.
    [[nodiscard]] std::optional<CallerIdentity> callerIdentity() const;
    /// Returns the customer's priority or, if it has none, the route's.
    [[nodiscard]] int effectivePriority() const;
    /// Whether the request is a prompt for a model engine.
    [[nodiscard]] bool isPrompt() const;
    /// With partial views: sets m_groups for a prompt.
    void rankEngineGroups();
    /// Updates the loads and caches of the engines of one of m_groups.
    [[nodiscard]] asio::awaitable<void> refreshGroupLoad(std::size_t rank);
    /// Returns those of @p servers that are in one of m_groups; all if there is no group or none of its engines is usable.
    [[nodiscard]] std::vector<BackendPointer> usableInGroup(const std::vector<BackendPointer> &servers, std::size_t rank);
    [[nodiscard]] bool exceedsWaitLimit(const Placement &placement) const;
    [[nodiscard]] ServiceId chooseService() const;
    [[nodiscard]] RequestProgress collectProgress() const;
    /// Returns how long to wait for a server's answer before another server is tried.
    [[nodiscard]] Duration selectAnswerTimeout(const Placement &placement) const;

    // ---- sending ----

    [[nodiscard]] asio::awaitable<void> sendUntilDone();
    /// Selects a server and sends the request to it, after a prefill if there is a separate prefill engine.
    /// @return the attempt that ended last; nothing if no server has been asked
    [[nodiscard]] asio::awaitable<std::optional<Attempt>> sendToNextServer();
    /// Whether the request must not be sent because of a quarantined part. Ends the request unless a silent server still has it.
    [[nodiscard]] bool isStoppedByQuarantine();
    /// @return the attempt; m_kvLocation is set if the prefill has been accepted
    [[nodiscard]] asio::awaitable<Attempt> prefill(const Placement &placement);
    /// Takes a retry from the budget for each prefill after the first. @return whether a prefill may be sent
    [[nodiscard]] bool takePrefillBudget();
    [[nodiscard]] asio::awaitable<Attempt> sendAttempt(
        BackendPointer backend, AttemptOptions options, std::int64_t tokensToPrefill, Duration answerTimeout);
    /// Returns the usual duration of the prefill of an attempt if it is a sample of the engine's speed, otherwise 0.
    [[nodiscard]] double expectedPrefillMs(const Backend &engine, const AttemptOptions &options, std::int64_t tokens) const;
    /// Waits until an attempt has ended, or is kept open in m_silentAttempts.
    [[nodiscard]] asio::awaitable<Attempt> awaitResponse(std::unique_ptr<ActiveAttempt> activeAttempt);
    [[nodiscard]] asio::awaitable<Attempt> awaitEnd(ActiveAttempt &activeAttempt);
    /// Counts an attempt once it may have reached its server.
    void recordSend(ActiveAttempt &activeAttempt);
    /// Records for the crash tracker that an attempt has ended.
    void recordEnd(const ActiveAttempt &activeAttempt, bool answered);
    [[nodiscard]] Attempt handleResponse(ActiveAttempt &activeAttempt);
    /// Whether a stream ends with its connection and has no event.
    [[nodiscard]] static bool endsWithoutEvent(const ActiveAttempt &activeAttempt);
    /// Returns why a complete response cannot be used; nullptr if it can.
    [[nodiscard]] const char *findFault(const ActiveAttempt &activeAttempt, const BackendAnswer &answer) const;
    [[nodiscard]] Attempt handleConnectionLoss(ActiveAttempt &activeAttempt);
    [[nodiscard]] Attempt abandonAttempt(ActiveAttempt &activeAttempt);
    /// Returns the time from which a prefill without an answer may be lost.
    [[nodiscard]] TimePoint overdueAt(const ActiveAttempt &activeAttempt) const;
    /// Whether the answer to a prefill is lost: it is overdue, and the engine has answered later prefills.
    [[nodiscard]] bool isPrefillLost(const ActiveAttempt &activeAttempt) const;
    /// Closes the connection of a lost prefill, so that the engine drops it if it still works on it.
    [[nodiscard]] Attempt abandonLostPrefill(ActiveAttempt &activeAttempt);
    /// Handles the bytes received so far.
    void handleProgress(ActiveAttempt &activeAttempt);
    /// Decodes the head of the answer once it has arrived.
    void decodeHead(ActiveAttempt &activeAttempt);
    void relayEvents(ActiveAttempt &activeAttempt);
    /// Whether a server may have closed the connection before it had read the request.
    [[nodiscard]] static bool isUnread(const ActiveAttempt &activeAttempt, TimePoint now);
    /// Reports that a server has begun to run the request, for the customer's usage. Each request is reported once. @param startedAt when
    void recordBegan(TimePoint startedAt);
    /// Reports a request other than a stream that the server of an attempt has begun to run, or may have begun.
    void recordBeganUnlessStream(const ActiveAttempt &activeAttempt);
    /// Records that the server has made progress on the request.
    void recordReceipt(ActiveAttempt &activeAttempt);
    /// Records that the request's prompt does not crash the engine.
    void recordPromptAnswered(ActiveAttempt &activeAttempt);
    /// Records that an engine's connection was lost during an attempt, which may be a crash that the request has caused.
    void recordPossibleCrash(const ActiveAttempt &activeAttempt);
    /// Asks the prefill engine to free the KV memory.
    void releaseKv();
    /// Selects and performs the next step after an attempt. @return whether another server is to be tried
    [[nodiscard]] bool performNextStep(const Attempt &attempt);
    void logFailedAttempt(const Attempt &attempt, const char *next) const;

    // ---- silent servers ----

    /// Takes a retry from the budget if another server can be asked to take over the request from a silent one now.
    /// @return whether another server is to be asked
    [[nodiscard]] bool reserveRetryAfterSilence(ActiveAttempt &activeAttempt);
    /// Keeps an attempt at a silent server open while another server is asked.
    void keepSilentAttempt(std::unique_ptr<ActiveAttempt> activeAttempt);
    /// Reads what silent servers have sent, and ends the attempts that have failed. @return whether a silent server has gone on
    [[nodiscard]] bool pollSilentAttempts();
    void readSilentAttempt(ActiveAttempt &silent);
    /// Takes an attempt out of m_silentAttempts, one that has gone on if there is one, to wait for its answer.
    [[nodiscard]] std::unique_ptr<ActiveAttempt> takeBackSilentAttempt();
    /// Ends the attempts at silent servers, since another server has begun to answer.
    void replaceSilentServers(const ActiveAttempt &replacement);
    /// Closes the connections of silent servers, so that they stop working on the request.
    void closeSilentAttempts();
    /// Whether a server has begun a usable answer, or has gone on with it since it fell silent.
    [[nodiscard]] bool hasGoneOn(const ActiveAttempt &activeAttempt) const;

    // ---- responses ----

    void deliverResponse(const Attempt &attempt);
    void refuse(RefusalReason reason);
    void sendLocalResponse(int status, std::string_view reason, std::optional<Duration> retryAfter);
    void abortResponse(const char *outcome);
    /// Reports that the caller's connection is closed before the answer is complete.
    void reportClose(std::string_view reason);
    /// Records how long the request has taken, for predictions of requests like it.
    void recordDuration();
    void finishRequest(int status, std::string_view outcome);
    void handleTimeout();
    void handleCallerDisconnect();
    /// Returns the time until the end of the request's time limit, including DeadlineMargin; at least 1 ms.
    /// Returns when the request gets its final answer at the latest. A shutdown may bring it forward.
    [[nodiscard]] TimePoint deadline() const;
    [[nodiscard]] std::chrono::milliseconds remainingTime() const;

    FrontState &m_state;
    CallerConnection &m_caller;
    CallerRequest m_request;
    std::shared_ptr<const RoutingPlan> m_plan;
    CallerResponseWriter m_response;
    const Route *m_route = nullptr;
    const RoutedService *m_service = nullptr;
    const Customer *m_customer = nullptr; ///< Customer of the caller, owned by m_plan; null without customers or a valid key.
    ServiceId m_serviceId;
    ContentHash m_contentHash;
    TimePoint m_deadline; ///< By the time limits of the request and its route.
    std::set<ReplicaId> m_triedServers;
    std::vector<std::string> m_groups; ///< Names of the groups of engines for the prompt, best first; empty without partial views.
    std::size_t m_groupsAsked = 0; ///< Number of m_groups whose loads and caches are up to date for this prompt.
    std::size_t m_groupRank = 0; ///< Index in m_groups of the group in which the request was placed last.
    EventSplitter m_eventSplitter; ///< Of the attempt that is waited for; silent attempts have their own.
    std::vector<std::unique_ptr<ActiveAttempt>> m_silentAttempts; ///< At servers that fell silent, in the order in which they did.
    ReplicaId m_lastServer;
    SoftwareVersion m_lastVersion; ///< Software version of m_lastServer.
    /// Software version of the servers that may run the request; empty if any version may. The events of one stream come from one version.
    std::optional<SoftwareVersion> m_streamVersion;
    int m_versionWaits = 0; ///< See waitForVersion().
    TimePoint m_serverProgressAt; ///< When m_lastServer last made progress on the request. Valid if there was an attempt.
    std::optional<KvLocation> m_kvLocation; ///< KV cache entry of the prompt that a prefill engine holds for this request.
    ReplicaId m_prefillEngine; ///< Engine of the last accepted prefill.
    int m_prefillsSent = 0; ///< Number of prefill requests that may have reached an engine.
    int m_attemptsSent = 0; ///< Number of attempts that may have reached a server, without accepted prefills.
    bool m_mayHaveExecuted = false; ///< Whether a server may have executed the request.
    bool m_retryReserved = false; ///< The next attempt that reaches a server has already been taken from the retry budget.
    bool m_finished = false;
    bool m_reportedBegan = false; ///< See recordBegan().
    std::optional<TimePoint> m_firstEventAt;
    TimePoint m_lastEventAt; ///< Valid if m_firstEventAt is set.
    Duration m_longestGap{0}; ///< Longest time between two relays of events.
    Placement m_lastPlacement; ///< Last placement, for the log.
    std::optional<Duration> m_prefillDuration; ///< Duration of the last accepted prefill.
};

} // namespace apricotarch
