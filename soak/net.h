#pragma once

/**
 * @file
 * Blocking HTTP/1.1 over loopback for the soak: messages, connections and a client.
 */

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <netinet/in.h>

namespace apricotarch::soak
{

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using std::chrono::milliseconds;

/// An IPv4 address with a port.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const;
    [[nodiscard]] sockaddr_in native() const;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// A request or an answer.
struct Message
{
    std::string firstWord; ///< Method of a request, protocol of an answer.
    std::string secondWord; ///< Target of a request, status of an answer.
    Headers headers;
    std::string body;
    bool complete = false; ///< The message ended as its framing says.

    /// Returns the value of a header, or an empty text.
    [[nodiscard]] std::string header(std::string_view name) const;
    [[nodiscard]] int status() const;
    /// Returns the target without its query.
    [[nodiscard]] std::string path() const;
    /// Returns a parameter of the query, or an empty text.
    [[nodiscard]] std::string parameter(std::string_view name) const;
};

/// Limits the speed at which a connection is read.
struct ReadPace
{
    std::size_t bytes = 0; ///< Largest number of bytes of one read; 0 for no limit.
    milliseconds pause{0}; ///< Time before each read.
};

/// A TCP connection that is read and written by one thread. Another thread may abort it.
class Connection
{
public:
    explicit Connection(int descriptor);
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection();

    /// Opens a connection. @param receiveBuffer size of the kernel's buffer in bytes, 0 for the default @return nothing if it is refused
    static std::unique_ptr<Connection> open(const Address &address, int receiveBuffer = 0);

    /// Sends all bytes. @return whether the kernel took them
    bool send(std::string_view bytes);

    /// Reads the next message. @return nothing if the connection ends, or the time is over, before its head is complete
    std::optional<Message> read(TimePoint until = TimePoint::max());

    /// Ends the connection with a reset, as the kernel does for a process that crashes with unread input. Thread-safe.
    void abort();

    /// Returns whether the peer has closed the connection or has sent bytes that no one asked for.
    [[nodiscard]] bool hasInputOrEnd() const;

    void setReadPace(ReadPace pace)
    {
        m_pace = pace;
    }

    [[nodiscard]] bool aborted() const
    {
        return m_aborted;
    }

private:
    bool readChunks(std::string &body, TimePoint until);
    bool receive(TimePoint until);

    int m_descriptor;
    std::string m_input;
    ReadPace m_pace;
    std::atomic<bool> m_aborted = false;
};

[[nodiscard]] bool equalsIgnoringCase(std::string_view left, std::string_view right);
[[nodiscard]] std::string encodeHeaders(const Headers &headers);
[[nodiscard]] std::string encodeAnswer(int status, const Headers &headers, const std::string &body);

/// Encodes a chunk of a chunked body; an empty one ends the body.
[[nodiscard]] std::string encodeChunk(std::string_view bytes);

/// Sends one request on a new connection. @return nothing if there was no complete head in time
[[nodiscard]] std::optional<Message> exchange(const Address &address, const std::string &request, milliseconds timeout);

/// Finds a port that is free for TCP and UDP on all addresses. @return 0 if there is none
[[nodiscard]] std::uint16_t findFreePort(const std::vector<std::string> &ips);

} // namespace apricotarch::soak
