#include "apricotarch/app/engine_group_loads.h"

#include <algorithm>
#include <functional>
#include <utility>

#include <boost/asio/this_coro.hpp>

#include "apricotarch/base/hash.h"
#include "apricotarch/protocol/front_codec.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// Stewards of each group; with two, one of them may fail.
constexpr std::size_t StewardsPerGroup = 2;

/// Longest time that a prompt waits for the load of its group; several round trips within a region.
constexpr Duration AnswerTimeout = 12ms;

/// Answers that arrive later than this are ignored.
constexpr Duration QueryLifetime = 500ms;

/// A steward that has left this many queries unanswered is replaced by the next node for the time SuspicionTime. A single datagram may
/// be lost.
constexpr int MinSilentQueries = 2;
constexpr Duration SuspicionTime = 4s;

} // namespace

EngineGroupLoads::EngineGroupLoads(FrontState &state, AuthenticatedLink &link, Incarnation incarnation, MessageSequence &sequence)
    : m_state(state)
    , m_link(link)
    , m_incarnation(incarnation)
    , m_sequence(sequence)
{
}

// ---- of this node's own requests ----

asio::awaitable<void> EngineGroupLoads::refresh(EngineGroupQuery query)
{
    const TimePoint now = m_state.clock.now();
    removeExpiredQueries(now);
    query.number = ++m_lastQuery;
    query.peerAddress = m_state.settings.peerAddress;
    const std::vector<Endpoint> stewards = selectStewards(query.service, query.group);
    AsyncEvent answered(co_await asio::this_coro::executor);
    m_queries[query.number] = PendingQuery{query.prompt, stewards, 0, &answered, now};
    for (const Endpoint &steward : stewards) {
        if (steward == m_state.settings.peerAddress) {
            handleReport(makeReport(query));
        } else {
            send(steward, query);
        }
    }
    if (m_queries.at(query.number).answers == 0) {
        co_await answered.waitUntil(now + AnswerTimeout);
    }
    PendingQuery &pending = m_queries.at(query.number);
    pending.answered = nullptr;
    m_state.metrics.increment(CounterFamily::Peers, pending.answers > 0 ? "group_load_answered" : "group_load_unanswered");
}

void EngineGroupLoads::report(const Backend &engine, const std::vector<PromptPart> &prompt)
{
    LoadUpdate update{m_incarnation, m_sequence.next(), m_state.settings.peerAddress, {engine.record.id, engine.localLoad}, prompt};
    update.speedPercent = m_state.serverSpeeds.takeSample(engineSpeedKey(engine.record));
    for (const Endpoint &steward : selectStewards(engine.record.service, m_state.engineGroups.groupOf(engine))) {
        if (steward != m_state.settings.peerAddress) {
            send(steward, update);
        }
    }
}

void EngineGroupLoads::repeatReports()
{
    for (const auto &[id, backend] : m_state.backends.all()) {
        if (backend->record.stage != EngineStage::Any && backend->localLoad.requests > 0) {
            report(*backend, {});
        }
    }
    m_reportedLoads.removeExpired(m_state.clock.now());
}

// ---- as a steward ----

void EngineGroupLoads::handleUpdate(const LoadUpdate &update)
{
    if (!m_reportedLoads.record(update, m_state.clock.now())) {
        m_state.metrics.increment(CounterFamily::Peers, "notice_old");
        return;
    }
    const BackendPointer engine = m_state.backends.find(update.load.replica);
    if (!engine) {
        return;
    }
    if (!update.prompt.empty()) {
        engine->cache.recordPrompt(update.prompt);
    }
    if (update.speedPercent) {
        m_state.serverSpeeds.merge({engineSpeedKey(engine->record), *update.speedPercent}, m_state.clock.now());
    }
}

void EngineGroupLoads::handleQuery(const EngineGroupQuery &query)
{
    m_state.metrics.increment(CounterFamily::Peers, "group_queries");
    send(query.peerAddress, makeReport(query));
}

