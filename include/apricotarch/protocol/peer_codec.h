#pragma once

/**
 * @file
 * Thrift encoding of the messages between nodes.
 */

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "apricotarch/base/error.h"
#include "apricotarch/coordination/peer_client.h"
#include "apricotarch/state/heartbeat.h"

namespace apricotarch
{

/// Requests a configuration body.
struct FetchBodyRequest
{
    Digest digest;
};

/// Requests the committed configuration row.
struct FetchCommittedRequest
{
};

/// A request from one node to another.
using PeerRequest = std::variant<FetchBodyRequest, FetchCommittedRequest, ConfigurationOffer>;

/// The reply to a request.
struct PeerReply
{
    bool ok = false;
    std::string body; ///< Configuration body in reply to FetchBodyRequest; the reason if ok is false.
    std::optional<CommittedConfiguration> committed; ///< Set in reply to FetchCommittedRequest.
};

[[nodiscard]] std::string encodeHeartbeat(const Heartbeat &heartbeat);
[[nodiscard]] std::string encodePeerRequest(const PeerRequest &request, const NodeId &sender);
[[nodiscard]] std::string encodePeerReply(const PeerReply &reply);

/// @return the message, or MalformedMessage or InvalidField; accepts arbitrary bytes
[[nodiscard]] Result<Heartbeat> decodeHeartbeat(std::string_view bytes, const std::string &peer);
/// @return the message, or MalformedMessage or InvalidField; accepts arbitrary bytes
[[nodiscard]] Result<PeerRequest> decodePeerRequest(std::string_view bytes, const std::string &peer);
/// @return the message, or MalformedMessage or InvalidField; accepts arbitrary bytes
[[nodiscard]] Result<PeerReply> decodePeerReply(std::string_view bytes, const std::string &peer);

} // namespace apricotarch
