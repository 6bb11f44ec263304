#pragma once

/**
 * @file
 * Splits an event stream into complete events and checks them, so that another engine can resume the stream after the last one.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "apricotarch/base/error.h"

namespace apricotarch
{

/// Why a stream has to be given up.
struct StreamFault
{
    ErrorId error;
    const char *detail;
};

/// Receives the bytes of a text/event-stream and returns those of complete events.
class EventSplitter
{
public:
    /// @param extraFields names of the fields that an event may have beside those of the standard
    explicit EventSplitter(std::vector<std::string> extraFields = {});

    /// Starts reading a new or resumed stream. Discards the incomplete event at the end of the previous one.
    void startStream();

    /// Sets the last event that the caller already has. Streams have to continue after it.
    void resumeAfter(std::uint64_t lastId);

    /// Whether the bytes received so far end with a complete event.
    [[nodiscard]] bool isBetweenEvents() const noexcept
    {
        return m_incompleteEvent.empty();
    }

    /// Memory taken by the incomplete event at the end of the bytes received so far.
    [[nodiscard]] std::size_t retainedBytes() const noexcept
    {
        return m_incompleteEvent.capacity();
    }

    /// Set if the stream has to be given up. No further events are returned then.
    [[nodiscard]] const std::optional<StreamFault> &fault() const noexcept
    {
        return m_fault;
    }

    /**
     * Appends bytes of the stream.
     * @return the events that these bytes complete, without those whose ids an earlier stream has already delivered, up to the first
     * one that is not well-formed or does not continue the stream
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

    /// What is done with an event.
    enum class Verdict : std::uint8_t {
        Return,
        Drop, ///< The caller already has the event.
        Reject, ///< The stream has to be given up.
    };

    [[nodiscard]] bool isFieldName(std::string_view name) const;
    [[nodiscard]] bool isWellFormed(std::string_view event) const;
    [[nodiscard]] Verdict check(std::string_view event);
    [[nodiscard]] Verdict checkId(std::optional<std::uint64_t> id);
    [[nodiscard]] Verdict reject(const char *detail);

    std::vector<std::string> m_extraFields;
    std::string m_incompleteEvent;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_count = 0;
    bool m_resuming = false; ///< The next event has to follow the last one of an earlier stream.
    bool m_resumed = false; ///< The current stream continues an earlier one.
    bool m_idsConsecutive = true; ///< The ids of the events so far leave no gap.
    std::optional<StreamFault> m_fault;
};

} // namespace apricotarch
