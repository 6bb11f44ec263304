#pragma once

/**
 * @file
 * Which backend server gets a request. Works on views only; sends nothing.
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

/// How fast engines are. The figures come from the settings.
struct EngineSpeed
{
    double prefillTokensPerMs = 50; ///< Of an engine at the prefill stage.
    double decodePrefillShare = 0.5; ///< Of that, what an engine at the decode stage reaches.
    double prefillChunk = 2048; ///< Tokens read between two steps at the prefill stage, and a quarter at the decode stage.
    double stepMs = 6; ///< One step of a batch.
    double fetchSetupMs = 5; ///< Before KV memory flows from one engine to another.
    double splitPenaltyMs = 60; ///< How much earlier a first event must be for a move of KV memory to be worth its price.
    double cacheShare = 0.7; ///< Part of an engine's KV memory that is taken to hold cached parts.
    double readWeight = 5; ///< How much a millisecond of an engine's reading counts on top of the caller's own wait.
    double interference = 0.1; ///< What a millisecond of reading costs for each stream that it holds up.
    double longestWaitMs = 600; ///< A prompt that would wait longer than this before it is read is refused.
    bool usePriorities = false; ///< Whether engines are told the routes' priorities.
    double homeStepMs = 200; ///< What each step away from a prompt's first engine counts, for 10,000 shared tokens.
    double copyWeight = 2; ///< How much a millisecond of copying cached parts counts on top of the caller's own wait.
    std::int64_t leastCopiedTokens = 1024; ///< Fewer are read again: a copy's fixed costs outweigh the reading.
};

/// What is to be placed.
struct PlacementRequest
{
    std::vector<PromptPart> parts;
    std::int64_t promptTokens = 0;
    ZoneId zone; ///< Of this node.
    std::set<ReplicaId> tried; ///< Servers that had it already.
};

/// Where a request goes.
struct Placement
{
    BackendPointer run; ///< Null where no server can take it.
    BackendPointer prefill; ///< Reads the prompt first; null where `run` does.
    BackendPointer partsFrom; ///< Engine from which the reading one copies cached parts; null for none.
    std::int64_t tokensToRead = 0; ///< At the server that reads the prompt.
    double predictedFirstMs = 0; ///< Until the first event.
    double waitMs = 0; ///< Of that, until the prompt begins to be read.
};

/// Chooses backend servers. Used on one event loop.
class Placer
{
public:
    /// @param seed for ties
    Placer(EngineSpeed speed, std::uint64_t seed);

    /// A server of a plain service: the least loaded one, near ones first among equals.
    [[nodiscard]] Placement placePlain(const std::vector<BackendPointer> &servers, const PlacementRequest &request, TimePoint now);

    /**
     * Engines for a prompt. Each prompt has a fixed order of engines by the hash of its shared parts, so that all nodes send
     * it to the same few without asking each other; load moves it on to the next.
     */
    [[nodiscard]] Placement placePrompt(
        const std::vector<BackendPointer> &engines, const PlacementRequest &request, const EngineSpec &spec, TimePoint now);

    /// The engine that generates for a prompt which another one has read: the one with the least work. @return null for none
    [[nodiscard]] BackendPointer placeRun(
        const std::vector<BackendPointer> &engines, const std::set<ReplicaId> &tried, TimePoint now) const;

    /// Milliseconds until an engine would have read @p tokens more.
    [[nodiscard]] double readMs(const Backend &engine, std::int64_t tokens) const;

private:
    struct Candidate
    {
        BackendPointer engine;
        BackendPointer partsFrom; ///< Null where nothing is worth copying.
        std::int64_t toRead = 0;
        double waitMs = 0;
        double firstMs = 0;
        double cost = 0; ///< What is compared.
    };

    /// An engine and how much of the prompt it is taken to have cached.
    struct Holder
    {
        BackendPointer engine;
        std::int64_t tokens = 0;
    };

    /// The engine of each zone that holds most of a prompt, so that judging all engines stays linear in their number.
    [[nodiscard]] static std::vector<Holder> copySources(const std::vector<Holder> &holders);

    [[nodiscard]] Candidate judge(
        const Holder &holder, const std::vector<Holder> &sources, const PlacementRequest &request, const EngineSpec &spec) const;
    /// Notes in @p candidate from where its engine copies parts, if that is faster than reading them. @return its milliseconds, or 0
    [[nodiscard]] double chooseCopy(
        Candidate &candidate, const Holder &holder, const std::vector<Holder> &sources, const EngineSpec &spec) const;
    /// Milliseconds until an engine has copied @p tokens from another one.
    [[nodiscard]] double copyMs(const BackendPointer &from, const BackendPointer &to, std::int64_t tokens, const EngineSpec &spec) const;
    [[nodiscard]] double slotWaitMs(const Backend &engine, const EngineSpec &spec) const;

    EngineSpeed m_speed;
    std::mt19937_64 m_random;
};

/// Servers that are not avoided and have not had the request, or else those that have not had it.
[[nodiscard]] std::vector<BackendPointer> preferred(
    const std::vector<BackendPointer> &servers, const std::set<ReplicaId> &tried, TimePoint now);

} // namespace apricotarch
