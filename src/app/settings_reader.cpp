#include "apricotarch/app/settings_reader.h"

namespace apricotarch
{

namespace
{

constexpr std::size_t MinSecretLength = 16;

} // namespace

Endpoint readEndpoint(YamlMap &map, const std::string &key)
{
    const std::string text = map.text(key);
    const Result<Endpoint> endpoint = parseEndpoint(text);
    if (!endpoint && !text.empty()) {
        map.addError(key, "must be IP:PORT, for example 10.0.0.4:8080");
    }
    return endpoint.value_or(Endpoint());
}

std::string readSecret(YamlMap &map, const std::string &key)
{
    std::string secret = map.text(key);
    if (!secret.empty() && secret.size() < MinSecretLength) {
        map.addError(key, "must have at least " + std::to_string(MinSecretLength) + " characters");
    }
    return secret;
}

} // namespace apricotarch
