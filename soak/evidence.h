#pragma once

/**
 * @file
 * What callers, replicas and the operator of the soak have seen. The checks judge only this.
 */

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "workload.h"

namespace apricotarch::soak
{

/// A request that has reached a replica.
struct Run
{
    std::string requestId;
    std::string replica; ///< Id of the process.
    std::string service;
    TimePoint begin;
    TimePoint end = TimePoint::max(); ///< `max()` while the replica is at work.
    bool declined = false; ///< The replica said that it did not run the request.
    bool brokeOff = false; ///< The replica ended the answer before it was whole.
};

/// A request of a caller with what became of it.
struct Call
{
    std::string id;
    const Workload *workload = nullptr;
    milliseconds duration{0}; ///< Time that a replica works on it.
    std::size_t node = 0;
    TimePoint begin; ///< The first byte was sent.
    std::optional<TimePoint> sent; ///< The last byte was sent.
    TimePoint end; ///< The answer was whole, or the connection ended.
    int status = 0; ///< 0 without an answer.
    bool complete = false; ///< The answer ended as its framing says.
    bool isWhole = false; ///< The body is the replica's whole body.
    bool isPart = false; ///< The body begins like the replica's body.
    bool isSealed = false; ///< The answer has the seal of a replica's answer to this request.
};

/// A planned stop of a node.
struct Stop
{
    std::size_t node = 0;
    TimePoint begin; ///< SIGTERM.
    TimePoint end; ///< The process was gone.
    int status = 0; ///< Exit status, or the negated number of the signal that ended the process.
};

/// Something else that happened, for the reports.
struct Event
{
    std::string text;
    TimePoint at;
};

/// Collects what was seen. Thread-safe until the reading functions are used.
class Evidence
{
public:
    /// @return the number of the run
    std::size_t addRun(Run run);
    void endRun(std::size_t number, bool brokeOff);
    void addCall(Call call);
    void addStop(Stop stop);
    void addEvent(std::string text);

    [[nodiscard]] const std::vector<Call> &calls() const
    {
        return m_calls;
    }
    [[nodiscard]] const std::vector<Stop> &stops() const
    {
        return m_stops;
    }
    [[nodiscard]] const std::vector<Event> &events() const
    {
        return m_events;
    }
    [[nodiscard]] const std::vector<Run> &runs() const
    {
        return m_runs;
    }

    /// Returns the time since the start of the soak.
    [[nodiscard]] milliseconds age(TimePoint time) const
    {
        return std::chrono::duration_cast<milliseconds>(time - m_begin);
    }

private:
    const TimePoint m_begin = Clock::now();
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::vector<Call> m_calls;
    std::vector<Stop> m_stops;
    std::vector<Event> m_events;
};

} // namespace apricotarch::soak
