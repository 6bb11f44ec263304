#include "apricotarch/app/shutdown_refusal.h"

#include <algorithm>
#include <random>

#include "apricotarch/app/request_forwarder.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Spreads refused callers over the other nodes.
constexpr milliseconds ShortestDelay = 50ms;
constexpr milliseconds LongestDelay = 250ms;

/// A stopped node needs about this long to be back.
constexpr milliseconds ShortestRestart = 1000ms;
constexpr milliseconds LongestRestart = 2000ms;

} // namespace

TimePoint requestDeadline(const CallerRequest &request, const Route &route)
{
    Duration time = request.timeLimit ? Duration(*request.timeLimit) : LongestRequestTime;
    if (route.timeout.count() > 0) {
        time = std::min<Duration>(time, route.timeout);
    }
    return request.arrivedAt + time;
}

bool isRefusedByShutdown(const FrontState &state, const CallerRequest &request, const Route &route)
{
    if (!state.shutdown) {
        return false;
    }
    return !state.shutdown->admits(state.clock.now(), requestDeadline(request, route), state.routeDurations.longDuration(route.name));
}

milliseconds stoppingRetryDelay(FrontState &state)
{
    const bool hasOtherNodes = !state.peers.callerAddresses(state.clock.now()).empty();
    std::uniform_int_distribution<milliseconds::rep> delay(
        (hasOtherNodes ? ShortestDelay : ShortestRestart).count(), (hasOtherNodes ? LongestDelay : LongestRestart).count());
    return milliseconds(delay(state.random));
}

} // namespace apricotarch
