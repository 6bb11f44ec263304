#include "apricotarch/coordination/engine_streams.h"

namespace apricotarch
{

ChunkCheck checkChunk(const EngineChunk &chunk, const std::string &stream, std::int64_t expected) noexcept
{
    const bool valid = chunk.stream == stream && chunk.offset >= 0 && chunk.tokens >= 0;
    if (!valid || chunk.offset > expected) {
        return ChunkCheck::Mismatch;
    }
    if (chunk.offset == expected) {
        return ChunkCheck::InOrder;
    }
    return chunk.offset + chunk.tokens <= expected ? ChunkCheck::Duplicate : ChunkCheck::Mismatch;
}

Tokens estimateTokens(std::string_view text) noexcept
{
    std::int64_t words = 0;
    bool inWord = false;
    for (const char symbol : text) {
        const bool space = symbol == ' ' || symbol == '\n' || symbol == '\t' || symbol == '\r';
        words += !space && !inWord ? 1 : 0;
        inWord = !space;
    }
    return Tokens(words > 0 ? words : 1);
}

} // namespace apricotarch
