#pragma once

/**
 * @file
 * Choosing a replica for a request. Each policy is a small object; the baselines stand beside the one in use.
 */

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/state/fleet.h"

namespace apricotarch
{

/// What routing knows of a request.
struct RouteRequest
{
    Tokens prompt;
    Tokens output; ///< Expected length of the answer.
    ZoneId zone; ///< Of the node that asks.
    ModelSpec model; ///< Empty for application services.
    int nodes = 1; ///< Nodes that dispatch to the same replicas, this one included.
    std::set<ReplicaId> excluded; ///< Tried already, draining, or kept for others.
};

/// What an eligible replica is expected to do with a request.
struct Prediction
{
    Duration firstToken{0};
    Duration total{0};
};

/// A chosen replica.
struct RouteChoice
{
    ReplicaSpec replica;
    Prediction prediction;
};

/// Random numbers of a seeded engine; the function gives a number from 0 to @p limit - 1.
using RandomIndex = std::function<std::size_t(std::size_t limit)>;

/// Whether an engine may answer for a service: an earlier or later version may, while a roll-out goes through the engines.
[[nodiscard]] bool servesFor(const ModelSpec &loaded, const ModelSpec &wanted) noexcept;

/// Whether a replica may be given a request now.
[[nodiscard]] bool isEligible(const ReplicaView &view, const RouteRequest &request, TimePoint now);

/// Predicts first token and end of a request at a replica that has reported.
[[nodiscard]] Prediction predict(const ReplicaView &view, const RouteRequest &request);

/// A way to choose among replicas.
class RoutingPolicy
{
public:
    RoutingPolicy() = default;
    RoutingPolicy(const RoutingPolicy &) = delete;
    RoutingPolicy &operator=(const RoutingPolicy &) = delete;
    virtual ~RoutingPolicy() = default;

    /// Name on the command line and in results.
    [[nodiscard]] virtual const char *name() const noexcept = 0;

    /// Chooses one of @p eligible, which is not empty. From any thread.
    [[nodiscard]] virtual std::size_t choose(
        const std::vector<ReplicaView> &eligible, const RouteRequest &request, const RandomIndex &random) = 0;
};

/// Predicted time to the end, random among those that are nearly as good as the best.
[[nodiscard]] std::unique_ptr<RoutingPolicy> makePredictedTimePolicy();

/// Baseline: fewest requests outstanding from this node.
[[nodiscard]] std::unique_ptr<RoutingPolicy> makeLeastOutstandingPolicy();

/// Baseline: one after the other.
[[nodiscard]] std::unique_ptr<RoutingPolicy> makeRoundRobinPolicy();

/// The policy of that name, or null.
[[nodiscard]] std::unique_ptr<RoutingPolicy> makePolicy(const std::string &name);

/// Chooses with a policy. @return nothing where no replica is eligible
[[nodiscard]] std::optional<RouteChoice> route(
    RoutingPolicy &policy, const std::vector<ReplicaView> &replicas, const RouteRequest &request, TimePoint now, const RandomIndex &random);

} // namespace apricotarch
