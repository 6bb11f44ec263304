#pragma once

/**
 * @file
 * Stand-ins for the cases of the second review: a store, backend servers, callers, and the processes of the system. They speak
 * PROTOCOL.md on loopback addresses and share no code with the project.
 */

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standin
{

using Clock = std::chrono::steady_clock;

inline Clock::time_point startOfRun()
{
    static const Clock::time_point start = Clock::now();
    return start;
}

/// Milliseconds since the start of the run.
inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startOfRun()).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// The record of a run: one line for each thing that was sent, answered or run.
class Record
{
public:
    explicit Record(const std::string &file)
        : m_out(file)
    {
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_out << nowMs() << " ms  " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

// ---- sockets ----

struct Address
{
    std::string ip;
    int port = 0;
    [[nodiscard]] std::string text() const
    {
        return ip + ':' + std::to_string(port);
    }
};

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// Returns a loopback address in a network that no other program of this review uses at the same time.
inline std::string loopback(int host)
{
    const int process = getpid();
    return "127." + std::to_string(16 + process / 256 % 200) + '.' + std::to_string(process % 256) + '.' + std::to_string(host);
}

/// Hosts of loopback() at which the nodes begin; the other stand-ins have lower ones.
constexpr int FirstNodeHost = 100;

/// Returns a port that is free on an address, and that this function has not returned before.
inline int freePort(const std::string &ip)
{
    static std::set<int> used;
    while (true) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = toSockaddr({ip, 0});
        socklen_t size = sizeof address;
        if (bind(socket, reinterpret_cast<sockaddr *>(&address), size) != 0
            || getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
            std::perror("no free port");
            std::exit(2);
        }
        close(socket);
        if (used.insert(ntohs(address.sin_port)).second) {
            return ntohs(address.sin_port);
        }
    }
}

/// One TCP connection. Closes itself.
class Channel
{
public:
    explicit Channel(int socket)
        : m_socket(socket)
    {
        const int on = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;
    ~Channel()
    {
        close();
    }

    static std::unique_ptr<Channel> connect(const Address &address, std::int64_t timeoutMs = 1000)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in target = toSockaddr(address);
        const int result = ::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target);
        if (result != 0 && errno == EINPROGRESS) {
            pollfd ready{socket, POLLOUT, 0};
            int error = ETIMEDOUT;
            socklen_t size = sizeof error;
            if (poll(&ready, 1, static_cast<int>(timeoutMs)) == 1) {
                getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
            }
            if (error != 0) {
                ::close(socket);
                return nullptr;
            }
        } else if (result != 0) {
            ::close(socket);
            return nullptr;
        }
        fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
        return std::make_unique<Channel>(socket);
    }

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t size = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    /// Appends what arrives within a time. @return false at the end of the connection
    bool receive(std::string &input, std::int64_t timeoutMs)
    {
        pollfd ready{m_socket, POLLIN, 0};
        if (poll(&ready, 1, static_cast<int>(std::max<std::int64_t>(timeoutMs, 0))) <= 0) {
            return true;
        }
        char bytes[16384];
        const ssize_t size = ::recv(m_socket, bytes, sizeof bytes, 0);
        if (size <= 0) {
            return false;
        }
        input.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    /// Whether the peer has closed or reset the connection. Requests that are waiting to be read don't count.
    [[nodiscard]] bool isClosedByPeer() const
    {
        pollfd ready{m_socket, POLLIN | POLLRDHUP, 0};
        if (poll(&ready, 1, 0) <= 0) {
            return false;
        }
        return (ready.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    void reset()
    {
        const linger abort{1, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        close();
    }

    void close()
    {
        if (m_socket >= 0) {
            ::close(std::exchange(m_socket, -1));
        }
    }

private:
    int m_socket;
};

// ---- HTTP ----

struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string method() const
    {
        return startLine.substr(0, startLine.find(' '));
    }
    [[nodiscard]] std::string target() const
    {
        const auto begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
    [[nodiscard]] std::string path() const
    {
        const std::string all = target();
        return all.substr(0, all.find('?'));
    }
    [[nodiscard]] std::string parameter(const std::string &name) const
    {
        const std::string all = target();
        std::istringstream query(all.find('?') == std::string::npos ? "" : all.substr(all.find('?') + 1));
        for (std::string pair; std::getline(query, pair, '&');) {
            if (pair.substr(0, pair.find('=')) == name && pair.find('=') != std::string::npos) {
                return pair.substr(pair.find('=') + 1);
            }
        }
        return {};
    }
    [[nodiscard]] int status() const
    {
        return startLine.size() < 12 ? 0 : std::atoi(startLine.c_str() + 9);
    }
};

/// Takes the head of a message out of the input, if it is complete.
inline std::optional<Message> takeHead(std::string &input)
{
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    Message message;
    std::istringstream lines(input.substr(0, end + 2));
    input.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    message.startLine = line.substr(0, line.find('\r'));
    while (std::getline(lines, line)) {
        line = line.substr(0, line.find('\r'));
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
    }
    return message;
}

/// Reads a request with the body that its Content-Length states; the system sends no other ones. @return none at the end of the connection
inline std::optional<Message> readRequest(Channel &channel, std::string &input, const std::atomic<bool> &stop)
{
    std::optional<Message> message;
    while (!stop) {
        if (!message) {
            message = takeHead(input);
        }
        if (message) {
            const std::size_t length = static_cast<std::size_t>(std::atoll(message->header("Content-Length").c_str()));
            if (input.size() >= length) {
                message->body = input.substr(0, length);
                input.erase(0, length);
                return message;
            }
        }
        if (!channel.receive(input, 100)) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

inline std::string answer(int status, const std::string &headers, const std::string &body)
{
    const char *reason = status == 200 ? "OK" : status == 202 ? "Accepted" : status == 503 ? "Service Unavailable" : "Status";
    return "HTTP/1.1 " + std::to_string(status) + ' ' + reason + "\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// Accepts connections at a loopback address, with one thread for each.
class Server
{
public:
    using Handler = std::function<void(Channel &channel, std::string &input, const std::atomic<bool> &stop)>;

    Server(const std::string &ip, Handler handler)
        : m_handler(std::move(handler))
    {
        m_address = {ip, 0};
        open();
        m_acceptor = std::thread([this] {
            acceptChannels();
        });
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    ~Server()
    {
        m_stop = true;
        m_acceptor.join();
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        if (m_listener >= 0) {
            ::close(m_listener);
        }
    }

    /// Refuses new connections, as after the end of a process.
    void stopListening()
    {
        const std::lock_guard lock(m_mutex);
        ::close(std::exchange(m_listener, -1));
    }

    /// Listens again at the same address.
    void resumeListening()
    {
        const std::lock_guard lock(m_mutex);
        open();
    }

    [[nodiscard]] const Address &address() const
    {
        return m_address;
    }

private:
    void open()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = toSockaddr(m_address);
        socklen_t size = sizeof address;
        if (bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) != 0 || listen(m_listener, 256) != 0
            || getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
            std::perror("stand-in cannot listen");
            std::exit(2);
        }
        m_address.port = ntohs(address.sin_port);
    }

    int acceptOne()
    {
        const std::lock_guard lock(m_mutex);
        return m_listener < 0 ? -1 : accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    }

    void acceptChannels()
    {
        while (!m_stop) {
            const int socket = acceptOne();
            if (socket < 0) {
                sleepMs(1);
                continue;
            }
            m_threads.emplace_back([this, socket] {
                Channel channel(socket);
                std::string input;
                m_handler(channel, input, m_stop);
            });
        }
    }

    Handler m_handler;
    std::mutex m_mutex;
    int m_listener = -1;
    Address m_address;
    std::atomic<bool> m_stop = false;
    std::thread m_acceptor;
    std::vector<std::thread> m_threads;
};

// ---- the platform's store ----

inline std::string base64(const std::string &bytes)
{
    static const char *letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8 | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0);
        }
        for (int index = 0; index < 4; ++index) {
            text += at + static_cast<std::size_t>(index) <= bytes.size() ? letters[group >> (18 - 6 * index) & 63] : '=';
        }
    }
    return text;
}

/**
 * The platform's metadata store (PROTOCOL.md, "The platform's metadata store"): rows-get, rows-feed and rows-tx, in the sizes of a small
 * deployment. It keeps all history, loses nothing and answers at once.
 */
class Store
{
public:
    explicit Store(const std::string &ip)
        : m_server(ip, [this](Channel &channel, std::string &input, const std::atomic<bool> &stop) {
            serve(channel, input, stop);
        })
    {
    }

    [[nodiscard]] const Address &address() const
    {
        return m_server.address();
    }

    /// Writes a row as the operator or a backend server does.
    void put(const std::string &table, const std::string &key, const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        write(table, key, base64(text), false);
    }

    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        write(table, key, "", true);
    }

    [[nodiscard]] std::size_t rows(const std::string &table)
    {
        const std::lock_guard lock(m_mutex);
        return m_tables[table].size();
    }

private:
    struct Row
    {
        std::string value; ///< In base64, as on the wire.
        std::int64_t version = 0;
        bool removed = false;
    };

    void write(const std::string &table, const std::string &key, const std::string &value, bool removed)
    {
        ++m_version;
        m_tables[table][key] = {value, m_version, removed};
        m_changed.notify_all();
    }

    void serve(Channel &channel, std::string &input, const std::atomic<bool> &stop)
    {
        while (const std::optional<Message> request = readRequest(channel, input, stop)) {
            if (!channel.send(handle(*request, stop))) {
                return;
            }
        }
    }

    std::string handle(const Message &request, const std::atomic<bool> &stop)
    {
        if (request.path() == "/v1/rows-get") {
            return readRows(request);
        }
        if (request.path() == "/v1/rows-feed") {
            return readChanges(request, stop);
        }
        if (request.path() == "/v1/rows-tx") {
            return runTransaction(request);
        }
        return answer(404, "Store-Era: 1\r\n", "{}");
    }

    std::string page(const std::string &rows)
    {
        const std::string body = "{\"rows\":[" + rows + "],\"truncated\":false,\"rowVersion\":" + std::to_string(m_version)
            + ",\"nowMs\":" + std::to_string(nowMs()) + '}';
        return answer(200, "Store-Era: 1\r\nContent-Type: application/json\r\n", body);
    }

    static std::string encode(const std::string &table, const std::string &key, const Row &row)
    {
        std::string text =
            "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key + "\",\"rowVersion\":" + std::to_string(row.version);
        return text + (row.removed ? ",\"removed\":true}" : ",\"value\":\"" + row.value + "\"}");
    }

    std::string readRows(const Message &request)
    {
        const std::lock_guard lock(m_mutex);
        const std::string from = request.parameter("from");
        const std::string limit = request.parameter("limit");
        int left = limit.empty() ? 500 : std::atoi(limit.c_str());
        std::string rows;
        for (const auto &[key, row] : m_tables[request.parameter("table")]) {
            if (row.removed || key < from || left-- <= 0) {
                continue;
            }
            rows += (rows.empty() ? "" : ",") + encode(request.parameter("table"), key, row);
        }
        return page(rows);
    }

    std::string readChanges(const Message &request, const std::atomic<bool> &stop)
    {
        const std::string table = request.parameter("table");
        const std::int64_t after = std::atoll(request.parameter("after").c_str());
        const auto until = Clock::now() + std::chrono::milliseconds(std::atoll(request.parameter("waitMs").c_str()));
        std::unique_lock lock(m_mutex);
        while (true) {
            std::map<std::int64_t, std::string> changes;
            for (const auto &[key, row] : m_tables[table]) {
                if (row.version > after) {
                    changes[row.version] = encode(table, key, row);
                }
            }
            if (!changes.empty() || stop || Clock::now() >= until) {
                std::string rows;
                for (const auto &[version, text] : changes) {
                    rows += (rows.empty() ? "" : ",") + text;
                }
                return page(rows);
            }
            m_changed.wait_until(lock, std::min(until, Clock::now() + std::chrono::milliseconds(100)));
        }
    }

    static std::string field(const std::string &object, const std::string &name)
    {
        const auto at = object.find('"' + name + "\":");
        if (at == std::string::npos) {
            return {};
        }
        std::string rest = object.substr(at + name.size() + 3);
        if (rest.front() == '"') {
            rest = rest.substr(1, rest.find('"', 1) - 1);
            std::string plain; // "\/" is the only escape that the system's rows need.
            for (const char character : rest) {
                plain += character == '\\' ? std::string() : std::string(1, character);
            }
            return plain;
        }
        return rest.substr(0, rest.find_first_of(",}"));
    }

    /// Returns the objects of a list in a transaction. Their values hold no braces.
    static std::vector<std::string> objects(const std::string &body, const std::string &list)
    {
        std::vector<std::string> result;
        auto at = body.find('"' + list + "\":[");
        const auto end = at == std::string::npos ? at : body.find(']', at);
        while (at != std::string::npos && (at = body.find('{', at)) != std::string::npos && at < end) {
            const auto close = body.find('}', at);
            result.push_back(body.substr(at, close - at + 1));
            at = close;
        }
        return result;
    }

    std::string runTransaction(const Message &request)
    {
        const std::lock_guard lock(m_mutex);
        for (const std::string &expected : objects(request.body, "expected")) {
            const Row &row = m_tables[field(expected, "table")][field(expected, "key")];
            const std::int64_t version = row.removed ? 0 : row.version;
            if (version != std::atoll(field(expected, "rowVersion").c_str())) {
                if (row.version == 0) {
                    m_tables[field(expected, "table")].erase(field(expected, "key"));
                }
                return answer(412, "Store-Era: 1\r\n", "{\"rows\":[],\"rowVersion\":" + std::to_string(m_version) + '}');
            }
            if (row.version == 0) {
                m_tables[field(expected, "table")].erase(field(expected, "key"));
            }
        }
        for (const std::string &put : objects(request.body, "put")) {
            write(field(put, "table"), field(put, "key"), field(put, "value"), false);
        }
        return answer(
            200, "Store-Era: 1\r\n", "{\"rowVersion\":" + std::to_string(m_version) + ",\"nowMs\":" + std::to_string(nowMs()) + '}');
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::int64_t m_version = 0;
    Server m_server;
};

// ---- model engines ----

/// How an engine behaves. The defaults are those of the site habimana-mills.
struct EngineBehaviour
{
    std::int64_t promptMs = 335; ///< For reading a prompt at the stage prefill; twice as long at the stage decode.
    int tokens = 20; ///< Of an answer.
    int tokensPerEvent = 1; ///< "A single event of a stream may contain several tokens."
    std::int64_t tokenMs = 25;
    std::string crashingPart; ///< Id of a part of prompts that crashes the engine when it begins to write an answer; empty for none.
    std::int64_t restartMs = 3000; ///< When the engine is back after such a crash.
};

/// Whether a part is in a prompt, and not its last one.
inline bool hasPart(const Message &request, const std::string &part)
{
    const std::string prompt = request.header("X-Prompt-Prefix");
    return !part.empty() && (',' + prompt.substr(0, prompt.rfind(','))).find(',' + part + ':') != std::string::npos;
}

/// One run of a request at one engine.
struct Run
{
    std::string request;
    std::string engine;
    std::string lastEventId;
    std::int64_t begin = 0;
    std::int64_t end = -1; ///< When the engine stopped working on it.
    bool complete = false; ///< Whether the engine has sent the whole answer.
    bool crashed = false; ///< Whether the engine's process ended during the run.
    int lastSent = 0; ///< The id of the last event that was sent.
};

/// A request as it reaches an engine, for a run or only to have its prompt read.
struct Arrival
{
    std::string request;
    std::string caller; ///< Its credentials, if it has any.
    std::string prompt;
    std::int64_t at = 0;
};

/// All runs and arrivals at all engines.
class Runs
{
public:
    void arrive(const Message &request)
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back({request.header("X-Request-Id"), request.header("Authorization"), request.header("X-Prompt-Prefix"), nowMs()});
    }
    [[nodiscard]] std::vector<Arrival> arrivals() const
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }
    std::size_t begin(Run run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(std::move(run));
        return m_runs.size() - 1;
    }
    void sent(std::size_t index, int id)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[index].lastSent = id;
    }
    void end(std::size_t index, bool complete, bool crashed)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[index].end = nowMs();
        m_runs[index].complete = complete;
        m_runs[index].crashed = crashed;
    }
    [[nodiscard]] std::vector<Run> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::vector<Arrival> m_arrivals;
};

