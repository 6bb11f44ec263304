#include "apricotarch/transport/peer_seal.h"

#include <array>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace apricotarch
{

namespace
{

constexpr std::size_t CodeBytes = 32;

std::string codeOf(const std::string &key, std::string_view message)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
    unsigned int size = 0;
    const auto *bytes = reinterpret_cast<const unsigned char *>(message.data());
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes, message.size(), code.data(), &size);
    return {code.begin(), code.begin() + CodeBytes};
}

} // namespace

PeerSeal::PeerSeal(std::string key)
    : m_key(std::move(key))
{
}

std::string PeerSeal::seal(std::string_view message) const
{
    return codeOf(m_key, message).append(message);
}

Result<std::string> PeerSeal::open(std::string_view sealed, const std::string &peer) const
{
    const auto refused = [&peer] {
        return fail(ErrorId::Refused,
            "peer.open",
            peer,
            "the message is not sealed with this desk's peer key; do all nodes have the same peer_key?");
    };
    if (sealed.size() < CodeBytes) {
        return refused();
    }
    const std::string_view message = sealed.substr(CodeBytes);
    const std::string expected = codeOf(m_key, message);
    if (CRYPTO_memcmp(expected.data(), sealed.data(), CodeBytes) != 0) {
        return refused();
    }
    return std::string(message);
}

} // namespace apricotarch
