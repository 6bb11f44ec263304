#include "apricotarch/transport/caller_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace apricotarch
{

using ErrorCode = boost::system::error_code;
using asio::ip::tcp;

CallerConnection::CallerConnection(tcp::socket socket)
    : m_socket(std::move(socket))
    , m_changeEvent(m_socket.get_executor())
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
            self->resume();
        }
        self->m_changeEvent.notify();
    });
}

void CallerConnection::send(std::string bytes)
{
    m_output += bytes;
    if (m_sending.empty()) {
        write();
    }
}

void CallerConnection::write()
{
    m_sending = std::move(m_output);
    m_output.clear();
    if (m_sending.empty()) {
        if (m_shutdownRequested) {
            ErrorCode ignored; // Fails if the caller has already closed the connection.
            m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
        return;
    }
    asio::async_write(m_socket, asio::buffer(m_sending), [self = Pointer(this)](const ErrorCode &code, std::size_t) {
        self->m_sending.clear();
        if (code) {
            self->m_closed = true;
            self->m_output.clear();
        } else {
            self->write();
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
    m_changeEvent.notify();
}

} // namespace apricotarch
