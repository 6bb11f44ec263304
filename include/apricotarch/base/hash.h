#pragma once

/**
 * @file
 * Hash functions and generation of unique ids.
 */

#include <cstdint>
#include <string>
#include <string_view>

#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// Returns the SHA-256 hash of a text as 64 lower-case hexadecimal digits, for keys and for names of stored bodies.
[[nodiscard]] std::string sha256Hex(std::string_view text);

/// Returns the SHA-256 hash of a text as 32 bytes.
[[nodiscard]] std::string sha256(std::string_view text);

/// Returns a fast, non-cryptographic 64-bit hash of a request's content.
[[nodiscard]] ContentHash contentHash(std::string_view text) noexcept;

/// Returns a score for rendezvous hashing: of several candidates, the one with the highest score for a key is preferred.
[[nodiscard]] std::uint64_t rendezvousScore(std::uint64_t key, std::string_view candidate) noexcept;

/// Returns a globally unique identifier: 128 random bits in hexadecimal.
[[nodiscard]] std::string generateUniqueId();

} // namespace apricotarch
