#pragma once

/**
 * @file
 * A small deployment on loopback: front nodes as processes, stand-ins of replicas, and a record of what was seen.
 */

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <set>

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "store.h"

namespace review
{

/// Exit statuses of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;

/// Bounds of the installation sheet of habimana-mills in SYSTEM.md.
constexpr milliseconds ContactTime{3000};
constexpr milliseconds ConfigTime{2000};
constexpr milliseconds HeartbeatInterval{1200};

/// Lines of record.txt, with the time in milliseconds since the start. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &file)
        : m_out(file)
    {
    }

    void add(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        m_out << age() << ' ' << line << '\n' << std::flush;
    }

    /// Also prints the line.
    void report(const std::string &line)
    {
        add(line);
        std::cout << age() << ' ' << line << std::endl;
    }

private:
    [[nodiscard]] std::int64_t age() const
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count();
    }

    std::mutex m_mutex;
    std::ofstream m_out;
    Clock::time_point m_start = Clock::now();
};

/**
 * Stand-in for a replica, after PROTOCOL.md, "Replicas" and "Service discovery": it registers in the store, renews its entry, serves one
 * request at a time on a connection and echoes the id of the request. After a crash it is back as a new process with another id at its
 * address.
 */
class Replica
{
public:
    /// What a handler does with a request that has reached the replica.
    struct Outcome
    {
        int status = 200;
        std::vector<std::pair<std::string, std::string>> headers;
        std::string body;
        bool crashes = false; ///< The process ends at once, or after the first event if there are events.
        std::vector<std::string> events = {}; ///< The events of a stream, instead of the body.
        milliseconds pause{0}; ///< Time before each event.
        int silentAfter = 0; ///< Number of events after which the replica is silent for a time and goes on; 0 for none.
        milliseconds silence{0};
    };
    using Handler = std::function<Outcome(const Message &request)>;

    Replica(Store &store, Record &record, std::string name, std::string service, const std::string &ip, Handler handler)
        : m_store(store)
        , m_record(record)
        , m_name(std::move(name))
        , m_service(std::move(service))
        , m_handler(std::move(handler))
        , m_server({ip, 0}, [this](Connection &connection, const Message &request) {
            return serve(connection, request);
        })
    {
    }

    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    ~Replica()
    {
        m_stopping = true;
        if (m_heartbeats.joinable()) {
            m_heartbeats.join();
        }
    }

    bool start()
    {
        if (!m_server.start()) {
            return false;
        }
        begin();
        m_heartbeats = std::thread([this] {
            run();
        });
        return true;
    }

    /// Ends the process: its connections are reset, and it is not reachable until it is back as a new process.
    void crash(milliseconds downTime)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_up) {
                return;
            }
            m_up = false;
            m_backAt = Clock::now() + downTime;
        }
        m_record.add("crash replica=" + m_name);
        m_server.crash();
    }

    [[nodiscard]] std::string id() const
    {
        const std::lock_guard lock(m_mutex);
        return currentId();
    }

