#include "apricotarch/transport/message_framing.h"

#include <algorithm>
#include <string>
#include <vector>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace apricotarch
{

namespace
{

using boost::algorithm::iequals;

constexpr int StatusOk = 200;
constexpr int StatusNoContent = 204;

bool isAlphanumeric(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9');
}

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isToken(std::string_view text)
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::ranges::all_of(text, [&](char character) {
        return isAlphanumeric(character) || Marks.find(character) != std::string_view::npos;
    });
}

/// Returns the values of all headers of a name, in order.
std::vector<std::string_view> valuesOf(const HttpHeaders &headers, std::string_view name)
{
    std::vector<std::string_view> values;
    for (const HttpHeader &header : headers.fields()) {
        if (iequals(header.name, name)) {
            values.emplace_back(header.value);
        }
    }
    return values;
}

/// Returns the names of transfer codings in the order in which they have been applied.
std::vector<std::string> codingsOf(const std::vector<std::string_view> &values)
{
    std::vector<std::string> codings;
    for (std::string_view value : values) {
        while (true) {
            const auto comma = value.find(',');
            codings.push_back(boost::algorithm::trim_copy(std::string(value.substr(0, comma))));
            if (comma == std::string_view::npos) {
                break;
            }
            value.remove_prefix(comma + 1);
        }
    }
    return codings;
}

bool isChunked(std::string_view coding)
{
    return iequals(coding, "chunked");
}

bool hasBodyLength(const std::vector<std::string_view> &lengths)
{
    return std::ranges::any_of(lengths, [](std::string_view length) {
        return length != "0";
    });
}

} // namespace

FramingFault findFramingFault(const FramedHead &head, const HttpHeaders &headers)
{
    const std::vector<std::string_view> lengths = valuesOf(headers, "Content-Length");
    if (lengths.size() > 1 || (lengths.size() == 1 && !std::ranges::all_of(lengths.front(), isDigit))) {
        return FramingFault::Ambiguous;
    }
    const bool isInformational = head.status > 0 && head.status < StatusOk;
    if (isInformational && announcesForbiddenBody(head, headers)) {
        return FramingFault::Ambiguous; // Another answer follows it on the connection.
    }
    const std::vector<std::string_view> values = valuesOf(headers, "Transfer-Encoding");
    if (values.empty()) {
        return FramingFault::None;
    }
    const std::vector<std::string> codings = codingsOf(values);
    if (head.version < 11 || !lengths.empty() || !isChunked(codings.back())) {
        return FramingFault::Ambiguous;
    }
    const auto isUnknownCoding = [](const std::string &coding) {
        return isToken(coding) && !isChunked(coding);
    };
    if (!std::all_of(codings.begin(), codings.end() - 1, isUnknownCoding)) {
        return FramingFault::Ambiguous;
    }
    return codings.size() == 1 ? FramingFault::None : FramingFault::UnknownCoding;
}

bool announcesForbiddenBody(const FramedHead &head, const HttpHeaders &headers)
{
    const bool isWithoutBody = head.status > 0 && (head.status < StatusOk || head.status == StatusNoContent);
    return isWithoutBody && (hasBodyLength(valuesOf(headers, "Content-Length")) || !valuesOf(headers, "Transfer-Encoding").empty());
}

bool isPlainExtension(std::string_view extensions)
{
    return std::ranges::none_of(extensions, [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return (byte < ' ' && byte != '\t') || byte == 0x7F;
    });
}

bool isSingleHost(std::string_view value)
{
    std::string_view name = value;
    std::string_view port;
    const auto nameEnd = value.starts_with('[') ? value.find(']') : value.find(':');
    if (value.starts_with('[')) {
        if (nameEnd == std::string_view::npos) {
            return false;
        }
        name = value.substr(1, nameEnd - 1);
        port = value.substr(nameEnd + 1);
    } else if (nameEnd != std::string_view::npos) {
        name = value.substr(0, nameEnd);
        port = value.substr(nameEnd);
    }
    const std::string_view marks = value.starts_with('[') ? ":.%" : "-._~%!$&'()*+;=";
    const bool isName = !name.empty() && std::ranges::all_of(name, [&](char character) {
        return isAlphanumeric(character) || marks.find(character) != std::string_view::npos;
    });
    const bool isPort = port.empty() || (port.front() == ':' && std::ranges::all_of(port.substr(1), isDigit));
    return isName && isPort;
}

bool FoldedLineFinder::find(std::string_view bytes)
{
    for (const char byte : bytes) {
        if (m_ended) {
            return false;
        }
        if (byte == '\n') {
            m_ended = m_lineBytes == 0 && !m_isStartLine;
            m_isStartLine = false;
            m_lineBytes = 0;
            continue;
        }
        if (byte == '\r') {
            continue; // Only a line feed follows it, or the parser library has refused the line.
        }
        if (m_lineBytes == 0 && !m_isStartLine && (byte == ' ' || byte == '\t')) {
            return true;
        }
        ++m_lineBytes;
    }
    return false;
}

} // namespace apricotarch
