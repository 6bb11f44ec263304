#pragma once

/**
 * @file
 * Hash functions and generation of unique ids.
 */

#include <string>
#include <string_view>

#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// Returns the SHA-256 hash of a text as 64 lower-case hexadecimal digits, for keys and for names of stored bodies.
[[nodiscard]] std::string sha256Hex(std::string_view text);

/// Returns a fast, non-cryptographic 64-bit hash of a request's content.
[[nodiscard]] ContentHash contentHash(std::string_view text) noexcept;

/// Returns a globally unique identifier: 128 random bits in hexadecimal.
[[nodiscard]] std::string generateUniqueId();

} // namespace apricotarch
