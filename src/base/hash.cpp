#include "apricotarch/base/hash.h"

#include <array>
#include <cstdint>
#include <span>

#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <boost/algorithm/hex.hpp>

namespace apricotarch
{

namespace
{

constexpr std::size_t UniqueIdBytes = 16;

std::string toHex(std::span<const unsigned char> bytes)
{
    std::string digits;
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(digits));
    return digits;
}

} // namespace

std::string sha256(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return {digest.begin(), digest.begin() + size};
}

std::string sha256Hex(std::string_view text)
{
    std::string digits;
    boost::algorithm::hex_lower(sha256(text), std::back_inserter(digits));
    return digits;
}

ContentHash contentHash(std::string_view text) noexcept
{
    return ContentHash(static_cast<std::int64_t>(XXH3_64bits(text.data(), text.size())));
}

std::uint64_t rendezvousScore(std::uint64_t key, std::string_view candidate) noexcept
{
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), key);
}

std::string generateUniqueId()
{
    std::array<unsigned char, UniqueIdBytes> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return toHex(bytes);
}

} // namespace apricotarch
