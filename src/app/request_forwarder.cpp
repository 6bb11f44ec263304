#include "apricotarch/app/request_forwarder.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "active_attempt.h"
#include "apricotarch/app/shutdown_refusal.h"
#include "apricotarch/base/hash.h"
#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// The deadline is this long before the end of the request's time limit, so that the response reaches the caller in time.
constexpr Duration DeadlineMargin = 15ms;

/// Groups of engines that are compared for a prompt at most.
constexpr std::size_t MaxGroupsTried = 3;

/// The next group is compared if a prompt would wait longer than this in the groups before.
constexpr double MaxGroupWaitMs = 150;

/// The next group is asked for its caches if more shared tokens than this would have to be prefilled in the groups before. Another group
/// may have them cached since it took over prompts in a burst; fetching them takes a fraction of the time.
constexpr std::int64_t MaxUncachedSharedTokens = 2048;

/// Share of the remaining time after which an unanswered request of a safe route is sent to another server.
constexpr double SafeAnswerTimeoutShare = 0.4;

} // namespace

RequestForwarder::RequestForwarder(FrontState &state, CallerConnection &caller, CallerRequest request, CallerConnectionOptions options)
    : m_state(state)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_plan(state.plan)
    , m_response(caller, options, state, m_request.method == "HEAD")
    , m_eventSplitter(state.protocolAdapter.eventFields())
{
    ++m_state.activeRequests;
    m_state.bufferedBodyBytes += m_request.body.size();
}

RequestForwarder::~RequestForwarder()
{
    --m_state.activeRequests;
    m_state.bufferedBodyBytes -= m_request.body.size();
}

asio::awaitable<bool> RequestForwarder::serve()
{
    if (!refuseEarly()) {
        const bool isRefused = co_await refuseUnknownOrigin();
        if (!isRefused) {
            co_await sendUntilDone();
        }
    }
    co_return m_response.canReuseConnection();
}

// ---- decisions ----

bool RequestForwarder::refuseEarly()
{
    if (m_plan->version() == 0) {
        refuse(RefusalReason::NoConfiguration);
        return true;
    }
    m_route = m_plan->find(m_request.host, m_request.path);
    if (m_route == nullptr) {
        refuse(RefusalReason::NoRoute);
        return true;
    }
    if (const CustomerDirectory *customers = m_plan->customers()) {
        m_customer = customers->findByKey(m_request.key);
        if (m_customer == nullptr && !m_route->isPublic) {
            refuse(RefusalReason::Unauthenticated);
            return true;
        }
    }
    if (m_route->resumable && m_request.lastEventId) {
        m_eventSplitter.resumeAfter(*m_request.lastEventId);
    }
    m_serviceId = chooseService();
    m_service = m_plan->service(m_serviceId);
    m_contentHash = contentHash(m_request.host + m_request.target + '\n' + m_request.credentials + '\n' + m_request.body);
    m_deadline = requestDeadline(m_request, *m_route) - DeadlineMargin;
    const TimePoint now = m_state.clock.now();
    m_state.metrics.increment(CounterFamily::Requests, m_route->name);
    m_state.retryBudget.recordRequest(m_serviceId, now);
    reportMalformedPart();
    if (now >= m_deadline) {
        refuse(RefusalReason::TooLate);
        return true;
    }
    if (isRefusedByShutdown(m_state, m_request, *m_route)) {
        refuse(RefusalReason::NodeStopping);
        return true;
    }
    if (m_state.crashTracker.isQuarantined(m_contentHash, now)) {
        refuse(RefusalReason::Quarantined);
        return true;
    }
    return endIfQuarantined();
}

void RequestForwarder::reportMalformedPart()
{
    if (!isPrompt() || m_request.prompt->malformedPart.empty()) {
        return;
    }
    constexpr std::size_t MaxLoggedBytes = 80;
    m_state.metrics.increment(CounterFamily::Requests, "malformed_part");
    LogEvent("request.parts_ignored", LogEvent::Level::Warning)
        .field("request", m_request.id)
        .field("parts_read", m_request.prompt->parts.size())
        .field("malformed", m_request.prompt->malformedPart.substr(0, MaxLoggedBytes));
}

bool RequestForwarder::hasQuarantinedPart()
{
    return m_state.partQuarantine.findQuarantined(m_request.promptParts).has_value();
}

