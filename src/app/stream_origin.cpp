#include "apricotarch/app/stream_origin.h"

#include <algorithm>

#include "apricotarch/app/request_forwarder.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration ShortestLifetime = 10s;
constexpr Duration LongestLifetime = 2 * LongestRequestTime;

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
    std::optional<StreamOrigin> origin = findStream();
    if (!origin && !resumed.empty() && state.askForStreamOrigin) {
        co_await state.askForStreamOrigin(streamKey(resumed)); // Another node may have learned of a version earlier than this one.
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
