#include "apricotarch/coordination/engine_streams.h"

namespace apricotarch
{

PieceCheck checkPiece(const EnginePiece &piece, const std::string &stream, std::int64_t expected) noexcept
{
    const bool sane = piece.stream == stream && piece.offset >= 0 && piece.tokens >= 0;
    if (!sane || piece.offset > expected) {
        return PieceCheck::Foreign;
    }
    if (piece.offset == expected) {
        return PieceCheck::Next;
    }
    return piece.offset + piece.tokens <= expected ? PieceCheck::Repeated : PieceCheck::Foreign;
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
