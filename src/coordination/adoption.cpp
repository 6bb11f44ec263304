#include "apricotarch/coordination/adoption.h"

#include <algorithm>

namespace apricotarch
{

namespace
{

StorePosition epochOf(const AdoptionView &view)
{
    return view.committed ? view.committed->epoch : StorePosition();
}

bool isMajority(std::size_t count, std::size_t total)
{
    return count * 2 > total;
}

bool reachesMajority(const std::vector<Elector> &electorate, const std::set<ProcessId> &reachable)
{
    const auto count = std::ranges::count_if(electorate, [&reachable](const Elector &elector) {
        return reachable.contains({elector.node, elector.incarnation});
    });
    return isMajority(static_cast<std::size_t>(count), electorate.size());
}

bool isRecent(const std::optional<TimePoint> &at, TimePoint now, Duration maxAge)
{
    return at && now - *at <= maxAge;
}

std::vector<CallerId> callersOf(const Configuration &configuration, const ServiceId &service)
{
    std::vector<CallerId> callers;
    for (const CallerSpec &caller : configuration.callers) {
        if (mayUse(caller, service)) {
            callers.emplace_back(caller.id.value() + '/' + caller.keySha256);
        }
    }
    std::ranges::sort(callers);
    return callers;
}

} // namespace

AdoptionView applyCommitted(AdoptionView view, const CommittedConfiguration &committed)
{
    if (committed.epoch <= epochOf(view)) {
        return view;
    }
    view.committed = committed;
    view.relayedReadAt.reset();
    const bool isOfferOutdated = view.offer && view.offer->base < committed.epoch;
    if (isOfferOutdated) {
        view.offer.reset();
    }
    return view;
}

AdoptionView applyReportedEpoch(AdoptionView view, StorePosition epoch)
{
    view.highestReportedEpoch = std::max(view.highestReportedEpoch, epoch);
    return view;
}

AdoptionView applyOffer(AdoptionView view, KnownOffer offer)
{
    const bool isOutdated = offer.base < epochOf(view);
    const bool isKnown = view.offer && view.offer->base >= offer.base && view.offer->digest == offer.digest;
    if (isOutdated || isKnown) {
        return view;
    }
    view.offer = std::move(offer);
    return view;
}

AdoptionView applyRead(AdoptionView view, const std::optional<CommittedConfiguration> &committed, TimePoint sentAt)
{
    const StorePosition epoch = committed ? committed->epoch : StorePosition();
    if (epoch < epochOf(view)) {
        return view;
    }
    if (committed) {
        view = applyCommitted(std::move(view), *committed);
    }
    view.storeReadAt = std::max(view.storeReadAt.value_or(sentAt), sentAt);
    return view;
}

AdoptionView applyRelayedRead(AdoptionView view, StorePosition epoch, TimePoint readAt)
{
    if (epoch == epochOf(view) && epoch != StorePosition()) {
        view.relayedReadAt = std::max(view.relayedReadAt.value_or(readAt), readAt);
    }
    return view;
}

ConfigurationFreshness evaluateFreshness(
    const AdoptionView &view, const std::set<ProcessId> &reachable, TimePoint now, const FreshnessTimes &times)
{
    if (!view.committed) {
        return ConfigurationFreshness::Unknown;
    }
    if (isRecent(view.storeReadAt, now, times.maxReadAge) || isRecent(view.relayedReadAt, now, times.maxReadAge)) {
        return ConfigurationFreshness::Current;
    }
    if (view.highestReportedEpoch > view.committed->epoch) {
        return ConfigurationFreshness::Unknown;
    }
    if (view.offer) {
        return ConfigurationFreshness::Undecided;
    }
    return reachesMajority(view.committed->row.electorate, reachable) ? ConfigurationFreshness::Current : ConfigurationFreshness::Unknown;
}

bool offerHasMajority(const std::vector<Elector> &electorate, const std::set<ProcessId> &holders, const std::set<ProcessId> &ended)
{
    const auto count = std::ranges::count_if(electorate, [&](const Elector &elector) {
        const ProcessId process{elector.node, elector.incarnation};
        return holders.contains(process) || ended.contains(process);
    });
    return electorate.empty() || isMajority(static_cast<std::size_t>(count), electorate.size());
}

bool isOfferStale(const AdoptionView &view, TimePoint now, const FreshnessTimes &times)
{
    return view.offer && now - view.offer->receivedAt >= times.offerTimeout;
}

bool isSameService(const Configuration &left, const Configuration &right, const ServiceId &service)
{
    const ServiceSpec *inLeft = left.service(service);
    const ServiceSpec *inRight = right.service(service);
    if (inLeft == nullptr || inRight == nullptr) {
        return inLeft == inRight;
    }
    return *inLeft == *inRight && callersOf(left, service) == callersOf(right, service);
}

} // namespace apricotarch
