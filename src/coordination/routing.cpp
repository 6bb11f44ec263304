#include "apricotarch/coordination/routing.h"

#include <algorithm>
#include <array>
#include <atomic>

namespace apricotarch
{

namespace
{

constexpr std::int64_t TokensPerKvBlock = 16;
constexpr std::chrono::milliseconds OtherZoneCost{2}; ///< Added for a replica in another availability zone.
constexpr std::chrono::milliseconds NoFreeKvBlocksCost{1000}; ///< Added if the free KV blocks do not suffice for the request.

// Replicas within these margins of the best prediction are treated as equally good.
constexpr std::chrono::milliseconds NearBestMargin{5};
constexpr int NearBestMarginPercent = 10;

Duration seconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

Duration timeFor(Tokens tokens, double rate)
{
    return rate > 0 ? seconds(static_cast<double>(tokens.value()) / rate) : Duration::zero();
}

/// Returns the number of requests at a replica. Assumes that each other node has dispatched as many since the report as this one.
int requestsAt(const ReplicaView &view, int nodes)
{
    const int reported = view.report ? view.report->running + view.sinceReport.requests * nodes : 0;
    return std::max(reported, view.localLoad.requests + view.remoteLoad.requests);
}

/// Returns the estimated wait for a slot in the batch; zero while a slot is free.
Duration slotWait(const ReplicaView &view, const RouteRequest &request)
{
    const int queuedRequests = requestsAt(view, request.dispatchingNodes) - view.report->slots + 1;
    if (queuedRequests <= 0) {
        return Duration::zero();
    }
    const Duration timePerRequest = timeFor(request.output, view.report->decodeRate);
    return timePerRequest * queuedRequests / std::max(view.report->slots, 1);
}

bool fitsIntoFreeKvBlocks(const ReplicaView &view, const RouteRequest &request)
{
    const Tokens needed = request.prompt + request.output + view.sinceReport.prompt + view.sinceReport.output;
    return needed.value() <= view.report->freeKvBlocks.value() * TokensPerKvBlock;
}

class PredictedTimePolicy final : public RoutingPolicy
{
public:
    [[nodiscard]] const char *name() const noexcept override
    {
        return "predicted_time";
    }

    [[nodiscard]] std::size_t choose(
        const std::vector<ReplicaView> &eligible, const RouteRequest &request, const RandomIndex &random) override
    {
        std::vector<Duration> costs;
        for (const ReplicaView &view : eligible) {
            const Duration zoneCost = view.spec.zone == request.zone ? Duration::zero() : Duration(OtherZoneCost);
            costs.push_back(predict(view, request).total + zoneCost);
        }
        const Duration bestCost = *std::ranges::min_element(costs);
        const Duration acceptedCost = bestCost + bestCost * NearBestMarginPercent / 100 + NearBestMargin;
        std::vector<std::size_t> nearBest;
        for (std::size_t index = 0; index < costs.size(); ++index) {
            if (costs[index] <= acceptedCost) {
                nearBest.push_back(index);
            }
        }
        return nearBest[random(nearBest.size())];
    }
};

class LeastOutstandingPolicy final : public RoutingPolicy
{
public:
    [[nodiscard]] const char *name() const noexcept override
    {
        return "least_outstanding";
    }

    [[nodiscard]] std::size_t choose(
        const std::vector<ReplicaView> &eligible, const RouteRequest & /*request*/, const RandomIndex & /*random*/) override
    {
        const auto fewest = std::ranges::min_element(eligible, {}, [](const ReplicaView &view) {
            return view.localLoad.requests;
        });
        return static_cast<std::size_t>(fewest - eligible.begin());
    }
};

class RoundRobinPolicy final : public RoutingPolicy
{
public:
    [[nodiscard]] const char *name() const noexcept override
    {
        return "round_robin";
    }

    [[nodiscard]] std::size_t choose(
        const std::vector<ReplicaView> &eligible, const RouteRequest & /*request*/, const RandomIndex & /*random*/) override
    {
        return m_nextIndex.fetch_add(1, std::memory_order_relaxed) % eligible.size();
    }

private:
    std::atomic<std::size_t> m_nextIndex = 0;
};

} // namespace

bool canServe(const ModelSpec &loaded, const ModelSpec &requested) noexcept
{
    return loaded.model == requested.model && loaded.adapter == requested.adapter;
}

bool isEligible(const ReplicaView &view, const RouteRequest &request, TimePoint now)
{
    if (request.excluded.contains(view.spec.id) || view.vmShuttingDown || view.health == ReplicaHealth::ShuttingDown) {
        return false;
    }
    if (view.health == ReplicaHealth::Suspect && now < view.suspectUntil) {
        return false;
    }
    if (request.model == ModelSpec()) {
        return true;
    }
    return view.report && !view.report->changingStage && canServe(view.report->state.model, request.model);
}

Prediction predict(const ReplicaView &view, const RouteRequest &request)
{
    if (!view.report) {
        return {};
    }
    const Tokens sinceReport(view.sinceReport.prompt.value() * request.dispatchingNodes);
    const Tokens queued = view.report->queuedPrefill + sinceReport + request.prompt;
    Prediction prediction;
    prediction.firstToken = timeFor(queued, view.report->prefillRate) + slotWait(view, request);
    if (!fitsIntoFreeKvBlocks(view, request)) {
        prediction.firstToken += NoFreeKvBlocksCost;
    }
    prediction.total = prediction.firstToken + timeFor(request.output, view.report->decodeRate);
    return prediction;
}

std::unique_ptr<RoutingPolicy> makePredictedTimePolicy()
{
    return std::make_unique<PredictedTimePolicy>();
}

std::unique_ptr<RoutingPolicy> makeLeastOutstandingPolicy()
{
    return std::make_unique<LeastOutstandingPolicy>();
}

std::unique_ptr<RoutingPolicy> makeRoundRobinPolicy()
{
    return std::make_unique<RoundRobinPolicy>();
}

std::unique_ptr<RoutingPolicy> makePolicy(const std::string &name)
{
    constexpr std::array Makers = {&makePredictedTimePolicy, &makeLeastOutstandingPolicy, &makeRoundRobinPolicy};
    for (const auto &make : Makers) {
        std::unique_ptr<RoutingPolicy> policy = make();
        if (policy->name() == name) {
            return policy;
        }
    }
    return nullptr;
}

std::optional<RouteChoice> route(
    RoutingPolicy &policy, const std::vector<ReplicaView> &replicas, const RouteRequest &request, TimePoint now, const RandomIndex &random)
{
    std::vector<ReplicaView> eligible;
    std::ranges::copy_if(replicas, std::back_inserter(eligible), [&](const ReplicaView &view) {
        return isEligible(view, request, now);
    });
    if (eligible.empty()) {
        return std::nullopt;
    }
    const ReplicaView &chosen = eligible[policy.choose(eligible, request, random)];
    return RouteChoice{chosen.spec, predict(chosen, request)};
}

} // namespace apricotarch
