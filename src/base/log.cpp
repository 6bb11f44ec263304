#include "apricotarch/base/log.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include <glog/logging.h>

namespace apricotarch
{

namespace
{

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (const char symbol : value) {
        if (symbol == '\n') {
            line += "\\n";
            continue;
        }
        if (symbol == '"' || symbol == '\\') {
            line += '\\';
        }
        line += static_cast<unsigned char>(symbol) < ' ' ? ' ' : symbol;
    }
    line += '"';
}

constexpr std::size_t GatherBytes = 4096; ///< Lines are written together up to this size, which a pipe takes as a whole.
constexpr std::size_t MostGathered = 256 * 1024; ///< Beyond it lines are left out, whatever their level.

/// Bounds lines and writes them to standard output without waiting.
class LogGate final : public google::LogSink
{
public:
    /// Sets the bound; without one every line is written at once.
    void limit(std::size_t linesPerSecond)
    {
        const std::lock_guard lock(m_mutex);
        m_perSecond = static_cast<double>(linesPerSecond);
        m_tokens = m_perSecond;
        m_filledAt = std::chrono::steady_clock::now();
    }

    /// Whether one more informational line may be written.
    bool admits()
    {
        const std::lock_guard lock(m_mutex);
        if (m_perSecond == 0) {
            return true;
        }
        const auto now = std::chrono::steady_clock::now();
        const std::chrono::duration<double> passed = now - m_filledAt;
        m_filledAt = now;
        m_tokens = std::min(m_perSecond, m_tokens + passed.count() * m_perSecond);
        if (m_tokens < 1) {
            ++m_leftOut;
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    void send(google::LogSeverity severity,
        const char * /*fullName*/,
        const char * /*baseName*/,
        int /*line*/,
        const google::LogMessageTime &time,
        const char *message,
        std::size_t length) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_gathered.size() + length > MostGathered) {
            ++m_leftOut;
            return;
        }
        std::array<char, 48> start{};
        const int size = std::snprintf(start.data(),
            start.size(),
            "time=%lld.%06d level=%s ",
            static_cast<long long>(time.timestamp()),
            time.usec(),
            google::GetLogSeverityName(severity));
        m_gathered.append(start.data(), static_cast<std::size_t>(size));
        m_gathered.append(message, length);
        m_gathered += '\n';
        if (m_perSecond == 0 || m_gathered.size() >= GatherBytes) {
            writeGathered();
        }
    }

    /// Writes as much as standard output takes at once.
    void flush()
    {
        const std::lock_guard lock(m_mutex);
        if (m_leftOut > 0) {
            m_gathered += "level=WARNING event=log.left_out lines=" + std::to_string(std::exchange(m_leftOut, 0)) + '\n';
        }
        writeGathered();
    }

private:
    void writeGathered()
    {
        std::size_t written = 0;
        while (written < m_gathered.size()) {
            pollfd descriptor{STDOUT_FILENO, POLLOUT, 0};
            if (::poll(&descriptor, 1, 0) <= 0 || (descriptor.revents & POLLOUT) == 0) {
                break; // The reader is slow or gone; the lines wait, and beyond the bound they are left out and counted.
            }
            const ssize_t size = ::write(STDOUT_FILENO, m_gathered.data() + written, std::min(GatherBytes, m_gathered.size() - written));
            if (size <= 0) {
                break;
            }
            written += static_cast<std::size_t>(size);
        }
        m_gathered.erase(0, written);
    }

    std::mutex m_mutex;
    std::string m_gathered;
    double m_perSecond = 0; ///< 0 for no bound.
    double m_tokens = 0;
    std::chrono::steady_clock::time_point m_filledAt;
    std::size_t m_leftOut = 0;
};

LogGate &logGate()
{
    static LogGate gate;
    return gate;
}

} // namespace

LogEvent::LogEvent(std::string_view event, Level level)
    : m_line("event=")
    , m_level(level)
{
    m_line += event;
}

LogEvent::~LogEvent()
{
    LogGate &gate = logGate();
    if (m_level == Level::Info && !gate.admits()) {
        return;
    }
    switch (m_level) {
    case Level::Info:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&gate, INFO) << m_line;
        break;
    case Level::Warning:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&gate, WARNING) << m_line;
        break;
    case Level::Error:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&gate, ERROR) << m_line;
        break;
    }
}

LogEvent &LogEvent::field(std::string_view key, std::string_view value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    if (needsQuotes(value)) {
        appendQuoted(m_line, value);
    } else {
        m_line += value;
    }
    return *this;
}

LogEvent &LogEvent::error(const Error &error)
{
    field("error", errorName(error.id)).field("step", error.step);
    return field("peer", error.peer).field("detail", error.detail);
}

void startLogging(const char *program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

void limitLogging(std::size_t linesPerSecond)
{
    logGate().limit(linesPerSecond);
}

void flushLogs()
{
    logGate().flush();
}

} // namespace apricotarch
