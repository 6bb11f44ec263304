#pragma once

/**
 * @file
 * Stand-in for the platform's metadata store, after PROTOCOL.md, "The platform's metadata store". It implements rows-tx, rows-get and
 * rows-feed, which are all that a front node calls, answers at once and keeps its whole history.
 */

#include <condition_variable>
#include <map>

#include <boost/json.hpp>

#include "net.h"

namespace review
{

inline std::string encodeBase64(std::string_view bytes)
{
    constexpr std::string_view Alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group = group << 8U | (index + offset < bytes.size() ? static_cast<unsigned char>(bytes[index + offset]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text += index + digit > bytes.size() ? '=' : Alphabet[group >> (18 - 6 * digit) & 63U];
        }
    }
    return text;
}

class Store
{
public:
    explicit Store(const std::string &ip)
        : m_server({ip, 0}, [this](Connection &connection, const Message &request) {
            return serve(connection, request);
        })
    {
    }

    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    ~Store()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_changed.notify_all();
    }

    bool start()
    {
        return m_server.start();
    }

    [[nodiscard]] Address address() const
    {
        return m_server.address();
    }

    /// Writes a row on behalf of the operator or a replica. @return the time of the acknowledgement
    Clock::time_point put(const std::string &table, const std::string &key, const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_tables[table][key] = {encodeBase64(text), ++m_version, false};
        m_changed.notify_all();
        return Clock::now();
    }

    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        m_tables[table][key] = {"", ++m_version, true};
        m_changed.notify_all();
    }

    /**
     * The connections that are open now deliver nothing further and are not closed; new ones work. DEPLOY.md, "How these days are played":
     * open channels may go silent for good, without a reset.
     */
    void silenceOpenConnections()
    {
        const std::lock_guard lock(m_mutex);
        m_lastSilenced = Connection::lastId();
        m_changed.notify_all();
    }

private:
    struct Row
    {
        std::string value;
        std::int64_t version = 0;
        bool removed = false;
    };

    static boost::json::object encodeRow(const std::string &table, const std::string &key, const Row &row)
    {
        boost::json::object object{{"table", table}, {"part", ""}, {"key", key}, {"rowVersion", row.version}};
        if (row.removed) {
            object["removed"] = true;
        } else {
            object["value"] = row.value;
        }
        return object;
    }

    boost::json::object makeAnswer() const
    {
        const auto now = std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
        return {{"rowVersion", m_version}, {"nowMs", now}};
    }

    bool serve(Connection &connection, const Message &request)
    {
        std::unique_lock lock(m_mutex);
        if (isSilent(connection)) {
            return staySilent(lock, connection);
        }
        int status = 200;
        boost::json::object answer;
        if (request.path() == "/v1/rows-tx") {
            answer = commit(request, status);
        } else if (request.path() == "/v1/rows-get") {
            answer = readRows(request);
        } else if (request.path() == "/v1/rows-feed") {
            answer = readChanges(request, lock, connection);
        } else {
            status = 404;
        }
        if (isSilent(connection)) {
            return staySilent(lock, connection);
        }
        lock.unlock();
        return connection.send(
            encodeAnswer(status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, boost::json::serialize(answer)));
    }

    bool staySilent(std::unique_lock<std::mutex> &lock, Connection &connection)
    {
        m_changed.wait(lock, [this, &connection] {
            return m_stopping || connection.aborted();
        });
        return false;
    }

    [[nodiscard]] bool isSilent(const Connection &connection) const
    {
        return connection.id() <= m_lastSilenced;
    }

    boost::json::object commit(const Message &request, int &status)
    {
        const boost::json::value body = boost::json::parse(request.body);
        bool holds = true;
        boost::json::array present;
        for (const boost::json::value &entry : body.at("expected").as_array()) {
            const std::string table(entry.at("table").as_string());
            const std::string key(entry.at("key").as_string());
            const Row row = m_tables[table][key];
            const std::int64_t version = row.removed ? 0 : row.version;
            holds = holds && version == entry.at("rowVersion").as_int64();
            if (version != 0) {
                present.push_back(encodeRow(table, key, row));
            }
        }
        if (!holds) {
            status = 412;
            boost::json::object answer = makeAnswer();
            answer["rows"] = present;
            return answer;
        }
        ++m_version;
        for (const boost::json::value &entry : body.at("put").as_array()) {
            m_tables[std::string(entry.at("table").as_string())][std::string(entry.at("key").as_string())] = {
                std::string(entry.at("value").as_string()), m_version, false};
        }
        for (const boost::json::value &entry : body.at("remove").as_array()) {
            m_tables[std::string(entry.at("table").as_string())][std::string(entry.at("key").as_string())] = {"", m_version, true};
        }
        m_changed.notify_all();
        return makeAnswer();
    }

    boost::json::object readRows(const Message &request)
    {
        const std::string from = request.parameter("from");
        const std::string limit = request.parameter("limit");
        const std::size_t most = limit.empty() ? 500 : std::stoul(limit);
        boost::json::object answer = makeAnswer();
        boost::json::array rows;
        bool truncated = false;
        for (const auto &[key, row] : m_tables[request.parameter("table")]) {
            if (row.removed || row.version == 0 || key < from) {
                continue;
            }
            truncated = rows.size() == most;
            if (truncated) {
                break;
            }
            rows.push_back(encodeRow(request.parameter("table"), key, row));
        }
        answer["rows"] = std::move(rows);
        answer["truncated"] = truncated;
        return answer;
    }

    boost::json::object readChanges(const Message &request, std::unique_lock<std::mutex> &lock, const Connection &connection)
    {
        const std::int64_t after = std::stoll(request.parameter("after"));
        const auto until = Clock::now() + milliseconds(std::stoll(request.parameter("waitMs")));
        std::vector<std::pair<std::int64_t, boost::json::object>> changes;
        const std::string table = request.parameter("table");
        m_changed.wait_until(lock, until, [&] {
            for (const auto &[key, row] : m_tables[table]) {
                if (row.version > after) {
                    changes.emplace_back(row.version, encodeRow(table, key, row));
                }
            }
            return m_stopping || !changes.empty() || isSilent(connection);
        });
        std::sort(changes.begin(), changes.end(), [](const auto &left, const auto &right) {
            return left.first < right.first;
        });
        boost::json::object answer = makeAnswer();
        boost::json::array rows;
        for (auto &[version, row] : changes) {
            rows.push_back(std::move(row));
        }
        answer["rows"] = std::move(rows);
        return answer;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::int64_t m_lastSilenced = 0; ///< Number of the last connection that has gone silent.
    std::int64_t m_version = 100;
    bool m_stopping = false;
    Server m_server;
};

} // namespace review
