#include "apricotarch/transport/event_splitter.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace apricotarch
{

namespace
{

constexpr std::array<std::string_view, 4> StandardFields = {"id", "event", "data", "retry"};

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

/// Takes the first line out of a text, without its line end.
std::string_view takeLine(std::string_view &text)
{
    const std::size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

/// Returns the value of an event's `id` line, if it has a numeric one.
std::optional<std::uint64_t> parseEventId(std::string_view event)
{
    while (!event.empty()) {
        std::string_view line = takeLine(event);
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(line.starts_with("id: ") ? 4 : 3);
        std::uint64_t id = 0;
        const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc() && end == line.data() + line.size()) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

EventSplitter::EventSplitter(std::vector<std::string> extraFields)
    : m_extraFields(std::move(extraFields))
{
}

void EventSplitter::startStream()
{
    std::string().swap(m_incompleteEvent); // Frees the memory, which clear() does not.
    m_fault.reset();
    m_resumed = m_count > 0 || m_lastId;
    m_resuming = m_resumed;
}

void EventSplitter::resumeAfter(std::uint64_t lastId)
{
    m_lastId = lastId;
}

std::string EventSplitter::append(std::string_view bytes)
{
    std::string events;
    if (m_fault) {
        return events;
    }
    const std::size_t searchFrom = m_incompleteEvent.size() < 2 ? 0 : m_incompleteEvent.size() - 2;
    m_incompleteEvent += bytes;
    std::size_t begin = 0;
    for (std::size_t end = findEventEnd(m_incompleteEvent, searchFrom); end != std::string::npos && !m_fault;
         end = findEventEnd(m_incompleteEvent, begin)) {
        const std::string_view event = std::string_view(m_incompleteEvent).substr(begin, end - begin);
        if (check(event) == Verdict::Return) {
            events += event;
            ++m_count;
        }
        begin = end;
    }
    m_incompleteEvent.erase(0, begin);
    if (m_incompleteEvent.size() > MaxEventBytes) {
        m_fault = StreamFault{ErrorId::MessageTooLarge, "an event of the stream is too large"};
    }
    return events;
}

bool EventSplitter::isFieldName(std::string_view name) const
{
    return std::ranges::find(StandardFields, name) != StandardFields.end() || std::ranges::find(m_extraFields, name) != m_extraFields.end();
}

bool EventSplitter::isWellFormed(std::string_view event) const
{
    std::size_t ids = 0;
    while (!event.empty()) {
        const std::string_view line = takeLine(event);
        const std::string_view name = line.substr(0, line.find(':'));
        if (!line.empty() && !line.starts_with(':') && !isFieldName(name)) {
            return false;
        }
        ids += name == "id" ? 1 : 0;
    }
    return ids <= 1;
}

EventSplitter::Verdict EventSplitter::check(std::string_view event)
{
    return isWellFormed(event) ? checkId(parseEventId(event)) : reject("the stream contains bytes that are no event");
}

EventSplitter::Verdict EventSplitter::checkId(std::optional<std::uint64_t> id)
{
    if (!id) {
        // Whether an event without an id continues an earlier stream is unknown.
        return m_resumed ? reject("an event of the resumed stream has no id") : Verdict::Return;
    }
    if (m_lastId && *id <= *m_lastId) {
        return Verdict::Drop;
    }
    const bool consecutive = !m_lastId || *id == *m_lastId + 1;
    if (std::exchange(m_resuming, false) && m_idsConsecutive && !consecutive) {
        return reject("the resumed stream does not continue with the next event");
    }
    m_idsConsecutive = m_idsConsecutive && consecutive;
    m_lastId = id;
    return Verdict::Return;
}

EventSplitter::Verdict EventSplitter::reject(const char *detail)
{
    m_fault = StreamFault{ErrorId::MalformedMessage, detail};
    return Verdict::Reject;
}

} // namespace apricotarch
