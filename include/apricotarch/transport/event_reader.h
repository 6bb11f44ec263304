#pragma once

/**
 * @file
 * Splits a stream's bytes into whole events, so that a stream can be continued elsewhere after the last one.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace apricotarch
{

/// Takes bytes of a text/event-stream and gives the bytes of whole events.
class EventReader
{
public:
    /// Begins a run: what is left of the run before is dropped.
    void beginRun();

    /// Whether the bytes so far end between two events.
    [[nodiscard]] bool betweenEvents() const noexcept
    {
        return m_rest.empty();
    }

    /**
     * Takes bytes.
     * @return bytes of the events completed by them, without those that an earlier run has given already
     */
    [[nodiscard]] std::string take(std::string_view bytes);

    /// Id of the last event given.
    [[nodiscard]] std::optional<std::uint64_t> lastId() const noexcept
    {
        return m_lastId;
    }

    /// Events given, over all runs.
    [[nodiscard]] std::uint64_t count() const noexcept
    {
        return m_count;
    }

private:
    [[nodiscard]] bool isRepeated(std::string_view event);

    std::string m_rest;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_count = 0;
};

} // namespace apricotarch