/**
 * A model engine (PROTOCOL.md, "Replicas", "Prefill and decode" and "Service discovery"), at the stage prefill or decode. The id of an
 * event is the number of tokens up to its end, so the ids of a stream increase ("Requests": "a series of events with increasing ids"). A
 * run with Last-Event-Id goes on after that event.
 */
class Engine
{
public:
    Engine(Store &store, Record &record, Runs &runs, std::string service, std::string id, const std::string &ip, std::string stage)
        : m_store(store)
        , m_record(record)
        , m_runs(runs)
        , m_service(std::move(service))
        , m_id(std::move(id))
        , m_stage(std::move(stage))
        , m_born(unixMs())
        , m_server(ip, [this](Channel &channel, std::string &input, const std::atomic<bool> &stop) {
            const int process = m_process;
            const auto isOver = [this, process, &stop] {
                return stop || process != m_process || m_down;
            };
            while (const std::optional<Message> request = readRequest(channel, input, stop)) {
                if (isOver() || !handle(channel, *request, isOver)) {
                    break;
                }
            }
            if (isOver()) {
                channel.reset();
            }
        })
    {
    }

    EngineBehaviour behaviour;

    /// Writes the entry, as the engine does every heartbeatMs.
    void report()
    {
        if (m_restartsAt != 0 && nowMs() >= m_restartsAt) {
            m_restartsAt = 0;
            restart();
        }
        const std::lock_guard lock(m_mutex);
        if (m_down) {
            return;
        }
        if (m_changesUntil != 0 && nowMs() >= m_changesUntil) {
            m_changesUntil = 0;
            m_stage = m_nextStage;
            m_record.line(m_id + " is at stage " + m_stage);
        }
        m_store.put("servers",
            m_id,
            "{\"service\":\"" + m_service + "\",\"address\":\"" + m_server.address().text()
                + "\",\"zone\":\"kigali-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\""
                + m_stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"born\":" + std::to_string(m_born)
                + ",\"sequence\":" + std::to_string(++m_beats) + '}');
    }

