#pragma once

/**
 * @file
 * Rules for the framing of HTTP/1.1 messages (RFC 9112, sections 2.2, 5 and 6) beyond those of the parser library: a message that two
 * recipients may read in two ways is refused, since what one takes for its body the other takes for the next message.
 */

#include <cstdint>
#include <string_view>

#include "apricotarch/transport/http_message.h"

namespace apricotarch
{

/// What is wrong with the framing of a message.
enum class FramingFault : std::uint8_t {
    None,
    Ambiguous, ///< The end of the message depends on who reads it.
    UnknownCoding, ///< The message ends with its last chunk, but its body has a coding that is not supported.
};

/// The head of a message as far as it concerns the framing.
struct FramedHead
{
    int version = 11; ///< HTTP version times ten.
    int status = 0; ///< Of an answer; 0 for a request.
};

/// Checks the length and the transfer codings of a message whose head is complete. Values of lengths are checked by the parser library.
[[nodiscard]] FramingFault findFramingFault(const FramedHead &head, const HttpHeaders &headers);

/// Whether a message has no body by its status, but headers that announce one. The end of such a message is known, but its sender may
/// send the body nevertheless.
[[nodiscard]] bool announcesForbiddenBody(const FramedHead &head, const HttpHeaders &headers);

/// Whether a chunk's extensions have no control character, of which a line feed ends the line for some recipients.
[[nodiscard]] bool isPlainExtension(std::string_view extensions);

/// Whether the value of a Host header is a single host name or address, with or without a port.
[[nodiscard]] bool isSingleHost(std::string_view value);

/// Finds folded header lines, which the parser library joins, in the bytes of a head.
class FoldedLineFinder
{
public:
    /// Reads bytes of a message that follow those read before; those after the head are ignored. @return whether a line is folded
    [[nodiscard]] bool find(std::string_view bytes);

private:
    std::size_t m_lineBytes = 0; ///< Bytes of the current line, without its end.
    bool m_isStartLine = true;
    bool m_ended = false; ///< The empty line at the end of the head has been read.
};

} // namespace apricotarch
