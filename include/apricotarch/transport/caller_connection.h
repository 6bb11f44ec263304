#pragma once

/**
 * @file
 * One caller's connection: bytes that came in, bytes that wait to go out, and whether the caller is still there.
 */

#include <array>
#include <cstddef>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "apricotarch/transport/wakeup.h"

namespace apricotarch
{

/// Reads at all times, so that a caller who leaves is noticed while its request is served. Used on one event loop.
class CallerConnection : public boost::intrusive_ref_counter<CallerConnection, boost::thread_unsafe_counter>
{
public:
    explicit CallerConnection(asio::ip::tcp::socket socket);

    // ---- input ----

    /// Begins to read.
    void start();

    /// Bytes received and not yet used.
    [[nodiscard]] std::string &input() noexcept
    {
        return m_input;
    }

    /// Goes on reading after input has been used.
    void resume();

    /// Whether the caller has closed the connection or it broke.
    [[nodiscard]] bool ended() const noexcept
    {
        return m_ended;
    }

    // ---- output ----

    /// Queues bytes to be sent.
    void send(std::string bytes);

    /// Bytes that are still to be sent.
    [[nodiscard]] std::size_t pending() const noexcept
    {
        return m_output.size() + m_sending.size();
    }

    // ---- both ----

    /// Notified when input, output or the connection's state has changed.
    [[nodiscard]] Wakeup &wakeup() noexcept
    {
        return m_wakeup;
    }

    /// Sends what is queued and then the end of the stream; input still comes.
    void finishSending();

    /// Ends the connection at once.
    void close();

    /// The loop that the connection is served on.
    [[nodiscard]] asio::any_io_executor executor()
    {
        return m_socket.get_executor();
    }

    /// Address of the caller, for logs.
    [[nodiscard]] const std::string &peer() const noexcept
    {
        return m_peer;
    }

private:
    using Pointer = boost::intrusive_ptr<CallerConnection>;

    void read();
    void write();

    static constexpr std::size_t ReadBytes = 4096;
    static constexpr std::size_t MostUnread = 64 * 1024; ///< Bytes of following requests kept while one is served.

    asio::ip::tcp::socket m_socket;
    Wakeup m_wakeup;
    std::string m_peer;
    std::string m_input;
    std::string m_output;
    std::string m_sending;
    std::array<char, ReadBytes> m_chunk{};
    bool m_reading = false;
    bool m_ended = false;
    bool m_finishing = false;
};

} // namespace apricotarch
