#include "apricotarch/app/stream_origin.h"

#include <algorithm>

#include "apricotarch/app/request_forwarder.h"
#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration ShortestLifetime = 10s;
constexpr Duration LongestLifetime = 2 * LongestRequestTime;

void logUnconfirmed(FrontState &state, const ServiceId &service, const RequestId &resumed, bool keepersAgree)
{
    const TimePoint now = state.clock.now();
    LogEvent event("stream_origin.unconfirmed", LogEvent::Level::Warning);
    event.field("resumes", resumed).field("service", service).field("keepers_agree", keepersAgree);
    event.field("hears_majority", state.peers.hearsMajority(now));
    if (const std::optional<TimePoint> current = state.backends.currency().currentAsOf()) {
        event.field("servers_age_ms", toMilliseconds(now - *current));
    }
}

} // namespace

Duration streamLifetime(const RoutingPlan &plan, const ServiceId &service)
{
    const auto timeout = plan.resumableServices().find(service);
    if (timeout == plan.resumableServices().end()) {
        return ShortestLifetime;
    }
    // Callers resume a stream within the time limit of its first request. A limit may have been longer in an earlier configuration.
    const Duration longest = timeout->second.count() > 0 ? Duration(timeout->second) : LongestRequestTime;
    return std::clamp<Duration>(2 * longest, ShortestLifetime, LongestLifetime);
}

std::optional<SoftwareVersion> findOnlyVersion(
    FrontState &state, const ServiceId &service, const VersionSet &otherVersions, bool isComplete)
{
    const TimePoint now = state.clock.now();
    const TimePoint from = now - streamLifetime(*state.plan, service);
    state.serviceVersions.update(state.backends, now);
    VersionSet versions = state.serviceVersions.servedSince(service, from);
    versions.insert(otherVersions.begin(), otherVersions.end());
    // Servers without versions are alike.
    const bool isKnown = isComplete || state.serviceVersions.isObservedSince(from) || (versions.size() == 1 && versions.begin()->empty());
    return isKnown && versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

void recordStreamOrigin(FrontState &state, const RequestId &request, const RequestId &resumed, StreamOrigin origin)
{
    std::vector<StreamRecord> records;
    for (const RequestId *id : {&request, &resumed}) {
        if (!id->empty()) {
            records.push_back({streamKey(*id), origin});
            state.streamVersions.recordOwn(records.back(), state.clock.now());
        }
    }
    if (state.onStreamBegan) {
        state.onStreamBegan(records);
    }
}

asio::awaitable<std::optional<StreamOrigin>> findStreamOrigin(FrontState &state, ServiceId service, RequestId resumed)
{
    const auto findStream = [&state, &resumed] {
        return resumed.empty() ? std::nullopt : state.streamVersions.find(streamKey(resumed));
    };
    const TimePoint calledAt = state.clock.now();
    std::optional<StreamOrigin> origin = findStream();
    bool keepersAgree = false;
    if (!origin && !resumed.empty() && state.askForStreamOrigin) {
        keepersAgree = co_await state.askForStreamOrigin(streamKey(resumed)); // They may have learned of a version earlier than this node.
        origin = findStream();
    }
    if (origin) {
        co_return origin;
    }
    if (state.confirmServers) {
        // The stream may have begun at a version that this node has not heard of, since it was cut off or stood still.
        const bool isConfirmed = co_await state.confirmServers(calledAt);
        // Without the store no server registers, unless it is only this part of the fleet that cannot reach it.
        if (!isConfirmed && !(keepersAgree && state.peers.hearsMajority(state.clock.now()))) {
            logUnconfirmed(state, service, resumed, keepersAgree);
            co_return std::nullopt;
        }
        origin = findStream();
    }
    if (origin) {
        co_return origin;
    }
    if (const std::optional<SoftwareVersion> version = findOnlyVersion(state, service)) {
        co_return StreamOrigin{service, *version};
    }
    if (!state.refreshStreamOrigins) {
        co_return std::nullopt;
    }
    co_await state.refreshStreamOrigins();
    origin = findStream();
    const auto recorded = state.recordedVersions.find(service);
    if (!origin && recorded != state.recordedVersions.end()) {
        if (const std::optional<SoftwareVersion> version = findOnlyVersion(state, service, recorded->second, true)) {
            origin = StreamOrigin{service, *version};
        }
    }
    co_return origin;
}

} // namespace apricotarch
