#include "apricotarch/app/incomplete_close.h"

#include "apricotarch/base/log.h"

namespace apricotarch
{

void reportIncompleteClose(FrontState &state, const CallerConnection &caller, const IncompleteClose &close)
{
    state.metrics.increment(CounterFamily::Answers, "closed_incomplete");
    LogEvent event("caller.closed_incomplete", LogEvent::Level::Warning);
    event.field("reason", close.reason).field("request", close.requestId).field("server", close.server);
    if (close.serverSilence) {
        event.field("silent_ms", toMilliseconds(*close.serverSilence));
    }
    event.field("reused", caller.requestCount() > 1 ? "yes" : "no").field("requests", caller.requestCount());
    event.field("discarded_bytes", close.discardedInputBytes).field("unsent_bytes", caller.pending());
    event.field("caller", caller.peer()).field("stopping", state.isShuttingDown() ? "yes" : "no");
    const TimePoint now = state.clock.now();
    if (state.shutdown) {
        event.field("stopping_ms", toMilliseconds(now - state.shutdown->startedAt()));
    }
    if (caller.requestBegunAt()) {
        event.field("request_ms", toMilliseconds(now - *caller.requestBegunAt()));
    }
    event.field("plan_in_force", state.plan->version()).field("idle_limit_ms", state.plan->limits().idleTimeout.count());
}

} // namespace apricotarch
