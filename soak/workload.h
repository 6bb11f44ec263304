#pragma once

/**
 * @file
 * Kinds of requests that the callers of the soak send, and the answers that replicas give to them.
 */

#include <string>
#include <vector>

#include <boost/json.hpp>

#include "net.h"

namespace apricotarch::soak
{

enum class RouteKind {
    Safe, ///< May be run again.
    Unsafe, ///< Runs at most once.
    Stream, ///< A stream of events that may be resumed.
    UnsafeStream ///< A stream of events that runs at most once.
};

/// A kind of request, with the number of callers that send it one after another.
struct Workload
{
    std::string name;
    std::string prefix; ///< Of the route.
    RouteKind kind = RouteKind::Safe;
    milliseconds timeLimit{0}; ///< Of the caller and of the route.
    std::vector<milliseconds> durations; ///< Times that a replica works on it, one of which is drawn.
    std::size_t answerBytes = 0; ///< Size of an answer that is no stream.
    ReadPace readPace;
    milliseconds bodyTime{0}; ///< Time over which the body of the request is sent.
    int callers = 0;

    [[nodiscard]] bool isStream() const
    {
        return kind == RouteKind::Stream || kind == RouteKind::UnsafeStream;
    }

    /// Returns whether a request runs at most once.
    [[nodiscard]] bool runsOnce() const
    {
        return kind == RouteKind::Unsafe || kind == RouteKind::UnsafeStream;
    }
};

/// Returns all kinds of requests.
[[nodiscard]] const std::vector<Workload> &workloads();

/// Returns the kind of request with a name.
[[nodiscard]] const Workload &workload(std::string_view name);

/// Makes the target of a request. The replica reads from it what it has to do.
[[nodiscard]] std::string makeTarget(const Workload &workload, milliseconds duration);

/// What a replica does for a request.
struct Work
{
    milliseconds duration{0};
    std::vector<std::string> events; ///< Of a stream, empty for other answers.
    std::string body; ///< Of an answer that is no stream.
};

/// Makes the work for a target that was made by `makeTarget()`.
[[nodiscard]] Work makeWork(const Message &request, const std::string &requestId);

/// Returns the whole body of the answer to a request. @param from number of events of a stream that are left out at its beginning
[[nodiscard]] std::string makeWholeBody(const std::string &target, const std::string &requestId, std::size_t from = 0);

/// Makes the target of a request on the route that only one version of the configuration has.
[[nodiscard]] std::string makeProbeTarget(int number);

/// The configuration of the deployment. @param number counts its versions from 1; every second one lengthens a time limit
[[nodiscard]] std::string makeConfiguration(int number);

} // namespace apricotarch::soak
