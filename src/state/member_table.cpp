#include "apricotarch/state/member_table.h"

namespace apricotarch
{

namespace
{

/// Returns whether a heartbeat is newer than the last accepted one: of a later incarnation, or later in the same incarnation.
bool isNewer(const Heartbeat &heartbeat, const Heartbeat &last)
{
    if (heartbeat.incarnation != last.incarnation) {
        return heartbeat.incarnation > last.incarnation;
    }
    return heartbeat.sequence > last.sequence;
}

} // namespace

MemberTable::MemberTable(MemberTimeouts times)
    : m_times(times)
{
}

bool MemberTable::handleHeartbeat(const Heartbeat &heartbeat, TimePoint now, std::optional<TimePoint> sentAfter)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(heartbeat.node);
    if (found == m_entries.end()) {
        m_entries.emplace(heartbeat.node, Entry{heartbeat, now, sentAfter});
        return true;
    }
    const bool expired = now - found->second.lastHeartbeatAt > m_times.goneAfter;
    if (!expired && !isNewer(heartbeat, found->second.last)) {
        return false;
    }
    found->second = Entry{heartbeat, now, sentAfter};
    return true;
}

void MemberTable::setVms(const std::vector<VmEntry> &vms, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, VmEntry> listed;
    for (const VmEntry &vm : vms) {
        listed.emplace(vm.id, vm);
        m_removedAt.erase(vm.id);
    }
    for (const auto &[id, vm] : m_vms) {
        if (!listed.contains(id)) {
            m_removedAt.emplace(id, now);
        }
    }
    m_vms = std::move(listed);
}

bool MemberTable::isRemovedForAtLeast(const std::string &id, TimePoint now, Duration duration) const
{
    const auto found = m_removedAt.find(id);
    return found != m_removedAt.end() && now - found->second >= duration;
}

MemberView MemberTable::makeView(const Entry &entry, TimePoint now) const
{
    MemberView view{entry.last, entry.lastHeartbeatAt, entry.sentAfter, MemberStatus::Alive, ""};
    const auto withStatus = [&view](MemberStatus status, std::string reason) {
        view.status = status;
        view.reason = std::move(reason);
        return view;
    };
    const Duration silence = now - entry.lastHeartbeatAt;
    const std::string silenceText = "no heartbeat received for " + std::to_string(toMilliseconds(silence)) + " ms";
    if (silence > m_times.goneAfter) {
        return withStatus(MemberStatus::Gone, silenceText);
    }
    if (silence > m_times.suspectAfter) {
        return withStatus(MemberStatus::Suspect, silenceText);
    }
    const auto vm = m_vms.find(entry.last.node.value());
    if (entry.last.draining) {
        return withStatus(MemberStatus::Draining, "the node reports that it is shutting down");
    }
    if (vm != m_vms.end() && vm->second.shuttingDown) {
        return withStatus(MemberStatus::Draining, "the VM list shows the node's VM as shutting down");
    }
    return withStatus(MemberStatus::Alive, "last heartbeat received " + std::to_string(toMilliseconds(silence)) + " ms ago");
}

std::vector<MemberView> MemberTable::view(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<MemberView> views;
    for (const auto &[id, entry] : m_entries) {
        views.push_back(makeView(entry, now));
    }
    return views;
}

std::optional<MemberView> MemberTable::member(const NodeId &id, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    return makeView(found->second, now);
}

bool MemberTable::hasEnded(const NodeId &node, Incarnation incarnation, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(node);
    if (found != m_entries.end() && found->second.last.incarnation > incarnation) {
        return true;
    }
    const bool silent = found == m_entries.end() || now - found->second.lastHeartbeatAt > m_times.removedAfter;
    return silent && isRemovedForAtLeast(node.value(), now, m_times.removedAfter);
}

bool MemberTable::isVmShuttingDown(const std::string &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_vms.find(id);
    return found == m_vms.end() ? m_removedAt.contains(id) : found->second.shuttingDown;
}

const char *memberStatusName(MemberStatus status) noexcept
{
    switch (status) {
    case MemberStatus::Alive:
        return "alive";
    case MemberStatus::Draining:
        return "draining";
    case MemberStatus::Suspect:
        return "suspect";
    case MemberStatus::Gone:
        return "gone";
    }
    return "unknown";
}

} // namespace apricotarch
