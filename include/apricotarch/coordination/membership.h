#pragma once

/**
 * @file
 * Beats between nodes: composing them, and learning from those heard.
 */

#include <array>
#include <map>
#include <mutex>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/coordination/configuration_keeper.h"
#include "apricotarch/coordination/crash_ledger.h"
#include "apricotarch/state/decision_log.h"
#include "apricotarch/state/fleet.h"
#include "apricotarch/state/members.h"

namespace apricotarch
{

/// What a node says of itself and does not change.
struct NodeIdentity
{
    ProcessId process;
    ZoneId zone;
    Endpoint callerAddress;
    Endpoint peerAddress;
};

/// Remembers when this process sent its latest beats, so that an echo proves a time. Thread-safe.
class SentBeats
{
public:
    /// Notes a beat.
    void sent(std::int64_t sequence, TimePoint at);

    /// When a beat was sent; nothing where it is too old to be remembered.
    [[nodiscard]] std::optional<TimePoint> sentAt(std::int64_t sequence) const;

private:
    struct Beat
    {
        std::int64_t sequence = 0;
        TimePoint at;
    };
    static constexpr std::size_t Remembered = 64;

    mutable std::mutex m_mutex;
    std::array<Beat, Remembered> m_beats;
};

/// Membership of one node.
class Membership
{
public:
    /// What membership works with; all must outlive it.
    struct Dependencies
    {
        Members &members;
        Fleet &fleet;
        CrashLedger &crashes;
        ConfigurationKeeper &configuration;
        Clock &clock;
        DecisionLog &decisions;
    };

    Membership(Dependencies dependencies, NodeIdentity identity);

    /// What the next round of beats says, without the echo.
    [[nodiscard]] Heartbeat compose(bool draining, double loadShare, std::vector<ReplicaId> drainingReplicas);

    /// The beat of a round for one receiver.
    [[nodiscard]] Heartbeat addressed(Heartbeat heartbeat, const NodeId &receiver) const;

    /// Learns from a beat.
    [[nodiscard]] asio::awaitable<void> hear(Heartbeat heartbeat);

    /// Adds up what members say they have outstanding at replicas, and explains changes of status. Called every round.
    void review();

private:
    Dependencies m_use;
    NodeIdentity m_identity;
    SentBeats m_sent;
    std::int64_t m_sequence = 0;
    std::map<NodeId, MemberStatus> m_lastStatus;
};

} // namespace apricotarch
