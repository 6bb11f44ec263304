#include "apricotarch/app/node.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

constexpr std::size_t DecisionLogCapacity = 2000;
/// Retries allowed per admitted request.
constexpr double RetriesPerRequest = 0.1;
/// Retries allowed at once.
constexpr double RetryReserve = 50;
// Pauses between two iterations of the periodic tasks.
constexpr std::chrono::milliseconds HeartbeatPause{500};
constexpr std::chrono::milliseconds ConfigurationPollPause{500};
constexpr std::chrono::milliseconds ElectorateCheckPause{500};
constexpr std::chrono::milliseconds CellControlPause{500};
constexpr std::chrono::milliseconds VmListPollPause{1000};
constexpr std::chrono::milliseconds LoadPollPause{100};
constexpr std::chrono::milliseconds ClaimRetryPause{1000};
constexpr std::chrono::milliseconds DrainPollInterval{50};
/// How long heartbeats report a shutdown before the node first checks for running requests.
constexpr std::chrono::milliseconds DrainAnnouncementTime{1000};
/// Name of a cell that contains all zones.
constexpr const char *AllZonesCell = "all";

ZoneId zoneOfCell(const Settings &settings)
{
    return settings.cell == AllZonesCell ? ZoneId() : ZoneId(settings.cell);
}

} // namespace

const std::vector<Node::PeriodicTask> Node::PeriodicTasks = {
    {"beat", &Node::sendHeartbeats, HeartbeatPause},
    {"configuration", &Node::pollConfiguration, ConfigurationPollPause},
    {"electorate", &Node::checkElectorate, ElectorateCheckPause},
    {"lease", &Node::renewLease, LeaseTimes().pollInterval},
    {"cell", &Node::controlCell, CellControlPause},
    {"vm_list", &Node::updateVmList, VmListPollPause},
    {"load", &Node::requestLoads, LoadPollPause},
    {"claim", &Node::retryAbandonedClaims, ClaimRetryPause},
};

Node::Node(Settings settings, Incarnation incarnation)
    : m_settings(std::move(settings))
    , m_self{m_settings.node, incarnation}
    , m_eventLoops(m_settings.threads)
    , m_decisions(m_clock, DecisionLogCapacity)
    , m_members(MemberTimeouts())
    , m_crashTracker(CrashTrackerPeriods())
    , m_table(m_httpClient, {m_settings.platformAddress})
    , m_objects(m_httpClient, {m_settings.platformAddress})
    , m_vmDirectory(m_httpClient, {m_settings.platformAddress})
    , m_engineStreams(m_httpClient, BackendTimeouts())
    , m_engineConnector(BackendTimeouts())
    , m_applicationClient(BackendTimeouts())
    , m_authenticator(m_settings.peerKey)
    , m_peerTransport(m_eventLoops, m_authenticator, m_metrics, m_settings.node)
    , m_configuration({m_table, m_objects, m_peerTransport, m_members, m_clock, m_decisions, m_metrics},
          m_self,
          FreshnessTimes(),
          [this](const ActiveConfiguration &inForce) {
              m_replicas.setReplicas(inForce.configuration);
          })
    , m_membership({m_members, m_replicas, m_crashTracker, m_configuration, m_clock, m_decisions},
          {m_self, m_settings.zone, m_settings.callerAddress, m_settings.peerAddress})
    , m_lease(m_table, m_clock, m_decisions, m_metrics, m_self, LeaseResourceId("cell-" + m_settings.cell), LeaseTimes())
    , m_orders(m_table,
          m_engineConnector,
          m_lease,
          m_clock,
          m_decisions,
          m_metrics,
          m_self,
          [this](const ProcessId &process) {
              return m_members.hasEnded(process.node, process.incarnation, m_clock.now());
          })
    , m_cellController(m_orders, m_lease, m_replicas, m_clock, m_metrics, zoneOfCell(m_settings), CellTimes())
    , m_claims(m_table, m_members, m_clock, m_metrics, m_self)
    , m_retryBudget(RetriesPerRequest, RetryReserve)
    , m_languagePolicy(makePolicy(m_settings.routing))
    , m_applicationPolicy(makeLeastOutstandingPolicy())
    , m_admission(new AdmissionController({m_settings.maxRequestsInFlight}))
    , m_languageCalls({m_engineStreams,
                          m_replicas,
                          m_crashTracker,
                          m_retryBudget,
                          *m_languagePolicy,
                          m_members,
                          m_clock,
                          m_decisions,
                          m_metrics,
                          makeRandomIndex(),
                          m_settings.zone},
          LanguageCallTimeouts())
    , m_applicationCalls({m_applicationClient,
          m_claims,
          m_replicas,
          m_retryBudget,
          *m_applicationPolicy,
          m_clock,
          m_decisions,
          m_metrics,
          makeRandomIndex(),
          m_settings.zone})
{
}

Node::~Node()
{
    stop();
}

RandomIndex Node::makeRandomIndex()
{
    return [seed = m_self.incarnation.value()](std::size_t limit) {
        thread_local std::mt19937_64 engine(static_cast<std::uint64_t>(seed) ^ std::hash<std::thread::id>()(std::this_thread::get_id()));
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(engine);
    };
}

