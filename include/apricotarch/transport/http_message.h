#pragma once

/**
 * @file
 * HTTP requests and responses as plain values, without the library that reads and writes them.
 */

#include <string>
#include <string_view>
#include <vector>

namespace apricotarch
{

/// One header line.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// Header lines in order; names compare without regard to case.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> lines);

    /// Appends a line.
    void add(std::string name, std::string value);

    /**
     * Looks a line up.
     * @param name header name in any case
     * @return the first value, or an empty text where there is none. Linear in the number of lines.
     */
    [[nodiscard]] std::string_view value(std::string_view name) const noexcept;

    [[nodiscard]] const std::vector<HttpHeader> &lines() const noexcept;

private:
    std::vector<HttpHeader> m_lines;
};

/// A request, received or to be sent.
struct HttpRequest
{
    std::string method = "GET";
    std::string path; ///< Path without the query, percent-decoding left to the reader.
    std::string query; ///< Text after the question mark.
    HttpHeaders headers;
    std::string body;
    std::string peer; ///< Address of the sender; empty for requests to be sent.

    /// Value of a query parameter, or an empty text.
    [[nodiscard]] std::string_view parameter(std::string_view name) const noexcept;
};

/// A whole response.
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;

    /// Whether the status is 2xx.
    [[nodiscard]] bool success() const noexcept
    {
        return status >= 200 && status < 300;
    }
};

/// A POST with a JSON body.
[[nodiscard]] HttpRequest jsonPost(std::string path, std::string body);

/// A response with a JSON body.
[[nodiscard]] HttpResponse jsonResponse(int status, std::string body);

} // namespace apricotarch
