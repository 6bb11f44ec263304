#pragma once

/**
 * @file
 * Reading of server-sent events from bytes that arrive in any pieces.
 */

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "apricotarch/base/error.h"

namespace apricotarch
{

/// One event.
struct ServerSentEvent
{
    std::string id;
    std::string type;
    std::string data;
};

/// Takes bytes in and gives whole events out.
class EventStreamReader
{
public:
    /// @param maxEventBytes largest event accepted
    explicit EventStreamReader(std::size_t maxEventBytes = 1024 * 1024);

    /// Takes bytes in. @return MessageTooLarge where an event does not end within the limit
    [[nodiscard]] Result<void> feed(std::string_view bytes);

    /// The next whole event, or nothing. Events without data are passed over.
    [[nodiscard]] std::optional<ServerSentEvent> next();

private:
    std::size_t m_maxEventBytes;
    std::string m_buffer;
};

} // namespace apricotarch
