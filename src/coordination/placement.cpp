#include "apricotarch/coordination/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "apricotarch/base/hash.h"

namespace apricotarch
{

namespace
{

/// Load difference, as a share of a slot, at which a server of another zone is chosen instead of one of this node's zone.
constexpr double OtherZoneSlotCost = 0.3;

/// Work in milliseconds that each request in flight adds when decode engines are compared.
constexpr double RunningRequestMs = 30;

/// Factor by which a KV transfer between the platform's engines takes longer if they are in different zones.
constexpr double OtherZoneFetchFactor = 2;

/// Number of shared tokens for which the rank penalty applies in full; it is proportional to them.
constexpr double RankPenaltyTokens = 10'000;

/// The rank penalty does not grow beyond this rank: engines ranked lower do not have the prompt's parts cached.
constexpr std::size_t MaxPenalizedRank = 4;

/// The number of values of rendezvousScore().
constexpr double ScoreRange = 18'446'744'073'709'551'616.0;

/// If engines differ in speed: cost in milliseconds of each rank below the preferred engine, whatever the prompt's parts. Without it, all
/// nodes with the same view would choose the same few fast engines until the view shows the queues there. With current loads a lower cost
/// is enough, and a higher one keeps prompts in queues while other engines are idle.
constexpr double SpeedRankMs = 50;
constexpr double SpeedRankMsWithCurrentLoads = 10;

/// Returns the number of tokens of all parts but the last one, which only this request has.
std::int64_t sharedTokens(const std::vector<PromptPart> &parts)
{
    std::int64_t tokens = 0;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        tokens += parts[index].tokens;
    }
    return tokens;
}

} // namespace

std::uint64_t promptAffinityKey(const std::vector<PromptPart> &parts)
{
    if (parts.empty()) {
        return 0;
    }
    return parts.size() == 1 ? parts.front().id : parts[parts.size() - 2].id;
}

std::vector<BackendPointer> selectCandidates(
    const std::vector<BackendPointer> &servers, const std::set<ReplicaId> &triedServers, TimePoint now)
{
    std::vector<BackendPointer> untried;
    std::vector<BackendPointer> notAvoided;
    for (const BackendPointer &server : servers) {
        if (triedServers.contains(server->record.id)) {
            continue;
        }
        untried.push_back(server);
        if (server->avoidUntil <= now) {
            notAvoided.push_back(server);
        }
    }
    return notAvoided.empty() ? untried : notAvoided;
}

std::vector<BackendPointer> selectEngineCandidates(
    const std::vector<BackendPointer> &engines, const std::set<ReplicaId> &triedServers, TimePoint now)
{
    std::vector<BackendPointer> prefillEngines;
    std::vector<BackendPointer> decodeEngines;
    for (const BackendPointer &engine : engines) {
        (engine->record.stage == EngineStage::Prefill ? prefillEngines : decodeEngines).push_back(engine);
    }
    std::vector<BackendPointer> candidates = selectCandidates(prefillEngines, triedServers, now);
    const std::vector<BackendPointer> decodeCandidates = selectCandidates(decodeEngines, triedServers, now);
    candidates.insert(candidates.end(), decodeCandidates.begin(), decodeCandidates.end());
    return candidates;
}

PlacementPlanner::PlacementPlanner(EngineCostModel costs, std::uint64_t seed)
    : m_costs(costs)
    , m_random(seed)
{
}

Placement PlacementPlanner::selectServer(const std::vector<BackendPointer> &servers, const PlacementRequest &request, TimePoint now)
{
    Placement placement;
    const std::vector<BackendPointer> candidates = selectCandidates(servers, request.triedServers, now);
    double best = std::numeric_limits<double>::max();
    std::uniform_real_distribution<double> tieBreak(0, 0.01);
    for (const BackendPointer &server : candidates) {
        const double slotsUsed = static_cast<double>(server->load().requests) / std::max(server->record.slots, 1);
        const double zoneCost = server->record.zone == request.zone ? 0 : OtherZoneSlotCost / std::max(server->record.slots, 1);
        const double cost = slotsUsed + zoneCost + tieBreak(m_random);
        if (cost < best) {
            best = cost;
            placement.server = server;
        }
    }
    return placement;
}

double PlacementPlanner::estimateUsualPrefillMs(EngineStage stage, std::int64_t tokens) const
{
    const bool isPrefillStage = stage == EngineStage::Prefill;
    const double rate = m_costs.prefillTokensPerMs * (isPrefillStage ? 1 : m_costs.decodePrefillShare);
    const double chunk = m_costs.prefillChunkTokens * (isPrefillStage ? 1 : 0.25);
    const double count = static_cast<double>(tokens);
    return count / rate + std::ceil(count / chunk) * m_costs.stepMs;
}

double PlacementPlanner::estimatePrefillMs(const Backend &engine, std::int64_t tokens) const
{
    return engine.speedFactor * estimateUsualPrefillMs(engine.record.stage, tokens);
}

