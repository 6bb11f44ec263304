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

/// Share of a slot that a server in another zone must be better by.
constexpr double OtherZoneCost = 0.3;

/// Milliseconds of work that a running request stands for when engines are compared.
constexpr double RequestMs = 30;

/// A copy of KV memory to another zone takes this many times as long, as the platform's engines do it.
constexpr double OtherZoneCopies = 2;

/// Shared tokens for which a step away from home counts in full.
constexpr double HomeStepTokens = 10'000;

/// Ranks beyond this one cost no more: they are strangers to the prompt anyway.
constexpr std::size_t HomeRanks = 4;

double rankHash(std::uint64_t prompt, const ReplicaId &engine)
{
    return static_cast<double>(contentHash(engine.value() + std::to_string(prompt)).value());
}

/// Tokens of all parts but the last one, which is the request's own.
std::int64_t sharedTokens(const std::vector<PromptPart> &parts)
{
    std::int64_t tokens = 0;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        tokens += parts[index].tokens;
    }
    return tokens;
}

/// What a prompt's home is found by: the last of its parts that other requests share.
std::uint64_t homeKey(const std::vector<PromptPart> &parts)
{
    if (parts.empty()) {
        return 0;
    }
    return parts.size() == 1 ? parts.front().id : parts[parts.size() - 2].id;
}

} // namespace

std::vector<BackendPointer> preferred(const std::vector<BackendPointer> &servers, const std::set<ReplicaId> &tried, TimePoint now)
{
    std::vector<BackendPointer> untried;
    std::vector<BackendPointer> trusted;
    for (const BackendPointer &server : servers) {
        if (tried.contains(server->record.id)) {
            continue;
        }
        untried.push_back(server);
        if (server->avoidUntil <= now) {
            trusted.push_back(server);
        }
    }
    return trusted.empty() ? untried : trusted;
}

Placer::Placer(EngineSpeed speed, std::uint64_t seed)
    : m_speed(speed)
    , m_random(seed)
{
}

Placement Placer::placePlain(const std::vector<BackendPointer> &servers, const PlacementRequest &request, TimePoint now)
{
    Placement placement;
    const std::vector<BackendPointer> candidates = preferred(servers, request.tried, now);
    double best = std::numeric_limits<double>::max();
    std::uniform_real_distribution<double> tie(0, 0.01);
    for (const BackendPointer &server : candidates) {
        const double used = static_cast<double>(server->load().requests) / std::max(server->record.slots, 1);
        const double away = server->record.zone == request.zone ? 0 : OtherZoneCost / std::max(server->record.slots, 1);
        const double cost = used + away + tie(m_random);
        if (cost < best) {
            best = cost;
            placement.run = server;
        }
    }
    return placement;
}

double Placer::readMs(const Backend &engine, std::int64_t tokens) const
{
    const bool prefill = engine.record.stage == EngineStage::Prefill;
    const double rate = m_speed.prefillTokensPerMs * (prefill ? 1 : m_speed.decodePrefillShare);
    const double chunk = m_speed.prefillChunk * (prefill ? 1 : 0.25);
    const double count = static_cast<double>(tokens);
    return count / rate + std::ceil(count / chunk) * m_speed.stepMs;
}

double Placer::slotWaitMs(const Backend &engine, const EngineSpec &spec) const
{
    // Beyond its slots an engine queues; each request in the queue waits for about one decoding to end.
    constexpr double DecodeMs = 250;
    const std::int64_t excess = engine.load().requests - std::max(spec.slots, 1) + 1;
    return excess <= 0 ? 0 : DecodeMs * static_cast<double>(excess) / std::max(spec.slots, 1);
}

double Placer::copyMs(const BackendPointer &from, const BackendPointer &to, std::int64_t tokens, const EngineSpec &spec) const
{
    const double bits = static_cast<double>(tokens) * spec.kvBytesPerToken * 8;
    const double distance = from->record.zone == to->record.zone ? 1 : OtherZoneCopies;
    return m_speed.fetchSetupMs + (spec.linkMegabits > 0 ? distance * bits / (spec.linkMegabits * 1000) : 0);
}

std::vector<Placer::Holder> Placer::copySources(const std::vector<Holder> &holders)
{
    std::map<ZoneId, Holder> best;
    for (const Holder &holder : holders) {
        Holder &known = best[holder.engine->record.zone];
        if (holder.tokens > known.tokens) {
            known = holder;
        }
    }
    std::vector<Holder> sources;
    for (const auto &[zone, holder] : best) {
        if (holder.engine) {
            sources.push_back(holder);
        }
    }
    return sources;
}

double Placer::chooseCopy(Candidate &candidate, const Holder &holder, const std::vector<Holder> &sources, const EngineSpec &spec) const
{
    double chosenMs = 0;
    double mostSaved = 0;
    std::int64_t copied = 0;
    for (const Holder &source : sources) {
        const std::int64_t more = source.tokens - holder.tokens;
        if (more < m_speed.leastCopiedTokens || source.engine == holder.engine) {
            continue;
        }
        const double ms = copyMs(source.engine, holder.engine, more, spec);
        const double saved = readMs(*holder.engine, more) - m_speed.copyWeight * ms;
        if (saved > mostSaved) {
            mostSaved = saved;
            chosenMs = ms;
            candidate.partsFrom = source.engine;
            copied = more;
        }
    }
    candidate.toRead -= copied;
    return chosenMs;
}

