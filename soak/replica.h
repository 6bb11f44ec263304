#pragma once

/**
 * @file
 * Stand-in for a replica: it registers in the store, renews its entry, serves one request at a time on a connection and echoes the id of
 * the request. After a crash it is back as a new process with another id at its address.
 */

#include <thread>

#include "evidence.h"
#include "store.h"

namespace apricotarch::soak
{

constexpr milliseconds DrainTime{2000}; ///< Of the users' installation, after which a leaving replica gets no requests.

/// What a replica does wrong for a time.
enum class Trouble {
    None,
    Pause, ///< It is silent and goes on afterwards.
    Decline, ///< It runs no requests and says so.
    CutHead, ///< It breaks off in the head of each answer.
    CutBody, ///< It breaks off in the body of each answer, after an event of a stream.
    CutEvent, ///< It breaks off in the middle of an event.
    Crash, ///< Its connections are reset, and it is back as a new process after a time.
    Leave ///< It reports that it leaves, serves on for a time, and is back as a new process later.
};

class Replica
{
public:
    Replica(Store &store, Evidence &evidence, std::string name, std::string service, const std::string &ip);
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;
    ~Replica();

    bool start();

    /// Begins a trouble, which ends by itself. @param duration of troubles other than `Crash` and `Leave`
    void setTrouble(Trouble trouble, milliseconds duration);

    /// Lets the process take only so many requests per second from all nodes together for a time. Its answers say so.
    void limitRate(double perSecond, milliseconds duration);

    /// Lets each process have another software version than the one before it: there are two.
    void alternateVersions()
    {
        m_alternates = true;
    }

    /// Returns whether the process runs and does not leave.
    [[nodiscard]] bool isUp() const;

private:
    [[nodiscard]] std::string id() const;
    [[nodiscard]] std::string version() const;
    void crash();
    void leave();
    void begin();
    void sendHeartbeats();
    void writeEntry();
    void removeEntry();
    bool serve(Connection &connection, const Message &request);
    void addLimit(Headers &headers, const Run &run) const;
    bool answer(Connection &connection, const Message &request, const Run &run, std::size_t number, std::size_t &events);
    bool streamEvents(Connection &connection, const Work &work, std::size_t from, const Headers &headers, std::size_t &sent);
    bool breakOff(Connection &connection);
    void waitWhilePaused() const;
    [[nodiscard]] Trouble trouble() const;

    Store &m_store;
    Evidence &m_evidence;
    const std::string m_name;
    const std::string m_service;
    mutable std::mutex m_mutex;
    int m_process = 0;
    bool m_up = false;
    bool m_leaving = false;
    std::int64_t m_sequence = 0;
    std::int64_t m_born = 0; ///< Unix time in milliseconds.
    std::optional<std::string> m_entry; ///< Key of the entry in the store.
    TimePoint m_lastHeartbeat;
    TimePoint m_nextHeartbeat;
    TimePoint m_backAt;
    TimePoint m_leavingSince; ///< Time of the store's acknowledgement.
    std::atomic<bool> m_alternates = false;
    double m_perSecond = 0; ///< Limit of the request rate.
    TimePoint m_limitUntil;
    Trouble m_trouble = Trouble::None;
    TimePoint m_troubleUntil;
    std::atomic<bool> m_stopping = false;
    std::thread m_heartbeats;
    Server m_server;
};

} // namespace apricotarch::soak
