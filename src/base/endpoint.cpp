#include "apricotarch/base/endpoint.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace apricotarch
{

std::string Endpoint::text() const
{
    const bool isV6 = host.find(':') != std::string::npos;
    return (isV6 ? '[' + host + ']' : host) + ':' + std::to_string(port);
}

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const auto invalid = [&text] {
        return fail(ErrorId::InvalidField,
            "endpoint.parse",
            "",
            "'" + std::string(text) + "' is not an address in the form IP:PORT, for example 127.0.0.1:8080");
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid();
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code code;
    boost::asio::ip::make_address(std::string(host), code);
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool containsNull = host.find('\0') != std::string_view::npos; // make_address() reads only the text before it.
    if (code || containsNull || error != std::errc() || end != digits.data() + digits.size() || port == 0) {
        return invalid();
    }
    return Endpoint{std::string(host), port};
}

} // namespace apricotarch
