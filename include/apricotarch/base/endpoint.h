#pragma once

/**
 * @file
 * IP address and port of a peer.
 */

#include <cstdint>
#include <string>
#include <string_view>

#include "apricotarch/base/error.h"

namespace apricotarch
{

/// A TCP or UDP address. Host names are not supported, since VMs are identified by IP address.
struct Endpoint
{
    std::string host; ///< IPv4 or IPv6 address.
    std::uint16_t port = 0; ///< 1 to 65535.

    auto operator<=>(const Endpoint &) const = default;

    /// Formats the address, for example `127.0.0.1:8080` or `[::1]:8080`.
    [[nodiscard]] std::string text() const;
};

/**
 * Parses an address.
 * @param text `IP:PORT`, with an IPv6 address in brackets
 * @return the address, or InvalidField
 */
[[nodiscard]] Result<Endpoint> parseEndpoint(std::string_view text);

} // namespace apricotarch
