#include "apricotarch/app/request_forwarder.h"

#include <algorithm>

#include "apricotarch/app/stream_origin.h"
#include "apricotarch/base/log.h"

// Software versions: the rest of a stream can only come from servers of the version that began it.

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// A caller gives a stream up if no event arrives for the longest of these times.
constexpr Duration ShortestPatience = 2s;
constexpr int PatienceInTargetLatencies = 4;
constexpr int PatienceInTargetGaps = 8;

/// Time that is left for the first event when the wait for a server ends.
constexpr Duration PatienceMargin = 100ms;

/// Pause before the servers of the version are tried again.
constexpr Duration VersionRetryInterval = 200ms;

Duration streamPatience(const Route &route)
{
    const Duration byLatency = PatienceInTargetLatencies * Duration(route.targetLatency);
    return std::max({ShortestPatience, byLatency, PatienceInTargetGaps * Duration(route.targetGap)}) - PatienceMargin;
}

} // namespace

asio::awaitable<bool> RequestForwarder::refuseUnknownOrigin()
{
    if (!m_route->resumable || !m_request.lastEventId) {
        co_return false;
    }
    const std::optional<StreamOrigin> origin = co_await findStreamOrigin(m_state, m_serviceId, m_request.resumedRequest);
    if (!origin) {
        refuse(RefusalReason::UnknownVersion);
        co_return true;
    }
    const bool isRouted = std::ranges::any_of(m_route->services, [&origin](const ServiceWeight &weight) {
        return weight.service == origin->service;
    });
    if (isRouted) {
        m_serviceId = origin->service;
        m_service = m_plan->service(m_serviceId);
    }
    if (m_serviceId == origin->service) {
        m_streamVersion = origin->version;
    }
    co_return false;
}

bool RequestForwarder::canWaitForVersion() const
{
    if (!m_streamVersion) {
        return false;
    }
    const TimePoint now = m_state.clock.now();
    const TimePoint lastEventAt = m_firstEventAt ? m_lastEventAt : m_request.arrivedAt;
    if (m_caller.isClosed() || now >= std::min<TimePoint>(deadline(), lastEventAt + streamPatience(*m_route))) {
        return false;
    }
    const std::vector<BackendPointer> servers = m_state.backends.selectUsable(m_serviceId, now);
    const auto hasVersion = [this](const BackendPointer &server) {
        return server->executesRequests() && server->record.softwareVersion == *m_streamVersion;
    };
    const auto hasOtherVersion = [this](const BackendPointer &server) {
        return server->executesRequests() && server->record.softwareVersion != *m_streamVersion;
    };
    return std::ranges::any_of(servers, hasVersion) && std::ranges::any_of(servers, hasOtherVersion);
}

asio::awaitable<bool> RequestForwarder::waitForVersion()
{
    if (!m_silentAttempts.empty() || !canWaitForVersion()) {
        co_return false;
    }
    if (m_versionWaits++ == 0) {
        LogEvent("request.waits_for_version").field("request", m_request.id).field("version", *m_streamVersion);
    }
    const TimePoint until = m_state.clock.now() + VersionRetryInterval;
    while (!m_caller.isClosed() && m_state.clock.now() < until) {
        co_await m_caller.changeEvent().waitUntil(until);
    }
    if (m_caller.isClosed()) {
        handleCallerDisconnect();
        co_return false;
    }
    m_triedServers.clear(); // A server that has started again can be tried again.
    co_return true;
}

} // namespace apricotarch
