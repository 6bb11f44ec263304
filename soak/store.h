#pragma once

/**
 * @file
 * Stand-in for the platform's metadata store. It implements rows-tx, rows-get and rows-feed, which are all that a front node calls,
 * answers at once and keeps its whole history.
 */

#include <condition_variable>
#include <map>

#include <boost/json.hpp>

#include "server.h"

namespace apricotarch::soak
{

class Store
{
public:
    explicit Store(const std::string &ip);
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;
    ~Store();

    bool start()
    {
        return m_server.start();
    }

    [[nodiscard]] Address address() const
    {
        return m_server.address();
    }

    /// Writes a row on behalf of the operator or a replica. @return the time of the acknowledgement
    TimePoint put(const std::string &table, const std::string &key, const std::string &text);

    void remove(const std::string &table, const std::string &key);

    /// Makes the store unreachable for the nodes, or reachable again. @return whether that worked
    bool setReachable(bool reachable);

private:
    struct Row
    {
        std::string value; ///< In base64.
        std::int64_t version = 0;
        bool removed = false;
    };

    static boost::json::object encodeRow(const std::string &table, const std::string &key, const Row &row);
    [[nodiscard]] boost::json::object makeAnswer() const;
    bool serve(Connection &connection, const Message &request);
    boost::json::object commit(const Message &request, int &status);
    boost::json::object readRows(const Message &request);
    boost::json::object readChanges(const Message &request, std::unique_lock<std::mutex> &lock, const Connection &connection);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::int64_t m_version = 100;
    bool m_stopping = false;
    Server m_server;
};

} // namespace apricotarch::soak
