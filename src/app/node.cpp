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

constexpr std::size_t DecisionsKept = 2000;
constexpr double RetryShare = 0.1;
constexpr double RetryReserve = 50;
constexpr std::chrono::milliseconds BeatPause{500};
constexpr std::chrono::milliseconds ConfigurationPause{500};
constexpr std::chrono::milliseconds ElectoratePause{500};
/// Rounds between two looks at an electorate that this node is in: it reads the row, and members seldom change.
constexpr int RoundsPerElectorateLook = 10;
constexpr std::chrono::milliseconds CellPause{500};
constexpr std::chrono::milliseconds VmListPause{1000};
constexpr std::chrono::milliseconds LoadPause{100};
constexpr std::chrono::milliseconds ClaimPause{1000};
constexpr std::chrono::milliseconds DrainPoll{50};
/// How long beats tell of a shutdown before the first look for remaining work.
constexpr std::chrono::milliseconds DrainNotice{1000};
constexpr const char *OneCell = "all";

ZoneId zoneOfCell(const Settings &settings)
{
    return settings.cell == OneCell ? ZoneId() : ZoneId(settings.cell);
}

} // namespace

const std::vector<Node::Loop> Node::Loops = {
    {"beat", &Node::beatRound, BeatPause},
    {"configuration", &Node::configurationRound, ConfigurationPause},
    {"electorate", &Node::electorateRound, ElectoratePause},
    {"lease", &Node::leaseRound, LeaseTimes().poll},
    {"cell", &Node::cellRound, CellPause},
    {"vm_list", &Node::vmListRound, VmListPause},
    {"load", &Node::loadRound, LoadPause},
    {"claim", &Node::claimRound, ClaimPause},
};

Node::Node(Settings settings, Incarnation incarnation)
    : m_settings(std::move(settings))
    , m_self{m_settings.node, incarnation}
    , m_workers(m_settings.threads)
    , m_decisions(m_clock, DecisionsKept)
    , m_members(MemberTimes())
    , m_crashes(CrashTimes())
    , m_table(m_client, {m_settings.platform})
    , m_objects(m_client, {m_settings.platform})
    , m_vms(m_client, {m_settings.platform})
    , m_engines(m_client, BackendTimes())
    , m_connector(BackendTimes())
    , m_replicaCaller(BackendTimes())
    , m_seal(m_settings.peerKey)
    , m_peers(m_workers, m_seal, m_metrics, m_settings.node)
    , m_configuration({m_table, m_objects, m_peers, m_members, m_clock, m_decisions, m_metrics},
          m_self,
          CurrencyTimes(),
          [this](const ConfigurationInForce &inForce) {
              m_fleet.assign(inForce.configuration);
          })
    , m_membership({m_members, m_fleet, m_crashes, m_configuration, m_clock, m_decisions},
          {m_self, m_settings.zone, m_settings.callerAddress, m_settings.peerAddress})
    , m_lease(m_table, m_clock, m_decisions, m_metrics, m_self, DutyId("cell-" + m_settings.cell), LeaseTimes())
    , m_orders(m_table,
          m_connector,
          m_lease,
          m_clock,
          m_decisions,
          m_metrics,
          m_self,
          [this](const ProcessId &process) {
              return m_members.ended(process.node, process.incarnation, m_clock.now());
          })
    , m_cell(m_orders, m_lease, m_fleet, m_clock, m_metrics, zoneOfCell(m_settings), CellTimes())
    , m_claims(m_table, m_members, m_clock, m_metrics, m_self)
    , m_retries(RetryShare, RetryReserve)
    , m_policy(makePolicy(m_settings.routing))
    , m_applicationPolicy(makeLeastOutstandingPolicy())
    , m_admission(new AdmissionGate({m_settings.inFlight}))
    , m_languageCalls(
          {m_engines, m_fleet, m_crashes, m_retries, *m_policy, m_members, m_clock, m_decisions, m_metrics, randomIndex(), m_settings.zone},
          LanguageCallTimes())
    , m_applicationCalls({m_replicaCaller,
          m_claims,
          m_fleet,
          m_retries,
          *m_applicationPolicy,
          m_clock,
          m_decisions,
          m_metrics,
          randomIndex(),
          m_settings.zone})
{
}

Node::~Node()
{
    stop();
}

RandomIndex Node::randomIndex()
{
    return [seed = m_self.incarnation.value()](std::size_t limit) {
        thread_local std::mt19937_64 engine(static_cast<std::uint64_t>(seed) ^ std::hash<std::thread::id>()(std::this_thread::get_id()));
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(engine);
    };
}

Result<void> Node::start()
{
    Result<void> listening = m_peers.listen(
        m_settings.peerAddress,
        [this](Heartbeat heartbeat) {
            asio::co_spawn(m_workers.first(), m_membership.hear(std::move(heartbeat)), asio::detached);
        },
        [this](PeerRequest request) {
            return answerPeer(std::move(request));
        });
    if (!listening) {
        return listening;
    }
    for (const Loop &loop : Loops) {
        asio::co_spawn(m_workers.first(), repeat(loop), asio::detached);
    }
    m_workers.start();
    LogEvent("node.started")
        .field("node", m_self.node)
        .field("incarnation", m_self.incarnation)
        .field("callers", m_settings.callerAddress.text());
    return {};
}

asio::awaitable<void> Node::repeat(Loop loop)
{
    while (true) {
        try {
            co_await (this->*loop.round)();
        } catch (const std::exception &exception) {
            LogEvent("loop.failed", LogEvent::Level::Error)
                .field("loop", std::string_view(loop.name))
                .field("detail", std::string_view(exception.what()));
        }
        co_await m_clock.sleep(loop.pause);
    }
}

