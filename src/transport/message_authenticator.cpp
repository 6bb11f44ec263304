#include "apricotarch/transport/message_authenticator.h"

#include <array>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace apricotarch
{

namespace
{

constexpr std::size_t MacBytes = 32;

std::string computeMac(const std::string &key, std::string_view message)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned int size = 0;
    const auto *messageBytes = reinterpret_cast<const unsigned char *>(message.data());
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), messageBytes, message.size(), mac.data(), &size);
    return {mac.begin(), mac.begin() + MacBytes};
}

} // namespace

MessageAuthenticator::MessageAuthenticator(std::string key)
    : m_key(std::move(key))
{
}

std::string MessageAuthenticator::authenticate(std::string_view message) const
{
    return computeMac(m_key, message).append(message);
}

Result<std::string> MessageAuthenticator::verify(std::string_view authenticated, const std::string &peer) const
{
    const auto authenticationFailure = [&peer] {
        return fail(ErrorId::Refused,
            "peer.open",
            peer,
            "the message is not authenticated with this installation's peer key; check that all nodes have the same peer_key");
    };
    if (authenticated.size() < MacBytes) {
        return authenticationFailure();
    }
    const std::string_view message = authenticated.substr(MacBytes);
    const std::string expected = computeMac(m_key, message);
    if (CRYPTO_memcmp(expected.data(), authenticated.data(), MacBytes) != 0) {
        return authenticationFailure();
    }
    return std::string(message);
}

} // namespace apricotarch
