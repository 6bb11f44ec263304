#pragma once

/**
 * @file
 * Blocking HTTP/1.1 over loopback for the stand-ins of the review: messages, connections, a client and a server.
 */

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const
    {
        return ip + ':' + std::to_string(port);
    }

    [[nodiscard]] sockaddr_in native() const
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }
};

inline bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char one, unsigned char other) {
        return std::tolower(one) == std::tolower(other);
    });
}

/// A request or an answer.
struct Message
{
    std::string firstWord; ///< Method of a request, protocol of an answer.
    std::string secondWord; ///< Target of a request, status of an answer.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false; ///< The message ended as its framing says.

    [[nodiscard]] std::string header(std::string_view name) const
    {
        for (const auto &[key, value] : headers) {
            if (equalsIgnoringCase(key, name)) {
                return value;
            }
        }
        return {};
    }

    [[nodiscard]] int status() const
    {
        return std::atoi(secondWord.c_str());
    }

    [[nodiscard]] std::string path() const
    {
        return secondWord.substr(0, secondWord.find('?'));
    }

    [[nodiscard]] std::string parameter(std::string_view name) const
    {
        const std::size_t mark = secondWord.find('?');
        std::string_view rest = mark == std::string::npos ? std::string_view() : std::string_view(secondWord).substr(mark + 1);
        while (!rest.empty()) {
            const std::size_t end = rest.find('&');
            const std::string_view field = rest.substr(0, end);
            const std::size_t equal = field.find('=');
            if (field.substr(0, equal) == name) {
                return equal == std::string_view::npos ? std::string() : std::string(field.substr(equal + 1));
            }
            rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        }
        return {};
    }
};

/// A TCP connection that is read and written by one thread. Another thread may abort it.
class Connection
{
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
        , m_id(++s_lastId)
    {
        const int enabled = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    ~Connection()
    {
        ::close(m_descriptor);
    }

    static std::unique_ptr<Connection> open(const Address &address)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in native = address.native();
        if (connect(descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof(native)) != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<Connection>(descriptor);
    }

    bool send(std::string_view bytes)
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

    /// Reads the next message. @return nothing if the connection ends before its head is complete
    std::optional<Message> read(Clock::time_point until = Clock::time_point::max())
    {
        std::size_t headEnd = 0;
        while ((headEnd = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(until)) {
                return std::nullopt;
            }
        }
        Message message = parseHead(m_input.substr(0, headEnd));
        m_input.erase(0, headEnd + 4);
        if (equalsIgnoringCase(message.header("Transfer-Encoding"), "chunked")) {
            message.complete = readChunks(message.body, until);
        } else {
            const std::string length = message.header("Content-Length");
            const std::size_t size = length.empty() ? 0 : std::stoul(length);
            while (m_input.size() < size && receive(until)) {
            }
            message.complete = m_input.size() >= size;
            message.body = m_input.substr(0, size);
            m_input.erase(0, size);
        }
        return message;
    }

    /// Ends the connection with a reset, as the kernel does for a process that crashes with unread input. Thread-safe.
    void abort()
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

    /// Returns the number of the connection, in the order in which this process opened or accepted them.
    [[nodiscard]] std::int64_t id() const
    {
        return m_id;
    }

    static std::int64_t lastId()
    {
        return s_lastId;
    }

    [[nodiscard]] bool aborted() const
    {
        return m_aborted;
    }

private:
    static Message parseHead(const std::string &head)
    {
        Message message;
        std::size_t begin = 0;
        bool isFirst = true;
        while (begin <= head.size()) {
            const std::size_t end = std::min(head.find("\r\n", begin), head.size());
            const std::string line = head.substr(begin, end - begin);
            begin = end + 2;
            if (std::exchange(isFirst, false)) {
                const std::size_t first = line.find(' ');
                const std::size_t second = line.find(' ', first + 1);
                message.firstWord = line.substr(0, first);
                message.secondWord = first == std::string::npos ? "" : line.substr(first + 1, second - first - 1);
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
            }
        }
        return message;
    }

    bool readChunks(std::string &body, Clock::time_point until)
    {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = m_input.find("\r\n")) == std::string::npos) {
                if (!receive(until)) {
                    return false;
                }
            }
            const std::size_t size = std::stoul(m_input.substr(0, lineEnd), nullptr, 16);
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

