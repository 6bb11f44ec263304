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
    for (const char character : value) {
        if (character == '\n') {
            line += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
    }
    line += '"';
}

constexpr std::size_t WriteBatchBytes = 4096; ///< Size of one write; a pipe accepts at most this much (PIPE_BUF) atomically.
constexpr std::size_t MaxBufferedBytes = 256 * 1024; ///< Lines of any level are dropped beyond this size.

/// Rate-limits and buffers lines, and writes them to standard output without blocking.
class BufferedLogSink final : public google::LogSink
{
public:
    /// Sets the rate limit and enables buffering; until then every line is written immediately.
    void setRateLimit(std::size_t linesPerSecond)
    {
        const std::lock_guard lock(m_mutex);
        m_linesPerSecond = static_cast<double>(linesPerSecond);
        m_tokens = m_linesPerSecond;
        m_refilledAt = std::chrono::steady_clock::now();
    }

    /// Takes a token of the token bucket for an informational line; counts the line as dropped if there is none.
    bool admitInfoLine()
    {
        const std::lock_guard lock(m_mutex);
        if (m_linesPerSecond == 0) {
            return true;
        }
        const auto now = std::chrono::steady_clock::now();
        const std::chrono::duration<double> elapsed = now - m_refilledAt;
        m_refilledAt = now;
        m_tokens = std::min(m_linesPerSecond, m_tokens + elapsed.count() * m_linesPerSecond);
        if (m_tokens < 1) {
            ++m_droppedLines;
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
        if (m_buffer.size() + length > MaxBufferedBytes) {
            ++m_droppedLines;
            return;
        }
        std::array<char, 48> prefix{};
        const int size = std::snprintf(prefix.data(),
            prefix.size(),
            "time=%lld.%06d level=%s ",
            static_cast<long long>(time.timestamp()),
            time.usec(),
            google::GetLogSeverityName(severity));
        m_buffer.append(prefix.data(), static_cast<std::size_t>(size));
        m_buffer.append(message, length);
        m_buffer += '\n';
        if (m_linesPerSecond == 0 || m_buffer.size() >= WriteBatchBytes) {
            writeBuffer();
        }
    }

    /// Writes as much as standard output accepts without blocking, and the number of dropped lines.
    void flush()
    {
        const std::lock_guard lock(m_mutex);
        if (m_droppedLines > 0) {
            m_buffer += "level=WARNING event=log.left_out lines=" + std::to_string(std::exchange(m_droppedLines, 0)) + '\n';
        }
        writeBuffer();
    }

private:
    void writeBuffer()
    {
        std::size_t written = 0;
        while (written < m_buffer.size()) {
            pollfd standardOutput{STDOUT_FILENO, POLLOUT, 0};
            if (::poll(&standardOutput, 1, 0) <= 0 || (standardOutput.revents & POLLOUT) == 0) {
                break; // The reader is slow or has closed the pipe. The lines stay buffered; beyond the limit they are dropped and counted.
            }
            const ssize_t size = ::write(STDOUT_FILENO, m_buffer.data() + written, std::min(WriteBatchBytes, m_buffer.size() - written));
            if (size <= 0) {
                break;
            }
            written += static_cast<std::size_t>(size);
        }
        m_buffer.erase(0, written);
    }

    std::mutex m_mutex;
    std::string m_buffer;
    double m_linesPerSecond = 0; ///< 0 if lines are not limited.
    double m_tokens = 0;
    std::chrono::steady_clock::time_point m_refilledAt;
    std::size_t m_droppedLines = 0;
};

BufferedLogSink &bufferedLogSink()
{
    static BufferedLogSink sink;
    return sink;
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
    BufferedLogSink &sink = bufferedLogSink();
    if (m_level == Level::Info && !sink.admitInfoLine()) {
        return;
    }
    switch (m_level) {
    case Level::Info:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&sink, INFO) << m_line;
        break;
    case Level::Warning:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&sink, WARNING) << m_line;
        break;
    case Level::Error:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&sink, ERROR) << m_line;
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

void enableBufferedLogging(std::size_t linesPerSecond)
{
    bufferedLogSink().setRateLimit(linesPerSecond);
}

void flushLogs()
{
    bufferedLogSink().flush();
}

} // namespace apricotarch