double PlacementPlanner::estimateSlotWaitMs(const Backend &engine, const EngineSpec &spec) const
{
    // An engine queues the requests that exceed its slots; each of them waits for about one answer to be decoded.
    constexpr double TypicalDecodeMs = 250;
    const std::int64_t excess = engine.load().requests - std::max(spec.slots, 1) + 1;
    return excess <= 0 ? 0 : engine.speedFactor * TypicalDecodeMs * static_cast<double>(excess) / std::max(spec.slots, 1);
}

double PlacementPlanner::estimateFetchMs(
    const BackendPointer &from, const BackendPointer &to, std::int64_t tokens, const EngineSpec &spec) const
{
    const double kvBits = static_cast<double>(tokens) * spec.kvBytesPerToken * 8;
    const double zoneFactor = from->record.zone == to->record.zone ? 1 : OtherZoneFetchFactor;
    return m_costs.fetchSetupMs + (spec.linkMegabits > 0 ? zoneFactor * kvBits / (spec.linkMegabits * 1000) : 0);
}

std::vector<PlacementPlanner::CachedPrefix> PlacementPlanner::selectFetchSources(const std::vector<CachedPrefix> &cachedPrefixes)
{
    std::map<ZoneId, CachedPrefix> best;
    for (const CachedPrefix &cached : cachedPrefixes) {
        CachedPrefix &longest = best[cached.engine->record.zone];
        if (cached.tokens > longest.tokens) {
            longest = cached;
        }
    }
    std::vector<CachedPrefix> sources;
    for (const auto &[zone, cached] : best) {
        if (cached.engine) {
            sources.push_back(cached);
        }
    }
    return sources;
}

double PlacementPlanner::chooseFetchSource(
    Candidate &candidate, const CachedPrefix &cached, const std::vector<CachedPrefix> &sources, const EngineSpec &spec) const
{
    double chosenFetchMs = 0;
    double bestSavingMs = 0;
    std::int64_t fetchedTokens = 0;
    for (const CachedPrefix &source : sources) {
        const std::int64_t tokens = source.tokens - cached.tokens;
        if (tokens < m_costs.minFetchTokens || source.engine == cached.engine) {
            continue;
        }
        const double fetchMs = estimateFetchMs(source.engine, cached.engine, tokens, spec);
        const double savingMs = estimatePrefillMs(*cached.engine, tokens) - m_costs.fetchWeight * fetchMs;
        if (savingMs > bestSavingMs) {
            bestSavingMs = savingMs;
            chosenFetchMs = fetchMs;
            candidate.fetchSource = source.engine;
            fetchedTokens = tokens;
        }
    }
    candidate.tokensToPrefill -= fetchedTokens;
    return chosenFetchMs;
}

PlacementPlanner::Candidate PlacementPlanner::evaluateCandidate(
    const CachedPrefix &cached, const std::vector<CachedPrefix> &sources, const PlacementRequest &request, const EngineSpec &spec) const
{
    Candidate candidate;
    const Backend &engine = *cached.engine;
    candidate.engine = cached.engine;
    candidate.tokensToPrefill = request.promptTokens - cached.tokens;
    const double fetchMs = chooseFetchSource(candidate, cached, sources, spec);
    candidate.tokensToPrefill = std::max<std::int64_t>(candidate.tokensToPrefill, 1);
    candidate.waitMs = estimatePrefillMs(engine, engine.load().promptTokens) + estimateSlotWaitMs(engine, spec);
    const double promptPrefillMs = estimatePrefillMs(engine, candidate.tokensToPrefill);
    candidate.firstEventMs = candidate.waitMs + fetchMs + promptPrefillMs + engine.speedFactor * m_costs.stepMs;
    // The weight is for the number of tokens that are prefilled again, which does not depend on the engine's speed. Scaled by it, the
    // weight would keep prompts in the queues of fast engines while slow ones are idle.
    const double usualPrefillMs = estimateUsualPrefillMs(engine.record.stage, candidate.tokensToPrefill);
    candidate.cost = candidate.firstEventMs + m_costs.prefillWeight * usualPrefillMs + m_costs.fetchWeight * fetchMs;
    if (engine.record.stage != EngineStage::Prefill) {
        candidate.cost += m_costs.decodeInterference * usualPrefillMs * static_cast<double>(engine.load().requests);
    }
    return candidate;
}

BackendPointer PlacementPlanner::selectDecodeEngine(
    const std::vector<BackendPointer> &engines, const std::set<ReplicaId> &triedServers, TimePoint now) const
{
    BackendPointer best;
    double leastWork = std::numeric_limits<double>::max();
    for (const BackendPointer &engine : selectEngineCandidates(engines, triedServers, now)) {
        if (engine->record.stage == EngineStage::Prefill) {
            continue;
        }
        const BackendLoad load = engine->load();
        // Steps take longer on slower engines, for the running requests and for the one to be placed.
        const double stepWork = engine->speedFactor * RunningRequestMs * static_cast<double>(load.requests);
        const double work = estimatePrefillMs(*engine, load.promptTokens) + stepWork + (engine->speedFactor - 1) * RunningRequestMs;
        if (work < leastWork) {
            leastWork = work;
            best = engine;
        }
    }
    return best;
}