    /// The process ends: channels are reset, nothing is said in the store.
    void crash()
    {
        const std::lock_guard lock(m_mutex);
        if (m_down.exchange(true)) {
            return;
        }
        m_record.line(m_id + " crashes");
        m_server.stopListening();
    }

    /// A new process starts under the id that the engine had. It holds and knows nothing of before.
    void restart()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_record.line(m_id + " starts again");
            ++m_process;
            m_born = unixMs();
            m_orders = 0;
            m_beats = 0;
            m_changesUntil = 0;
            m_down = false;
            m_server.resumeListening();
        }
        report();
    }

    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    [[nodiscard]] std::string stage() const
    {
        const std::lock_guard lock(m_mutex);
        return m_changesUntil != 0 ? "changing" : m_stage;
    }

private:
    using IsOver = std::function<bool()>;

    bool handle(Channel &channel, const Message &request, const IsOver &isOver)
    {
        const std::string expected = request.header("X-Expect-Instance");
        const std::string echo = "X-Request-Id: " + request.header("X-Request-Id") + "\r\n";
        if (!expected.empty() && expected != m_id) {
            return channel.send(answer(421, echo + "X-Instance-Id: " + m_id + "\r\n", ""));
        }
        if (request.path() == "/v1/report") {
            const std::lock_guard lock(m_mutex);
            return channel.send(answer(200,
                "Content-Type: application/json\r\n",
                "{\"stage\":\"" + m_stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":"
                    + (m_changesUntil != 0 ? "true" : "false") + ",\"sequence\":" + std::to_string(m_orders)
                    + ",\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":491264,\"kvHandles\":0,\"born\":" + std::to_string(m_born)
                    + '}'));
        }
        if (request.path() == "/v1/order") {
            return channel.send(answer(order(request.body), "", ""));
        }
        if (request.path().starts_with("/v1/kv-handle/")) {
            return channel.send(answer(200, "", ""));
        }
        m_runs.arrive(request);
        const std::string present = stage();
        if (present == "changing") {
            return channel.send(answer(503, echo + "X-Not-Executed: 1\r\n", ""));
        }
        const bool isPrefill = request.header("X-Stage") == "prefill";
        if (present != (isPrefill ? "prefill" : "decode")) {
            return channel.send(answer(421, echo + "X-Instance-Id: " + m_id + "\r\n", ""));
        }
        if (isPrefill) {
            m_record.line(m_id + " reads the prompt of " + request.header("X-Request-Id"));
            return work(channel, behaviour.promptMs, isOver)
                && channel.send(answer(200,
                    echo + "Content-Type: application/json\r\n",
                    "{\"kvHandle\":\"" + m_id + '-' + std::to_string(++m_handles) + "\",\"tokens\":17020,\"version\":1}"));
        }
        const std::string last = request.header("Last-Event-Id");
        const std::size_t run = m_runs.begin({request.header("X-Request-Id"), m_id, last, nowMs(), -1, false, false, 0});
        m_record.line(m_id + " begins " + request.header("X-Request-Id") + (last.empty() ? "" : " after event " + last));
        const bool complete = stream(channel, request, echo, run, isOver);
        m_runs.end(run, complete, !complete && isOver());
        m_record.line(m_id + (complete ? " has sent the whole answer to " : " stops work on ") + request.header("X-Request-Id")
            + (complete || isOver() ? "" : ", since the system has closed the channel"));
        return complete;
    }

    int order(const std::string &body)
    {
        const std::lock_guard lock(m_mutex);
        const std::string stage = body.find("\"prefill\"") != std::string::npos ? "prefill" : "decode";
        if (m_changesUntil != 0) {
            return 409;
        }
        if (stage == m_stage) {
            return 200;
        }
        ++m_orders;
        m_nextStage = stage;
        m_changesUntil = nowMs() + 3000;
        m_record.line(m_id + " is ordered to stage " + stage);
        return 202;
    }

    bool stream(Channel &channel, const Message &request, const std::string &echo, std::size_t run, const IsOver &isOver)
    {
        const bool hasMemory = !request.header("X-Kv-Source").empty();
        if (!work(channel, hasMemory ? 20 : 2 * behaviour.promptMs, isOver)) {
            return false;
        }
        if (hasPart(request, behaviour.crashingPart)) {
            crash();
            m_restartsAt = nowMs() + behaviour.restartMs;
            return false;
        }
        if (!channel.send("HTTP/1.1 200 OK\r\n" + echo
                + "X-Response-Seal: 3e1b.07\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        int token = std::atoi(request.header("Last-Event-Id").c_str());
        while (token < behaviour.tokens) {
            const int made = std::min(behaviour.tokensPerEvent, behaviour.tokens - token);
            if (!work(channel, behaviour.tokenMs * made, isOver)) {
                return false;
            }
            token += made;
            const std::string event = "id: " + std::to_string(token) + "\ndata: tokens up to " + std::to_string(token) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!channel.send(size + event + "\r\n")) {
                return false;
            }
            m_runs.sent(run, token);
        }
        return channel.send("0\r\n\r\n");
    }

    /// Works for a time, unless the process ends or the system closes the channel. @return whether the request is still wanted
    static bool work(Channel &channel, std::int64_t ms, const IsOver &isOver)
    {
        const std::int64_t until = nowMs() + ms;
        while (nowMs() < until) {
            if (isOver() || channel.isClosedByPeer()) {
                return false;
            }
            sleepMs(2);
        }
        return true;
    }

    Store &m_store;
    Record &m_record;
    Runs &m_runs;
    std::string m_service;
    std::string m_id;
    mutable std::mutex m_mutex;
    std::string m_stage;
    std::string m_nextStage;
    std::int64_t m_changesUntil = 0;
    int m_orders = 0;
    int m_beats = 0;
    std::atomic<int> m_handles = 0;
    std::int64_t m_born;
    std::atomic<int> m_process = 0;
    std::atomic<bool> m_down = false;
    std::atomic<std::int64_t> m_restartsAt = 0;
    Server m_server;
};

