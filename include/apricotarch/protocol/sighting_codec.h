#pragma once

/**
 * @file
 * Packed encoding of sightings. Each takes 5 bytes: the address hash, big-endian, and one byte with three flags and the age in units
 * of 40 ms, rounded up.
 */

#include <string>
#include <string_view>
#include <vector>

#include "apricotarch/state/front_heartbeat.h"

namespace apricotarch
{

/// Largest age that can be encoded; older sightings are dropped.
inline constexpr std::chrono::milliseconds MaxEncodedAge{31 * 40};

[[nodiscard]] std::string encodeSightings(const std::vector<PeerSighting> &sightings);

/// Decodes sightings; an incomplete one at the end is dropped.
[[nodiscard]] std::vector<PeerSighting> decodeSightings(std::string_view bytes);

} // namespace apricotarch
