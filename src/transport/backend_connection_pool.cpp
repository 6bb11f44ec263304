#include <algorithm>
#include <charconv>

#include <boost/algorithm/string/predicate.hpp>

#include "apricotarch/transport/backend_connection.h"

namespace apricotarch
{

namespace
{

/// A connection that has been idle for at most this time is assumed to be still open.
constexpr std::chrono::milliseconds MaxFreshIdleTime{800};

/// Idle connections are closed this long before the server's timeout, so that no request is sent while the server closes the connection.
constexpr std::chrono::milliseconds CloseMargin{1000};

/// Longer than any exchange that was in progress when the connections to its server were retired.
constexpr std::chrono::minutes RetirementRetention{2};

} // namespace

BackendConnectionPool::BackendConnectionPool(ConnectionPoolLimits limits, BufferBudget *budget)
    : m_limits(limits)
    , m_budget(budget)
{
}

void BackendConnectionPool::setHeadObserver(BackendConnection::HeadObserver observer)
{
    m_observeHead = std::move(observer);
}

BackendConnection::Pointer BackendConnectionPool::acquire(const asio::any_io_executor &executor,
    const ReplicaId &replica,
    const Endpoint &endpoint,
    ConnectionReuse reuse,
    TimePoint now,
    const RequestId &request)
{
    BackendConnection::Pointer connection = takeIdle(replica, endpoint, reuse, now, request);
    if (!connection) {
        ++m_opened;
        connection = new BackendConnection(executor, replica, endpoint, now, m_observeHead, m_budget);
    }
    if (!request.empty()) {
        connection->recordRequest(request, now);
    }
    return connection;
}

BackendConnection::Pointer BackendConnectionPool::takeIdle(
    const ReplicaId &replica, const Endpoint &endpoint, ConnectionReuse reuse, TimePoint now, const RequestId &request)
{
    auto &idle = m_idle[replica];
    while (!idle.empty() && reuse != ConnectionReuse::None) {
        BackendConnection::Pointer connection = idle.back();
        const Duration idleTime = now - connection->idleSince;
        const bool tooOld = reuse == ConnectionReuse::RecentlyUsed && idleTime > MaxFreshIdleTime;
        if (connection->isReusable() && (tooOld || connection->mayHaveCarried(request))) {
            break; // Of the remaining connections, which have been idle for longer, none is tried.
        }
        idle.pop_back();
        if (connection->isReusable() && connection->endpoint() == endpoint && idleTime < connection->idleTimeout) {
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

void BackendConnectionPool::release(BackendConnection::Pointer connection, TimePoint now)
{
    auto &idle = m_idle[connection->replica()];
    if (idle.size() >= m_limits.maxIdlePerServer || isRetired(*connection)) {
        connection->close();
        return;
    }
    connection->idleSince = now;
    connection->idleTimeout = m_limits.idleTimeout;
    for (std::string_view parameter : connection->head().headers.listElements("Keep-Alive")) {
        constexpr std::string_view Timeout = "timeout=";
        if (!boost::algorithm::istarts_with(parameter, Timeout, std::locale::classic())) {
            continue;
        }
        parameter.remove_prefix(Timeout.size());
        int seconds = 0;
        std::from_chars(parameter.data(), parameter.data() + parameter.size(), seconds);
        connection->idleTimeout = std::min<Duration>(connection->idleTimeout, std::chrono::seconds(seconds) - CloseMargin);
    }
    connection->watchIdle();
    idle.push_back(std::move(connection));
}

void BackendConnectionPool::retireConnections(const ReplicaId &replica, TimePoint now)
{
    m_retiredAt[replica] = now;
    if (const auto found = m_idle.find(replica); found != m_idle.end()) {
        for (const BackendConnection::Pointer &connection : found->second) {
            connection->close();
        }
        m_idle.erase(found);
    }
}

bool BackendConnectionPool::isRetired(const BackendConnection &connection) const
{
    const auto found = m_retiredAt.find(connection.replica());
    return found != m_retiredAt.end() && connection.openedAt() <= found->second;
}

void BackendConnectionPool::closeExpired(TimePoint now, const std::function<bool(const ReplicaId &)> &keep)
{
    for (auto &[replica, idle] : m_idle) {
        const bool keepsServer = keep(replica);
        std::erase_if(idle, [&](const BackendConnection::Pointer &connection) {
            const bool mustClose = !keepsServer || !connection->isReusable() || now - connection->idleSince >= connection->idleTimeout;
            if (mustClose) {
                connection->close();
            }
            return mustClose;
        });
    }
    std::erase_if(m_idle, [](const auto &entry) {
        return entry.second.empty();
    });
    std::erase_if(m_retiredAt, [now](const auto &entry) {
        return now - entry.second > RetirementRetention;
    });
}

} // namespace apricotarch
