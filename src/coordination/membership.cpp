#include "apricotarch/coordination/membership.h"

#include <utility>

namespace apricotarch
{

void SentBeats::sent(std::int64_t sequence, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_beats.at(static_cast<std::size_t>(sequence) % Remembered) = {sequence, at};
}

std::optional<TimePoint> SentBeats::sentAt(std::int64_t sequence) const
{
    if (sequence <= 0) {
        return std::nullopt;
    }
    const std::lock_guard lock(m_mutex);
    const Beat &beat = m_beats.at(static_cast<std::size_t>(sequence) % Remembered);
    return beat.sequence == sequence ? std::optional(beat.at) : std::nullopt;
}

Membership::Membership(Dependencies dependencies, NodeIdentity identity)
    : m_use(dependencies)
    , m_identity(std::move(identity))
{
}

Heartbeat Membership::compose(bool draining, double loadShare, std::vector<ReplicaId> drainingReplicas)
{
    const TimePoint now = m_use.clock.now();
    Heartbeat heartbeat;
    heartbeat.node = m_identity.process.node;
    heartbeat.incarnation = m_identity.process.incarnation;
    heartbeat.sequence = ++m_sequence;
    heartbeat.zone = m_identity.zone;
    heartbeat.callerAddress = m_identity.callerAddress;
    heartbeat.peerAddress = m_identity.peerAddress;
    heartbeat.draining = draining;
    heartbeat.loadShare = loadShare;
    heartbeat.configuration = m_use.configuration.claim();
    heartbeat.storeAge = m_use.configuration.storeAge();
    heartbeat.crashRecords = m_use.crashes.ownRecords(now);
    heartbeat.drainingReplicas = std::move(drainingReplicas);
    for (const ReplicaView &view : m_use.fleet.all()) {
        if (view.own.requests > 0) {
            heartbeat.inFlight.push_back({view.spec.id, view.own});
        }
    }
    m_sent.sent(heartbeat.sequence, now);
    return heartbeat;
}

Heartbeat Membership::addressed(Heartbeat heartbeat, const NodeId &receiver) const
{
    const auto member = m_use.members.member(receiver, m_use.clock.now());
    if (member) {
        heartbeat.echo = BeatEcho{member->last.incarnation, member->last.sequence};
    }
    return heartbeat;
}

asio::awaitable<void> Membership::hear(Heartbeat heartbeat)
{
    if (heartbeat.node == m_identity.process.node) {
        co_return;
    }
    const bool echoesThis = heartbeat.echo && heartbeat.echo->incarnation == m_identity.process.incarnation;
    const std::optional<TimePoint> provenAt = echoesThis ? m_sent.sentAt(heartbeat.echo->sequence) : std::nullopt;
    const TimePoint now = m_use.clock.now();
    if (!m_use.members.hear(heartbeat, now, provenAt)) {
        co_return;
    }
    m_use.crashes.learn(heartbeat.crashRecords, now);
    co_await m_use.configuration.hear(std::move(heartbeat), provenAt);
}

void Membership::review()
{
    std::map<ReplicaId, Outstanding> sums;
    for (const MemberView &member : m_use.members.view(m_use.clock.now())) {
        const auto known = m_lastStatus.find(member.last.node);
        const bool changed = known == m_lastStatus.end() || known->second != member.status;
        if (changed) {
            m_use.decisions.add({.kind = DecisionKind::Member,
                .subject = member.last.node.value(),
                .seen = member.reason,
                .weighed = "incarnation=" + std::to_string(member.last.incarnation.value()),
                .chosen = memberStatusName(member.status)});
            m_lastStatus[member.last.node] = member.status;
        }
        if (member.status == MemberStatus::Gone) {
            continue;
        }
        for (const ReplicaOutstanding &entry : member.last.inFlight) {
            Outstanding &sum = sums[entry.replica];
            sum.requests += entry.outstanding.requests;
            sum.prompt += entry.outstanding.prompt;
            sum.output += entry.outstanding.output;
        }
    }
    for (const ReplicaView &view : m_use.fleet.all()) {
        const auto sum = sums.find(view.spec.id);
        m_use.fleet.setPeers(view.spec.id, sum == sums.end() ? Outstanding() : sum->second);
    }
}

} // namespace apricotarch
