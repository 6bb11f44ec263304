#include "apricotarch/state/front_heartbeat.h"

#include "apricotarch/base/hash.h"

namespace apricotarch
{

std::string PeerAddress::text() const
{
    return zone.value().empty() ? address.text() : address.text() + ' ' + zone.value();
}

Result<PeerAddress> parsePeerAddress(std::string_view text)
{
    const std::size_t separator = text.find(' ');
    const Result<Endpoint> address = parseEndpoint(text.substr(0, separator));
    if (!address) {
        return Failure(address.error());
    }
    PeerAddress peer{*address, ZoneId()};
    if (separator != std::string_view::npos) {
        peer.zone = ZoneId(std::string(text.substr(separator + 1)));
    }
    return peer;
}

std::uint32_t peerAddressHash(const Endpoint &address)
{
    return static_cast<std::uint32_t>(contentHash(address.text()).value());
}

std::uint32_t engineProcessHash(const BackendRecord &engine)
{
    return static_cast<std::uint32_t>(contentHash(engine.id.value() + '/' + std::to_string(engine.startedAt)).value());
}

std::uint32_t engineSpeedKey(const BackendRecord &engine)
{
    constexpr std::uint32_t StageMultiplier = 0x9E3779B9; // Odd, so that the stages of one process have different keys.
    return engineProcessHash(engine) ^ (static_cast<std::uint32_t>(engine.stage) * StageMultiplier);
}

} // namespace apricotarch
