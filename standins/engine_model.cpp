#include "engine_model.h"

#include <algorithm>
#include <utility>

#include "apricotarch/base/hash.h"

namespace apricotarch::standins
{

namespace
{

constexpr std::int64_t TokensPerKvBlock = 16;
constexpr std::size_t MaxWaitingRequests = 256;
constexpr std::int64_t VocabularySize = 10'000;

std::int64_t kvBlocksFor(const EngineRequest &request)
{
    const std::int64_t tokens = estimateTokens(request.prompt).value() + request.maxOutput.value();
    return (tokens + TokensPerKvBlock - 1) / TokensPerKvBlock;
}

} // namespace

std::string answerWord(const std::string &prompt, std::int64_t index)
{
    const std::int64_t hash = contentHash(std::to_string(index) + '\n' + prompt).value();
    return " w" + std::to_string((hash & INT64_MAX) % VocabularySize);
}

EngineModel::EngineModel(EngineModelSettings settings, Incarnation incarnation)
    : m_settings(std::move(settings))
    , m_incarnation(incarnation)
    , m_freeKvBlocks(m_settings.kvBlocks)
{
}

std::int64_t EngineModel::tokensToGenerate(const Stream &stream) const
{
    return stream.request.maxOutput.value() - stream.request.startOffset;
}

EngineReply EngineModel::submit(const EngineRequest &request, TimePoint now)
{
    advance(now);
    if (m_shuttingDown) {
        return EngineReply::ShuttingDown;
    }
    if (m_changeTarget) {
        return EngineReply::Changing;
    }
    if (m_waiting.size() >= MaxWaitingRequests || kvBlocksFor(request) > m_settings.kvBlocks) {
        return EngineReply::Full;
    }
    if (!m_settings.crashMarker.empty() && request.prompt.find(m_settings.crashMarker) != std::string::npos) {
        return EngineReply::Crash;
    }
    Stream stream;
    stream.request = request;
    stream.tokensToPrefill = static_cast<double>(estimateTokens(request.prompt).value() + request.startOffset);
    m_streams[request.stream] = stream;
    const auto position = std::ranges::find_if(m_waiting, [&](const std::string &other) {
        return m_streams.at(other).request.priority < request.priority;
    });
    m_waiting.insert(position, request.stream);
    startWaitingRequests();
    return EngineReply::Accepted;
}

bool EngineModel::hasStream(const std::string &stream) const
{
    return m_streams.contains(stream);
}

std::optional<EngineChunk> EngineModel::outputFrom(const std::string &id, std::int64_t from) const
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return std::nullopt;
    }
    const Stream &stream = found->second;
    const std::int64_t begin = std::max(from, stream.request.startOffset);
    const std::int64_t end = stream.request.startOffset + static_cast<std::int64_t>(stream.produced);
    if (begin >= end && !stream.finished) {
        return std::nullopt;
    }
    EngineChunk chunk;
    chunk.stream = id;
    chunk.offset = begin;
    chunk.tokens = std::max<std::int64_t>(0, end - begin);
    for (std::int64_t index = begin; index < end; ++index) {
        chunk.text += answerWord(stream.request.prompt, index);
    }
    chunk.finishReason = stream.finished ? "length" : "";
    return chunk;
}

void EngineModel::attachReader(const std::string &stream)
{
    const auto found = m_streams.find(stream);
    if (found != m_streams.end()) {
        ++found->second.readers;
    }
}

void EngineModel::detachReader(const std::string &stream)
{
    const auto found = m_streams.find(stream);
    if (found != m_streams.end()) {
        --found->second.readers;
    }
}

bool EngineModel::cancel(const std::string &id, bool onlyIfDetached)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end() || (onlyIfDetached && found->second.readers > 0)) {
        return false;
    }
    m_freeKvBlocks += found->second.kvBlocks;
    m_batch.remove(id);
    std::erase(m_waiting, id);
    m_streams.erase(found);
    startWaitingRequests();
    return true;
}

EngineReply EngineModel::handleOrder(const EngineOrder &order, TimePoint now)
{
    advance(now);
    if (m_settings.checksFencing && order.fencingToken < m_highestFencingToken) {
        return EngineReply::StaleToken;
    }
    m_highestFencingToken = std::max(m_highestFencingToken, order.fencingToken);
    m_acceptedOrders.push_back(order);
    const bool isCurrentState = order.target == m_settings.state && !m_changeTarget;
    if (!isCurrentState && m_changeTarget != order.target) {
        m_changeTarget = order.target;
        m_changeEndsAt.reset();
    }
    advance(now);
    return EngineReply::Accepted;
}

void EngineModel::beginShutdown()
{
    m_shuttingDown = true;
}

bool EngineModel::isIdle() const noexcept
{
    return m_batch.empty() && m_waiting.empty();
}

