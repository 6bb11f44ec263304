#pragma once

/**
 * @file
 * Selection of the backend server for a request. Works only on the table of backend servers and sends nothing.
 */

#include <optional>
#include <random>
#include <set>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/backend.h"
#include "apricotarch/state/routing_plan.h"

namespace apricotarch
{

/// Performance figures of the engines and weights of the placement costs, from the settings.
struct EngineCostModel
{
    double prefillTokensPerMs = 50; ///< Prefill rate of an engine at the prefill stage.
    double decodePrefillShare = 0.5; ///< Share of prefillTokensPerMs that an engine at the decode stage reaches, 0 to 1.
    double prefillChunkTokens = 2048; ///< Tokens prefilled per step at the prefill stage; a quarter of it at the decode stage.
    double stepMs = 6; ///< Duration of one step of a batch.
    double fetchSetupMs = 5; ///< Setup time of a KV transfer between two engines.
    double minSplitGainMs =
        60; ///< A separate prefill engine is selected only if it lowers the cost by more than this, since a KV transfer has a price.
    double prefixCacheShare = 0.7; ///< Share of an engine's KV memory that is assumed to hold cached prefix parts, 0 to 1.
    double prefillWeight = 5; ///< Weight of the prompt's prefill time, added to the time until the first event.
    double decodeInterference =
        0.1; ///< Cost per millisecond of prefill at a decode engine and per request in flight there, which the prefill delays.
    double maxWaitMs = 600; ///< A prompt whose prefill would start later than this is refused.
    bool forwardPriorities = false; ///< Whether the routes' priorities are sent to the engines.
    double rankPenaltyMs = 200; ///< Rank penalty: cost of each rank below the preferred engine, for 10,000 shared tokens.
    double fetchWeight = 2; ///< Weight of the fetch time of cached prefix parts, added to the time until the first event.
    std::int64_t minFetchTokens =
        1024; ///< Minimum number of tokens to fetch; prefilling fewer tokens costs less than the fixed costs of a fetch.
};

/// A request to place.
struct PlacementRequest
{
    std::vector<PromptPart> parts;
    std::int64_t promptTokens = 0;
    ZoneId zone; ///< Availability zone of this node.
    std::set<ReplicaId> triedServers; ///< Servers that the request has already been sent to.
    bool hasCurrentLoads = false; ///< The engines' loads are about one round trip old, not one heartbeat.
    std::vector<BackendPointer> fetchSources; ///< Further engines from which cached prefix parts may be fetched.
};

/// The servers selected for a request.
struct Placement
{
    BackendPointer server; ///< Server that answers the request, for a prompt the decode engine; null if no server can take it.
    BackendPointer prefillEngine; ///< Separate prefill engine; null if `server` prefills the prompt itself.
    BackendPointer prefixSource; ///< Engine from which the prefilling engine fetches cached prefix parts; null for none.
    std::int64_t tokensToPrefill = 0; ///< Tokens to prefill at the engine that prefills the prompt.
    double predictedFirstEventMs = 0; ///< Predicted time until the first event of the answer, in milliseconds.
    double waitMs = 0; ///< Predicted time until the prefill starts, in milliseconds; part of predictedFirstEventMs.
    double speedFactor = 1; ///< Factor in use of the engine that prefills the prompt, see Backend::speedFactor.
};

/// Selects backend servers. Not thread-safe; used on one event loop.
class PlacementPlanner
{
public:
    /**
     * @param costs figures of the engines and weights of the costs
     * @param seed seed of the random numbers that break ties
     */
    PlacementPlanner(EngineCostModel costs, std::uint64_t seed);

    /// Selects the least loaded server of a plain service; among equally loaded ones, a server of this node's zone.
    [[nodiscard]] Placement selectServer(const std::vector<BackendPointer> &servers, const PlacementRequest &request, TimePoint now);

    /**
     * Selects the engines for a prompt. Rendezvous hashing of the prompt's shared parts ranks the engines, so that all nodes
     * prefer the same few engines without coordination. If the preferred engine is loaded, an engine of a lower rank is selected.
     * @return the engines; `server` is null if no engine can take the prompt
     */
    [[nodiscard]] Placement selectEngines(
        const std::vector<BackendPointer> &engines, const PlacementRequest &request, const EngineSpec &spec, TimePoint now);

