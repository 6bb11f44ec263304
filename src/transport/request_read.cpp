#include "apricotarch/transport/request_read.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace apricotarch
{

namespace
{

/// A cancellation between two parts of a read has no effect and is repeated.
constexpr std::chrono::milliseconds RepeatedCancelPause{10};

} // namespace

void RequestReads::cancelAll()
{
    const std::lock_guard lock(m_mutex);
    m_cancelled = true;
    for (RequestRead &read : m_reads) {
        read.postCancel();
    }
}

bool RequestReads::areCancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
}

RequestRead::RequestRead(std::shared_ptr<RequestReads> reads, boost::beast::tcp_stream &stream, std::chrono::milliseconds timeout)
    : m_reads(std::move(reads))
    , m_stream(stream)
    , m_timer(stream.get_executor(), timeout)
{
}

RequestRead::~RequestRead()
{
    leave();
}

void RequestRead::start()
{
    m_stream.expires_never();
    m_timer.async_wait([self = shared_from_this()](const boost::beast::error_code &code) {
        if (!code && !self->m_ended) {
            self->m_expired = true;
            self->cancel();
        }
    });
    const std::lock_guard lock(m_reads->m_mutex);
    m_reads->m_reads.push_back(*this);
    if (m_reads->m_cancelled) {
        postCancel();
    }
}

void RequestRead::end(boost::beast::error_code &code)
{
    m_ended = true;
    leave();
    m_timer.cancel();
    if (m_expired && code) {
        code = boost::beast::error::timeout;
    }
}

void RequestRead::postCancel()
{
    // A read whose event loop has ended may be about to be destroyed.
    if (const auto self = weak_from_this().lock()) {
        boost::asio::post(m_stream.get_executor(), [self] {
            self->cancel();
        });
    }
}

void RequestRead::cancel()
{
    if (m_ended) {
        return;
    }
    m_stream.cancel();
    m_timer.expires_after(RepeatedCancelPause);
    m_timer.async_wait([self = shared_from_this()](const boost::beast::error_code &code) {
        if (!code) {
            self->cancel();
        }
    });
}

void RequestRead::leave()
{
    const std::lock_guard lock(m_reads->m_mutex);
    if (is_linked()) {
        m_reads->m_reads.erase(m_reads->m_reads.iterator_to(*this));
    }
}

} // namespace apricotarch
