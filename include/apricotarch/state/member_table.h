#pragma once

/**
 * @file
 * A node's view of the other nodes, based on their heartbeats and on the platform's VM list, which lags behind.
 */

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/state/heartbeat.h"

namespace apricotarch
{

/// Status of a member.
enum class MemberStatus {
    Alive, ///< Sends heartbeats and accepts new callers.
    Draining, ///< Sends heartbeats, but accepts no new callers.
    Suspect, ///< No heartbeat was received for MemberTimeouts::suspectAfter.
    Gone, ///< No heartbeat was received for MemberTimeouts::goneAfter.
};

/// One entry of the platform's VM list.
struct VmEntry
{
    std::string id; ///< Id of a node or of a replica.
    bool shuttingDown = false; ///< The VM is shutting down.

    auto operator<=>(const VmEntry &) const = default;
};

/// Times after which the status of a member without heartbeats changes.
struct MemberTimeouts
{
    Duration suspectAfter = std::chrono::milliseconds(1500);
    Duration goneAfter = std::chrono::seconds(10);
    Duration removedAfter = std::chrono::seconds(30); ///< Time from the VM's removal from the list until its processes count as ended.
};

/// State of one member.
struct MemberView
{
    Heartbeat last; ///< Last heartbeat.
    TimePoint lastHeartbeatAt; ///< Time at which the last heartbeat was received.
    std::optional<TimePoint> sentAfter; ///< Time on the local clock after which the last heartbeat was certainly sent.
    MemberStatus status = MemberStatus::Alive;
    std::string reason; ///< Reason for the status, in words.
};

/// Thread-safe table of members.
class MemberTable
{
public:
    explicit MemberTable(MemberTimeouts times);

    // ---- input ----

    /**
     * Processes a heartbeat. Drops heartbeats of an earlier incarnation and those that are late or repeated, unless the member is Gone.
     * @param sentAfter time at which this process sent the heartbeat that is echoed
     * @return whether the heartbeat was accepted
     */
    bool handleHeartbeat(const Heartbeat &heartbeat, TimePoint now, std::optional<TimePoint> sentAfter);

    /// Replaces the VM list and records when VMs were removed from it.
    void setVms(const std::vector<VmEntry> &vms, TimePoint now);

    // ---- views ----

    /// Returns all members with their current status.
    [[nodiscard]] std::vector<MemberView> view(TimePoint now) const;

    /// Returns one member, or std::nullopt if it is unknown.
    [[nodiscard]] std::optional<MemberView> member(const NodeId &id, TimePoint now) const;

    /// Returns whether a process has certainly ended. This is so once a heartbeat of a later incarnation was received, or once its VM has
    /// been off the VM list and no heartbeat was received for MemberTimeouts::removedAfter.
    [[nodiscard]] bool hasEnded(const NodeId &node, Incarnation incarnation, TimePoint now) const;

    /// Returns whether the VM list shows a VM as shutting down, or the VM was removed from the list.
    [[nodiscard]] bool isVmShuttingDown(const std::string &id) const;

private:
    struct Entry
    {
        Heartbeat last;
        TimePoint lastHeartbeatAt;
        std::optional<TimePoint> sentAfter;
    };

    [[nodiscard]] MemberView makeView(const Entry &entry, TimePoint now) const;
    [[nodiscard]] bool isRemovedForAtLeast(const std::string &id, TimePoint now, Duration duration) const;

    MemberTimeouts m_times;
    mutable std::mutex m_mutex;
    std::map<NodeId, Entry> m_entries;
    std::map<std::string, VmEntry> m_vms;
    std::map<std::string, TimePoint> m_removedAt;
};

/// Returns the name of a status, for example `suspect`.
[[nodiscard]] const char *memberStatusName(MemberStatus status) noexcept;

} // namespace apricotarch
