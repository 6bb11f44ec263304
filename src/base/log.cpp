#include "apricotarch/base/log.h"

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

} // namespace

LogEvent::LogEvent(std::string_view event, Level level)
    : m_line("event=")
    , m_level(level)
{
    m_line += event;
}

LogEvent::~LogEvent()
{
    switch (m_level) {
    case Level::Info:
        LOG(INFO) << m_line;
        break;
    case Level::Warning:
        LOG(WARNING) << m_line;
        break;
    case Level::Error:
        LOG(ERROR) << m_line;
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

} // namespace apricotarch