    bool receive(Clock::time_point until)
    {
        pollfd waiting{m_descriptor, POLLIN, 0};
        while (true) {
            const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
            const int timeout = until == Clock::time_point::max() ? -1 : static_cast<int>(std::clamp<std::int64_t>(left, 0, 60'000));
            const int ready = poll(&waiting, 1, timeout);
            if (ready < 0 && errno == EINTR) {
                continue;
            }
            if (ready <= 0) {
                return false;
            }
            break;
        }
        char buffer[16 * 1024];
        const ssize_t size = recv(m_descriptor, buffer, sizeof(buffer), 0);
        if (size <= 0) {
            return false;
        }
        m_input.append(buffer, static_cast<std::size_t>(size));
        return true;
    }

    inline static std::atomic<std::int64_t> s_lastId = 0;
    int m_descriptor;
    std::int64_t m_id;
    std::string m_input;
    std::atomic<bool> m_aborted = false;
};

inline std::string encodeAnswer(int status, const std::vector<std::pair<std::string, std::string>> &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK\r\n" : " Error\r\n");
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends one request on a new connection. @return nothing if there was no complete head in time
inline std::optional<Message> exchange(const Address &address, const std::string &request, milliseconds timeout)
{
    const std::unique_ptr<Connection> connection = Connection::open(address);
    if (!connection || !connection->send(request)) {
        return std::nullopt;
    }
    return connection->read(Clock::now() + timeout);
}

/// Listens on one address and serves each connection on a thread of its own. It can crash and start again at the same address.
class Server
{
public:
    /// Serves one request. @return whether the connection is kept
    using Handler = std::function<bool(Connection &, const Message &)>;

    Server(Address address, Handler handler)
        : m_address(std::move(address))
        , m_handler(std::move(handler))
    {
    }

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    ~Server()
    {
        crash();
        while (m_threads > 0) {
            std::this_thread::sleep_for(milliseconds(5));
        }
    }

    /// Starts to listen. Port 0 chooses a free port, which is kept. @return whether the address could be bound
    bool start()
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int enabled = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        sockaddr_in native = m_address.native();
        if (bind(descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof(native)) != 0 || listen(descriptor, 512) != 0) {
            ::close(descriptor);
            return false;
        }
        socklen_t size = sizeof(native);
        getsockname(descriptor, reinterpret_cast<sockaddr *>(&native), &size);
        m_address.port = ntohs(native.sin_port);
        const std::lock_guard lock(m_mutex);
        m_listener = descriptor;
        ++m_threads;
        std::thread([this, descriptor] {
            accept(descriptor);
            --m_threads;
        }).detach();
        return true;
    }

    /// Closes the listener and resets all connections.
    void crash()
    {
        const std::lock_guard lock(m_mutex);
        if (m_listener >= 0) {
            shutdown(m_listener, SHUT_RDWR);
            m_listener = -1;
        }
        for (const std::shared_ptr<Connection> &connection : m_connections) {
            connection->abort();
        }
        m_connections.clear();
    }

    [[nodiscard]] const Address &address() const
    {
        return m_address;
    }

private:
    void accept(int listener)
    {
        while (true) {
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                break;
            }
            const auto connection = std::make_shared<Connection>(descriptor);
            const std::lock_guard lock(m_mutex);
            if (m_listener != listener) {
                connection->abort();
                break;
            }
            m_connections.push_back(connection);
            ++m_threads;
            std::thread([this, connection] {
                serve(connection);
                --m_threads;
            }).detach();
        }
        ::close(listener);
    }

    void serve(const std::shared_ptr<Connection> &connection)
    {
        while (true) {
            const std::optional<Message> request = connection->read();
            if (!request || !request->complete || !m_handler(*connection, *request)) {
                break;
            }
        }
        const std::lock_guard lock(m_mutex);
        m_connections.remove(connection);
    }

    Address m_address;
    Handler m_handler;
    std::mutex m_mutex;
    std::list<std::shared_ptr<Connection>> m_connections;
    int m_listener = -1;
    std::atomic<int> m_threads = 0;
};

} // namespace review
