#pragma once

/**
 * @file
 * One request's way from a caller to a backend server and back.
 */

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "apricotarch/app/caller_answer.h"
#include "apricotarch/app/front_state.h"
#include "apricotarch/coordination/attempt_policy.h"
#include "apricotarch/coordination/front_refusal.h"
#include "apricotarch/transport/backend_channel.h"
#include "apricotarch/transport/caller_connection.h"
#include "apricotarch/transport/event_reader.h"

namespace apricotarch
{

/// Longest time that a request waits where neither caller nor route sets one; also stands for patience without an end.
constexpr Duration LongestRequestTime = std::chrono::seconds(60);

/// Serves one request. Lives as long as its coroutine.
class Forwarder
{
public:
    /**
     * @param state of the node; must outlive the forwarder
     * @param caller whom to answer
     * @param request what was asked
     * @param terms of the caller's connection
     */
    Forwarder(FrontState &state, CallerConnection &caller, CallerRequest request, CallerTerms terms);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    /// Serves the request. @return whether the connection can be used for another one
    [[nodiscard]] asio::awaitable<bool> serve();

private:
    /// Outcome of one send to a server.
    struct Attempt
    {
        AttemptEnd end = AttemptEnd::NotSent;
        bool finished = false; ///< Nothing more is to be done: answered in part, left by the caller, or out of time.
        BackendAnswer answer;
        std::string body;
        Error error;
    };

    struct Sending;

    // ---- deciding ----

    [[nodiscard]] bool refuseEarly();
    [[nodiscard]] Placement place();
    [[nodiscard]] bool isHopeless(const Placement &placement) const;
    [[nodiscard]] ServiceId chooseService() const;
    [[nodiscard]] AttemptFacts facts() const;
    [[nodiscard]] Duration patience(const Placement &placement) const;

    // ---- sending ----

    [[nodiscard]] asio::awaitable<void> sendUntilDone();
    [[nodiscard]] asio::awaitable<void> prefill(const Placement &placement);
    [[nodiscard]] bool payPrefill();
    [[nodiscard]] asio::awaitable<Attempt> attempt(BackendPointer backend, SendTerms terms, std::int64_t tokensToRead, Duration patience);
    [[nodiscard]] asio::awaitable<Attempt> follow(Sending &sending);
    [[nodiscard]] Attempt conclude(Sending &sending);
    [[nodiscard]] Attempt lost(Sending &sending);
    [[nodiscard]] Attempt giveUp(Sending &sending);
    void progress(Sending &sending);
    void passEvents(Sending &sending);
    void releaseKv();
    [[nodiscard]] bool step(const Attempt &attempt);

    // ---- answering ----

    void deliver(const Attempt &attempt);
    void refuse(RefusalReason reason);
    void answerOwn(int status, std::string_view reason, std::optional<Duration> retryAfter);
    void abort(const char *why);
    void finish(int status, std::string_view outcome);
    void outOfTime();
    void callerLeft();
    [[nodiscard]] std::chrono::milliseconds timeLeft() const;

    FrontState &m_state;
    CallerConnection &m_caller;
    CallerRequest m_request;
    std::shared_ptr<const RoutingPlan> m_plan;
    CallerAnswer m_answer;
    const Route *m_route = nullptr;
    const RoutedService *m_service = nullptr;
    ServiceId m_serviceId;
    ContentHash m_content;
    TimePoint m_deadline;
    std::set<ReplicaId> m_tried;
    EventReader m_events;
    ReplicaId m_lastServer;
    std::optional<KvLocation> m_kv; ///< KV memory of the prompt that an engine keeps for this request.
    ReplicaId m_kvEngine;
    int m_prefills = 0; ///< That reached an engine.
    int m_sends = 0;
    bool m_mayHaveRun = false;
    bool m_done = false;
    std::optional<TimePoint> m_firstEventAt;
    TimePoint m_lastEventAt; ///< Valid once m_firstEventAt is.
    Duration m_longestGap{0}; ///< Between two events passed on.
    Placement m_placement; ///< The last one; for the log.
    std::optional<Duration> m_prefillTook; ///< Of the last prefill that was accepted.
};

} // namespace apricotarch
