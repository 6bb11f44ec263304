#pragma once

/**
 * @file
 * Selection of a replica for a request: the policy in use and the baseline policies that it is compared with.
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
#include "apricotarch/state/replica_table.h"

namespace apricotarch
{

/// Properties of a request that routing depends on.
struct RouteRequest
{
    Tokens prompt; ///< Length of the prompt.
    Tokens output; ///< Expected length of the answer.
    ZoneId zone; ///< Availability zone of the node that routes the request.
    ModelSpec model; ///< Empty for application services.
    int dispatchingNodes = 1; ///< Nodes that dispatch to the same replicas, this one included.
    std::set<ReplicaId> excluded; ///< Replicas that must not be chosen: tried before, draining, or running another suspect.
};

/// Predicted times of a request at a replica.
struct Prediction
{
    Duration firstToken{0}; ///< Until the first token.
    Duration total{0}; ///< Until the end of the answer.
};

/// A chosen replica.
struct RouteChoice
{
    ReplicaSpec replica;
    Prediction prediction;
};

/// Seeded source of random numbers; returns a number from 0 to @p limit - 1.
using RandomIndex = std::function<std::size_t(std::size_t limit)>;

/// Returns whether an engine may serve a service. The model's version may differ, as it does during a roll-out.
[[nodiscard]] bool canServe(const ModelSpec &loaded, const ModelSpec &requested) noexcept;

/// Returns whether a replica may receive a request now.
[[nodiscard]] bool isEligible(const ReplicaView &view, const RouteRequest &request, TimePoint now);

/// Predicts when a request's first token and its end come at a replica. @return zeros if the replica has not reported its load
[[nodiscard]] Prediction predict(const ReplicaView &view, const RouteRequest &request);

/// A policy for the choice between eligible replicas.
class RoutingPolicy
{
public:
    RoutingPolicy() = default;
    RoutingPolicy(const RoutingPolicy &) = delete;
    RoutingPolicy &operator=(const RoutingPolicy &) = delete;
    virtual ~RoutingPolicy() = default;

    /// Returns the policy's name on the command line and in results.
    [[nodiscard]] virtual const char *name() const noexcept = 0;

    /**
     * Chooses one of the eligible replicas. Thread-safe.
     * @param eligible at least one replica
     * @param request the request
     * @param random source of random numbers
     * @return index in @p eligible
     */
    [[nodiscard]] virtual std::size_t choose(
        const std::vector<ReplicaView> &eligible, const RouteRequest &request, const RandomIndex &random) = 0;
};

/// Returns a policy that chooses by the predicted total time, at random between the replicas that are nearly as good as the best.
[[nodiscard]] std::unique_ptr<RoutingPolicy> makePredictedTimePolicy();

/// Returns a baseline policy that chooses the replica with the fewest outstanding requests of this node.
[[nodiscard]] std::unique_ptr<RoutingPolicy> makeLeastOutstandingPolicy();

/// Returns a baseline policy that chooses the replicas in turn.
[[nodiscard]] std::unique_ptr<RoutingPolicy> makeRoundRobinPolicy();

/// Returns the policy with the given name, or null if there is none.
[[nodiscard]] std::unique_ptr<RoutingPolicy> makePolicy(const std::string &name);

/// Chooses one of the eligible replicas with a policy. @return nothing if no replica is eligible
[[nodiscard]] std::optional<RouteChoice> route(
    RoutingPolicy &policy, const std::vector<ReplicaView> &replicas, const RouteRequest &request, TimePoint now, const RandomIndex &random);

} // namespace apricotarch