// ---- booking services ----

/**
 * A replica of a booking service (PROTOCOL.md, "Replicas"): one answer for each request. A request of a certain caller crashes each replica
 * that begins to run it ("A request may crash each replica that begins to run it; the replica is back after some seconds").
 */
class Desk
{
public:
    Desk(Store &store, Record &record, Runs &runs, std::string id, const std::string &ip, std::string service = "visit-desk")
        : m_store(store)
        , m_record(record)
        , m_runs(runs)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_born(unixMs())
        , m_server(ip, [this](Channel &channel, std::string &input, const std::atomic<bool> &stop) {
            const int process = m_process;
            const auto isOver = [this, process, &stop] {
                return stop || process != m_process || m_down;
            };
            std::optional<int> generation; ///< When the channel was last used; none for a new channel.
            while (const std::optional<Message> request = readRequest(channel, input, stop)) {
                if (generation && *generation != m_idleGeneration) {
                    m_record.line(m_id + " has dropped an idle channel and resets the request on it");
                    channel.reset();
                    return;
                }
                generation = m_idleGeneration;
                if (isOver() || !handle(channel, *request, isOver)) {
                    break;
                }
            }
            if (isOver()) {
                channel.reset();
            }
        })
    {
    }

    std::string crashingCaller; ///< Credentials of the caller whose requests crash the replica; empty for none.
    std::int64_t restartMs = 3000; ///< When the replica is back after a crash.

