#pragma once

/**
 * @file
 * Encoding of completion requests and answers, for callers and for engines. Streams are server-sent events.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "apricotarch/base/error.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/coordination/engine_streams.h"

namespace apricotarch
{

/// Completion interface that a caller uses.
enum class CompletionStyle {
    Text, ///< `/v1/completions`
    Chat, ///< `/v1/chat/completions`
};

/// Completion request of a caller.
struct CompletionRequest
{
    ServiceId service; ///< Value of the field `model`.
    std::string prompt; ///< For chats, all messages joined in order.
    Tokens maxOutput;
    bool stream = false; ///< Whether the answer is streamed.
    CompletionStyle style = CompletionStyle::Text;
};

// ---- callers ----

/**
 * Decodes a caller's request.
 * @param text request body
 * @param style interface, determined by the request path
 * @return the request, or MalformedMessage or InvalidField with a detail that says how to correct the request
 */
[[nodiscard]] Result<CompletionRequest> decodeCompletionRequest(std::string_view text, CompletionStyle style);

/**
 * Encodes one event of a caller's stream, including its id.
 * @param request id of the request
 * @param style interface of the caller
 * @param next position after this event, which becomes the event's id
 * @param chunk output of the event
 */
[[nodiscard]] std::string encodeCallerEvent(
    const RequestId &request, CompletionStyle style, const StreamPosition &next, const EngineChunk &chunk);

/// Returns the event that ends a caller's stream.
[[nodiscard]] std::string_view encodeCallerEndEvent() noexcept;

/// Returns the event that reports to a caller that its stream was aborted. @param problem encoded problem details
[[nodiscard]] std::string encodeCallerErrorEvent(const std::string &problem);

/// Encodes a complete answer that is not streamed. @param tokens length of the answer, in tokens
[[nodiscard]] std::string encodeCompleteAnswer(
    const RequestId &request, CompletionStyle style, const std::string &text, const std::string &finishReason, std::int64_t tokens);

/// Encodes a stream position as `replica/incarnation/stream/offset`.
[[nodiscard]] std::string encodePosition(const StreamPosition &position);

/// Decodes the value of a `Last-Event-ID` header. @return the position, or InvalidField
[[nodiscard]] Result<StreamPosition> decodePosition(std::string_view text);

// ---- engines ----

[[nodiscard]] std::string encodeEngineRequest(const EngineRequest &request);
[[nodiscard]] Result<EngineRequest> decodeEngineRequest(std::string_view text, const std::string &peer);
[[nodiscard]] std::string encodeEngineEvent(const EngineChunk &chunk);
[[nodiscard]] Result<EngineChunk> decodeEngineChunk(std::string_view data, const std::string &peer);

} // namespace apricotarch
