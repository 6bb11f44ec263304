#pragma once

/**
 * @file
 * Proof that a message comes from a node that knows the desk's peer key.
 */

#include <string>
#include <string_view>

#include "apricotarch/base/error.h"

namespace apricotarch
{

/// Seals messages with HMAC-SHA256. Thread-safe.
class PeerSeal
{
public:
    /// @param key shared by all nodes of a desk; not empty
    explicit PeerSeal(std::string key);

    /// The message with its code before it.
    [[nodiscard]] std::string seal(std::string_view message) const;

    /// The message without its code. @return Refused where the code does not fit
    [[nodiscard]] Result<std::string> open(std::string_view sealed, const std::string &peer) const;

private:
    std::string m_key;
};

} // namespace apricotarch
