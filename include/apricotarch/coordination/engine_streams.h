#pragma once

/**
 * @file
 * Interface to the answers of language engines, which are streams of chunks. Tests substitute fake engines.
 */

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/error.h"
#include "apricotarch/state/replica_table.h"

namespace apricotarch
{

/// Position in an engine's stream. With it, a caller can resume the stream through any node.
struct StreamPosition
{
    ReplicaId replica;
    Incarnation incarnation; ///< Incarnation of the engine's process.
    std::string stream; ///< Id of the stream; ends with a hash of caller and content.
    std::int64_t offset = 0; ///< Number of tokens that the caller has received.
};

/// One chunk of an engine's answer.
struct EngineChunk
{
    std::string stream; ///< Id of the stream that the chunk belongs to.
    std::int64_t offset = 0; ///< Number of tokens before this chunk.
    std::int64_t tokens = 0; ///< Number of tokens in this chunk.
    std::string text;
    std::string finishReason; ///< `stop` or `length` in the last chunk; otherwise empty.
};

/// Request to an engine.
struct EngineRequest
{
    std::string stream; ///< Id of the new stream.
    std::string prompt;
    std::string prefix; ///< Beginning of the answer, if the engine continues the stream of another one.
    std::int64_t startOffset = 0; ///< Number of tokens in the prefix.
    Tokens maxOutput; ///< Maximum length of the full answer, the prefix included.
    int priority = 0; ///< 0 to 9; higher priorities are served first.
};

/// Result of the check of a received chunk.
enum class ChunkCheck {
    InOrder, ///< It follows the tokens received so far.
    Duplicate, ///< All of its tokens have been received already; it is dropped.
    Mismatch, ///< It belongs to another stream, leaves a gap or overlaps in part; the stream cannot be trusted.
};

/**
 * Checks a chunk against the expected stream and offset.
 * @param chunk the chunk
 * @param stream id of the expected stream
 * @param expected number of tokens received so far
 */
[[nodiscard]] ChunkCheck checkChunk(const EngineChunk &chunk, const std::string &stream, std::int64_t expected) noexcept;

/// Estimates the length of a text in tokens as its number of words, at least 1.
[[nodiscard]] Tokens estimateTokens(std::string_view text) noexcept;

/// An open stream.
class EngineStream
{
public:
    EngineStream() = default;
    EngineStream(const EngineStream &) = delete;
    EngineStream &operator=(const EngineStream &) = delete;
    virtual ~EngineStream() = default;

    /// Returns the incarnation of the engine's process that serves the stream.
    [[nodiscard]] virtual Incarnation incarnation() const noexcept = 0;

    /// Reads the next chunk. @return the chunk; ConnectionLost if the stream ends without a finish reason; or TimedOut
    [[nodiscard]] virtual asio::awaitable<Result<EngineChunk>> next(Duration timeout) = 0;
};

/// Interface for requests to engines.
class EngineStreamClient
{
public:
    EngineStreamClient() = default;
    EngineStreamClient(const EngineStreamClient &) = delete;
    EngineStreamClient &operator=(const EngineStreamClient &) = delete;
    virtual ~EngineStreamClient() = default;

    /// Starts an answer. @return the stream; Refused if the engine certainly did not start it; ConnectFailed, ConnectionLost or TimedOut
    [[nodiscard]] virtual asio::awaitable<Result<std::unique_ptr<EngineStream>>> open(
        ReplicaSpec replica, EngineRequest request, Duration timeout) = 0;

    /// Resumes a stream at an offset. @return the stream, or NotFound if the engine does not have it
    [[nodiscard]] virtual asio::awaitable<Result<std::unique_ptr<EngineStream>>> resume(
        ReplicaSpec replica, std::string stream, std::int64_t offset, Duration timeout) = 0;

    /// Cancels a stream. @param onlyIfDetached whether a stream that is being read is left running
    [[nodiscard]] virtual asio::awaitable<void> cancel(ReplicaSpec replica, std::string stream, bool onlyIfDetached) = 0;

    /// Requests the engine's load report.
    [[nodiscard]] virtual asio::awaitable<Result<LoadReport>> load(ReplicaSpec replica) = 0;
};

} // namespace apricotarch
