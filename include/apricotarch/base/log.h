#pragma once

/**
 * @file
 * Structured logging through glog: one line of key=value pairs for each event.
 */

#include <concepts>
#include <cstddef>
#include <string>
#include <string_view>

#include "apricotarch/base/error.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/base/store_position.h"

namespace apricotarch
{

/**
 * One log event. The line is written when the object is destroyed.
 *
 * @code
 * LogEvent("lease.taken").field("node", node).field("token", token);
 * @endcode
 */
class LogEvent
{
public:
    /// Severity of an event.
    enum class Level {
        Info,
        Warning,
        Error,
    };

    /**
     * Begins an event.
     * @param event name in the form `subject.verb`
     * @param level severity
     */
    explicit LogEvent(std::string_view event, Level level = Level::Info);
    LogEvent(const LogEvent &) = delete;
    LogEvent &operator=(const LogEvent &) = delete;
    ~LogEvent();

    /// Adds a key and a value. An empty value, or one with spaces, quotes, equals signs, backslashes or line breaks is quoted and escaped.
    LogEvent &field(std::string_view key, std::string_view value);

    /// Adds a number.
    template<std::integral Number>
    LogEvent &field(std::string_view key, Number value)
    {
        return field(key, std::string_view(std::to_string(value)));
    }

    /// Adds an identifier.
    template<typename Tag>
    LogEvent &field(std::string_view key, const StrongId<Tag> &id)
    {
        return field(key, std::string_view(id.value()));
    }

    /// Adds a quantity.
    template<typename Tag>
    LogEvent &field(std::string_view key, StrongNumber<Tag> number)
    {
        return field(key, number.value());
    }

    /// Adds a position as `INCARNATION/VERSION`.
    LogEvent &field(std::string_view key, const StorePosition &position)
    {
        return field(key, std::string_view(position.text()));
    }

    /// Adds the name, step, peer and detail of an error.
    LogEvent &error(const Error &error);

private:
    std::string m_line;
    Level m_level;
};

/**
 * Initializes logging to standard output.
 * @param program name of the program, as in argv[0]; must stay valid until the process ends
 */
void startLogging(const char *program);

/**
 * Enables buffering and rate limiting of lines, so that a slow or closed reader of standard output never blocks the process. Afterwards
 * flushLogs() must be called regularly.
 * @param linesPerSecond informational lines beyond this rate are dropped and counted; warnings and errors are not rate-limited
 */
void enableBufferedLogging(std::size_t linesPerSecond);

/// Writes the buffered lines and the number of dropped lines, as far as possible without blocking.
void flushLogs();

} // namespace apricotarch
