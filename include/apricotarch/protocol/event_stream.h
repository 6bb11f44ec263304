#pragma once

/**
 * @file
 * Incremental parser for server-sent events.
 */

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "apricotarch/base/error.h"

namespace apricotarch
{

/// One server-sent event.
struct ServerSentEvent
{
    std::string id;
    std::string type;
    std::string data;
};

/// Parses a byte stream, split at arbitrary positions, into server-sent events.
class EventStreamReader
{
public:
    /// @param maxEventBytes size limit of one event
    explicit EventStreamReader(std::size_t maxEventBytes = 1024 * 1024);

    /// Appends bytes to the input. @return MessageTooLarge if the input exceeds the limit without containing the end of an event
    [[nodiscard]] Result<void> feed(std::string_view bytes);

    /// Returns the next complete event, or std::nullopt if there is none yet. Skips events without data.
    [[nodiscard]] std::optional<ServerSentEvent> next();

private:
    std::size_t m_maxEventBytes;
    std::string m_buffer;
};

} // namespace apricotarch
