#pragma once

/**
 * @file
 * The other nodes as one node sees them, from their beats and from the platform's lagging VM list.
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

/// How a member stands.
enum class MemberStatus {
    Alive,
    Draining, ///< Heard, but takes no new callers.
    Suspect, ///< Not heard for a while.
    Gone, ///< Not heard for long, or its VM has left the list.
};

/// One entry of the platform's VM list.
struct VmEntry
{
    std::string id; ///< Id of a node or of a replica.
    bool leaving = false;

    auto operator<=>(const VmEntry &) const = default;
};

/// When a silent member is suspected and when it is given up.
struct MemberTimes
{
    Duration suspectAfter = std::chrono::milliseconds(1500);
    Duration goneAfter = std::chrono::seconds(10);
    Duration removedAfter = std::chrono::seconds(30); ///< From leaving the VM list until the VM counts as ended.
};

/// One member.
struct MemberView
{
    Heartbeat last;
    TimePoint heardAt;
    std::optional<TimePoint> provenAt; ///< Its last beat is certain to have been sent after this moment of the own clock.
    MemberStatus status = MemberStatus::Alive;
    std::string reason; ///< Why it has this status.
};

/// Thread-safe table of members.
class Members
{
public:
    explicit Members(MemberTimes times);

    // ---- input ----

    /**
     * Takes a beat in. Beats of an earlier incarnation, and late or repeated ones, are dropped.
     * @param provenAt when this process sent the beat that is echoed
     * @return whether it was taken
     */
    bool hear(const Heartbeat &heartbeat, TimePoint now, std::optional<TimePoint> provenAt);

    /// Takes the VM list in.
    void setVms(const std::vector<VmEntry> &vms, TimePoint now);

    // ---- views ----

    /// All members with their present status.
    [[nodiscard]] std::vector<MemberView> view(TimePoint now) const;

    /// One member.
    [[nodiscard]] std::optional<MemberView> member(const NodeId &id, TimePoint now) const;

    /// Whether a process is certain to have ended: a later incarnation was heard, or its VM is long off the list and it is silent.
    [[nodiscard]] bool ended(const NodeId &node, Incarnation incarnation, TimePoint now) const;

    /// Whether the VM list shows a VM as leaving, or has shown it and no longer does.
    [[nodiscard]] bool vmLeaving(const std::string &id) const;

private:
    struct Entry
    {
        Heartbeat last;
        TimePoint heardAt;
        std::optional<TimePoint> provenAt;
    };

    [[nodiscard]] MemberView viewOf(const Entry &entry, TimePoint now) const;
    [[nodiscard]] bool removedFor(const std::string &id, TimePoint now, Duration duration) const;

    MemberTimes m_times;
    mutable std::mutex m_mutex;
    std::map<NodeId, Entry> m_entries;
    std::map<std::string, VmEntry> m_vms;
    std::map<std::string, TimePoint> m_removedAt;
};

/// Name of a status, for example `suspect`.
[[nodiscard]] const char *memberStatusName(MemberStatus status) noexcept;

} // namespace apricotarch
