#pragma once

/**
 * @file
 * State of one attempt to send a request to a backend server.
 */

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "apricotarch/app/request_forwarder.h"

namespace apricotarch
{

/// Interval at which it is checked whether another server can take over from a silent one.
constexpr Duration SilencePollInterval = std::chrono::milliseconds(100);

/// State of one attempt at one server. Counts the request in this node's load on the server until destruction.
struct RequestForwarder::ActiveAttempt
{
    ActiveAttempt(FrontState &node, BackendPointer server, std::int64_t tokens, const std::vector<PromptPart> &prompt)
        : state(node)
        , backend(std::move(server))
        , tokensToPrefill(tokens)
    {
        backend->localLoad.requests += 1;
        backend->localLoad.promptTokens += tokensToPrefill;
        state.notifyLoadChanged(*backend, tokensToPrefill, prompt);
    }
    ActiveAttempt(const ActiveAttempt &) = delete;
    ActiveAttempt &operator=(const ActiveAttempt &) = delete;
    ~ActiveAttempt()
    {
        backend->localLoad.requests -= 1;
        backend->localLoad.promptTokens -= tokensToPrefill;
        state.notifyLoadChanged(*backend, tokensToPrefill);
    }

    /// Removes the prompt tokens from the server's load once the prefill is done.
    void removePromptTokens()
    {
        const std::int64_t prefilled = std::exchange(tokensToPrefill, 0);
        if (prefilled == 0) {
            return;
        }
        backend->localLoad.promptTokens -= prefilled;
        state.notifyLoadChanged(*backend, prefilled);
    }

    FrontState &state;
    BackendPointer backend;
    std::int64_t tokensToPrefill;
    BackendConnection::Pointer connection;
    std::optional<BackendAnswer> answer;
    bool prefillOnly = false;
    bool relaysEvents = false;
    bool sent = false; ///< The request may have reached the server and has been counted.
    bool hasNewEvents = false; ///< Events were received since the server fell silent, or since the start.
    std::optional<EventSplitter> silentStream; ///< Reader of the stream while the server is silent and another one is asked.
    bool silenceNoticed = false; ///< The server's silence has been logged and counted as a failure of the server.
    double expectedPrefillMs = 0; ///< Usual duration until the first event, as a sample of the engine's speed; 0 for no sample.
    SoftwareVersion softwareVersion; ///< Of the server when the attempt began.
    std::uint32_t engineProcess = 0; ///< Process of the engine when the attempt began, see engineProcessHash().
    bool promptAnswered = false; ///< The answer has been recorded for the quarantine of parts.
    std::optional<TimePoint> firstEventAt; ///< When the first event of this attempt was received.
    TimePoint startedAt;
    TimePoint retryAt; ///< When another server may be tried; TimePoint::max() for never.
    TimePoint lastReceivedAt; ///< When the last bytes were received.
};

} // namespace apricotarch
