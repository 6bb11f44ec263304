#pragma once

/**
 * @file
 * Authentication of messages between nodes by the installation's shared peer key.
 */

#include <string>
#include <string_view>

#include "apricotarch/base/error.h"

namespace apricotarch
{

/// Authenticates messages with HMAC-SHA256. Thread-safe.
class MessageAuthenticator
{
public:
    /// @param key shared by all nodes of an installation; must not be empty
    explicit MessageAuthenticator(std::string key);

    /// Authenticates a message. @return the message authentication code followed by the message
    [[nodiscard]] std::string authenticate(std::string_view message) const;

    /// Verifies a message authentication code. @return the message without its code, or Refused if the code does not match
    [[nodiscard]] Result<std::string> verify(std::string_view authenticated, const std::string &peer) const;

private:
    std::string m_key;
};

} // namespace apricotarch
