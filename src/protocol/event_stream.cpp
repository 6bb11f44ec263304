#include "apricotarch/protocol/event_stream.h"

namespace apricotarch
{

namespace
{

void parseLine(ServerSentEvent &event, std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos) {
        return;
    }
    const std::string_view name = line.substr(0, colon);
    std::string_view value = line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (name == "data") {
        event.data += event.data.empty() ? "" : "\n";
        event.data += value;
    } else if (name == "id") {
        event.id = value;
    } else if (name == "event") {
        event.type = value;
    }
}

ServerSentEvent parseEvent(std::string_view block)
{
    ServerSentEvent event;
    while (!block.empty()) {
        const std::size_t end = block.find('\n');
        parseLine(event, block.substr(0, end));
        block = end == std::string_view::npos ? std::string_view() : block.substr(end + 1);
    }
    return event;
}

} // namespace

EventStreamReader::EventStreamReader(std::size_t maxEventBytes)
    : m_maxEventBytes(maxEventBytes)
{
}

Result<void> EventStreamReader::feed(std::string_view bytes)
{
    for (const char symbol : bytes) {
        if (symbol != '\r') {
            m_buffer += symbol;
        }
    }
    if (m_buffer.size() > m_maxEventBytes && m_buffer.find("\n\n") == std::string::npos) {
        return fail(ErrorId::MessageTooLarge,
            "event_stream.feed",
            "",
            "server-sent event exceeds the limit of " + std::to_string(m_maxEventBytes) + " bytes");
    }
    return {};
}

std::optional<ServerSentEvent> EventStreamReader::next()
{
    while (true) {
        const std::size_t end = m_buffer.find("\n\n");
        if (end == std::string::npos) {
            return std::nullopt;
        }
        ServerSentEvent event = parseEvent(std::string_view(m_buffer).substr(0, end));
        m_buffer.erase(0, end + 2);
        if (!event.data.empty()) {
            return event;
        }
    }
}

} // namespace apricotarch
