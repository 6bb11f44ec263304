#pragma once

/**
 * @file
 * Reads of requests that can be cancelled without closing their connection, so that the request can still be refused.
 */

#include <chrono>
#include <memory>
#include <mutex>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/intrusive/list.hpp>

namespace apricotarch
{

class RequestReads;

/// One read. The stream's own timeout would close the connection.
class RequestRead : public std::enable_shared_from_this<RequestRead>, public boost::intrusive::list_base_hook<>
{
public:
    /**
     * Prepares a read.
     * @param reads the reads of the server
     * @param stream must stay valid until end()
     * @param timeout longest time between start() and end()
     */
    RequestRead(std::shared_ptr<RequestReads> reads, boost::beast::tcp_stream &stream, std::chrono::milliseconds timeout);
    RequestRead(const RequestRead &) = delete;
    RequestRead &operator=(const RequestRead &) = delete;
    ~RequestRead();

    /// Starts the timeout. Must be called directly before the read.
    void start();

    /// Ends the read after its completion. @param code result of the read, replaced by a timeout if that cancelled it
    void end(boost::beast::error_code &code);

private:
    friend class RequestReads;

    /// Cancels the read from any thread.
    void postCancel();
    /// Cancels the read on its own thread, until it has ended.
    void cancel();
    void leave();

    std::shared_ptr<RequestReads> m_reads;
    boost::beast::tcp_stream &m_stream;
    boost::asio::steady_timer m_timer;
    bool m_ended = false;
    bool m_expired = false;
};

/// The reads of a server that are in progress, on all of its event loops. Thread-safe.
class RequestReads
{
public:
    /// Cancels all reads in progress, and each later one when it starts.
    void cancelAll();

    [[nodiscard]] bool areCancelled() const;

private:
    friend class RequestRead;

    mutable std::mutex m_mutex;
    boost::intrusive::list<RequestRead> m_reads;
    bool m_cancelled = false;
};

} // namespace apricotarch
