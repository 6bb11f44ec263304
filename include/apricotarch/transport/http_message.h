#pragma once

/**
 * @file
 * HTTP requests and responses as plain values, independent of the HTTP library.
 */

#include <string>
#include <string_view>
#include <vector>

namespace apricotarch
{

/// A header: its name and its value.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// Headers in the order of the message. Names are case-insensitive.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> headers);

    /// Appends a header.
    void add(std::string name, std::string value);

    /**
     * Looks up a header. Linear in the number of headers.
     * @param name header name in any case
     * @return the value of the first header of this name, or an empty string if there is none
     */
    [[nodiscard]] std::string_view value(std::string_view name) const noexcept;

    /**
     * Checks a header that a message may have only once.
     * @param name header name in any case
     * @return whether several headers have this name and not all have the same value, so that the sender's intention is unknown
     */
    [[nodiscard]] bool hasConflictingValues(std::string_view name) const noexcept;

    /**
     * Returns the elements of a header whose value is a comma-separated list (RFC 9110, 5.3 and 5.6.1): those of all headers of this name,
     * in order, without surrounding whitespace and without empty ones. Not for lists that may contain quoted strings.
     * @param name header name in any case
     * @return views of the headers' values
     */
    [[nodiscard]] std::vector<std::string_view> listElements(std::string_view name) const;

    [[nodiscard]] const std::vector<HttpHeader> &fields() const noexcept;

private:
    std::vector<HttpHeader> m_headers;
};

/// A request, received or to be sent.
struct HttpRequest
{
    std::string method = "GET";
    std::string path; ///< Without the query; percent-encoded as in the message.
    std::string query; ///< The part of the target after the question mark.
    HttpHeaders headers;
    std::string body;
    std::string peer; ///< Address of the sender; empty for outgoing requests.

    /// Returns the value of a query parameter, not percent-decoded, or an empty string if there is none.
    [[nodiscard]] std::string_view parameter(std::string_view name) const noexcept;
};

/// A complete response.
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

/// Returns a POST request with a JSON body.
[[nodiscard]] HttpRequest jsonPost(std::string path, std::string body);

/// Returns a response with a JSON body.
[[nodiscard]] HttpResponse jsonResponse(int status, std::string body);

} // namespace apricotarch