private:
    static std::int64_t wallClockMs()
    {
        return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    [[nodiscard]] std::string currentId() const
    {
        return "i-" + m_name + '-' + std::to_string(m_process);
    }

    void begin()
    {
        const std::lock_guard lock(m_mutex);
        ++m_process;
        m_up = true;
        m_sequence = 0;
        m_born = wallClockMs();
        m_nextHeartbeat = Clock::now();
    }

    void run()
    {
        while (!m_stopping) {
            std::this_thread::sleep_for(milliseconds(10));
            std::unique_lock lock(m_mutex);
            if (m_up && Clock::now() >= m_nextHeartbeat) {
                m_nextHeartbeat += HeartbeatInterval;
                writeEntry();
            }
            // The platform removes an entry after three intervals of silence.
            if (!m_up && m_entry && Clock::now() - *m_lastHeartbeat > 3 * HeartbeatInterval) {
                removeEntry();
            }
            const bool returns = !m_up && Clock::now() >= m_backAt;
            lock.unlock();
            if (returns && m_server.start()) {
                begin();
                m_record.add("start replica=" + m_name + " id=" + id());
            }
        }
    }

    void writeEntry()
    {
        if (m_entry && *m_entry != currentId()) {
            removeEntry(); // Of the process before.
        }
        const boost::json::object entry{{"service", m_service},
            {"address", m_server.address().text()},
            {"zone", "zone-a"},
            {"version", "v1"},
            {"slots", 6},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"sequence", ++m_sequence},
            {"born", m_born}};
        m_store.put("servers", currentId(), boost::json::serialize(entry));
        m_entry = currentId();
        m_lastHeartbeat = Clock::now();
    }

    void removeEntry()
    {
        m_store.remove("servers", *m_entry);
        m_entry.reset();
    }

    bool serve(Connection &connection, const Message &request)
    {
        const std::string requestId = request.header("X-Request-Id");
        if (const std::string expected = request.header("X-Expect-Instance"); !expected.empty() && expected != id()) {
            return connection.send(encodeAnswer(421, {{"X-Request-Id", requestId}, {"X-Instance-Id", id()}}, ""));
        }
        Outcome outcome = m_handler(request);
        m_record.add("arrival replica=" + m_name + " request=" + requestId + " target=" + request.secondWord
            + (outcome.crashes ? " crashes" : " status=" + std::to_string(outcome.status)));
        if (outcome.crashes && outcome.events.empty()) {
            crash(milliseconds(2000));
            return false;
        }
        outcome.headers.emplace_back("X-Request-Id", requestId);
        if (outcome.status < 300) {
            outcome.headers.emplace_back("X-Response-Seal", "seal-" + requestId);
        }
        if (!outcome.events.empty()) {
            return streamEvents(connection, outcome);
        }
        return connection.send(encodeAnswer(outcome.status, outcome.headers, outcome.body));
    }

    bool streamEvents(Connection &connection, const Outcome &outcome)
    {
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        for (const auto &[name, value] : outcome.headers) {
            head += name + ": " + value + "\r\n";
        }
        bool sent = connection.send(head + "\r\n");
        int number = 0;
        for (const std::string &event : outcome.events) {
            std::this_thread::sleep_for(outcome.pause);
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            sent = sent && connection.send(size + event + "\r\n");
            if (++number == outcome.silentAfter) {
                std::this_thread::sleep_for(outcome.silence);
            }
            if (outcome.crashes) {
                std::this_thread::sleep_for(outcome.pause); // The next token is not written any more.
                crash(milliseconds(2000));
                return false;
            }
        }
        return sent && connection.send("0\r\n\r\n");
    }

    Store &m_store;
    Record &m_record;
    std::string m_name;
    std::string m_service;
    Handler m_handler;
    mutable std::mutex m_mutex;
    int m_process = 0;
    bool m_up = false;
    std::int64_t m_sequence = 0;
    std::int64_t m_born = 0;
    std::optional<std::string> m_entry; ///< Key of the entry in the store.
    std::optional<Clock::time_point> m_lastHeartbeat;
    Clock::time_point m_nextHeartbeat;
    Clock::time_point m_backAt;
    std::atomic<bool> m_stopping = false;
    std::thread m_heartbeats;
    Server m_server;
};

/// A front node, run with the command of the deploy file.
class Front
{
public:
    struct Ports
    {
        std::uint16_t caller = 0;
        std::uint16_t ready = 0;
        std::uint16_t directory = 0;
        std::uint16_t peer = 0;
        std::uint16_t metrics = 0;
    };

    Front(std::string name, std::string ip, Ports ports, std::vector<std::string> seeds, const Address &store, std::string folder)
        : m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_ports(ports)
        , m_folder(std::move(folder))
    {
        std::ofstream settings(settingsFile());
        const auto line = [&](const char *key, std::uint16_t port) {
            settings << key << ": \"" << Address{m_ip, port}.text() << "\"\n";
        };
        settings << "node: \"" << m_name << "\"\nzone: \"zone-" << m_name.back() << "\"\n";
        line("caller_address", m_ports.caller);
        line("ready_address", m_ports.ready);
        line("directory_address", m_ports.directory);
        line("peer_address", m_ports.peer);
        line("metrics_address", m_ports.metrics);
        settings << "store_address: \"" << store.text() << "\"\npeer_key: \"apricotarch " << store.text() << "\"\nseeds: [";
        for (std::size_t index = 0; index < seeds.size(); ++index) {
            settings << (index > 0 ? "," : "") << '"' << Address{seeds[index], m_ports.peer}.text() << '"';
        }
        settings << "]\nretry_ratio: 0.2\nretry_slack: 54\nretry_window_s: 10\ngrace_s: 8\nmemory_megabytes: 260\n"
                 << "prefill_tokens_per_ms: 50\nprefill_chunk_tokens: 2048\n";
    }

    Front(const Front &) = delete;
    Front &operator=(const Front &) = delete;

    ~Front()
    {
        stop(SIGKILL);
    }