    /// Selects the decode engine with the least work for a prompt that another engine prefills. @return null if there is none
    [[nodiscard]] BackendPointer selectDecodeEngine(
        const std::vector<BackendPointer> &engines, const std::set<ReplicaId> &triedServers, TimePoint now) const;

    /// Returns the time in milliseconds that an engine of usual speed takes at a stage to prefill @p tokens.
    [[nodiscard]] double estimateUsualPrefillMs(EngineStage stage, std::int64_t tokens) const;

    /// Returns the estimated time in milliseconds that an engine takes to prefill @p tokens more.
    [[nodiscard]] double estimatePrefillMs(const Backend &engine, std::int64_t tokens) const;

private:
    /// An engine with its predicted times for a prompt, in milliseconds.
    struct Candidate
    {
        BackendPointer engine;
        BackendPointer fetchSource; ///< Engine to fetch cached prefix parts from; null for none.
        std::int64_t tokensToPrefill = 0; ///< Tokens to prefill after the fetch.
        double waitMs = 0; ///< Until the prefill starts.
        double firstEventMs = 0; ///< Until the first event.
        double cost = 0; ///< Weighted total cost, by which candidates are compared.
        std::uint64_t affinity = 0; ///< Score of the engine for the prompt in rendezvous hashing.
        double distance = 0; ///< The higher, the less the prompt prefers the engine by its weighted score; 0 if all engines are alike.
    };

    /// An engine and the number of the prompt's leading tokens that it is assumed to have cached.
    struct CachedPrefix
    {
        BackendPointer engine;
        std::int64_t tokens = 0;
    };

    /// Returns for each zone the engine with the longest cached prefix, so that evaluating all engines takes linear time.
    [[nodiscard]] static std::vector<CachedPrefix> selectFetchSources(const std::vector<CachedPrefix> &cachedPrefixes);

    /// Sorts candidates by rendezvous hashing of a prompt, the preferred one first. If their speeds differ, faster engines are preferred by
    /// more prompts, and each rank has a cost.
    /// @param speedRankMs cost of each rank in milliseconds
    static void rankByAffinity(std::vector<Candidate> &candidates, std::uint64_t key, double speedRankMs);

    /// Predicts the times and the cost of a prompt at an engine.
    [[nodiscard]] Candidate evaluateCandidate(const CachedPrefix &cached,
        const std::vector<CachedPrefix> &sources,
        const PlacementRequest &request,
        const EngineSpec &spec) const;

    /// Uses a separate prefill engine if that lowers the cost by more than EngineCostModel::minSplitGainMs.
    void splitIfCheaper(Placement &placement,
        const Candidate &combined,
        const Candidate &prefillCandidate,
        const BackendPointer &decodeEngine,
        const PlacementRequest &request,
        const EngineSpec &spec) const;

    /**
     * Sets the fetch source and the tokens to prefill of @p candidate if a fetch is cheaper than prefilling the tokens.
     * @return the duration of the fetch in milliseconds, or 0 without a fetch
     */
    [[nodiscard]] double chooseFetchSource(
        Candidate &candidate, const CachedPrefix &cached, const std::vector<CachedPrefix> &sources, const EngineSpec &spec) const;
    /// Returns the estimated time in milliseconds of a fetch of @p tokens from one engine to another.
    [[nodiscard]] double estimateFetchMs(
        const BackendPointer &from, const BackendPointer &to, std::int64_t tokens, const EngineSpec &spec) const;
    /// Returns the estimated time in milliseconds until the engine has a free slot.
    [[nodiscard]] double estimateSlotWaitMs(const Backend &engine, const EngineSpec &spec) const;

    EngineCostModel m_costs;
    std::mt19937_64 m_random;
};

/// Returns the key that ranks the engines for a prompt: the id of its last part that other requests share.
[[nodiscard]] std::uint64_t promptAffinityKey(const std::vector<PromptPart> &parts);

/// Returns the servers that are not in @p triedServers and not avoided after failures; if there is none, all that are not in @p
/// triedServers.
[[nodiscard]] std::vector<BackendPointer> selectCandidates(
    const std::vector<BackendPointer> &servers, const std::set<ReplicaId> &triedServers, TimePoint now);

/// Returns the candidates of selectCandidates() for each stage, so that a prompt still finds a decode engine if all of them are avoided.
[[nodiscard]] std::vector<BackendPointer> selectEngineCandidates(
    const std::vector<BackendPointer> &engines, const std::set<ReplicaId> &triedServers, TimePoint now);

} // namespace apricotarch
