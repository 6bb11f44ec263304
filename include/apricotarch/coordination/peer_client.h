#pragma once

/**
 * @file
 * Interface for requests between nodes. Tests implement it with fakes.
 */

#include <string>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/error.h"
#include "apricotarch/state/configuration.h"

namespace apricotarch
{

/// A configuration that is offered to other nodes before it is accepted.
struct ConfigurationOffer
{
    StorePosition base; ///< Epoch of the row that the accepted configuration will replace.
    Digest digest;
    std::string body;
};

/// Sends requests to other nodes.
class PeerClient
{
public:
    PeerClient() = default;
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;
    virtual ~PeerClient() = default;

    /// Fetches the committed configuration row of a peer. @return the row; NotFound if the peer has none
    [[nodiscard]] virtual asio::awaitable<Result<CommittedConfiguration>> fetchCommitted(Endpoint peer) = 0;

    /// Fetches a configuration body by its digest. @return the body; NotFound if the peer does not hold it
    [[nodiscard]] virtual asio::awaitable<Result<std::string>> fetchBody(Endpoint peer, Digest digest) = 0;

    /// Offers a configuration body to a peer. @return success once the peer holds the body
    [[nodiscard]] virtual asio::awaitable<Result<void>> offer(Endpoint peer, ConfigurationOffer offer) = 0;
};

} // namespace apricotarch
