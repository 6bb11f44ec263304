#include "apricotarch/app/node.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "apricotarch/base/log.h"

// Periodic tasks.

namespace apricotarch
{

namespace
{

/// Iterations between two checks of an electorate that includes this node. A check reads the electorate's row, and members seldom change.
constexpr int IterationsPerElectorateCheck = 10;

} // namespace

asio::awaitable<void> Node::sendHeartbeats()
{
    m_membership.updatePeerLoads();
    const Heartbeat heartbeat = m_membership.composeHeartbeat(m_draining, m_admission->loadShare(), m_cellController.drainingReplicas());
    for (const PeerSettings &peer : heartbeatReceivers()) {
        m_peerTransport.sendHeartbeat(peer.address, m_membership.addEcho(heartbeat, peer.node));
    }
    co_return;
}

asio::awaitable<void> Node::pollConfiguration()
{
    const auto before = m_configuration.committed();
    co_await m_configuration.poll();
    const auto after = m_configuration.committed();
    const bool changed = after && (!before || before->epoch != after->epoch);
    if (changed) {
        co_await sendHeartbeats();
    }
}

asio::awaitable<void> Node::checkElectorate()
{
    m_electorateIterations = (m_electorateIterations + 1) % IterationsPerElectorateCheck;
    const bool checkDue = m_lease.authority() && m_electorateIterations == 0;
    // The node that accepted the configuration may have known only a few nodes. An electorate of only these would be lost if they
    // failed, so it is refreshed.
    if (!m_draining && (checkDue || m_configuration.isOutsideElectorate())) {
        co_await m_configuration.refreshElectorate();
    }
}

asio::awaitable<void> Node::renewLease()
{
    co_await m_lease.step();
}

asio::awaitable<void> Node::controlCell()
{
    const auto inForce = m_configuration.inForce();
    if (inForce) {
        co_await m_cellController.reconcile(*inForce);
    }
}

asio::awaitable<void> Node::updateVmList()
{
    const auto vms = co_await m_vmDirectory.list();
    if (!vms) {
        co_return;
    }
    m_members.setVms(*vms, m_clock.now());
    for (const ReplicaView &view : m_replicas.all()) {
        m_replicas.setVmShuttingDown(view.spec.id, m_members.isVmShuttingDown(view.spec.id.value()));
    }
}

asio::awaitable<void> Node::requestLoads()
{
    for (const ReplicaView &view : m_replicas.all()) {
        const auto inForce = m_configuration.inForce();
        const ServiceSpec *service = inForce ? inForce->configuration.service(view.service) : nullptr;
        if (service != nullptr && service->kind == ServiceKind::Language) {
            asio::co_spawn(m_eventLoops.coordinationLoop(), requestLoad(view), asio::detached);
        }
    }
    co_return;
}

asio::awaitable<void> Node::requestLoad(ReplicaView view)
{
    const TimePoint requestedAt = m_clock.now();
    Result<LoadReport> report = co_await m_engineStreams.load(view.spec);
    if (!report) {
        if (view.health != ReplicaHealth::Suspect) {
            LogEvent("replica.silent", LogEvent::Level::Warning).field("replica", view.spec.id).error(report.error());
            m_replicas.handleFailure(view.spec.id, m_clock.now());
        }
        co_return;
    }
    m_replicas.handleLoadReport(view.spec.id, *report, requestedAt);
}

asio::awaitable<void> Node::retryAbandonedClaims()
{
    co_await m_claims.retryPendingReleases();
}

} // namespace apricotarch
