#include "store.h"

#include <algorithm>

namespace apricotarch::soak
{

namespace
{

constexpr std::size_t RowsPerAnswer = 500;

std::string encodeBase64(std::string_view bytes)
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

std::string textAt(const boost::json::value &object, std::string_view key)
{
    return boost::json::value_to<std::string>(object.at(key));
}

} // namespace

Store::Store(const std::string &ip)
    : m_server(ip, [this](Connection &connection, const Message &request) {
        return serve(connection, request);
    })
{
}

Store::~Store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
}

TimePoint Store::put(const std::string &table, const std::string &key, const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = {encodeBase64(text), ++m_version, false};
    m_changed.notify_all();
    return Clock::now();
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = {"", ++m_version, true};
    m_changed.notify_all();
}

bool Store::setReachable(bool reachable)
{
    if (reachable) {
        return m_server.start();
    }
    m_server.crash();
    m_changed.notify_all();
    return true;
}

boost::json::object Store::encodeRow(const std::string &table, const std::string &key, const Row &row)
{
    boost::json::object object{{"table", table}, {"part", ""}, {"key", key}, {"rowVersion", row.version}};
    if (row.removed) {
        object["removed"] = true;
    } else {
        object["value"] = row.value;
    }
    return object;
}

boost::json::object Store::makeAnswer() const
{
    const auto now = std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
    return {{"rowVersion", m_version}, {"nowMs", now}};
}

bool Store::serve(Connection &connection, const Message &request)
{
    std::unique_lock lock(m_mutex);
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
    lock.unlock();
    return connection.send(
        encodeAnswer(status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, boost::json::serialize(answer)));
}

boost::json::object Store::commit(const Message &request, int &status)
{
    const boost::json::value body = boost::json::parse(request.body);
    bool holds = true;
    boost::json::array present;
    for (const boost::json::value &entry : body.at("expected").as_array()) {
        const Row row = m_tables[textAt(entry, "table")][textAt(entry, "key")];
        const std::int64_t version = row.removed ? 0 : row.version;
        holds = holds && version == entry.at("rowVersion").as_int64();
        if (version != 0) {
            present.push_back(encodeRow(textAt(entry, "table"), textAt(entry, "key"), row));
        }
    }
    if (!holds) {
        status = 412;
        boost::json::object answer = makeAnswer();
        answer["rows"] = std::move(present);
        return answer;
    }
    ++m_version;
    for (const boost::json::value &entry : body.at("put").as_array()) {
        m_tables[textAt(entry, "table")][textAt(entry, "key")] = {textAt(entry, "value"), m_version, false};
    }
    for (const boost::json::value &entry : body.at("remove").as_array()) {
        m_tables[textAt(entry, "table")][textAt(entry, "key")] = {"", m_version, true};
    }
    m_changed.notify_all();
    return makeAnswer();
}

boost::json::object Store::readRows(const Message &request)
{
    const std::string table = request.parameter("table");
    const std::string from = request.parameter("from");
    const std::string limit = request.parameter("limit");
    const std::size_t most = limit.empty() ? RowsPerAnswer : std::stoul(limit);
    boost::json::object answer = makeAnswer();
    boost::json::array rows;
    bool truncated = false;
    for (const auto &[key, row] : m_tables[table]) {
        if (row.removed || row.version == 0 || key < from) {
            continue;
        }
        truncated = rows.size() == most;
        if (truncated) {
            break;
        }
        rows.push_back(encodeRow(table, key, row));
    }
    answer["rows"] = std::move(rows);
    answer["truncated"] = truncated;
    return answer;
}

boost::json::object Store::readChanges(const Message &request, std::unique_lock<std::mutex> &lock, const Connection &connection)
{
    const std::int64_t after = std::stoll(request.parameter("after"));
    const auto until = Clock::now() + milliseconds(std::stoll(request.parameter("waitMs")));
    const std::string table = request.parameter("table");
    std::vector<std::pair<std::int64_t, boost::json::object>> changes;
    m_changed.wait_until(lock, until, [&] {
        for (const auto &[key, row] : m_tables[table]) {
            if (row.version > after) {
                changes.emplace_back(row.version, encodeRow(table, key, row));
            }
        }
        return m_stopping || !changes.empty() || connection.aborted();
    });
    std::sort(changes.begin(), changes.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    boost::json::object answer = makeAnswer();
    boost::json::array rows;
    for (auto &change : changes) {
        rows.push_back(std::move(change.second));
    }
    answer["rows"] = std::move(rows);
    return answer;
}

} // namespace apricotarch::soak
