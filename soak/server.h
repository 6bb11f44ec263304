#pragma once

/**
 * @file
 * A server on a loopback address for the stand-ins of the soak.
 */

#include <functional>
#include <list>
#include <memory>
#include <mutex>

#include "net.h"

namespace apricotarch::soak
{

/// Listens on one address and serves each connection on a thread of its own. It can crash and start again at the same address.
class Server
{
public:
    /// Serves one request. @return whether the connection is kept
    using Handler = std::function<bool(Connection &, const Message &)>;

    /// @param ip loopback address; the port is chosen at the first start and kept
    Server(const std::string &ip, Handler handler);
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    ~Server();

    /// Starts to listen. @return whether the address could be bound
    bool start();

    /// Closes the listener and resets all connections.
    void crash();

    [[nodiscard]] const Address &address() const
    {
        return m_address;
    }

private:
    void accept(int listener);
    void serve(const std::shared_ptr<Connection> &connection);
    void runThread(std::function<void()> job);

    Address m_address;
    Handler m_handler;
    std::mutex m_mutex;
    std::list<std::shared_ptr<Connection>> m_connections;
    int m_listener = -1;
    std::atomic<int> m_threads = 0;
};

} // namespace apricotarch::soak