    bool start()
    {
        const std::string log = m_folder + '/' + m_name + ".log";
        const std::string variable = "APRICOTARCH_CONFIG=" + settingsFile();
        const pid_t parent = getpid();
        m_process = fork();
        if (m_process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent) {
                _exit(127);
            }
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            char program[] = "target/apricotarch";
            char role[] = "front";
            char *arguments[] = {program, role, nullptr};
            char *environment[] = {const_cast<char *>(variable.c_str()), nullptr};
            execve(program, arguments, environment);
            _exit(127);
        }
        return m_process > 0;
    }

    /// Sends a signal that ends the process and waits for its end.
    void stop(int signal)
    {
        if (m_process > 0) {
            kill(m_process, signal);
            waitpid(m_process, nullptr, 0);
            m_process = -1;
        }
    }

    void sendSignal(int signal) const
    {
        kill(m_process, signal);
    }

    [[nodiscard]] bool isReady() const
    {
        const auto answer = exchange({m_ip, m_ports.ready}, "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n", milliseconds(500));
        return answer && answer->status() == 200;
    }

    [[nodiscard]] Address callerAddress() const
    {
        return {m_ip, m_ports.caller};
    }

    [[nodiscard]] const std::string &name() const
    {
        return m_name;
    }

private:
    [[nodiscard]] std::string settingsFile() const
    {
        return m_folder + '/' + m_name + ".yaml";
    }

    std::string m_name;
    std::string m_ip;
    Ports m_ports;
    std::string m_folder;
    pid_t m_process = -1;
};

/// Finds a port that is free for TCP and UDP on all of the addresses.
inline std::uint16_t findFreePort(const std::vector<std::string> &ips, std::set<std::uint16_t> &taken)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        std::vector<int> sockets;
        std::uint16_t port = 0;
        bool free = true;
        for (const std::string &ip : ips) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
                sockets.push_back(descriptor);
                sockaddr_in native = Address{ip, port}.native();
                free = free && bind(descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof(native)) == 0;
                socklen_t size = sizeof(native);
                getsockname(descriptor, reinterpret_cast<sockaddr *>(&native), &size);
                port = port == 0 ? ntohs(native.sin_port) : port;
            }
        }
        for (const int descriptor : sockets) {
            ::close(descriptor);
        }
        if (free && taken.insert(port).second) {
            return port;
        }
    }
    return 0;
}

/// Front nodes on addresses of their own, one in each availability zone, with the same ports.
inline std::vector<std::unique_ptr<Front>> makeFronts(std::size_t count, const Address &store, const std::string &folder)
{
    std::vector<std::string> ips;
    for (std::size_t index = 0; index < count; ++index) {
        ips.push_back("127.0.0." + std::to_string(11 + index));
    }
    std::set<std::uint16_t> taken;
    Front::Ports ports;
    for (std::uint16_t *port : {&ports.caller, &ports.ready, &ports.directory, &ports.peer, &ports.metrics}) {
        *port = findFreePort(ips, taken);
    }
    std::vector<std::unique_ptr<Front>> fronts;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string name = std::string("front-") + static_cast<char>('a' + index);
        fronts.push_back(std::make_unique<Front>(name, ips[index], ports, ips, store, folder));
    }
    return fronts;
}

/// Starts all nodes and waits until they are ready. @return whether they are
inline bool startFronts(const std::vector<std::unique_ptr<Front>> &fronts, milliseconds timeout)
{
    for (const auto &front : fronts) {
        if (!front->start()) {
            return false;
        }
    }
    const auto until = Clock::now() + timeout;
    while (!std::all_of(fronts.begin(), fronts.end(), [](const auto &front) {
        return front->isReady();
    })) {
        if (Clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
}

inline std::string encodeRequest(
    const std::string &method, const std::string &target, const std::string &id, milliseconds timeLimit, const std::string &body)
{
    std::string text = method + ' ' + target + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(timeLimit.count()) + "\r\n";
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

inline boost::json::object makeRoute(const std::string &prefix, const std::string &kind, const std::string &service, int maxAttempts)
{
    return {{"name", "r-" + service},
        {"host", "desk.example"},
        {"prefix", prefix},
        {"kind", kind},
        {"timeoutMs", 800},
        {"targetLatencyMs", 300},
        {"priority", 2},
        {"service", service},
        {"maxAttempts", maxAttempts}};
}

inline std::string makeConfiguration(int version, boost::json::array routes, const std::vector<std::string> &services)
{
    boost::json::array list;
    for (const std::string &service : services) {
        list.push_back(boost::json::object{
            {"name", service}, {"healthPath", "/healthz"}, {"maxConnections", 100}, {"protocol", "h1"}, {"tls", false}});
    }
    const boost::json::object limits{
        {"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
    return boost::json::serialize(
        boost::json::object{{"version", version}, {"routes", std::move(routes)}, {"services", std::move(list)}, {"limits", limits}});
}

inline bool troubleWanted()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Path of the record and of the folder for settings and logs, from the command line. @return whether both are there
inline bool readArguments(int count, char **arguments, std::string &record, std::string &folder)
{
    if (count != 3) {
        std::cerr << "usage: " << arguments[0] << " RECORD FOLDER\n";
        return false;
    }
    record = arguments[1];
    folder = arguments[2];
    return std::filesystem::is_directory(folder) && std::filesystem::exists("target/apricotarch");
}

} // namespace review
