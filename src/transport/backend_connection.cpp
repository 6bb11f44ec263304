#include "apricotarch/transport/backend_connection.h"

#include <poll.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace apricotarch
{

using ErrorCode = boost::system::error_code;
using asio::ip::tcp;

namespace
{

/// Largest part of an answer that is kept in memory. Events of streams are taken out as they arrive.
constexpr std::size_t MaxBufferedBytes = 4UL * 1024 * 1024;

/// Largest number of bytes that wait for the rest of a head or of a chunk's header.
constexpr std::size_t MaxUnparsedBytes = 128UL * 1024;

/// A server that sends more informational heads than this before its answer is cut off. Each is parsed by itself.
constexpr std::size_t MaxInformationalAnswers = 16;

/// A server that sends more than this in answers to other requests is cut off.
constexpr std::size_t MaxSkippedBytes = 256UL * 1024;

} // namespace

BackendConnection::BackendConnection(const asio::any_io_executor &executor,
    ReplicaId replica,
    Endpoint endpoint,
    TimePoint openedAt,
    HeadObserver observeHead,
    BufferBudget *budget)
    : m_socket(executor)
    , m_connectTimer(executor)
    , m_replica(std::move(replica))
    , m_endpoint(std::move(endpoint))
    , m_openedAt(openedAt)
    , m_observeHead(std::move(observeHead))
    , m_charge(budget, "answer", [this] {
        failExchange(ErrorId::MessageTooLarge, "backend.read", "the memory for answers is used up, and this one takes the most");
    })
{
}

void BackendConnection::startExchange(
    std::string message, bool isHeadRequest, AnswerFilter isExpectedAnswer, Duration connectTimeout, AsyncEvent &changeEvent)
{
    m_message = std::move(message);
    m_isHeadRequest = isHeadRequest;
    m_isExpectedAnswer = std::move(isExpectedAnswer);
    m_changeEvent = &changeEvent;
    m_maybeSent = false;
    m_skippedBytes = 0;
    m_informationalAnswers = 0;
    ++m_exchanges;
    resetParser();
    if (m_connected) {
        m_phase = ExchangePhase::Waiting;
        write();
        return;
    }
    m_phase = ExchangePhase::Connecting;
    connect(connectTimeout);
}

void BackendConnection::resetParser()
{
    m_parser = std::make_unique<AnswerParser>(m_isHeadRequest);
    m_skipping = false;
}

void BackendConnection::connect(Duration timeout)
{
    ErrorCode code;
    const auto address = asio::ip::make_address(m_endpoint.host, code);
    if (code) {
        failExchange(ErrorId::ConnectFailed, "backend.connect", code.message());
        return;
    }
    m_connectTimer.expires_after(timeout);
    m_connectTimer.async_wait([self = Pointer(this)](const ErrorCode &timerCode) {
        if (!timerCode && !self->m_connected) {
            self->failExchange(ErrorId::ConnectFailed, "backend.connect", "the connection could not be established in time");
        }
    });
    m_socket.async_connect(tcp::endpoint(address, m_endpoint.port), [self = Pointer(this)](const ErrorCode &result) {
        self->m_connectTimer.cancel();
        if (self->m_phase != ExchangePhase::Connecting) {
            return;
        }
        if (result) {
            self->failExchange(ErrorId::ConnectFailed, "backend.connect", result.message());
            return;
        }
        ErrorCode ignored; // Harmless: without TCP_NODELAY only the latency is higher.
        self->m_socket.set_option(tcp::no_delay(true), ignored);
        self->m_connected = true;
        self->m_phase = ExchangePhase::Waiting;
        self->read();
        self->write();
    });
}

void BackendConnection::write()
{
    m_maybeSent = true;
    m_writing = true;
    asio::async_write(m_socket, asio::buffer(m_message), [self = Pointer(this)](const ErrorCode &code, std::size_t) {
        self->m_writing = false;
        if (code) {
            // An answer that the server sent before the connection failed can still be read.
            self->m_broken = true;
            self->m_writeFailed = true;
        }
    });
    if (!m_reading) {
        read();
    }
}

void BackendConnection::read()
{
    m_reading = true;
    m_socket.async_read_some(asio::buffer(m_chunk), [self = Pointer(this)](const ErrorCode &code, std::size_t size) {
        self->m_reading = false;
        if (!code) {
            self->handleInput(size);
            return;
        }
        self->m_broken = true;
        const bool exchanging = self->m_phase == ExchangePhase::Waiting || self->m_phase == ExchangePhase::ReceivingBody;
        if (!exchanging) {
            return;
        }
        // The system reports a reset only once. If the write gets or has got it, the read gets the end of the stream.
        const bool isReset = self->m_writeFailed || (self->m_writing && self->isClosedBothWays());
        const bool isEndOfAnswer = code == asio::error::eof && !isReset && !self->m_skipping;
        if (isEndOfAnswer && self->m_parser->handleEndOfStream()) {
            self->m_phase = ExchangePhase::Complete;
            self->notifyWaiter();
            return;
        }
        self->failExchange(ErrorId::ConnectionLost, "backend.read", code.message());
    });
}

bool BackendConnection::isClosedBothWays()
{
    pollfd state{m_socket.native_handle(), POLLOUT, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLHUP | POLLERR)) != 0;
}

