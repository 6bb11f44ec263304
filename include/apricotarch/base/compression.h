#pragma once

/**
 * @file
 * Compression of texts that are sent between nodes: the length of the text, then a raw deflate stream (RFC 1951).
 */

#include <cstddef>
#include <string>
#include <string_view>

#include "apricotarch/base/error.h"

namespace apricotarch
{

/// Compresses a text. Linear in its length.
[[nodiscard]] std::string compressText(std::string_view text);

/**
 * Restores a text that compressText() has compressed.
 * @param bytes the compressed text
 * @param maxBytes largest length of the text that is accepted
 * @param step step to report in errors
 * @param peer node that has sent the bytes
 * @return the text; MalformedMessage if the bytes are not valid, MessageTooLarge if the text is longer than @p maxBytes
 */
[[nodiscard]] Result<std::string> decompressText(std::string_view bytes, std::size_t maxBytes, const char *step, const std::string &peer);

} // namespace apricotarch
