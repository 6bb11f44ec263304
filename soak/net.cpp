#include "net.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <thread>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace apricotarch::soak
{

namespace
{

constexpr std::size_t ReadSize = 16 * 1024;
constexpr int PortAttempts = 200;

sockaddr *asSockaddr(sockaddr_in &address)
{
    return reinterpret_cast<sockaddr *>(&address);
}

/// Parses a number. @return 0 if there is none
std::size_t parseNumber(std::string_view text, int base = 10)
{
    std::size_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number, base);
    return number;
}

Message parseHead(std::string_view head)
{
    Message message;
    const std::size_t lineEnd = std::min(head.find("\r\n"), head.size());
    const std::string_view start = head.substr(0, lineEnd);
    const std::size_t first = std::min(start.find(' '), start.size());
    const std::size_t second = std::min(start.find(' ', first + 1), start.size());
    message.firstWord = start.substr(0, first);
    message.secondWord = first == start.size() ? "" : start.substr(first + 1, second - first - 1);
    for (std::size_t begin = lineEnd + 2; begin < head.size();) {
        const std::size_t end = std::min(head.find("\r\n", begin), head.size());
        const std::string_view line = head.substr(begin, end - begin);
        begin = end + 2;
        if (const std::size_t colon = line.find(':'); colon != std::string_view::npos) {
            const std::size_t value = std::min(line.find_first_not_of(' ', colon + 1), line.size());
            message.headers.emplace_back(line.substr(0, colon), line.substr(value));
        }
    }
    return message;
}

/// Binds a new socket. @return the port, 0 if it is taken
std::uint16_t tryPort(const std::string &ip, std::uint16_t port, int type)
{
    const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in native = Address{ip, port}.native();
    const bool bound = bind(descriptor, asSockaddr(native), sizeof(native)) == 0;
    socklen_t size = sizeof(native);
    getsockname(descriptor, asSockaddr(native), &size);
    ::close(descriptor);
    return bound ? ntohs(native.sin_port) : 0;
}

} // namespace

std::string Address::text() const
{
    return ip + ':' + std::to_string(port);
}

sockaddr_in Address::native() const
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string Message::header(std::string_view name) const
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const auto &header) {
        return equalsIgnoringCase(header.first, name);
    });
    return found == headers.end() ? std::string() : found->second;
}

int Message::status() const
{
    return static_cast<int>(parseNumber(secondWord));
}

std::string Message::path() const
{
    return secondWord.substr(0, secondWord.find('?'));
}

std::string Message::parameter(std::string_view name) const
{
    const std::size_t mark = std::min(secondWord.find('?'), secondWord.size() - 1);
    std::string_view rest = std::string_view(secondWord).substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view field = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const std::size_t equal = field.find('=');
        if (field.substr(0, equal) == name && equal != std::string_view::npos) {
            return std::string(field.substr(equal + 1));
        }
    }
    return {};
}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
{
    const int enabled = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

Connection::~Connection()
{
    ::close(m_descriptor);
}

std::unique_ptr<Connection> Connection::open(const Address &address, int receiveBuffer)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    sockaddr_in native = address.native();
    if (connect(descriptor, asSockaddr(native), sizeof(native)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<Connection>(descriptor);
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::optional<Message> Connection::read(TimePoint until)
{
    std::size_t headEnd = 0;
    while ((headEnd = m_input.find("\r\n\r\n")) == std::string::npos) {
        if (!receive(until)) {
            return std::nullopt;
        }
    }
    Message message = parseHead(std::string_view(m_input).substr(0, headEnd));
    m_input.erase(0, headEnd + 4);
    if (equalsIgnoringCase(message.header("Transfer-Encoding"), "chunked")) {
        message.complete = readChunks(message.body, until);
        return message;
    }
    const std::size_t size = parseNumber(message.header("Content-Length"));
    while (m_input.size() < size && receive(until)) {
    }
    message.complete = m_input.size() >= size;
    message.body = m_input.substr(0, size);
    m_input.erase(0, size);
    return message;
}

void Connection::abort()
{
    const linger reset{1, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    m_aborted = true;
    // Disconnecting a socket with this option sends the reset at once, also if another thread waits for input.
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    connect(m_descriptor, &none, sizeof(none));
    shutdown(m_descriptor, SHUT_RDWR);
}

bool Connection::hasInputOrEnd() const
{
    pollfd waiting{m_descriptor, POLLIN, 0};
    return poll(&waiting, 1, 0) != 0;
}

bool Connection::readChunks(std::string &body, TimePoint until)
{
    while (true) {
        std::size_t lineEnd = 0;
        while ((lineEnd = m_input.find("\r\n")) == std::string::npos) {
            if (!receive(until)) {
                return false;
            }
        }
        const std::size_t size = parseNumber(std::string_view(m_input).substr(0, lineEnd), 16);
        while (m_input.size() < lineEnd + size + 4) {
            if (!receive(until)) {
                body += m_input.substr(std::min(m_input.size(), lineEnd + 2));
                return false;
            }
        }
        body += m_input.substr(lineEnd + 2, size);
        m_input.erase(0, lineEnd + size + 4);
        if (size == 0) {
            return true;
        }
    }
}

bool Connection::receive(TimePoint until)
{
    std::this_thread::sleep_for(m_pace.pause);
    pollfd waiting{m_descriptor, POLLIN, 0};
    int ready = -1;
    do {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        const int timeout = until == TimePoint::max() ? -1 : static_cast<int>(std::clamp<std::int64_t>(left, 0, 60'000));
        ready = poll(&waiting, 1, timeout);
    } while (ready < 0 && errno == EINTR);
    if (ready <= 0) {
        return false;
    }
    std::array<char, ReadSize> buffer{};
    const ssize_t size = recv(m_descriptor, buffer.data(), m_pace.bytes > 0 ? std::min(m_pace.bytes, ReadSize) : ReadSize, 0);
    if (size <= 0) {
        return false;
    }
    m_input.append(buffer.data(), static_cast<std::size_t>(size));
    return true;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char one, unsigned char other) {
        return std::tolower(one) == std::tolower(other);
    });
}

std::string encodeHeaders(const Headers &headers)
{
    std::string text;
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text;
}

std::string encodeAnswer(int status, const Headers &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK\r\n" : " Error\r\n") + encodeHeaders(headers)
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string encodeChunk(std::string_view bytes)
{
    std::array<char, 2 * sizeof(std::size_t)> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    return std::string(size.data(), end).append("\r\n").append(bytes).append("\r\n");
}

std::optional<Message> exchange(const Address &address, const std::string &request, milliseconds timeout)
{
    const std::unique_ptr<Connection> connection = Connection::open(address);
    if (!connection || !connection->send(request)) {
        return std::nullopt;
    }
    return connection->read(Clock::now() + timeout);
}

std::uint16_t findFreePort(const std::vector<std::string> &ips)
{
    for (int attempt = 0; attempt < PortAttempts; ++attempt) {
        const std::uint16_t port = tryPort(ips.front(), 0, SOCK_STREAM);
        const bool isFree = std::all_of(ips.begin(), ips.end(), [port](const std::string &ip) {
            return tryPort(ip, port, SOCK_STREAM) == port && tryPort(ip, port, SOCK_DGRAM) == port;
        });
        if (isFree) {
            return port;
        }
    }
    return 0;
}

} // namespace apricotarch::soak
