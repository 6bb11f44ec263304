#include "apricotarch/transport/http_message.h"

#include <algorithm>
#include <utility>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace apricotarch
{

HttpHeaders::HttpHeaders(std::initializer_list<HttpHeader> headers)
    : m_headers(headers)
{
}

void HttpHeaders::add(std::string name, std::string value)
{
    m_headers.push_back({std::move(name), std::move(value)});
}

std::string_view HttpHeaders::value(std::string_view name) const noexcept
{
    for (const HttpHeader &header : m_headers) {
        if (boost::algorithm::iequals(header.name, name, std::locale::classic())) {
            return header.value;
        }
    }
    return {};
}

bool HttpHeaders::hasConflictingValues(std::string_view name) const noexcept
{
    const std::string_view first = value(name);
    return std::ranges::any_of(m_headers, [&](const HttpHeader &header) {
        return header.value != first && boost::algorithm::iequals(header.name, name, std::locale::classic());
    });
}

std::vector<std::string_view> HttpHeaders::listElements(std::string_view name) const
{
    std::vector<std::string_view> elements;
    for (const HttpHeader &header : m_headers) {
        if (!boost::algorithm::iequals(header.name, name, std::locale::classic())) {
            continue;
        }
        std::vector<std::string_view> split;
        const std::string_view value = header.value;
        boost::algorithm::split(split, value, boost::algorithm::is_any_of(","));
        for (const std::string_view element : split) {
            const std::string_view trimmed = boost::algorithm::trim_copy(element, std::locale::classic());
            if (!trimmed.empty()) {
                elements.push_back(trimmed);
            }
        }
    }
    return elements;
}

const std::vector<HttpHeader> &HttpHeaders::fields() const noexcept
{
    return m_headers;
}

std::string_view HttpRequest::parameter(std::string_view name) const noexcept
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
            return pair.substr(equals + 1);
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return {};
}

HttpRequest jsonPost(std::string path, std::string body)
{
    HttpRequest request;
    request.method = "POST";
    request.path = std::move(path);
    request.headers.add("Content-Type", "application/json");
    request.body = std::move(body);
    return request;
}

HttpResponse jsonResponse(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace apricotarch