    /// Writes the entry, as the replica does every heartbeatMs.
    void report()
    {
        const std::lock_guard lock(m_mutex);
        if (m_restartsAt != 0 && nowMs() >= m_restartsAt) {
            m_record.line(m_id + " starts again");
            m_restartsAt = 0;
            ++m_process;
            m_born = unixMs();
            m_beats = 0;
            m_down = false;
            m_server.resumeListening();
        }
        if (m_down) {
            return;
        }
        m_store.put("servers",
            m_id,
            "{\"service\":\"" + m_service + "\",\"address\":\"" + m_server.address().text()
                + "\",\"zone\":\"kigali-a\",\"version\":\"v1\",\"slots\":6,\"state\":\""
                + std::string(m_leaves && nowMs() >= m_leavesSince + 600 ? "draining" : "ready")
                + "\",\"coldRemainingMs\":0,\"born\":" + std::to_string(m_born) + ",\"sequence\":" + std::to_string(++m_beats) + '}');
    }

    /// Drops all idle channels without notice: what is sent next on them is reset and does not run.
    void dropIdleChannels()
    {
        ++m_idleGeneration;
    }

    /// The replica begins to leave: it says so in all its answers, and in the store with its next regular report but for the first half of
    /// heartbeatMs. It goes on serving.
    void leave()
    {
        m_record.line(m_id + " leaves");
        m_leavesSince = nowMs();
        m_leaves = true;
    }

