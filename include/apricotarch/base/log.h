#pragma once

/**
 * @file
 * Structured logs: one line of key=value pairs for each event, written through glog.
 */

#include <concepts>
#include <cstddef>
#include <string>
#include <string_view>

#include "apricotarch/base/error.h"
#include "apricotarch/base/ids.h"

namespace apricotarch
{

/**
 * One event. The line is written when the object goes out of scope.
 *
 * @code
 * LogEvent("lease.taken").field("duty", duty).field("token", token);
 * @endcode
 */
class LogEvent
{
public:
    /// How much an operator should care.
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

    /// Adds a pair; a value with spaces, quotes or line breaks is quoted and escaped.
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

    /// Adds id, step, peer and detail of an error.
    LogEvent &error(const Error &error);

private:
    std::string m_line;
    Level m_level;
};

/**
 * Starts logging to standard output.
 * @param program name of the program, as in argv[0]; must outlive the process
 */
void startLogging(const char *program);

/**
 * Gathers lines and bounds them; a reader that is slow or gone never holds the process up. From then on flushLogs() has to be
 * called from time to time.
 * @param linesPerSecond more informational lines than this are left out and counted; warnings and errors never are
 */
void limitLogging(std::size_t linesPerSecond);

/// Writes what has been gathered, as far as that is possible without waiting.
void flushLogs();

} // namespace apricotarch