bool RequestForwarder::endIfQuarantined()
{
    if (!hasQuarantinedPart()) {
        return false;
    }
    if (m_mayHaveExecuted) {
        sendLocalResponse(502, refusalResponse(RefusalReason::Quarantined).reason, std::nullopt);
    } else {
        refuse(RefusalReason::Quarantined);
    }
    return true;
}

ServiceId RequestForwarder::chooseService() const
{
    int total = 0;
    for (const ServiceWeight &serviceWeight : m_route->services) {
        total += std::max(serviceWeight.weight, 0);
    }
    if (total == 0) {
        return m_route->services.front().service;
    }
    int remaining = std::uniform_int_distribution<int>(0, total - 1)(m_state.random);
    for (const ServiceWeight &serviceWeight : m_route->services) {
        remaining -= std::max(serviceWeight.weight, 0);
        if (remaining < 0) {
            return serviceWeight.service;
        }
    }
    return m_route->services.back().service;
}

asio::awaitable<Placement> RequestForwarder::selectPlacement()
{
    rankEngineGroups();
    if (m_groups.empty()) {
        co_return placeInGroup(0);
    }
    Placement best;
    m_groupsAsked = 0;
    while (m_groupsAsked < std::min(m_groups.size(), MaxGroupsTried)) {
        co_await refreshGroupLoad(m_groupsAsked);
        ++m_groupsAsked;
        best = placeInBestGroup();
        if (best.server && best.waitMs <= MaxGroupWaitMs && uncachedSharedTokens(best) <= MaxUncachedSharedTokens) {
            break;
        }
    }
    co_return best;
}

Placement RequestForwarder::placeInBestGroup()
{
    Placement best;
    for (std::size_t rank = 0; rank < m_groupsAsked; ++rank) {
        Placement placement = placeInGroup(rank);
        if (placement.server && (!best.server || placement.predictedFirstEventMs < best.predictedFirstEventMs)) {
            best = std::move(placement);
            m_groupRank = rank;
        }
    }
    return best;
}

std::int64_t RequestForwarder::uncachedSharedTokens(const Placement &placement) const
{
    const std::vector<PromptPart> &parts = m_request.prompt->parts;
    const std::int64_t ownTokens = parts.empty() ? 0 : parts.back().tokens;
    return placement.tokensToPrefill - ownTokens;
}

Placement RequestForwarder::placeInGroup(std::size_t rank)
{
    const TimePoint now = m_state.clock.now();
    PlacementRequest request;
    request.zone = m_state.settings.zone;
    request.triedServers = m_triedServers;
    std::vector<BackendPointer> servers = m_state.backends.selectUsable(m_serviceId, now, m_streamVersion);
    if (m_attemptsSent > 0) {
        removeFullServers(servers);
    }
    if (!isPrompt()) {
        return m_state.placementPlanner.selectServer(servers, request, now);
    }
    request.parts = m_request.prompt->parts;
    request.promptTokens = m_request.prompt->promptTokens;
    if (m_groups.empty()) {
        return m_state.placementPlanner.selectEngines(servers, request, *m_service->engine, now);
    }
    request.hasCurrentLoads = true;
    for (std::size_t other = 0; other < m_groupsAsked; ++other) {
        if (other != rank) {
            const std::vector<BackendPointer> sources = usableInGroup(servers, other);
            request.fetchSources.insert(request.fetchSources.end(), sources.begin(), sources.end());
        }
    }
    return m_state.placementPlanner.selectEngines(usableInGroup(servers, rank), request, *m_service->engine, now);
}

void RequestForwarder::removeFullServers(std::vector<BackendPointer> &servers) const
{
    const auto isFull = [](const BackendPointer &server) {
        return server->load().requests >= server->record.slots;
    };
    const bool hasFreeServer = std::ranges::any_of(servers, [&](const BackendPointer &server) {
        return !isFull(server) && server->executesRequests() && !m_triedServers.contains(server->record.id);
    });
    if (hasFreeServer) {
        std::erase_if(servers, isFull);
    }
}

std::optional<CallerIdentity> RequestForwarder::callerIdentity() const
{
    if (m_plan->customers() == nullptr) {
        return std::nullopt;
    }
    return CallerIdentity{m_customer == nullptr ? std::nullopt : std::optional(m_customer->id)};
}