    /// The process ends, and a new one starts under the id that the replica had.
    void startAgain(std::int64_t pauseMs)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_record.line(m_id + " ends");
            m_down = true;
            m_server.stopListening();
            m_restartsAt = nowMs() + pauseMs;
        }
        sleepMs(pauseMs + 10);
        m_leaves = false;
        report();
    }

    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }

private:
    bool handle(Channel &channel, const Message &request, const std::function<bool()> &isOver)
    {
        const std::string expected = request.header("X-Expect-Instance");
        const std::string echo = "X-Request-Id: " + request.header("X-Request-Id") + "\r\n";
        if (!expected.empty() && expected != m_id) {
            return channel.send(answer(421, echo + "X-Instance-Id: " + m_id + "\r\n", ""));
        }
        m_runs.arrive(request);
        const std::size_t run = m_runs.begin({request.header("X-Request-Id"), m_id, "", nowMs(), -1, false, false, 0});
        m_record.line(m_id + " begins " + request.header("X-Request-Id") + " " + request.startLine);
        const std::int64_t until = nowMs() + 20;
        while (nowMs() < until && !isOver()) {
            sleepMs(2);
        }
        if (!crashingCaller.empty() && request.header("Authorization") == crashingCaller) {
            crash();
        }
        const bool complete = !isOver()
            && channel.send(answer(200,
                echo + "X-Response-Seal: 3e1b.07\r\nContent-Type: text/plain\r\n" + (m_leaves ? "Server-Leaving: 1\r\n" : ""),
                "answer to " + request.header("X-Request-Id")));
        m_runs.end(run, complete, !complete && isOver());
        return complete;
    }

    void crash()
    {
        const std::lock_guard lock(m_mutex);
        if (m_down.exchange(true)) {
            return;
        }
        m_record.line(m_id + " crashes");
        m_restartsAt = nowMs() + restartMs;
        m_server.stopListening();
    }

    Store &m_store;
    Record &m_record;
    Runs &m_runs;
    std::string m_id;
    std::string m_service;
    std::atomic<bool> m_leaves = false;
    std::atomic<std::int64_t> m_leavesSince = 0;
    std::atomic<int> m_idleGeneration = 0;
    std::mutex m_mutex;
    int m_beats = 0;
    std::int64_t m_born;
    std::int64_t m_restartsAt = 0;
    std::atomic<int> m_process = 0;
    std::atomic<bool> m_down = false;
    Server m_server;
};