void PlacementPlanner::rankByAffinity(std::vector<Candidate> &candidates, std::uint64_t key, double speedRankMs)
{
    double weights = 0;
    bool isUniform = true;
    for (Candidate &candidate : candidates) {
        candidate.affinity = rendezvousScore(key, candidate.engine->record.id.value());
        weights += 1 / candidate.engine->speedFactor;
        isUniform = isUniform && candidate.engine->speedFactor == 1;
    }
    if (!isUniform) {
        for (Candidate &candidate : candidates) {
            // Weighted rendezvous hashing: the share of the prompts that prefer an engine is proportional to its speed. The distances of
            // the engines in the order of preference are about 0, 1, 2 and so on.
            const double uniform = (static_cast<double>(candidate.affinity) + 1) / ScoreRange;
            candidate.distance = -std::log(uniform) * candidate.engine->speedFactor * weights;
            candidate.cost += speedRankMs * candidate.distance;
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return left.distance != right.distance ? left.distance < right.distance : left.affinity > right.affinity;
    });
}

void PlacementPlanner::splitIfCheaper(Placement &placement,
    const Candidate &combined,
    const Candidate &prefillCandidate,
    const BackendPointer &decodeEngine,
    const PlacementRequest &request,
    const EngineSpec &spec) const
{
    const double bytes = static_cast<double>(request.promptTokens) * spec.kvBytesPerToken;
    const double transferMs = spec.linkMegabits > 0 ? bytes * 8 / (spec.linkMegabits * 1000) : 0;
    const double splitCost = prefillCandidate.cost + transferMs + m_costs.fetchSetupMs + estimateSlotWaitMs(*decodeEngine, spec)
        + decodeEngine->speedFactor * m_costs.stepMs;
    if (splitCost + m_costs.minSplitGainMs < combined.cost) {
        placement.server = decodeEngine;
        placement.prefillEngine = prefillCandidate.engine;
        placement.prefixSource = prefillCandidate.fetchSource;
        placement.tokensToPrefill = prefillCandidate.tokensToPrefill;
        placement.waitMs = prefillCandidate.waitMs;
        placement.speedFactor = prefillCandidate.engine->speedFactor;
        placement.predictedFirstEventMs = splitCost - prefillCandidate.cost + prefillCandidate.firstEventMs;
    }
}

Placement PlacementPlanner::selectEngines(
    const std::vector<BackendPointer> &engines, const PlacementRequest &request, const EngineSpec &spec, TimePoint now)
{
    Placement placement;
    std::vector<Candidate> decodeCandidates;
    std::vector<Candidate> prefillCandidates;
    std::vector<CachedPrefix> cachedPrefixes;
    for (const BackendPointer &engine : selectEngineCandidates(engines, request.triedServers, now)) {
        cachedPrefixes.push_back({engine, std::min(engine->cache.cachedTokens(request.parts), request.promptTokens)});
    }
    std::vector<CachedPrefix> possibleSources = cachedPrefixes;
    for (const BackendPointer &engine : request.fetchSources) {
        possibleSources.push_back({engine, std::min(engine->cache.cachedTokens(request.parts), request.promptTokens)});
    }
    const std::vector<CachedPrefix> sources = selectFetchSources(possibleSources);
    for (const CachedPrefix &cached : cachedPrefixes) {
        auto &list = cached.engine->record.stage == EngineStage::Prefill ? prefillCandidates : decodeCandidates;
        list.push_back(evaluateCandidate(cached, sources, request, spec));
    }
    const std::uint64_t key = promptAffinityKey(request.parts);
    const double penaltyPerRankMs = m_costs.rankPenaltyMs * static_cast<double>(sharedTokens(request.parts)) / RankPenaltyTokens;
    const auto byCost = [](const Candidate &left, const Candidate &right) {
        return left.cost < right.cost;
    };
    const auto addRankPenalties = [&](std::vector<Candidate> &list) {
        rankByAffinity(list, key, request.hasCurrentLoads ? SpeedRankMsWithCurrentLoads : SpeedRankMs);
        for (std::size_t rank = 0; rank < list.size(); ++rank) {
            list[rank].cost += penaltyPerRankMs * static_cast<double>(std::min(rank, MaxPenalizedRank));
        }
        std::sort(list.begin(), list.end(), byCost);
    };
    if (decodeCandidates.empty()) {
        return placement;
    }
    addRankPenalties(decodeCandidates);
    addRankPenalties(prefillCandidates);
    const Candidate &combined = decodeCandidates.front();
    placement.server = combined.engine;
    placement.prefixSource = combined.fetchSource;
    placement.tokensToPrefill = combined.tokensToPrefill;
    placement.predictedFirstEventMs = combined.firstEventMs;
    placement.waitMs = combined.waitMs;
    placement.speedFactor = combined.engine->speedFactor;
    if (prefillCandidates.empty()) {
        return placement;
    }
    // An engine that only decodes the prompt should have few other requests and few tokens to prefill.
    const BackendPointer decodeEngine = selectDecodeEngine(engines, request.triedServers, now);
    splitIfCheaper(placement, combined, prefillCandidates.front(), decodeEngine, request, spec);
    return placement;
}

} // namespace apricotarch
