#include "apricotarch/coordination/membership.h"

#include <utility>

namespace apricotarch
{

void SentHeartbeats::record(std::int64_t sequence, TimePoint sentAt)
{
    const std::lock_guard lock(m_mutex);
    m_entries.at(static_cast<std::size_t>(sequence) % Capacity) = {sequence, sentAt};
}

std::optional<TimePoint> SentHeartbeats::sentAt(std::int64_t sequence) const
{
    if (sequence <= 0) {
        return std::nullopt;
    }
    const std::lock_guard lock(m_mutex);
    const Entry &entry = m_entries.at(static_cast<std::size_t>(sequence) % Capacity);
    return entry.sequence == sequence ? std::optional(entry.sentAt) : std::nullopt;
}

Membership::Membership(Dependencies dependencies, NodeIdentity identity)
    : m_dependencies(dependencies)
    , m_identity(std::move(identity))
{
}

Heartbeat Membership::composeHeartbeat(bool draining, double loadShare, std::vector<ReplicaId> drainingReplicas)
{
    const TimePoint now = m_dependencies.clock.now();
    Heartbeat heartbeat;
    heartbeat.node = m_identity.process.node;
    heartbeat.incarnation = m_identity.process.incarnation;
    heartbeat.sequence = ++m_sequence;
    heartbeat.zone = m_identity.zone;
    heartbeat.callerAddress = m_identity.callerAddress;
    heartbeat.peerAddress = m_identity.peerAddress;
    heartbeat.draining = draining;
    heartbeat.loadShare = loadShare;
    heartbeat.configuration = m_dependencies.configuration.reportedState();
    heartbeat.storeAge = m_dependencies.configuration.storeAge();
    heartbeat.crashRecords = m_dependencies.crashes.nextReports(now);
    heartbeat.drainingReplicas = std::move(drainingReplicas);
    for (const ReplicaView &view : m_dependencies.fleet.all()) {
        if (view.localLoad.requests > 0) {
            heartbeat.outstanding.push_back({view.spec.id, view.localLoad});
        }
    }
    m_sentHeartbeats.record(heartbeat.sequence, now);
    return heartbeat;
}

Heartbeat Membership::addEcho(Heartbeat heartbeat, const NodeId &receiver) const
{
    const auto member = m_dependencies.members.member(receiver, m_dependencies.clock.now());
    if (member) {
        heartbeat.echo = HeartbeatEcho{member->last.incarnation, member->last.sequence};
    }
    return heartbeat;
}

asio::awaitable<void> Membership::handleHeartbeat(Heartbeat heartbeat)
{
    if (heartbeat.node == m_identity.process.node) {
        co_return;
    }
    const bool isEchoOfThisProcess = heartbeat.echo && heartbeat.echo->incarnation == m_identity.process.incarnation;
    const std::optional<TimePoint> sentAfter = isEchoOfThisProcess ? m_sentHeartbeats.sentAt(heartbeat.echo->sequence) : std::nullopt;
    const TimePoint now = m_dependencies.clock.now();
    if (!m_dependencies.members.handleHeartbeat(heartbeat, now, sentAfter)) {
        co_return;
    }
    m_dependencies.crashes.mergeRecords(heartbeat.crashRecords, now);
    co_await m_dependencies.configuration.handleHeartbeat(std::move(heartbeat), sentAfter);
}

void Membership::updatePeerLoads()
{
    std::map<ReplicaId, Outstanding> sums;
    for (const MemberView &member : m_dependencies.members.view(m_dependencies.clock.now())) {
        const auto previous = m_lastStatus.find(member.last.node);
        const bool isChanged = previous == m_lastStatus.end() || previous->second != member.status;
        if (isChanged) {
            m_dependencies.decisions.add({.kind = DecisionKind::Member,
                .subject = member.last.node.value(),
                .seen = member.reason,
                .weighed = "incarnation=" + std::to_string(member.last.incarnation.value()),
                .chosen = memberStatusName(member.status)});
            m_lastStatus[member.last.node] = member.status;
        }
        if (member.status == MemberStatus::Gone) {
            continue;
        }
        for (const ReplicaOutstanding &entry : member.last.outstanding) {
            Outstanding &sum = sums[entry.replica];
            sum.requests += entry.outstanding.requests;
            sum.prompt += entry.outstanding.prompt;
            sum.output += entry.outstanding.output;
        }
    }
    for (const ReplicaView &view : m_dependencies.fleet.all()) {
        const auto sum = sums.find(view.spec.id);
        m_dependencies.fleet.setRemoteLoad(view.spec.id, sum == sums.end() ? Outstanding() : sum->second);
    }
}

} // namespace apricotarch
