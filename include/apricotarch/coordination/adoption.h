#pragma once

/**
 * @file
 * How a node knows which configuration is in force, and whether it may go on admitting work under it.
 *
 * Every acceptance is one conditional write of the configuration row, and it is sent only after a majority of the row's
 * electorate holds the new body. A node that cannot reach the store therefore knows that it is current while it hears a
 * majority of the electorate and none of them holds an undecided offer.
 *
 * The pure functions have the names of the transitions in models/configuration.pml.
 */

#include <optional>
#include <set>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/coordination/lease.h"
#include "apricotarch/coordination/peers.h"
#include "apricotarch/state/configuration.h"
#include "apricotarch/state/heartbeat.h"

namespace apricotarch
{

/// How old knowledge may be.
struct CurrencyTimes
{
    Duration storeBound = std::chrono::milliseconds(3000); ///< A row read longer ago than this proves nothing.
    Duration peerBound = std::chrono::milliseconds(1500); ///< A beat heard longer ago than this proves nothing.
    Duration staleOffer = std::chrono::seconds(5); ///< An offer undecided for longer is withdrawn through the store.
};

/// An offer that a node holds or has heard of.
struct KnownOffer
{
    RowVersion base;
    Digest digest;
    TimePoint heardAt;
};

/// What a node knows of the configuration row.
struct AdoptionView
{
    std::optional<CommittedConfiguration> committed; ///< The highest known.
    RowVersion claimedEpoch; ///< The highest that a peer has named.
    std::optional<KnownOffer> offer; ///< Based on the committed epoch.
    std::optional<TimePoint> storeReadAt; ///< A moment before the last successful read was sent.
    std::optional<TimePoint> relayedReadAt; ///< A moment before a peer's last successful read, as far as its beats prove.
};

/// Whether a node may admit work.
enum class Currency {
    Current, ///< The committed configuration it knows is the one in force.
    Undecided, ///< It is that or the offered one; services that are equal in both may go on.
    Unknown, ///< A later one may be in force.
};

/// What a view makes of a committed row, from the store or from a peer. A row of an earlier epoch changes nothing.
[[nodiscard]] AdoptionView learnCommitted(AdoptionView view, const CommittedConfiguration &committed);

/// What a view makes of an epoch that a peer names.
[[nodiscard]] AdoptionView learnClaim(AdoptionView view, RowVersion epoch);

/// What a view makes of an offer. An offer based on an epoch that is past changes nothing.
[[nodiscard]] AdoptionView learnOffer(AdoptionView view, KnownOffer offer);

/// What a view makes of a read of the row that was sent at @p sentAt. No row is also an answer.
[[nodiscard]] AdoptionView learnRead(AdoptionView view, const std::optional<CommittedConfiguration> &committed, TimePoint sentAt);

/// What a view makes of a peer's word that it has read the row, at the view's epoch, and no earlier than @p readAt.
[[nodiscard]] AdoptionView learnRelayedRead(AdoptionView view, RowVersion epoch, TimePoint readAt);

/// Whether a node may admit. @param heard processes whose words are proven to be recent, this one included
[[nodiscard]] Currency currency(const AdoptionView &view, const std::set<ProcessId> &heard, TimePoint now, const CurrencyTimes &times);

/**
 * Whether an acceptance may be written.
 * @param electorate of the row to be replaced
 * @param holding processes that hold the offered body
 * @param ended processes that are certain to have ended; no node can be hearing them
 */
[[nodiscard]] bool offerHasMajority(
    const std::vector<Elector> &electorate, const std::set<ProcessId> &holding, const std::set<ProcessId> &ended);

/// Whether an offer is old enough to be withdrawn by whoever can reach the store.
[[nodiscard]] bool offerIsStale(const AdoptionView &view, TimePoint now, const CurrencyTimes &times);

/// Whether a service is the same, callers included, in two configurations.
[[nodiscard]] bool sameService(const Configuration &left, const Configuration &right, const ServiceId &service);

} // namespace apricotarch
