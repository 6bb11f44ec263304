#include "apricotarch/transport/event_splitter.h"

#include <charconv>

namespace apricotarch
{

namespace
{

/// Returns the end of the first complete event at or after @p from, or npos. Lines end with LF or CRLF; an empty line ends an event.
std::size_t findEventEnd(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        std::size_t next = at + 1;
        if (next < text.size() && text[next] == '\r') {
            ++next;
        }
        if (next < text.size() && text[next] == '\n') {
            return next + 1;
        }
    }
    return std::string_view::npos;
}

/// Returns the value of an event's `id` line, if it has a numeric one.
std::optional<std::uint64_t> parseEventId(std::string_view event)
{
    std::size_t at = 0;
    while (at < event.size()) {
        const std::string_view line = event.substr(at, event.find('\n', at) - at);
        if (line.starts_with("id:")) {
            const std::size_t digits = line.find_first_of("0123456789");
            std::uint64_t id = 0;
            if (digits != std::string_view::npos
                && std::from_chars(line.data() + digits, line.data() + line.size(), id).ec == std::errc()) {
                return id;
            }
        }
        at += line.size() + 1;
    }
    return std::nullopt;
}

} // namespace

void EventSplitter::startStream()
{
    m_incompleteEvent.clear();
}

std::string EventSplitter::append(std::string_view bytes)
{
    const std::size_t searchFrom = m_incompleteEvent.size() < 2 ? 0 : m_incompleteEvent.size() - 2;
    m_incompleteEvent += bytes;
    std::string events;
    std::size_t begin = 0;
    for (std::size_t end = findEventEnd(m_incompleteEvent, searchFrom); end != std::string::npos;
         end = findEventEnd(m_incompleteEvent, begin)) {
        const std::string_view event = std::string_view(m_incompleteEvent).substr(begin, end - begin);
        if (!isRepeated(event)) {
            events += event;
            ++m_count;
        }
        begin = end;
    }
    m_incompleteEvent.erase(0, begin);
    return events;
}

bool EventSplitter::isRepeated(std::string_view event)
{
    const std::optional<std::uint64_t> id = parseEventId(event);
    if (!id) {
        return false;
    }
    if (m_lastId && *id <= *m_lastId) {
        return true;
    }
    m_lastId = id;
    return false;
}

} // namespace apricotarch
