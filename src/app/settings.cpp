#include "apricotarch/app/settings.h"

#include <set>

#include "apricotarch/app/settings_reader.h"
#include "apricotarch/coordination/routing.h"
#include "apricotarch/protocol/yaml_map.h"

namespace apricotarch
{

namespace
{

constexpr NumberRange ThreadCountRange{1, 64};
constexpr NumberRange RequestCountRange{1, 100'000};
constexpr NumberRange ConnectionCountRange{1, 100'000};
constexpr NumberRange BodyBytesRange{1024, 64 * 1024 * 1024};
constexpr NumberRange ShutdownSecondsRange{1, 3600};
constexpr NumberRange EntrySecondsRange{1, 600};

void readPeers(YamlMap &root, Settings &settings)
{
    std::set<NodeId> nodes{settings.node};
    for (YamlMap &map : root.mapsOr("peers")) {
        PeerSettings peer;
        peer.node = NodeId(map.text("node"));
        peer.address = readEndpoint(map, "address");
        map.reportUnknownKeys();
        if (!peer.node.empty() && !nodes.insert(peer.node).second) {
            map.addError("node", "must be unique and must not be this node");
        }
        settings.peers.push_back(peer);
    }
}

void readLimits(YamlMap &root, Settings &settings)
{
    settings.threads = static_cast<std::size_t>(root.numberOr("threads", ThreadCountRange, static_cast<std::int64_t>(settings.threads)));
    settings.maxRequestsInFlight = static_cast<std::size_t>(
        root.numberOr("requests_in_flight", RequestCountRange, static_cast<std::int64_t>(settings.maxRequestsInFlight)));
    settings.maxConnections =
        static_cast<std::size_t>(root.numberOr("connections", ConnectionCountRange, static_cast<std::int64_t>(settings.maxConnections)));
    settings.maxBodyBytes =
        static_cast<std::size_t>(root.numberOr("body_bytes", BodyBytesRange, static_cast<std::int64_t>(settings.maxBodyBytes)));
    settings.shutdownTimeout = std::chrono::seconds(root.numberOr("shutdown_bound_s", ShutdownSecondsRange, 30));
    settings.entryLifetime = std::chrono::seconds(root.numberOr("entry_keeps_for_s", EntrySecondsRange, 10));
    settings.routing = root.textOr("routing", "predicted_time");
    if (makePolicy(settings.routing) == nullptr) {
        root.addError("routing", "must be one of: predicted_time, least_outstanding, round_robin");
    }
}

} // namespace

tl::expected<Settings, ValidationErrors> parseSettings(const std::string &text)
{
    ValidationErrors errors;
    std::optional<YamlMap> root = parseYamlMap(text, errors);
    if (!root) {
        return tl::unexpected(errors);
    }
    Settings settings;
    settings.node = NodeId(root->text("node"));
    settings.zone = ZoneId(root->text("zone"));
    settings.cell = root->textOr("cell", settings.zone.value());
    settings.callerAddress = readEndpoint(*root, "caller_address");
    settings.peerAddress = readEndpoint(*root, "peer_address");
    settings.platformAddress = readEndpoint(*root, "platform_address");
    settings.peerKey = readSecret(*root, "peer_key");
    settings.operatorToken = readSecret(*root, "operator_token");
    readPeers(*root, settings);
    readLimits(*root, settings);
    if (settings.callerAddress.port != 0 && settings.callerAddress == settings.peerAddress) {
        root->addError("peer_address", "must differ from caller_address");
    }
    root->reportUnknownKeys();
    if (!errors.empty()) {
        return tl::unexpected(errors);
    }
    return settings;
}

} // namespace apricotarch
