#include "apricotarch/coordination/adoption.h"

#include <algorithm>

namespace apricotarch
{

namespace
{

RowVersion epochOf(const AdoptionView &view)
{
    return view.committed ? view.committed->epoch : RowVersion();
}

bool isMajority(std::size_t count, std::size_t whole)
{
    return count * 2 > whole;
}

bool hearsMajority(const std::vector<Elector> &electorate, const std::set<ProcessId> &heard)
{
    const auto count = std::ranges::count_if(electorate, [&heard](const Elector &elector) {
        return heard.contains({elector.node, elector.incarnation});
    });
    return isMajority(static_cast<std::size_t>(count), electorate.size());
}

bool isRecent(const std::optional<TimePoint> &at, TimePoint now, Duration bound)
{
    return at && now - *at <= bound;
}

std::vector<CallerId> callersOf(const Configuration &configuration, const ServiceId &service)
{
    std::vector<CallerId> ids;
    for (const CallerSpec &caller : configuration.callers) {
        if (answers(caller, service)) {
            ids.emplace_back(caller.id.value() + '/' + caller.keySha256);
        }
    }
    std::ranges::sort(ids);
    return ids;
}

} // namespace

AdoptionView learnCommitted(AdoptionView view, const CommittedConfiguration &committed)
{
    if (committed.epoch <= epochOf(view)) {
        return view;
    }
    view.committed = committed;
    view.relayedReadAt.reset();
    const bool offerIsPast = view.offer && view.offer->base < committed.epoch;
    if (offerIsPast) {
        view.offer.reset();
    }
    return view;
}

AdoptionView learnClaim(AdoptionView view, RowVersion epoch)
{
    view.claimedEpoch = std::max(view.claimedEpoch, epoch);
    return view;
}

AdoptionView learnOffer(AdoptionView view, KnownOffer offer)
{
    const bool isPast = offer.base < epochOf(view);
    const bool isKnown = view.offer && view.offer->base >= offer.base && view.offer->digest == offer.digest;
    if (isPast || isKnown) {
        return view;
    }
    view.offer = std::move(offer);
    return view;
}

AdoptionView learnRead(AdoptionView view, const std::optional<CommittedConfiguration> &committed, TimePoint sentAt)
{
    const RowVersion epoch = committed ? committed->epoch : RowVersion();
    if (epoch < epochOf(view)) {
        return view;
    }
    if (committed) {
        view = learnCommitted(std::move(view), *committed);
    }
    view.storeReadAt = std::max(view.storeReadAt.value_or(sentAt), sentAt);
    return view;
}

AdoptionView learnRelayedRead(AdoptionView view, RowVersion epoch, TimePoint readAt)
{
    if (epoch == epochOf(view) && epoch != RowVersion()) {
        view.relayedReadAt = std::max(view.relayedReadAt.value_or(readAt), readAt);
    }
    return view;
}

Currency currency(const AdoptionView &view, const std::set<ProcessId> &heard, TimePoint now, const CurrencyTimes &times)
{
    if (!view.committed) {
        return Currency::Unknown;
    }
    if (isRecent(view.storeReadAt, now, times.storeBound) || isRecent(view.relayedReadAt, now, times.storeBound)) {
        return Currency::Current;
    }
    if (view.claimedEpoch > view.committed->epoch) {
        return Currency::Unknown;
    }
    if (view.offer) {
        return Currency::Undecided;
    }
    return hearsMajority(view.committed->row.electorate, heard) ? Currency::Current : Currency::Unknown;
}

bool offerHasMajority(const std::vector<Elector> &electorate, const std::set<ProcessId> &holding, const std::set<ProcessId> &ended)
{
    const auto count = std::ranges::count_if(electorate, [&](const Elector &elector) {
        const ProcessId process{elector.node, elector.incarnation};
        return holding.contains(process) || ended.contains(process);
    });
    return electorate.empty() || isMajority(static_cast<std::size_t>(count), electorate.size());
}

bool offerIsStale(const AdoptionView &view, TimePoint now, const CurrencyTimes &times)
{
    return view.offer && now - view.offer->heardAt >= times.staleOffer;
}

bool sameService(const Configuration &left, const Configuration &right, const ServiceId &service)
{
    const ServiceSpec *inLeft = left.service(service);
    const ServiceSpec *inRight = right.service(service);
    if (inLeft == nullptr || inRight == nullptr) {
        return inLeft == inRight;
    }
    return *inLeft == *inRight && callersOf(left, service) == callersOf(right, service);
}

} // namespace apricotarch
