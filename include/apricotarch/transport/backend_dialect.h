#pragma once

/**
 * @file
 * What requests and answers mean, without the names that they have on the wire. The platform's adapter translates.
 */

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/error.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/backend.h"
#include "apricotarch/transport/http_message.h"

namespace apricotarch
{

/// What a request says of its language model's work.
struct PromptInfo
{
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t mostOutputTokens = 0;
    std::vector<PromptPart> parts; ///< In order; the last one is the request's or its session's own.
};

/// One request as a caller sent it.
struct CallerRequest
{
    std::string method;
    std::string target; ///< Path and query, unchanged.
    std::string host; ///< In lower case, without a port.
    std::string path; ///< Without the query.
    RequestId id; ///< Empty where the caller gave none.
    std::optional<std::chrono::milliseconds> timeLimit; ///< How long the caller waits, from its sending on.
    std::optional<std::uint64_t> lastEvent; ///< The stream is to go on after this event.
    std::optional<PromptInfo> prompt; ///< Present where a model is asked.
    HttpHeaders passed; ///< Header lines that go on to the backend server unchanged.
    std::string body;
    TimePoint arrivedAt; ///< When its first byte was read.
};

/// Where an engine can fetch KV memory from.
struct KvLocation
{
    Endpoint engine;
    std::string handle;
};

/// What a backend server is asked to do with a request.
struct SendTerms
{
    ReplicaId replica; ///< Any other server must decline.
    std::chrono::milliseconds timeLeft{0};
    std::optional<int> priority; ///< 0 to 9, 0 the most urgent.
    bool prefillOnly = false; ///< Read the prompt, keep its KV memory, generate nothing.
    std::optional<KvLocation> kvSource; ///< KV memory of the prompt to be fetched first.
    std::optional<Endpoint> fetchParts; ///< Engine whose cached parts of the prompt are to be copied instead of being read.
    std::optional<std::uint64_t> lastEvent; ///< The stream is to go on after this event.
};

/// Head of a backend server's answer.
struct BackendAnswer
{
    int status = 0;
    std::string reason;
    HttpHeaders passed; ///< Header lines that go on to the caller unchanged.
    std::optional<RequestId> request; ///< Whom it answers, where it says so.
    bool notExecuted = false; ///< The server vouches that it has not run the request.
    bool sealed = false; ///< It bears the server's signature.
    bool events = false; ///< The body is a series of events.
    std::optional<std::uint64_t> contentLength;

    [[nodiscard]] bool success() const noexcept
    {
        return status >= 200 && status < 300;
    }
};

/// What a prefill gives.
struct PrefillReceipt
{
    std::string handle;
    std::int64_t tokens = 0;
};

/// Translates between messages on the wire and their meaning. Decides nothing.
class BackendDialect
{
public:
    BackendDialect() = default;
    BackendDialect(const BackendDialect &) = delete;
    BackendDialect &operator=(const BackendDialect &) = delete;
    virtual ~BackendDialect() = default;

    /// A request's meaning. @return InvalidField where a header that is needed is missing or malformed
    [[nodiscard]] virtual Result<CallerRequest> decodeRequest(std::string method, std::string target, const HttpHeaders &headers) const = 0;

    /// A request for a backend server, head and body.
    [[nodiscard]] virtual std::string encodeRequest(const CallerRequest &request, const SendTerms &terms) const = 0;

    /// The meaning of an answer's head.
    [[nodiscard]] virtual BackendAnswer decodeAnswer(int status, std::string reason, const HttpHeaders &headers) const = 0;

    /// The body of a prefill's answer. @return MalformedMessage
    [[nodiscard]] virtual Result<PrefillReceipt> decodePrefill(const std::string &body, const std::string &peer) const = 0;

    /// A request that frees KV memory which is not needed any more.
    [[nodiscard]] virtual std::string encodeRelease(const KvLocation &location) const = 0;
};

} // namespace apricotarch