Result<void> Node::start()
{
    Result<void> listening = m_peerTransport.listen(
        m_settings.peerAddress,
        [this](Heartbeat heartbeat) {
            asio::co_spawn(m_eventLoops.coordinationLoop(), m_membership.handleHeartbeat(std::move(heartbeat)), asio::detached);
        },
        [this](PeerRequest request) {
            return answerPeerRequest(std::move(request));
        });
    if (!listening) {
        return listening;
    }
    for (const PeriodicTask &task : PeriodicTasks) {
        asio::co_spawn(m_eventLoops.coordinationLoop(), repeat(task), asio::detached);
    }
    m_eventLoops.start();
    LogEvent("node.started")
        .field("node", m_self.node)
        .field("incarnation", m_self.incarnation)
        .field("callers", m_settings.callerAddress.text());
    return {};
}

asio::awaitable<void> Node::repeat(PeriodicTask task)
{
    while (true) {
        try {
            co_await (this->*task.iterate)();
        } catch (const std::exception &exception) {
            LogEvent("loop.failed", LogEvent::Level::Error)
                .field("loop", std::string_view(task.name))
                .field("detail", std::string_view(exception.what()));
        }
        co_await m_clock.sleep(task.pause);
    }
}

std::vector<PeerSettings> Node::heartbeatReceivers() const
{
    std::vector<PeerSettings> receivers = m_settings.peers;
    for (const MemberView &member : m_members.view(m_clock.now())) {
        const bool alreadyListed = std::ranges::any_of(receivers, [&member](const PeerSettings &peer) {
            return peer.node == member.last.node;
        });
        if (!alreadyListed && member.status != MemberStatus::Gone) {
            receivers.push_back({member.last.node, member.last.peerAddress});
        }
    }
    return receivers;
}

PeerReply Node::answerPeerRequest(PeerRequest request)
{
    PeerReply reply;
    if (const auto *fetch = std::get_if<FetchBodyRequest>(&request)) {
        const Result<std::string> body = m_configuration.findLocalBody(fetch->digest);
        reply.ok = body.has_value();
        reply.body = body ? *body : formatError(body.error());
    } else if (const auto *offer = std::get_if<ConfigurationOffer>(&request)) {
        const Result<void> stored = m_configuration.storeOffer(*offer);
        reply.ok = stored.has_value();
        reply.body = stored ? std::string() : formatError(stored.error());
    } else {
        reply.ok = true;
        reply.committed = m_configuration.committed();
    }
    return reply;
}

asio::awaitable<void> Node::shutDown()
{
    const TimePoint startedAt = m_clock.now();
    m_draining = true;
    LogEvent("node.draining").field("in_flight", m_admission->inFlight());
    co_await sendHeartbeats();
    co_await m_lease.release();
    co_await m_clock.sleep(DrainAnnouncementTime);
    while (m_admission->inFlight() > 0 && m_clock.now() - startedAt < m_settings.shutdownTimeout) {
        co_await m_clock.sleep(DrainPollInterval);
    }
    co_await m_claims.retryPendingReleases();
    LogEvent("node.stopped", m_admission->inFlight() > 0 ? LogEvent::Level::Warning : LogEvent::Level::Info)
        .field("remaining_requests", m_admission->inFlight())
        .field("unsettled_claims", m_claims.pendingReleaseCount())
        .field("took_ms", toMilliseconds(m_clock.now() - startedAt));
}

void Node::stop()
{
    m_eventLoops.stop();
}

const Settings &Node::settings() const noexcept
{
    return m_settings;
}

const ProcessId &Node::self() const noexcept
{
    return m_self;
}

EventLoopPool &Node::eventLoops() noexcept
{
    return m_eventLoops;
}

Clock &Node::clock() noexcept
{
    return m_clock;
}

Metrics &Node::metrics() noexcept
{
    return m_metrics;
}

DecisionLog &Node::decisions() noexcept
{
    return m_decisions;
}

ReplicaTable &Node::replicas() noexcept
{
    return m_replicas;
}

MemberTable &Node::members() noexcept
{
    return m_members;
}

CrashTracker &Node::crashTracker() noexcept
{
    return m_crashTracker;
}

ConfigurationManager &Node::configuration() noexcept
{
    return m_configuration;
}

AdmissionController &Node::admission() noexcept
{
    return *m_admission;
}

LanguageCallExecutor &Node::languageCalls() noexcept
{
    return m_languageCalls;
}

ApplicationCallExecutor &Node::applicationCalls() noexcept
{
    return m_applicationCalls;
}

LeaseManager &Node::lease() noexcept
{
    return m_lease;
}

TableStore &Node::table() noexcept
{
    return m_table;
}

bool Node::isDraining() const noexcept
{
    return m_draining;
}

void Node::requestShutdown()
{
    m_shutdownRequested = true;
}

bool Node::shutdownRequested() const noexcept
{
    return m_shutdownRequested;
}

} // namespace apricotarch
