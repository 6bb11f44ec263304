#pragma once

/**
 * @file
 * Connections to backend servers: one request at a time on each, and a pool of idle ones.
 */

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/transport/message_reader.h"
#include "apricotarch/transport/wakeup.h"

namespace apricotarch
{

/// How far an exchange has come.
enum class ChannelPhase : std::uint8_t {
    Idle,
    Connecting,
    Waiting, ///< The request is on its way; no head of an answer yet.
    Answering, ///< A head has come, the body is coming.
    Done, ///< The answer is whole.
    Failed,
};

/// One connection to one backend server. Used on one event loop.
class BackendChannel : public boost::intrusive_ref_counter<BackendChannel, boost::thread_unsafe_counter>
{
public:
    using Pointer = boost::intrusive_ptr<BackendChannel>;

    /// Tells whether the head of an answer belongs to the request sent; others are read to their end and dropped.
    using OwnAnswer = std::function<bool(const AnswerHead &)>;

    BackendChannel(const asio::any_io_executor &executor, ReplicaId replica, Endpoint endpoint);

    // ---- exchange ----

    /**
     * Sends a request; connects first where needed.
     * @param message head and body
     * @param toHead whether it is a HEAD request
     * @param ownAnswer tells own answers from late answers to others
     * @param connectTimeout how long connecting may take
     * @param wakeup notified at every change; must outlive the exchange, which detach() or close() ends
     */
    void begin(std::string message, bool toHead, OwnAnswer ownAnswer, Duration connectTimeout, Wakeup &wakeup);

    [[nodiscard]] ChannelPhase phase() const noexcept
    {
        return m_phase;
    }

    /// Whether any byte of the request may have left.
    [[nodiscard]] bool maybeSent() const noexcept
    {
        return m_maybeSent;
    }

    /// Why the exchange failed. Valid in phase Failed.
    [[nodiscard]] const Error &error() const noexcept
    {
        return m_error;
    }

    /// Head of the answer. Valid from phase Answering on.
    [[nodiscard]] AnswerHead &head()
    {
        return m_reader->head();
    }

    /// Bytes of the body that were not taken yet.
    [[nodiscard]] std::string &body()
    {
        return m_reader->body();
    }

    /// Ends the exchange. @return whether the connection can serve another one
    [[nodiscard]] bool detach();

    /// Ends the connection at once; a server drops the request of a closed connection.
    void close();

    // ---- idle connections ----

    /// Watches an idle connection, so that its end and unasked bytes are noticed.
    void watchIdle();

    /// Whether an idle connection can still be used.
    [[nodiscard]] bool usable() const noexcept
    {
        return m_phase == ChannelPhase::Idle && m_connected && !m_broken;
    }

    [[nodiscard]] bool connected() const noexcept
    {
        return m_connected;
    }

    TimePoint idleSince; ///< Valid while idle.
    Duration keepFor{}; ///< How long the server keeps it open when idle.

    [[nodiscard]] const ReplicaId &replica() const noexcept
    {
        return m_replica;
    }

    [[nodiscard]] const Endpoint &endpoint() const noexcept
    {
        return m_endpoint;
    }

private:
    void connect(Duration timeout);
    void write();
    void read();
    void received(std::size_t size);
    void useInput();
    void startReader();
    void failed(ErrorId id, const char *step, const std::string &detail);
    void changed();

    static constexpr std::size_t ReadBytes = 8192;

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_connectTimer;
    ReplicaId m_replica;
    Endpoint m_endpoint;
    ChannelPhase m_phase = ChannelPhase::Idle;
    std::string m_message;
    std::string m_input;
    std::array<char, ReadBytes> m_chunk{};
    std::unique_ptr<AnswerReader> m_reader;
    OwnAnswer m_ownAnswer;
    Wakeup *m_wakeup = nullptr;
    Error m_error;
    bool m_toHead = false;
    bool m_skipping = false; ///< The answer being read belongs to another request.
    bool m_connected = false;
    bool m_broken = false;
    bool m_reading = false;
    bool m_writing = false;
    bool m_maybeSent = false;
};

/// How many idle connections are kept, and for how long.
struct PoolLimits
{
    std::size_t idlePerServer = 16;
    Duration keepIdle = std::chrono::seconds(4); ///< Where a server does not say how long it keeps a connection.
};

/// Idle connections by backend server.
class BackendPool
{
public:
    explicit BackendPool(PoolLimits limits);

    /**
     * An idle connection, or a new one that is not connected yet.
     * @param freshest whether only a connection used a moment ago will do, since the request cannot be sent again
     */
    [[nodiscard]] BackendChannel::Pointer acquire(
        const asio::any_io_executor &executor, const ReplicaId &replica, const Endpoint &endpoint, bool freshest, TimePoint now);

    /// Takes a connection back after detach() returned true.
    void release(BackendChannel::Pointer channel, TimePoint now);

    /// Closes connections that have been idle for long, or whose server is not among those to keep.
    void sweep(TimePoint now, const std::function<bool(const ReplicaId &)> &keep);

    /// Connections made since the start.
    [[nodiscard]] std::uint64_t opened() const noexcept
    {
        return m_opened;
    }

private:
    PoolLimits m_limits;
    std::map<ReplicaId, std::vector<BackendChannel::Pointer>> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace apricotarch