EngineGroupReport EngineGroupLoads::makeReport(const EngineGroupQuery &query)
{
    EngineGroupReport report;
    report.number = query.number;
    report.peerAddress = m_state.settings.peerAddress;
    const EngineGroup *group = m_state.engineGroups.find(query.service, query.group);
    if (group == nullptr) {
        return report;
    }
    const bool isOwnQuery = query.peerAddress == m_state.settings.peerAddress;
    const TimePoint now = m_state.clock.now();
    for (const BackendPointer &engine : group->engines) {
        BackendLoad load = m_reportedLoads.sum(engine->record.id, query.peerAddress, now);
        if (!isOwnQuery) {
            load += engine->localLoad;
        }
        report.engines.push_back({{engine->record.id, load},
            engine->cache.cachedTokens(query.prompt),
            m_state.serverSpeeds.ownEstimate(engineSpeedKey(engine->record), now)});
    }
    return report;
}

void EngineGroupLoads::handleReport(const EngineGroupReport &report)
{
    m_silences.erase(report.peerAddress);
    const auto found = m_queries.find(report.number);
    if (found == m_queries.end()) {
        return;
    }
    PendingQuery &query = found->second;
    if (std::erase(query.unanswered, report.peerAddress) == 0) {
        return;
    }
    applyEntries(report, query.prompt, query.answers++ == 0);
    if (query.answered != nullptr) {
        query.answered->notify();
    }
}

void EngineGroupLoads::applyEntries(const EngineGroupReport &report, const std::vector<PromptPart> &prompt, bool isFirst)
{
    for (const EngineGroupEntry &entry : report.engines) {
        const BackendPointer engine = m_state.backends.find(entry.load.replica);
        if (!engine) {
            continue;
        }
        if (entry.speedPercent) {
            m_state.serverSpeeds.recordEstimate(engineSpeedKey(engine->record), *entry.speedPercent, m_state.clock.now());
        }
        if (isFirst) {
            engine->remoteLoad = entry.load.load;
            // In a full mesh, heartbeats say more of an engine's cache than a steward that has just started.
            if (m_state.peers.usesPartialView() || entry.cachedTokens > engine->cache.cachedTokens(prompt)) {
                engine->cache.setCachedTokens(prompt, entry.cachedTokens);
            }
            continue;
        }
        // A steward that has just started knows only a part of the load.
        engine->remoteLoad.requests = std::max(engine->remoteLoad.requests, entry.load.load.requests);
        engine->remoteLoad.promptTokens = std::max(engine->remoteLoad.promptTokens, entry.load.load.promptTokens);
    }
}

// ---- both ----

std::vector<Endpoint> EngineGroupLoads::selectStewards(const ServiceId &service, const std::string &group) const
{
    const auto key = static_cast<std::uint64_t>(contentHash(service.value() + '\n' + group).value());
    std::vector<std::pair<std::uint64_t, Endpoint>> scores;
    const TimePoint now = m_state.clock.now();
    for (Endpoint &node : m_state.peers.stewardAddresses(now)) {
        if (isSuspect(node, now)) {
            continue;
        }
        scores.emplace_back(rendezvousScore(key, node.text()), std::move(node));
    }
    scores.emplace_back(rendezvousScore(key, m_state.settings.peerAddress.text()), m_state.settings.peerAddress);
    const std::size_t count = std::min(StewardsPerGroup, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(count), scores.end(), std::greater<>());
    std::vector<Endpoint> stewards;
    for (std::size_t index = 0; index < count; ++index) {
        stewards.push_back(std::move(scores[index].second));
    }
    return stewards;
}

void EngineGroupLoads::removeExpiredQueries(TimePoint now)
{
    std::erase_if(m_queries, [&](const auto &entry) {
        const PendingQuery &query = entry.second;
        if (query.answered != nullptr || now - query.sentAt <= QueryLifetime) {
            return false;
        }
        for (const Endpoint &steward : query.unanswered) {
            Silence &silence = m_silences[steward];
            ++silence.queries;
            silence.lastAt = now;
        }
        return true;
    });
}

bool EngineGroupLoads::isSuspect(const Endpoint &steward, TimePoint now) const
{
    const auto found = m_silences.find(steward);
    return found != m_silences.end() && found->second.queries >= MinSilentQueries && now - found->second.lastAt <= SuspicionTime;
}

void EngineGroupLoads::send(const Endpoint &peer, const FrontDatagram &datagram)
{
    m_link.sendDatagram(peer, m_link.authenticate(encodeFrontDatagram(datagram)));
}

} // namespace apricotarch