void BackendConnection::handleInput(std::size_t size)
{
    if (m_phase == ExchangePhase::Idle || m_phase == ExchangePhase::Complete) {
        m_broken = true; // Unsolicited bytes, which belong to no request.
        return;
    }
    if (m_phase == ExchangePhase::Failed) {
        return;
    }
    m_input.append(m_chunk.data(), size);
    parseInput();
    chargeBuffers();
    if (m_phase == ExchangePhase::Waiting || m_phase == ExchangePhase::ReceivingBody) {
        read();
    }
}

void BackendConnection::parseInput()
{
    while (!m_input.empty()) {
        const Result<std::size_t> used = m_parser->parse(m_input);
        if (!used) {
            failExchange(used.error().id, "backend.read", used.error().detail);
            return;
        }
        m_input.erase(0, *used);
        if (m_phase == ExchangePhase::Waiting && m_parser->isHeadComplete() && !m_skipping) {
            if (m_observeHead) {
                m_observeHead(*this, m_parser->head());
            }
            m_skipping = !m_isExpectedAnswer(m_parser->head());
            m_informationalAnswers += m_parser->head().status < 200 ? 1 : 0;
            if (!m_skipping) {
                m_phase = ExchangePhase::ReceivingBody;
            }
        }
        if (m_skipping) {
            m_skippedBytes += *used;
            m_parser->body().clear();
        }
        if (exceedsLimits()) {
            return;
        }
        if (!m_parser->isComplete()) {
            break;
        }
        if (m_skipping) {
            resetParser();
            continue;
        }
        m_phase = ExchangePhase::Complete;
        // The connection cannot be reused if bytes follow the answer, or if the answer was complete before the request was sent in full.
        m_broken = m_broken || !m_input.empty() || m_writing;
        break;
    }
    notifyWaiter();
    if (m_phase == ExchangePhase::Complete && !m_broken && !m_reading) {
        read();
    }
}

bool BackendConnection::exceedsLimits()
{
    const char *excess = nullptr;
    if (m_parser->body().size() > MaxBufferedBytes) {
        excess = "the body of the answer is too large";
    } else if (m_informationalAnswers > MaxInformationalAnswers) {
        excess = "too many informational answers";
    } else if (m_skippedBytes > MaxSkippedBytes) {
        excess = "too many bytes of answers to other requests";
    } else if (!m_parser->isComplete() && m_input.size() > MaxUnparsedBytes) {
        excess = "a head or the header of a chunk is too large";
    }
    if (excess != nullptr) {
        failExchange(ErrorId::MessageTooLarge, "backend.read", excess);
    }
    return excess != nullptr;
}

void BackendConnection::setRetainedBytes(std::size_t bytes)
{
    m_retainedBytes = bytes;
    chargeBuffers();
}

void BackendConnection::chargeBuffers()
{
    if (m_phase != ExchangePhase::Failed) {
        m_charge.set(m_input.capacity() + m_parser->body().capacity() + m_retainedBytes);
    }
}

bool BackendConnection::endExchange()
{
    m_changeEvent = nullptr;
    m_retainedBytes = 0;
    m_charge.set(0);
    const bool reusable = m_phase == ExchangePhase::Complete && !m_broken && m_parser->head().keepAlive
        && !m_parser->head().endsWithConnection && m_exchanges < MaxExchanges;
    if (!reusable) {
        close();
        return false;
    }
    m_phase = ExchangePhase::Idle;
    return true;
}

void BackendConnection::fail(ErrorId id, const std::string &detail)
{
    failExchange(id, "backend.read", detail);
}

void BackendConnection::close()
{
    m_changeEvent = nullptr;
    m_broken = true;
    m_phase = ExchangePhase::Failed;
    m_charge.set(0);
    m_connectTimer.cancel();
    ErrorCode ignored; // The socket is abandoned even if closing it fails.
    m_socket.close(ignored);
}

void BackendConnection::watchIdle()
{
    if (!m_reading && !m_broken) {
        read();
    }
}

void BackendConnection::failExchange(ErrorId id, const char *step, const std::string &detail)
{
    m_error = Error{id, step, m_endpoint.text(), detail, m_maybeSent ? Delivery::MaybeSent : Delivery::NotSent};
    m_phase = ExchangePhase::Failed;
    m_broken = true;
    ErrorCode ignored; // The socket is abandoned even if closing it fails.
    m_socket.close(ignored);
    if (id == ErrorId::MessageTooLarge) {
        releaseMemory(m_input);
        releaseMemory(m_parser->body());
        m_charge.set(0);
    }
    notifyWaiter();
}

void BackendConnection::notifyWaiter()
{
    if (m_changeEvent != nullptr) {
        m_changeEvent->notify();
    }
}

} // namespace apricotarch
