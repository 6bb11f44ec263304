#pragma once

/**
 * @file
 * A backend server on loopback whose answers are defined by a test.
 */

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "apricotarch/base/endpoint.h"
#include "apricotarch/transport/message_parser.h"

namespace apricotarch::fakes
{

/// Reaction of a scripted server to a request.
struct ScriptedAnswer
{
    std::string bytes; ///< Sent unchanged; may be empty.
    bool closes = false; ///< Whether the connection is reset after the bytes.
    std::string repeated = {}; ///< Sent again and again after `bytes` until the other side closes the connection.
    std::chrono::milliseconds pause{0}; ///< Pause before each repetition.
    std::chrono::milliseconds delay{0}; ///< Pause before the answer.
    bool endsConnection = false; ///< Whether the connection is closed normally after the bytes.
};

/// Accepts connections and answers the requests of each in order. Runs on the test's event loop.
class ScriptedServer
{
public:
    using Script = std::function<ScriptedAnswer(const RequestHead &head, const std::string &body)>;

    ScriptedServer(boost::asio::io_context &loop, Script script)
        : m_reservation(loop, boost::asio::ip::tcp::v4())
        , m_acceptor(loop, boost::asio::ip::tcp::v4())
        , m_script(std::move(script))
    {
        // Both sockets allow the reuse of the address, so that both can be bound to the port.
        m_reservation.set_option(boost::asio::socket_base::reuse_address(true));
        m_reservation.bind({boost::asio::ip::address_v4::loopback(), 0});
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        m_acceptor.bind(m_reservation.local_endpoint());
        m_acceptor.listen();
        accept();
    }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {"127.0.0.1", m_reservation.local_endpoint().port()};
    }

    /// Resets all connections.
    void closeConnections()
    {
        for (const std::weak_ptr<Connection> &weak : m_connections) {
            if (const std::shared_ptr<Connection> connection = weak.lock()) {
                boost::system::error_code ignored;
                connection->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
                connection->socket.close(ignored);
            }
        }
    }

    /// Resets all connections and refuses new ones, like a process that ends. No other process gets the port.
    void end()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        closeConnections();
    }

    std::vector<std::string> targets; ///< Targets of the received requests, in order.
    std::size_t connections = 0; ///< Number of accepted connections.
    std::size_t requestsOnConnection = 0; ///< While the script runs: requests received on the connection, including the current one.
    std::size_t repeatedBytes = 0; ///< Bytes sent in repetitions.
    std::size_t closedConnections = 0; ///< Connections that the other side has closed while no request was in progress.
    bool repetitionEnded = false; ///< Whether the other side has closed a connection during repetitions.

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct Connection
    {
        explicit Connection(Socket connected)
            : socket(std::move(connected))
        {
        }

        Socket socket;
        std::string input;
        std::size_t requests = 0;
        std::array<char, 4096> chunk{};
        std::unique_ptr<RequestParser> parser = std::make_unique<RequestParser>(ReadLimits());
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &code, Socket socket) {
            if (!code) {
                ++connections;
                const auto connection = std::make_shared<Connection>(std::move(socket));
                m_connections.push_back(connection);
                read(connection);
                accept();
            }
        });
    }

    void read(const std::shared_ptr<Connection> &connection)
    {
        connection->socket.async_read_some(
            boost::asio::buffer(connection->chunk), [this, connection](const boost::system::error_code &code, std::size_t size) {
                if (code) {
                    ++closedConnections;
                    return;
                }
                connection->input.append(connection->chunk.data(), size);
                const auto used = connection->parser->parse(connection->input);
                connection->input.erase(0, used.value_or(0));
                if (connection->parser->isComplete()) {
                    answer(connection);
                } else {
                    read(connection);
                }
            });
    }

    void answer(const std::shared_ptr<Connection> &connection)
    {
        const RequestHead head = connection->parser->head();
        targets.push_back(head.target);
        requestsOnConnection = ++connection->requests;
        const auto reply = std::make_shared<ScriptedAnswer>(m_script(head, connection->parser->body()));
        connection->parser = std::make_unique<RequestParser>(ReadLimits());
        const auto timer = std::make_shared<boost::asio::steady_timer>(connection->socket.get_executor(), reply->delay);
        timer->async_wait([this, connection, reply, timer](const boost::system::error_code &) {
            send(connection, reply);
        });
    }

    void send(const std::shared_ptr<Connection> &connection, const std::shared_ptr<ScriptedAnswer> &reply)
    {
        boost::asio::async_write(connection->socket,
            boost::asio::buffer(reply->bytes),
            [this, connection, reply](const boost::system::error_code &code, std::size_t) {
                if (code || reply->closes || reply->endsConnection) {
                    boost::system::error_code ignored;
                    if (!reply->endsConnection) {
                        connection->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
                    }
                    connection->socket.close(ignored);
                    return;
                }
                if (!reply->repeated.empty()) {
                    repeat(connection, reply);
                    return;
                }
                read(connection);
            });
    }

    void repeat(const std::shared_ptr<Connection> &connection, const std::shared_ptr<ScriptedAnswer> &reply)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(connection->socket.get_executor(), reply->pause);
        timer->async_wait([this, connection, reply, timer](const boost::system::error_code &) {
            boost::asio::async_write(connection->socket,
                boost::asio::buffer(reply->repeated),
                [this, connection, reply](const boost::system::error_code &code, std::size_t size) {
                    if (code) {
                        repetitionEnded = true;
                        return;
                    }
                    repeatedBytes += size;
                    repeat(connection, reply);
                });
        });
    }

    Socket m_reservation; ///< Keeps the port after the end of the server.
    boost::asio::ip::tcp::acceptor m_acceptor;
    Script m_script;
    std::vector<std::weak_ptr<Connection>> m_connections;
};

} // namespace apricotarch::fakes
