#include "apricotarch/protocol/sighting_codec.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>

#include <boost/endian/conversion.hpp>

namespace apricotarch
{

namespace
{

constexpr std::size_t HashBytes = 4;
constexpr std::size_t SightingBytes = HashBytes + 1;

constexpr std::chrono::milliseconds AgeUnit{40};
constexpr std::uint8_t AgeMask = 31;

constexpr std::uint8_t ReadyFlag = 32;
constexpr std::uint8_t ShuttingDownFlag = 64;
constexpr std::uint8_t ReadsStoreFlag = 128;

std::uint8_t packAgeAndFlags(const PeerSighting &sighting)
{
    const auto age = std::max(sighting.age, std::chrono::milliseconds(0));
    const auto units = static_cast<std::uint8_t>((age + AgeUnit - std::chrono::milliseconds(1)) / AgeUnit);
    return static_cast<std::uint8_t>(units | (sighting.ready ? ReadyFlag : 0) | (sighting.shuttingDown ? ShuttingDownFlag : 0)
        | (sighting.readsStore ? ReadsStoreFlag : 0));
}

} // namespace

std::string encodeSightings(const std::vector<PeerSighting> &sightings)
{
    std::string bytes;
    bytes.reserve(sightings.size() * SightingBytes);
    for (const PeerSighting &sighting : sightings) {
        if (sighting.age > MaxEncodedAge) {
            continue;
        }
        std::array<std::uint8_t, SightingBytes> packed{};
        boost::endian::store_big_u32(packed.data(), sighting.addressHash);
        packed.back() = packAgeAndFlags(sighting);
        bytes.append(packed.begin(), packed.end());
    }
    return bytes;
}

std::vector<PeerSighting> decodeSightings(std::string_view bytes)
{
    std::vector<PeerSighting> sightings;
    for (; bytes.size() >= SightingBytes; bytes.remove_prefix(SightingBytes)) {
        std::array<std::uint8_t, SightingBytes> packed{};
        std::copy_n(bytes.begin(), SightingBytes, packed.begin());
        const std::uint8_t flags = packed.back();
        sightings.push_back({boost::endian::load_big_u32(packed.data()),
            AgeUnit * (flags & AgeMask),
            (flags & ReadyFlag) != 0,
            (flags & ShuttingDownFlag) != 0,
            (flags & ReadsStoreFlag) != 0});
    }
    return sightings;
}

} // namespace apricotarch
