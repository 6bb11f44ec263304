#pragma once

/**
 * @file
 * Requests and answers of backend servers, independent of their names on the wire, and the interface of the protocol adapter that encodes
 * and decodes them.
 */

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/error.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/customers/customer_id.h"
#include "apricotarch/state/backend.h"
#include "apricotarch/transport/http_message.h"

namespace apricotarch
{

/// Language model, prompt and output limit of a request, as its headers give them.
struct PromptInfo
{
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    /// Parts that KV memory may hold, in prompt order; the last one is specific to the request or its session. Ends before the first entry
    /// of the list that cannot be read.
    std::vector<PromptPart> parts;
    std::string malformedPart; ///< First entry of the list of parts that cannot be read; empty if there is none.
};

/// A decoded request of a caller.
struct CallerRequest
{
    std::string method;
    std::string target; ///< Path and query, unchanged.
    std::string host; ///< In lower case, without a port.
    std::string path; ///< Without the query.
    RequestId id; ///< Empty if the caller gave none.
    std::optional<std::chrono::milliseconds> timeLimit; ///< How long the caller waits, counted from when it sent the request.
    std::optional<std::uint64_t> lastEventId; ///< Id of the last event that the caller received; the stream resumes after it.
    RequestId resumedRequest; ///< Request that brought the first event of the stream that this one resumes; empty if the caller names none.
    std::optional<PromptInfo> prompt; ///< Present if the request is for a language model.
    /// All parts of the prompt that the caller has listed, in prompt order. Entries that cannot be read are included, with an id that is
    /// theirs and without tokens. The last part is specific to the request or its session.
    std::vector<PromptPart> promptParts;
    std::string credentials; ///< What the caller has sent to identify itself; empty if nothing. Must not be logged.
    std::string key; ///< Bearer token by which the caller's customer is recognized; empty if there is none. Must not be logged.
    HttpHeaders forwardedHeaders; ///< Headers forwarded to the backend server unchanged.
    std::string body;
    TimePoint arrivedAt; ///< When the first byte of the request was read.
};

/// KV memory held by an engine, from which another engine can fetch it.
struct KvLocation
{
    Endpoint engine;
    std::string handle;
};

/// What a backend server learns of the caller.
struct CallerIdentity
{
    std::optional<CustomerId> customer; ///< The caller's customer; empty for callers of public routes without a valid key.
};

/// Instructions to the backend server that accompany one attempt of a request.
struct AttemptOptions
{
    ReplicaId replica; ///< The intended server; any other one must refuse the request.
    std::chrono::milliseconds remainingTime{0}; ///< Time left until the request's deadline.
    std::optional<int> priority; ///< 0 (most urgent) to 9.
    std::optional<CallerIdentity> identity; ///< Replaces the caller's credentials; without it they are forwarded unchanged.
    bool prefillOnly = false; ///< Prefill the prompt and keep its KV memory, without decoding.
    std::optional<KvLocation> kvSource; ///< KV memory of the prompt, to be fetched before decoding.
    std::optional<Endpoint> kvFetchSource; ///< Engine to fetch cached prefix parts from, instead of prefilling them.
    std::optional<std::uint64_t> lastEventId; ///< The stream resumes after this event; overrides the caller's.
};

/// Decoded head of a backend server's answer.
struct BackendAnswer
{
    int status = 0;
    std::string reason;
    HttpHeaders forwardedHeaders; ///< Headers forwarded to the caller unchanged.
    std::optional<RequestId> request; ///< Id of the request that it answers, if the answer contains it.
    bool notExecuted = false; ///< The server states that it has not executed the request, so that the request can safely be sent again.
    bool isSigned = false; ///< The answer has a signature of the backend server.
    bool isEventStream = false; ///< The body is an event stream.
    bool serverIsShuttingDown = false; ///< The server states that its process is shutting down.
    std::optional<std::chrono::milliseconds> serverDeclinesFor; ///< How long the server wants no requests from this node.
    std::string invalidRetryAfter; ///< Value of a Retry-After header that cannot be used, for the log; otherwise empty.
    std::optional<double> requestRateLimit; ///< Requests per second that the server takes from all nodes together; empty for no limit.
    std::string invalidRequestRate; ///< Value of a limit of the request rate that cannot be used, for the log; otherwise empty.
    std::optional<std::uint64_t> contentLength;

    [[nodiscard]] bool success() const noexcept
    {
        return status >= 200 && status < 300;
    }
};

/// Result of a prefill.
struct PrefillReceipt
{
    std::string handle; ///< Identifies the KV memory on the engine that holds it.
    std::int64_t tokens = 0; ///< Prefilled tokens.
};

/// Protocol adapter: encodes and decodes messages of backend servers. Contains no policy.
class BackendProtocolAdapter
{
public:
    BackendProtocolAdapter() = default;
    BackendProtocolAdapter(const BackendProtocolAdapter &) = delete;
    BackendProtocolAdapter &operator=(const BackendProtocolAdapter &) = delete;
    virtual ~BackendProtocolAdapter() = default;

    /// Decodes a caller's request without its body. @return the request, or InvalidField if a required header is missing or malformed
    [[nodiscard]] virtual Result<CallerRequest> decodeRequest(std::string method, std::string target, const HttpHeaders &headers) const = 0;

    /// Encodes a request to a backend server. @return head and body
    [[nodiscard]] virtual std::string encodeRequest(const CallerRequest &request, const AttemptOptions &options) const = 0;

    /// Decodes the head of a backend server's answer.
    [[nodiscard]] virtual BackendAnswer decodeAnswer(int status, std::string reason, const HttpHeaders &headers) const = 0;

    /// Names of the fields that an event of a stream may have beside those of text/event-stream.
    [[nodiscard]] virtual std::vector<std::string> eventFields() const = 0;

    /// Decodes the body of a prefill's answer. @return the receipt, MalformedMessage or InvalidField
    [[nodiscard]] virtual Result<PrefillReceipt> decodePrefill(const std::string &body, const std::string &peer) const = 0;

    /// Encodes a request that releases KV memory which is no longer needed.
    [[nodiscard]] virtual std::string encodeRelease(const KvLocation &location) const = 0;
};

} // namespace apricotarch
