#pragma once

/**
 * @file
 * Splits an event stream into complete events, so that another engine can resume the stream after the last one.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace apricotarch
{

/// Receives the bytes of a text/event-stream and returns those of complete events.
class EventSplitter
{
public:
    /// Starts reading a new or resumed stream. Discards the incomplete event at the end of the previous one.
    void startStream();

    /// Whether the bytes received so far end with a complete event.
    [[nodiscard]] bool isBetweenEvents() const noexcept
    {
        return m_incompleteEvent.empty();
    }

    /// Whether the incomplete event at the end is larger than any event may be. The stream is then to be given up.
    [[nodiscard]] bool isOversized() const noexcept
    {
        return m_incompleteEvent.size() > MaxEventBytes;
    }

    /**
     * Appends bytes of the stream.
     * @return the events that these bytes complete, without those whose ids an earlier stream has already delivered
     */
    [[nodiscard]] std::string append(std::string_view bytes);

    /// Id of the last returned event that has one.
    [[nodiscard]] std::optional<std::uint64_t> lastId() const noexcept
    {
        return m_lastId;
    }

    /// Number of events returned, over all streams.
    [[nodiscard]] std::uint64_t count() const noexcept
    {
        return m_count;
    }

private:
    static constexpr std::size_t MaxEventBytes = 1024UL * 1024;

    [[nodiscard]] bool isRepeated(std::string_view event);

    std::string m_incompleteEvent;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_count = 0;
};

} // namespace apricotarch