std::vector<PeerSettings> Node::receivers() const
{
    std::vector<PeerSettings> found = m_settings.peers;
    for (const MemberView &member : m_members.view(m_clock.now())) {
        const bool known = std::ranges::any_of(found, [&member](const PeerSettings &peer) {
            return peer.node == member.last.node;
        });
        if (!known && member.status != MemberStatus::Gone) {
            found.push_back({member.last.node, member.last.peerAddress});
        }
    }
    return found;
}

asio::awaitable<void> Node::beatRound()
{
    m_membership.review();
    const Heartbeat heartbeat = m_membership.compose(m_draining, m_admission->loadShare(), m_cell.drainingReplicas());
    for (const PeerSettings &peer : receivers()) {
        m_peers.beat(peer.address, m_membership.addressed(heartbeat, peer.node));
    }
    co_return;
}

asio::awaitable<void> Node::configurationRound()
{
    const auto before = m_configuration.committed();
    co_await m_configuration.poll();
    const auto after = m_configuration.committed();
    const bool news = after && (!before || before->epoch != after->epoch);
    if (news) {
        co_await beatRound();
    }
}

asio::awaitable<void> Node::electorateRound()
{
    m_electorateRounds = (m_electorateRounds + 1) % RoundsPerElectorateLook;
    const bool looks = m_lease.authority() && m_electorateRounds == 0;
    // An electorate of the few nodes that the accepting one had heard would be lost with them.
    if (!m_draining && (looks || m_configuration.isLeftOut())) {
        co_await m_configuration.refreshElectorate();
    }
}

asio::awaitable<void> Node::leaseRound()
{
    co_await m_lease.step();
}

asio::awaitable<void> Node::cellRound()
{
    const auto inForce = m_configuration.inForce();
    if (inForce) {
        co_await m_cell.round(*inForce);
    }
}

asio::awaitable<void> Node::vmListRound()
{
    const auto vms = co_await m_vms.list();
    if (!vms) {
        co_return;
    }
    m_members.setVms(*vms, m_clock.now());
    for (const ReplicaView &view : m_fleet.all()) {
        m_fleet.setVmLeaving(view.spec.id, m_members.vmLeaving(view.spec.id.value()));
    }
}

asio::awaitable<void> Node::loadRound()
{
    for (const ReplicaView &view : m_fleet.all()) {
        const auto inForce = m_configuration.inForce();
        const ServiceSpec *service = inForce ? inForce->configuration.service(view.service) : nullptr;
        if (service != nullptr && service->kind == ServiceKind::Language) {
            asio::co_spawn(m_workers.first(), askLoad(view), asio::detached);
        }
    }
    co_return;
}

asio::awaitable<void> Node::askLoad(ReplicaView view)
{
    const TimePoint askedAt = m_clock.now();
    Result<LoadReport> report = co_await m_engines.load(view.spec);
    if (!report) {
        if (view.health != ReplicaHealth::Suspect) {
            LogEvent("replica.silent", LogEvent::Level::Warning).field("replica", view.spec.id).error(report.error());
            m_fleet.fail(view.spec.id, m_clock.now());
        }
        co_return;
    }
    m_fleet.report(view.spec.id, *report, askedAt);
}

asio::awaitable<void> Node::claimRound()
{
    co_await m_claims.settleAbandoned();
}

PeerReply Node::answerPeer(PeerRequest request)
{
    PeerReply reply;
    if (const auto *fetch = std::get_if<FetchBodyRequest>(&request)) {
        const Result<std::string> body = m_configuration.body(fetch->digest);
        reply.ok = body.has_value();
        reply.body = body ? *body : describe(body.error());
    } else if (const auto *offer = std::get_if<ConfigurationOffer>(&request)) {
        const Result<void> held = m_configuration.hold(*offer);
        reply.ok = held.has_value();
        reply.body = held ? std::string() : describe(held.error());
    } else {
        reply.ok = true;
        reply.committed = m_configuration.committed();
    }
    return reply;
}

asio::awaitable<void> Node::shutDown()
{
    const TimePoint begun = m_clock.now();
    m_draining = true;
    LogEvent("node.draining").field("in_flight", m_admission->inFlight());
    co_await beatRound();
    co_await m_lease.release();
    co_await m_clock.sleep(DrainNotice);
    while (m_admission->inFlight() > 0 && m_clock.now() - begun < m_settings.shutdownBound) {
        co_await m_clock.sleep(DrainPoll);
    }
    co_await m_claims.settleAbandoned();
    LogEvent("node.stopped", m_admission->inFlight() > 0 ? LogEvent::Level::Warning : LogEvent::Level::Info)
        .field("remaining_requests", m_admission->inFlight())
        .field("unsettled_claims", m_claims.unsettled())
        .field("took_ms", toMilliseconds(m_clock.now() - begun));
}

void Node::stop()
{
    m_workers.stop();
}

const Settings &Node::settings() const noexcept
{
    return m_settings;
}

const ProcessId &Node::self() const noexcept
{
    return m_self;
}

Workers &Node::workers() noexcept
{
    return m_workers;
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

Fleet &Node::fleet() noexcept
{
    return m_fleet;
}

Members &Node::members() noexcept
{
    return m_members;
}

CrashLedger &Node::crashes() noexcept
{
    return m_crashes;
}

ConfigurationKeeper &Node::configuration() noexcept
{
    return m_configuration;
}

AdmissionGate &Node::admission() noexcept
{
    return *m_admission;
}

LanguageCalls &Node::languageCalls() noexcept
{
    return m_languageCalls;
}

ApplicationCalls &Node::applicationCalls() noexcept
{
    return m_applicationCalls;
}

LeaseKeeper &Node::lease() noexcept
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
