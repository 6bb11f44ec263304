#include "apricotarch/transport/caller_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace apricotarch
{

using ErrorCode = boost::system::error_code;
using asio::ip::tcp;

CallerConnection::CallerConnection(tcp::socket socket, BufferBudget *budget)
    : m_socket(std::move(socket))
    , m_changeEvent(m_socket.get_executor())
    , m_charge(budget, "caller", [this] {
        close();
        releaseMemory(m_input);
        releaseMemory(m_output);
    })
{
    ErrorCode code;
    const auto remote = m_socket.remote_endpoint(code);
    if (!code) {
        m_peer = remote.address().to_string() + ':' + std::to_string(remote.port());
    }
    m_socket.set_option(tcp::no_delay(true), code);
}

void CallerConnection::start()
{
    read();
}

void CallerConnection::resume()
{
    if (!m_reading && !m_closed && m_input.size() < MaxUnreadBytes) {
        read();
    }
}

std::size_t CallerConnection::unreadBytes() const
{
    ErrorCode code;
    const std::size_t inSocket = m_closed ? 0 : m_socket.available(code);
    return m_input.size() + (code ? 0 : inSocket);
}

bool CallerConnection::isBusy() const
{
    return m_requestBegunAt || pending() > 0 || unreadBytes() > 0;
}

void CallerConnection::read()
{
    m_reading = true;
    m_socket.async_read_some(asio::buffer(m_chunk), [self = Pointer(this)](const ErrorCode &code, std::size_t size) {
        self->m_reading = false;
        if (code) {
            self->m_closed = true;
        } else {
            self->m_input.append(self->m_chunk.data(), size);
            self->chargeBuffers();
            self->resume();
        }
        self->m_changeEvent.notify();
    });
}

void CallerConnection::send(std::string bytes)
{
    if (m_closed) {
        return;
    }
    m_output += bytes;
    if (m_sending.empty()) {
        write();
    }
    chargeBuffers();
}

void CallerConnection::chargeBuffers()
{
    if (!m_closed) {
        m_charge.set(m_input.capacity() + m_output.capacity() + m_sending.capacity());
    }
}

void CallerConnection::write()
{
    m_sending = std::move(m_output);
    releaseMemory(m_output);
    if (m_sending.empty()) {
        if (m_shutdownRequested) {
            ErrorCode ignored; // Fails if the caller has already closed the connection.
            m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
        return;
    }
    asio::async_write(m_socket, asio::buffer(m_sending), [self = Pointer(this)](const ErrorCode &code, std::size_t) {
        releaseMemory(self->m_sending);
        if (code) {
            self->m_closed = true;
            releaseMemory(self->m_output);
            self->m_charge.set(0);
        } else {
            self->write();
            self->chargeBuffers();
        }
        self->m_changeEvent.notify();
    });
}

void CallerConnection::shutdownSend()
{
    m_shutdownRequested = true;
    if (m_sending.empty()) {
        write();
    }
}

void CallerConnection::reset()
{
    ErrorCode ignored; // Fails if the caller has already closed the connection.
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void CallerConnection::close()
{
    ErrorCode ignored; // The socket is abandoned even if closing it fails.
    if (!m_closed && m_answerEndsWithConnection && (m_answerIsOpen || pending() > 0)) {
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_closed = true;
    m_socket.close(ignored);
    m_charge.set(0);
    m_changeEvent.notify();
}

} // namespace apricotarch
