#include "server.h"

#include <thread>

#include <sys/socket.h>
#include <unistd.h>

namespace apricotarch::soak
{

namespace
{

constexpr int Backlog = 512;

} // namespace

Server::Server(const std::string &ip, Handler handler)
    : m_address{ip, 0}
    , m_handler(std::move(handler))
{
}

Server::~Server()
{
    crash();
    while (m_threads > 0) {
        std::this_thread::sleep_for(milliseconds(5));
    }
}

bool Server::start()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    sockaddr_in native = m_address.native();
    auto *address = reinterpret_cast<sockaddr *>(&native);
    if (bind(descriptor, address, sizeof(native)) != 0 || listen(descriptor, Backlog) != 0) {
        ::close(descriptor);
        return false;
    }
    socklen_t size = sizeof(native);
    getsockname(descriptor, address, &size);
    const std::lock_guard lock(m_mutex);
    if (m_address.port == 0) { // Readers do not lock, since it does not change afterwards.
        m_address.port = ntohs(native.sin_port);
    }
    m_listener = descriptor;
    runThread([this, descriptor] {
        accept(descriptor);
    });
    return true;
}

void Server::crash()
{
    const std::lock_guard lock(m_mutex);
    if (m_listener >= 0) {
        shutdown(m_listener, SHUT_RDWR);
        m_listener = -1;
    }
    for (const std::shared_ptr<Connection> &connection : m_connections) {
        connection->abort();
    }
    m_connections.clear();
}

void Server::accept(int listener)
{
    while (true) {
        const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            break;
        }
        const auto connection = std::make_shared<Connection>(descriptor);
        const std::lock_guard lock(m_mutex);
        if (m_listener != listener) {
            connection->abort();
            break;
        }
        m_connections.push_back(connection);
        runThread([this, connection] {
            serve(connection);
        });
    }
    ::close(listener);
}

void Server::serve(const std::shared_ptr<Connection> &connection)
{
    while (true) {
        const std::optional<Message> request = connection->read();
        if (!request || !request->complete || !m_handler(*connection, *request)) {
            break;
        }
    }
    const std::lock_guard lock(m_mutex);
    m_connections.remove(connection);
}

void Server::runThread(std::function<void()> job)
{
    ++m_threads;
    std::thread([this, job = std::move(job)] {
        job();
        --m_threads;
    }).detach();
}

} // namespace apricotarch::soak
