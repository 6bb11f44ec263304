#pragma once

/**
 * @file
 * Answers of language engines as streams of pieces. Tests put fakes in place of the engines.
 */

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/error.h"
#include "apricotarch/state/fleet.h"

namespace apricotarch
{

/// Names a place in an engine's stream, so that a caller can go on at any node.
struct StreamPosition
{
    ReplicaId replica;
    Incarnation incarnation; ///< Of the engine's process.
    std::string stream; ///< Id of the stream; ends in a hash of caller and content.
    std::int64_t offset = 0; ///< Tokens that the caller has.
};

/// One piece of an engine's answer.
struct EnginePiece
{
    std::string stream; ///< Stream that the piece belongs to.
    std::int64_t offset = 0; ///< Tokens before this piece.
    std::int64_t tokens = 0; ///< Tokens in this piece.
    std::string text;
    std::string finishReason; ///< `stop` or `length` on the last piece; else empty.
};

/// What an engine is asked for.
struct EngineRequest
{
    std::string stream;
    std::string prompt;
    std::string prefix; ///< Answer so far, where the engine goes on for another.
    std::int64_t startOffset = 0; ///< Tokens in the prefix.
    Tokens maxOutput; ///< For the whole answer, the prefix included.
    int priority = 0; ///< 0 to 9; higher goes first.
};

/// What to do with a piece that has arrived.
enum class PieceCheck {
    Next, ///< It follows what is there.
    Repeated, ///< All of it is there already; it is dropped.
    Foreign, ///< It belongs to another stream, or leaves a gap; the stream is not to be trusted.
};

/// Checks a piece against the stream and the offset expected. @param expected tokens that are there
[[nodiscard]] PieceCheck checkPiece(const EnginePiece &piece, const std::string &stream, std::int64_t expected) noexcept;

/// Rough length of a text in tokens, at least 1: one for each word.
[[nodiscard]] Tokens estimateTokens(std::string_view text) noexcept;

/// An open stream.
class EngineStream
{
public:
    EngineStream() = default;
    EngineStream(const EngineStream &) = delete;
    EngineStream &operator=(const EngineStream &) = delete;
    virtual ~EngineStream() = default;

    /// Incarnation of the engine's process at the other end.
    [[nodiscard]] virtual Incarnation incarnation() const noexcept = 0;

    /// The next piece. @return ConnectionLost where the stream ends without a finish reason, or TimedOut
    [[nodiscard]] virtual asio::awaitable<Result<EnginePiece>> next(Duration timeout) = 0;
};

/// Calls engines.
class EngineStreams
{
public:
    EngineStreams() = default;
    EngineStreams(const EngineStreams &) = delete;
    EngineStreams &operator=(const EngineStreams &) = delete;
    virtual ~EngineStreams() = default;

    /// Starts an answer. @return Refused where the engine certainly did not start it; ConnectFailed, ConnectionLost or TimedOut
    [[nodiscard]] virtual asio::awaitable<Result<std::unique_ptr<EngineStream>>> open(
        ReplicaSpec replica, EngineRequest request, Duration timeout) = 0;

    /// Goes on with a stream from an offset. @return NotFound where the engine does not know it
    [[nodiscard]] virtual asio::awaitable<Result<std::unique_ptr<EngineStream>>> resume(
        ReplicaSpec replica, std::string stream, std::int64_t offset, Duration timeout) = 0;

    /// Ends a stream. @param onlyIfDetached leave it alone while somebody reads it
    [[nodiscard]] virtual asio::awaitable<void> cancel(ReplicaSpec replica, std::string stream, bool onlyIfDetached) = 0;

    /// Asks for the load.
    [[nodiscard]] virtual asio::awaitable<Result<LoadReport>> load(ReplicaSpec replica) = 0;
};

} // namespace apricotarch
