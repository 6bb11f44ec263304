#pragma once

/**
 * @file
 * Thrift form of the messages between nodes.
 */

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "apricotarch/base/error.h"
#include "apricotarch/coordination/peers.h"
#include "apricotarch/state/heartbeat.h"

namespace apricotarch
{

/// Asks for a body.
struct FetchBodyRequest
{
    Digest digest;
};

/// Asks for the committed row.
struct FetchCommittedRequest
{
};

/// A request of one node to another.
using PeerRequest = std::variant<FetchBodyRequest, FetchCommittedRequest, ConfigurationOffer>;

/// The answer to a request.
struct PeerReply
{
    bool ok = false;
    std::string body; ///< For FetchBodyRequest; where not ok, the reason.
    std::optional<CommittedConfiguration> committed; ///< For FetchCommittedRequest.
};

[[nodiscard]] std::string encodeHeartbeat(const Heartbeat &heartbeat);
[[nodiscard]] std::string encodePeerRequest(const PeerRequest &request, const NodeId &sender);
[[nodiscard]] std::string encodePeerReply(const PeerReply &reply);

/// @return the message; MalformedMessage or InvalidField, whatever the bytes are
[[nodiscard]] Result<Heartbeat> decodeHeartbeat(std::string_view bytes, const std::string &peer);
/// @return the message; MalformedMessage or InvalidField, whatever the bytes are
[[nodiscard]] Result<PeerRequest> decodePeerRequest(std::string_view bytes, const std::string &peer);
/// @return the message; MalformedMessage or InvalidField, whatever the bytes are
[[nodiscard]] Result<PeerReply> decodePeerReply(std::string_view bytes, const std::string &peer);

} // namespace apricotarch
