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

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(std::span(digest).first(size));
}

ContentHash contentHash(std::string_view text) noexcept
{
    return ContentHash(static_cast<std::int64_t>(XXH3_64bits(text.data(), text.size())));
}

std::string generateUniqueId()
{
    std::array<unsigned char, UniqueIdBytes> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return toHex(bytes);
}

} // namespace apricotarch