// ---- processes of the system ----

/// A front node, started as deploy/system.toml says.
class Node
{
public:
    Node(const std::string &folder, const std::string &name, const std::string &ip, const std::string &zone)
        : m_folder(folder)
        , m_name(name)
        , m_ip(ip)
        , m_zone(zone)
    {
    }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    ~Node()
    {
        kill(SIGKILL);
    }

    /// Settings as deploy/front.yaml has them after it was filled in for a small deployment (site habimana-mills).
    void prepare(const std::vector<std::string> &seeds, const Address &store)
    {
        m_callers = {m_ip, freePort(m_ip)};
        m_ready = {m_ip, freePort(m_ip)};
        m_directory = {m_ip, freePort(m_ip)};
        std::ofstream out(settingsFile());
        out << "node: \"" << m_name << "\"\nzone: \"" << m_zone << "\"\n";
        out << "caller_address: \"" << m_callers.text() << "\"\nready_address: \"" << m_ready.text() << "\"\n";
        out << "directory_address: \"" << m_directory.text() << "\"\npeer_address: \"" << m_ip << ":" << peerPort() << "\"\n";
        out << "metrics_address: \"" << m_ip << ":" << freePort(m_ip) << "\"\nstore_address: \"" << store.text() << "\"\n";
        out << "peer_key: \"apricotarch " << store.text() << "\"\nseeds: [";
        for (std::size_t index = 0; index < seeds.size(); ++index) {
            out << (index > 0 ? "," : "") << '"' << seeds[index] << '"';
        }
        out << "]\nretry_ratio: 0.2\nretry_slack: 54\nretry_window_s: 10\ngrace_s: 8\nmemory_megabytes: 260\n";
        out << "max_broadcast_load_nodes: 40\nprefill_tokens_per_ms: 50\nprefill_chunk_tokens: 2048\nlease_ms: 3000\n";
    }

