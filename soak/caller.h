#pragma once

/**
 * @file
 * Callers that send one request after another and use their connections until the node closes them.
 */

#include <random>
#include <thread>

#include "evidence.h"

namespace apricotarch::soak
{

/**
 * A caller with one kind of request. After an answer with `Connection: close`, or when the node has closed the connection, it opens a new
 * one to the same node as long as that node accepts, and otherwise goes to another node for a time.
 */
class Caller
{
public:
    /// @param number of the caller, which is part of the ids of its requests @param home node that it prefers
    Caller(Evidence &evidence, const Workload &workload, std::vector<Address> nodes, std::size_t number, std::size_t home, unsigned seed);
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;
    ~Caller();

    /// Begins to send requests, until `finish()`.
    void start();

    /// Lets the caller end after its current request.
    void finish()
    {
        m_finishing = true;
    }

private:
    void run();
    bool connect();
    /// @return the time that the answer tells the caller to wait before it tries again
    milliseconds call();
    bool sendRequest(Call &call, const std::string &target);
    void judgeAnswer(Call &call, const std::string &target, const std::optional<Message> &answer);
    /// Decides whether the next call resumes the stream of a call.
    void noteBreak(const Call &call, const std::string &target, const std::string &body);

    Evidence &m_evidence;
    const Workload &m_workload;
    const std::vector<Address> m_nodes;
    const std::size_t m_number;
    const std::size_t m_home;
    std::minstd_rand m_random;
    int m_lastId = 0;
    /// A stream that was broken off.
    struct BrokenStream
    {
        std::string target;
        std::string firstRequest; ///< Request that brought its first event.
        std::size_t events = 0; ///< Number of events received.
        TimePoint deadline;
    };
    std::optional<BrokenStream> m_broken; ///< The stream that the next call resumes.
    std::size_t m_node = 0; ///< Node of the connection.
    TimePoint m_returnAt; ///< Time at which the caller tries its home again.
    std::unique_ptr<Connection> m_connection;
    std::atomic<bool> m_finishing = false;
    std::thread m_thread;
};

} // namespace apricotarch::soak
