#pragma once

/**
 * @file
 * Addresses by IP number and port.
 */

#include <cstdint>
#include <string>
#include <string_view>

#include "apricotarch/base/error.h"

namespace apricotarch
{

/// A TCP or UDP address. Names are not resolved: VMs are known by IP number.
struct Endpoint
{
    std::string host; ///< IPv4 or IPv6 number.
    std::uint16_t port = 0; ///< 1 to 65535.

    auto operator<=>(const Endpoint &) const = default;

    /// The address as text, for example `127.0.0.1:8080`.
    [[nodiscard]] std::string text() const;
};

/**
 * Reads an address.
 * @param text `IP:PORT`, an IPv6 number in brackets
 * @return the address, or InvalidField
 */
[[nodiscard]] Result<Endpoint> parseEndpoint(std::string_view text);

} // namespace apricotarch
