#pragma once

/**
 * @file
 * Completions, as callers ask for them and as engines answer them. Streams are server-sent events.
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

/// Which of the usual two interfaces a caller uses.
enum class CompletionStyle {
    Text, ///< `/v1/completions`
    Chat, ///< `/v1/chat/completions`
};

/// A caller's request.
struct CompletionRequest
{
    ServiceId service; ///< From the field `model`.
    std::string prompt; ///< For chats, the messages one after the other.
    Tokens maxOutput;
    bool stream = false;
    CompletionStyle style = CompletionStyle::Text;
};

// ---- callers ----

/**
 * Decodes a caller's request.
 * @param text body
 * @param style by the path that was called
 * @return the request; MalformedMessage or InvalidField with what to change
 */
[[nodiscard]] Result<CompletionRequest> decodeCompletionRequest(std::string_view text, CompletionStyle style);

/// One event of a caller's stream, with its id, ready to be written.
[[nodiscard]] std::string encodeCallerEvent(
    const RequestId &request, CompletionStyle style, const StreamPosition &next, const EnginePiece &piece);

/// The event that ends a caller's stream.
[[nodiscard]] std::string_view callerEndEvent() noexcept;

/// The event that tells a caller that its stream breaks off. @param problem encoded problem details
[[nodiscard]] std::string callerErrorEvent(const std::string &problem);

/// A whole answer. @param tokens length of the answer
[[nodiscard]] std::string encodeWholeAnswer(
    const RequestId &request, CompletionStyle style, const std::string &text, const std::string &finishReason, std::int64_t tokens);

/// `replica/incarnation/stream/offset`
[[nodiscard]] std::string encodePosition(const StreamPosition &position);

/// Decodes a `Last-Event-ID`. @return the position or InvalidField
[[nodiscard]] Result<StreamPosition> decodePosition(std::string_view text);

// ---- engines ----

[[nodiscard]] std::string encodeEngineRequest(const EngineRequest &request);
[[nodiscard]] Result<EngineRequest> decodeEngineRequest(std::string_view text, const std::string &peer);
[[nodiscard]] std::string encodeEngineEvent(const EnginePiece &piece);
[[nodiscard]] Result<EnginePiece> decodeEnginePiece(std::string_view data, const std::string &peer);

} // namespace apricotarch