int RequestForwarder::effectivePriority() const
{
    return m_customer != nullptr && m_customer->priority ? *m_customer->priority : m_route->priority;
}

bool RequestForwarder::isPrompt() const
{
    return m_service != nullptr && m_service->engine && m_request.prompt;
}

void RequestForwarder::rankEngineGroups()
{
    m_groups.clear();
    m_groupRank = 0;
    if (!isPrompt() || !m_state.asksStewards() || !m_state.refreshGroupLoad) {
        return;
    }
    const std::vector<EngineGroup> &groups = m_state.engineGroups.groups(m_serviceId);
    for (const std::size_t index : rankGroups(groups, promptAffinityKey(m_request.prompt->parts))) {
        m_groups.push_back(groups[index].name);
    }
}

asio::awaitable<void> RequestForwarder::refreshGroupLoad(std::size_t rank)
{
    EngineGroupQuery query;
    query.service = m_serviceId;
    query.group = m_groups[rank];
    query.prompt = m_request.prompt->parts;
    co_await m_state.refreshGroupLoad(std::move(query));
}

std::vector<BackendPointer> RequestForwarder::usableInGroup(const std::vector<BackendPointer> &servers, std::size_t rank)
{
    const EngineGroup *group = m_groups.empty() ? nullptr : m_state.engineGroups.find(m_serviceId, m_groups[rank]);
    if (group == nullptr) {
        return servers;
    }
    std::vector<BackendPointer> usable;
    const std::set<BackendPointer> members(group->engines.begin(), group->engines.end());
    std::ranges::copy_if(servers, std::back_inserter(usable), [&members](const BackendPointer &server) {
        return members.contains(server);
    });
    return usable.empty() ? servers : usable;
}

bool RequestForwarder::exceedsWaitLimit(const Placement &placement) const
{
    if (m_route->resumable && m_request.lastEventId) {
        // The rest of a stream can only be had at the servers of its version, while new requests may use all.
        return placement.predictedFirstEventMs > static_cast<double>(remainingTime().count());
    }
    return placement.waitMs > m_state.settings.engineCosts.maxWaitMs;
}

RequestProgress RequestForwarder::collectProgress() const
{
    RequestProgress progress;
    progress.idempotent = m_route->idempotent();
    progress.attemptsSent = m_attemptsSent;
    progress.maxAttempts = m_route->maxAttempts;
    progress.mayHaveRun = m_mayHaveExecuted;
    progress.answerStarted = m_response.streamStarted();
    const auto servers = m_state.backends.selectUsable(m_serviceId, m_state.clock.now(), m_streamVersion);
    progress.hasUntriedServer = std::any_of(servers.begin(), servers.end(), [this](const BackendPointer &server) {
        return !m_triedServers.contains(server->record.id);
    });
    progress.hasUntriedServer = progress.hasUntriedServer || canWaitForVersion();
    return progress;
}

Duration RequestForwarder::selectAnswerTimeout(const Placement &placement) const
{
    if (!m_route->idempotent() || m_attemptsSent + 1 >= m_route->maxAttempts) {
        return LongestRequestTime;
    }
    const Duration timeout = std::chrono::duration_cast<Duration>(SafeAnswerTimeoutShare * (deadline() - m_state.clock.now()));
    if (m_route->kind == RouteKind::Safe) {
        return std::max<Duration>(m_route->targetLatency, timeout);
    }
    const auto predicted = std::chrono::milliseconds(static_cast<std::int64_t>(2 * placement.predictedFirstEventMs));
    return std::max<Duration>(m_route->targetLatency * 2, predicted);
}

TimePoint RequestForwarder::deadline() const
{
    // A stream that has begun gets no other final answer, for which time would have to be left.
    const TimePoint ownDeadline = m_response.streamStarted() ? m_deadline + DeadlineMargin : m_deadline;
    return m_state.shutdown ? std::min(ownDeadline, m_state.shutdown->answersDueBy()) : ownDeadline;
}

std::chrono::milliseconds RequestForwarder::remainingTime() const
{
    const TimePoint end = std::min(deadline(), m_deadline) + DeadlineMargin;
    return std::max(1ms, std::chrono::duration_cast<std::chrono::milliseconds>(end - m_state.clock.now()));
}

} // namespace apricotarch