Placer::Candidate Placer::judge(
    const Holder &holder, const std::vector<Holder> &sources, const PlacementRequest &request, const EngineSpec &spec) const
{
    Candidate candidate;
    const Backend &engine = *holder.engine;
    candidate.engine = holder.engine;
    candidate.toRead = request.promptTokens - holder.tokens;
    const double copy = chooseCopy(candidate, holder, sources, spec);
    candidate.toRead = std::max<std::int64_t>(candidate.toRead, 1);
    candidate.waitMs = readMs(engine, engine.load().promptTokens) + slotWaitMs(engine, spec);
    const double read = readMs(engine, candidate.toRead);
    candidate.firstMs = candidate.waitMs + copy + read + m_speed.stepMs;
    candidate.cost = candidate.firstMs + m_speed.readWeight * read + m_speed.copyWeight * copy;
    if (engine.record.stage != EngineStage::Prefill) {
        candidate.cost += m_speed.interference * read * static_cast<double>(engine.load().requests);
    }
    return candidate;
}

BackendPointer Placer::placeRun(const std::vector<BackendPointer> &engines, const std::set<ReplicaId> &tried, TimePoint now) const
{
    BackendPointer best;
    double least = std::numeric_limits<double>::max();
    for (const BackendPointer &engine : preferred(engines, tried, now)) {
        if (engine->record.stage == EngineStage::Prefill) {
            continue;
        }
        const BackendLoad load = engine->load();
        const double work = readMs(*engine, load.promptTokens) + RequestMs * static_cast<double>(load.requests);
        if (work < least) {
            least = work;
            best = engine;
        }
    }
    return best;
}

Placement Placer::placePrompt(
    const std::vector<BackendPointer> &engines, const PlacementRequest &request, const EngineSpec &spec, TimePoint now)
{
    Placement placement;
    std::vector<Candidate> decoders;
    std::vector<Candidate> readers;
    std::vector<Holder> holders;
    for (const BackendPointer &engine : preferred(engines, request.tried, now)) {
        holders.push_back({engine, std::min(engine->cache.cachedTokens(request.parts), request.promptTokens)});
    }
    const std::vector<Holder> sources = copySources(holders);
    for (const Holder &holder : holders) {
        auto &list = holder.engine->record.stage == EngineStage::Prefill ? readers : decoders;
        list.push_back(judge(holder, sources, request, spec));
    }
    const std::uint64_t key = homeKey(request.parts);
    const double homeStepMs = m_speed.homeStepMs * static_cast<double>(sharedTokens(request.parts)) / HomeStepTokens;
    const auto byCost = [](const Candidate &left, const Candidate &right) {
        return left.cost < right.cost;
    };
    const auto addHomeCost = [&](std::vector<Candidate> &list) {
        std::sort(list.begin(), list.end(), [&](const Candidate &left, const Candidate &right) {
            return rankHash(key, left.engine->record.id) > rankHash(key, right.engine->record.id);
        });
        for (std::size_t rank = 0; rank < list.size(); ++rank) {
            list[rank].cost += homeStepMs * static_cast<double>(std::min(rank, HomeRanks));
        }
        std::sort(list.begin(), list.end(), byCost);
    };
    if (decoders.empty()) {
        return placement;
    }
    addHomeCost(decoders);
    addHomeCost(readers);
    const Candidate &inPlace = decoders.front();
    placement.run = inPlace.engine;
    placement.partsFrom = inPlace.partsFrom;
    placement.tokensToRead = inPlace.toRead;
    placement.predictedFirstMs = inPlace.firstMs;
    placement.waitMs = inPlace.waitMs;
    if (readers.empty()) {
        return placement;
    }
    // With the prompt read elsewhere, the engine that runs it should have few others and little to read itself.
    const BackendPointer runner = placeRun(engines, request.tried, now);
    const double bytes = static_cast<double>(request.promptTokens) * spec.kvBytesPerToken;
    const double moveMs = spec.linkMegabits > 0 ? bytes * 8 / (spec.linkMegabits * 1000) : 0;
    const Candidate &reader = readers.front();
    const double split = reader.cost + moveMs + m_speed.fetchSetupMs + slotWaitMs(*runner, spec) + m_speed.stepMs;
    if (split + m_speed.splitPenaltyMs < inPlace.cost) {
        placement.run = runner;
        placement.prefill = reader.engine;
        placement.partsFrom = reader.partsFrom;
        placement.tokensToRead = reader.toRead;
        placement.waitMs = reader.waitMs;
        placement.predictedFirstMs = split - reader.cost + reader.firstMs;
    }
    return placement;
}

} // namespace apricotarch
