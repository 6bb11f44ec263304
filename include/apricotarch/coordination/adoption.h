#pragma once

/**
 * @file
 * Rules by which a node determines the configuration in force and whether it may continue to admit work under it.
 *
 * Each acceptance is one conditional write of the configuration row, sent only after a majority of the row's electorate
 * holds the new body. Therefore the configuration of a node that cannot reach the store is up to date while the node
 * receives heartbeats from a majority of the electorate and none of them holds an undecided offer.
 *
 * The pure functions implement the transitions of models/configuration.pml.
 */

#include <optional>
#include <set>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/coordination/lease.h"
#include "apricotarch/coordination/peer_client.h"
#include "apricotarch/state/configuration.h"
#include "apricotarch/state/heartbeat.h"

namespace apricotarch
{

/// Limits on the age of the information on which a node bases its decisions.
struct FreshnessTimes
{
    Duration maxReadAge = std::chrono::milliseconds(3000); ///< An older read of the row does not prove freshness.
    Duration maxHeartbeatAge = std::chrono::milliseconds(1500); ///< An older heartbeat does not prove that its sender is reachable.
    Duration offerTimeout = std::chrono::seconds(5); ///< An offer undecided for longer is withdrawn through the store.
};

/// An offer whose body this node holds, or that a peer has reported.
struct KnownOffer
{
    StorePosition base; ///< Epoch of the row that the offer would replace.
    Digest digest;
    TimePoint receivedAt;
};

/// The information that a node has about the configuration row.
struct AdoptionView
{
    std::optional<CommittedConfiguration> committed; ///< The committed row with the highest epoch received.
    StorePosition highestReportedEpoch; ///< The highest epoch that a peer has reported.
    std::optional<KnownOffer> offer; ///< An undecided offer, based on the committed epoch or a later one.
    std::optional<TimePoint> storeReadAt; ///< A moment before this node sent its last successful read.
    std::optional<TimePoint> relayedReadAt; ///< A moment before a peer's last successful read, as proven by its heartbeats.
};

/// Freshness of a node's configuration; determines whether the node may admit work.
enum class ConfigurationFreshness {
    Current, ///< The committed configuration of the node is in force.
    Undecided, ///< Either it or the offered one is in force; services that are equal in both may be admitted.
    Unknown, ///< A later configuration may be in force.
};

/// Updates a view with a committed row from the store or a peer. A row that is not of a later epoch is ignored.
[[nodiscard]] AdoptionView applyCommitted(AdoptionView view, const CommittedConfiguration &committed);

/// Updates a view with an epoch that a peer reports.
[[nodiscard]] AdoptionView applyReportedEpoch(AdoptionView view, StorePosition epoch);

/// Updates a view with an offer. An offer based on an earlier epoch than the committed one is ignored.
[[nodiscard]] AdoptionView applyOffer(AdoptionView view, KnownOffer offer);

/**
 * Updates a view with a successful read of the row.
 * @param view the view before the read
 * @param committed the row; nothing if the store answered that there is none
 * @param sentAt a moment before the read was sent
 */
[[nodiscard]] AdoptionView applyRead(AdoptionView view, const std::optional<CommittedConfiguration> &committed, TimePoint sentAt);

/**
 * Updates a view with a peer's report that it has read the row. A report for an epoch other than the view's is ignored.
 * @param view the view before the report
 * @param epoch epoch that the peer reports
 * @param readAt a moment before the peer's read
 */
[[nodiscard]] AdoptionView applyRelayedRead(AdoptionView view, StorePosition epoch, TimePoint readAt);

/**
 * Returns the freshness of a node's configuration.
 * @param view information that the node has
 * @param reachable processes whose heartbeats are proven to be recent, including this process
 * @param now present time
 * @param times limits on the age of the information
 */
[[nodiscard]] ConfigurationFreshness evaluateFreshness(
    const AdoptionView &view, const std::set<ProcessId> &reachable, TimePoint now, const FreshnessTimes &times);

/**
 * Returns whether an offer has the majority that is required to write its acceptance.
 * @param electorate electorate of the row to be replaced; an empty one requires no majority
 * @param holders processes that hold the offered body
 * @param ended processes that have certainly ended; they count like holders, because no node can receive their heartbeats
 */
[[nodiscard]] bool offerHasMajority(
    const std::vector<Elector> &electorate, const std::set<ProcessId> &holders, const std::set<ProcessId> &ended);

/// Returns whether an offer is old enough to be withdrawn by any node that can reach the store.
[[nodiscard]] bool isOfferStale(const AdoptionView &view, TimePoint now, const FreshnessTimes &times);

/// Returns whether a service, including its callers, is equal in two configurations.
[[nodiscard]] bool isSameService(const Configuration &left, const Configuration &right, const ServiceId &service);

} // namespace apricotarch