const std::vector<EngineOrder> &EngineModel::acceptedOrders() const noexcept
{
    return m_acceptedOrders;
}

LoadReport EngineModel::loadReport(TimePoint now) const
{
    LoadReport report;
    for (const LoadSample &sample : m_loadSamples) {
        if (sample.at + m_settings.loadReportDelay <= now) {
            report = sample.report;
        }
    }
    // Only the load lags behind. Identity, state and progress of orders are reported without delay.
    report.incarnation = m_incarnation;
    report.shuttingDown = m_shuttingDown;
    report.changingStage = m_changeTarget.has_value();
    report.state = m_settings.state;
    report.slots = m_settings.slots;
    report.totalKvBlocks = KvBlocks(m_settings.kvBlocks);
    report.freeKvBlocks = m_loadSamples.empty() ? report.totalKvBlocks : report.freeKvBlocks;
    report.prefillRate = m_settings.prefillRate;
    report.decodeRate = m_settings.decodeRate;
    return report;
}

void EngineModel::advance(TimePoint now)
{
    constexpr std::chrono::milliseconds MaxStep{5};
    if (m_now == TimePoint()) {
        m_now = now;
    }
    while (m_now < now) {
        const Duration step = std::min<Duration>(MaxStep, now - m_now);
        const double seconds = std::chrono::duration<double>(step).count();
        m_now += step;
        startWaitingRequests();
        prefill(seconds);
        decode(seconds, m_now);
        finishChange(m_now);
        addLoadSample(m_now);
        if (isIdle() && !m_changeTarget) {
            m_now = now;
        }
    }
    removeExpiredStreams(now);
}

void EngineModel::startWaitingRequests()
{
    while (!m_waiting.empty() && static_cast<int>(m_batch.size()) < m_settings.slots) {
        Stream &stream = m_streams.at(m_waiting.front());
        const std::int64_t kvBlocks = kvBlocksFor(stream.request);
        if (kvBlocks > m_freeKvBlocks) {
            return;
        }
        m_freeKvBlocks -= kvBlocks;
        stream.kvBlocks = kvBlocks;
        m_batch.push_back(m_waiting.front());
        m_waiting.pop_front();
    }
}

void EngineModel::prefill(double seconds)
{
    double budget = m_settings.prefillRate * seconds;
    for (const std::string &id : m_batch) {
        Stream &stream = m_streams.at(id);
        const double used = std::min(budget, stream.tokensToPrefill);
        stream.tokensToPrefill -= used;
        budget -= used;
    }
}

void EngineModel::decode(double seconds, TimePoint now)
{
    std::vector<std::string> finishedIds;
    for (const std::string &id : m_batch) {
        Stream &stream = m_streams.at(id);
        if (stream.tokensToPrefill > 0) {
            continue;
        }
        const auto limit = static_cast<double>(tokensToGenerate(stream));
        stream.produced = std::min(limit, stream.produced + m_settings.decodeRate * seconds);
        if (stream.produced >= limit) {
            finishedIds.push_back(id);
        }
    }
    for (const std::string &id : finishedIds) {
        m_batch.remove(id);
        finish(m_streams.at(id), now);
    }
}

void EngineModel::finish(Stream &stream, TimePoint now)
{
    m_freeKvBlocks += stream.kvBlocks;
    stream.kvBlocks = 0;
    stream.finished = true;
    stream.finishedAt = now;
}

void EngineModel::finishChange(TimePoint now)
{
    if (!m_changeTarget || !isIdle()) {
        return;
    }
    if (!m_changeEndsAt) {
        m_changeEndsAt = now + m_settings.changeDuration;
    }
    if (now >= *m_changeEndsAt) {
        m_settings.state = *m_changeTarget;
        m_changeTarget.reset();
        m_changeEndsAt.reset();
    }
}

void EngineModel::removeExpiredStreams(TimePoint now)
{
    std::erase_if(m_streams, [&](const auto &entry) {
        return entry.second.finished && now - entry.second.finishedAt > m_settings.streamRetention;
    });
}

void EngineModel::addLoadSample(TimePoint now)
{
    LoadReport report;
    report.running = static_cast<int>(m_batch.size() + m_waiting.size());
    report.freeKvBlocks = KvBlocks(m_freeKvBlocks);
    double queuedTokens = 0;
    for (const auto &[id, stream] : m_streams) {
        queuedTokens += stream.finished ? 0 : stream.tokensToPrefill;
    }
    report.queuedPrefill = Tokens(static_cast<std::int64_t>(queuedTokens));
    m_loadSamples.push_back({now, report});
    while (m_loadSamples.size() > 1 && m_loadSamples[1].at + m_settings.loadReportDelay <= now) {
        m_loadSamples.pop_front();
    }
}

} // namespace apricotarch::standins
