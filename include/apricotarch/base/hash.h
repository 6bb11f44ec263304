#pragma once

/**
 * @file
 * Hashes, by library.
 */

#include <string>
#include <string_view>

#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// SHA-256 of a text in 64 small hexadecimal digits. For keys and for names of bodies.
[[nodiscard]] std::string sha256Hex(std::string_view text);

/// A fast 64-bit hash of a request's content; not secret.
[[nodiscard]] ContentHash contentHash(std::string_view text) noexcept;

/// An identifier that no other process makes: 128 random bits in hexadecimal.
[[nodiscard]] std::string uniqueId();

} // namespace apricotarch
