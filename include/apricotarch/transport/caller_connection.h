#pragma once

/**
 * @file
 * A caller's connection with its buffers for received bytes and for bytes to be sent.
 */

#include <array>
#include <cstddef>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "apricotarch/base/buffer_budget.h"
#include "apricotarch/base/clock.h"
#include "apricotarch/transport/async_event.h"

namespace apricotarch
{

/// A caller's connection. It reads continuously, so that a disconnect is detected while a request is being served. Must only be used on the
/// event loop of its socket.
class CallerConnection : public boost::intrusive_ref_counter<CallerConnection, boost::thread_unsafe_counter>,
                         public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    /// @param budget limits what all connections keep of input and output; null for no limit
    explicit CallerConnection(asio::ip::tcp::socket socket, BufferBudget *budget = nullptr);

    // ---- input ----

    /// Starts reading.
    void start();

    /// Received bytes. The user removes those that it has processed.
    [[nodiscard]] std::string &input() noexcept
    {
        return m_input;
    }

    /// Continues reading after input has been removed, if reading stopped at the limit of unprocessed bytes.
    void resume();

    /// Whether the connection was closed by either side or has failed.
    [[nodiscard]] bool isClosed() const noexcept
    {
        return m_closed;
    }

    /// Number of bytes that were received and have not been removed from the input, including those that the socket still holds.
    [[nodiscard]] std::size_t unreadBytes() const;

    // ---- output ----

    /// Queues bytes to be sent.
    void send(std::string bytes);

    /// Number of bytes that are queued or being sent.
    [[nodiscard]] std::size_t pending() const noexcept
    {
        return m_output.size() + m_sending.size();
    }

    // ---- connection ----

    /// Notified when input, output or the connection's state has changed.
    [[nodiscard]] AsyncEvent &changeEvent() noexcept
    {
        return m_changeEvent;
    }

    /// Records that the first bytes of a request have arrived.
    void beginRequest(TimePoint now) noexcept
    {
        m_requestBegunAt = now;
    }

    /// Records that the answer to the request has been sent, or that there will be none.
    void endRequest() noexcept
    {
        m_requestBegunAt.reset();
    }

    /// When the first bytes of the request in progress arrived; empty if none is in progress.
    [[nodiscard]] std::optional<TimePoint> requestBegunAt() const noexcept
    {
        return m_requestBegunAt;
    }

    /// Whether a request is in progress or has arrived, or output waits to be sent.
    [[nodiscard]] bool isBusy() const;

    /// Counts a request that is about to be served.
    void countRequest() noexcept
    {
        ++m_requestCount;
    }

    /// Number of requests that were served on this connection, the current one included.
    [[nodiscard]] std::size_t requestCount() const noexcept
    {
        return m_requestCount;
    }

    /// Shuts down the sending side after the queued bytes have been sent. Input is still received.
    void shutdownSend();

    /// Closes the connection immediately; queued bytes are discarded. The caller sees an error if the answer that is being sent ends with
    /// the connection, since it would look complete.
    void close();

    /// Records whether an answer that ends with the connection is being sent. Once it has ended, it still counts until it has been sent.
    void setAnswerEndsWithConnection(bool isOpen) noexcept
    {
        m_answerEndsWithConnection = true;
        m_answerIsOpen = isOpen;
    }

    /// Closes the connection like close(), in a way that the caller sees as an error.
    void reset();

    /// Executor of the event loop that serves the connection.
    [[nodiscard]] asio::any_io_executor executor()
    {
        return m_socket.get_executor();
    }

    /// Address of the caller as IP:PORT, for logs.
    [[nodiscard]] const std::string &peer() const noexcept
    {
        return m_peer;
    }

private:
    using Pointer = boost::intrusive_ptr<CallerConnection>;

    void read();
    void write();
    /// Counts the buffered bytes in the budget, which may close the connection.
    void chargeBuffers();

    static constexpr std::size_t ReadChunkBytes = 4096;
    static constexpr std::size_t MaxUnreadBytes = 64 * 1024; ///< Limit of unprocessed bytes, such as pipelined requests.

    asio::ip::tcp::socket m_socket;
    AsyncEvent m_changeEvent;
    std::string m_peer;
    std::string m_input;
    std::string m_output;
    std::string m_sending;
    std::array<char, ReadChunkBytes> m_chunk{};
    BufferCharge m_charge;
    std::size_t m_requestCount = 0;
    std::optional<TimePoint> m_requestBegunAt;
    bool m_reading = false;
    bool m_closed = false;
    bool m_shutdownRequested = false;
    bool m_answerEndsWithConnection = false;
    bool m_answerIsOpen = false; ///< More of the answer will be queued.
};

/// Connections of callers, each in the list while it is served.
using CallerConnectionList = boost::intrusive::list<CallerConnection, boost::intrusive::constant_time_size<false>>;

} // namespace apricotarch