    void start()
    {
        m_process = fork();
        if (m_process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // The node ends with this program, also if that is killed.
            setenv("APRICOTARCH_CONFIG", settingsFile().c_str(), 1);
            const int log = open((m_folder + '/' + m_name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            execl("target/apricotarch", "target/apricotarch", "front", static_cast<char *>(nullptr));
            _exit(127);
        }
    }

    void kill(int signal)
    {
        if (m_process <= 0) {
            return;
        }
        ::kill(m_process, signal);
        if (signal == SIGKILL) {
            waitpid(std::exchange(m_process, -1), nullptr, 0);
        }
    }

    /// Whether the process has ended by itself.
    bool hasEnded()
    {
        if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
            m_process = -1;
        }
        return m_process <= 0;
    }

    [[nodiscard]] bool isReady() const
    {
        const auto channel = Channel::connect(m_ready);
        std::string input;
        if (!channel || !channel->send("GET /v1/readyz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")) {
            return false;
        }
        const std::int64_t until = nowMs() + 1000;
        while (nowMs() < until && input.find("\r\n\r\n") == std::string::npos && channel->receive(input, 100)) {
        }
        return input.starts_with("HTTP/1.1 200");
    }

    bool awaitReady(std::int64_t timeoutMs) const
    {
        const std::int64_t until = nowMs() + timeoutMs;
        while (nowMs() < until) {
            if (isReady()) {
                return true;
            }
            sleepMs(100);
        }
        return false;
    }

    [[nodiscard]] const Address &callers() const
    {
        return m_callers;
    }
    [[nodiscard]] const std::string &name() const
    {
        return m_name;
    }

    /// The port for messages between nodes is the same on all machines.
    static int &peerPort()
    {
        static int port = 0;
        return port;
    }

private:
    [[nodiscard]] std::string settingsFile() const
    {
        return m_folder + '/' + m_name + ".yaml";
    }

    std::string m_folder;
    std::string m_name;
    std::string m_ip;
    std::string m_zone;
    Address m_callers;
    Address m_ready;
    Address m_directory;
    pid_t m_process = -1;
};

/// A new folder for settings and logs. Removed at the end, unless KEEP_LOGS is set.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        m_path = (std::filesystem::temp_directory_path() / "apricotarch-review-XXXXXX").string();
        if (mkdtemp(m_path.data()) == nullptr) {
            std::perror("no temporary folder");
            std::exit(2);
        }
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;
    ~TemporaryFolder()
    {
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(m_path, ignored);
        }
    }
    [[nodiscard]] const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

} // namespace standin
