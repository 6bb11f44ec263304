#pragma once

/**
 * @file
 * Requests between nodes. Tests put fakes in their place.
 */

#include <string>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/error.h"
#include "apricotarch/state/configuration.h"

namespace apricotarch
{

/// A configuration body that is offered to a node before it is accepted.
struct ConfigurationOffer
{
    RowVersion base; ///< Epoch of the row that the acceptance will replace.
    Digest digest;
    std::string body;
};

/// Calls other nodes.
class PeerLink
{
public:
    PeerLink() = default;
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;
    virtual ~PeerLink() = default;

    /// The committed configuration as a peer knows it. @return NotFound where it knows none
    [[nodiscard]] virtual asio::awaitable<Result<CommittedConfiguration>> fetchCommitted(Endpoint peer) = 0;

    /// A body by its digest. @return NotFound where the peer does not have it
    [[nodiscard]] virtual asio::awaitable<Result<std::string>> fetchBody(Endpoint peer, Digest digest) = 0;

    /// Offers a body. @return nothing once the peer holds it
    [[nodiscard]] virtual asio::awaitable<Result<void>> offer(Endpoint peer, ConfigurationOffer offer) = 0;
};

} // namespace apricotarch
