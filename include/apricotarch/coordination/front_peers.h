#pragma once

/**
 * @file
 * Which front nodes are there, from their beats.
 */

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/state/front_beat.h"

namespace apricotarch
{

/// When a silent node is taken to be gone.
struct PeerTimes
{
    Duration listed = std::chrono::milliseconds(1500); ///< A node not heard for this long is not given to callers.
    Duration counted = std::chrono::seconds(3); ///< ... no longer counts as sending work.
    Duration forgotten = std::chrono::seconds(30); ///< ... is not sent beats any more.
};

/// One other node.
struct FrontPeer
{
    Endpoint address; ///< For beats.
    FrontBeat beat; ///< The latest one; empty before the first.
    std::optional<TimePoint> heardAt;
    TimePoint knownSince;
};

/// An address that callers may be given.
struct CallerAddress
{
    Endpoint address;
    ZoneId zone;
};

/// The other front nodes. Used on one event loop.
class FrontPeers
{
public:
    FrontPeers(NodeId self, PeerTimes times);

    /// Notes an address at which a node may be; its first beat names it.
    void introduce(const Endpoint &peerAddress, TimePoint now);

    /// Takes a beat over. @return whether it is new: not repeated, older than the last or this node's own
    bool heard(const FrontBeat &beat, TimePoint now);

    /// Takes a notice over, as if its sender's last beat had told so. @return whether it is newer than what was heard
    bool heard(const LoadNotice &notice);

    /// Nodes that may be given to callers.
    [[nodiscard]] std::vector<CallerAddress> callerAddresses(TimePoint now) const;

    /// Nodes that count when shares of a common budget are worked out, this one included.
    [[nodiscard]] std::size_t count(TimePoint now) const;

    /// Where beats go.
    [[nodiscard]] std::vector<Endpoint> beatAddresses(TimePoint now) const;

    /**
     * Addresses of a few nodes that are heard, other ones with each call, to be told to others: nodes that start together
     * or were cut off for long may know each other from nowhere else. Constant in number, linear in the peers to find.
     */
    [[nodiscard]] std::vector<Endpoint> acquaintances(TimePoint now);

    /// Work at each backend server that other nodes told of and that still counts.
    [[nodiscard]] std::map<ReplicaId, BackendLoad> othersLoad(TimePoint now) const;

    /// The same for one backend server. Linear in what the peers told.
    [[nodiscard]] BackendLoad othersLoad(const ReplicaId &server, TimePoint now) const;

    /// Sum of one of the other nodes' rates for a service. @param rates member of their beats, per millisecond
    [[nodiscard]] double othersRate(std::map<ServiceId, double> FrontBeat::*rates, const ServiceId &service, TimePoint now) const;

    /// Whether this node has the smallest name of those that are heard; it is the one to change stages.
    [[nodiscard]] bool isFirst(TimePoint now) const;

    /**
     * Whether this node reads the store itself: where it is among the first of its zone, or too few others read it. The others
     * learn of changes from beats, so that the store's calls do not grow with the nodes.
     * @param zone of this node
     */
    [[nodiscard]] bool readsStore(const ZoneId &zone, TimePoint now) const;

    /// A peer that has read a newer configuration or servers' table, if any. @param plan, servers as this node has read them
    [[nodiscard]] std::optional<Endpoint> ahead(RowVersion plan, RowVersion servers, TimePoint now) const;

    /// Forgets nodes that have been silent for long.
    void forgetSilent(TimePoint now);

private:
    [[nodiscard]] bool within(const FrontPeer &peer, Duration time, TimePoint now) const;

    NodeId m_self;
    PeerTimes m_times;
    std::map<Endpoint, FrontPeer> m_peers;
    Endpoint m_lastTold; ///< Last address given by acquaintances().
};

} // namespace apricotarch
