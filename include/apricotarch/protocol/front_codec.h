#pragma once

/**
 * @file
 * Thrift encoding of the messages between front nodes.
 */

#include <string>
#include <string_view>

#include "apricotarch/base/error.h"
#include "apricotarch/state/front_heartbeat.h"

namespace apricotarch
{

[[nodiscard]] std::string encodeFrontDatagram(const FrontDatagram &datagram);
/// @return the heartbeat or load update, or MalformedMessage or InvalidField
[[nodiscard]] Result<FrontDatagram> decodeFrontDatagram(std::string_view bytes, const std::string &peer);

[[nodiscard]] std::string encodeFleetSnapshotRequest(const FleetSnapshotRequest &request);
/// @return the request, or MalformedMessage
[[nodiscard]] Result<FleetSnapshotRequest> decodeFleetSnapshotRequest(std::string_view bytes, const std::string &peer);

[[nodiscard]] std::string encodeFleetSnapshot(const FleetSnapshot &snapshot);
/// @return the snapshot, or MalformedMessage
[[nodiscard]] Result<FleetSnapshot> decodeFleetSnapshot(std::string_view bytes, const std::string &peer);

} // namespace apricotarch
