#include "engine_model.h"

#include <algorithm>
#include <utility>

#include "apricotarch/base/hash.h"

namespace apricotarch::standins
{

namespace
{

constexpr std::int64_t TokensPerPiece = 16;
constexpr std::size_t MaxWaiting = 256;
constexpr std::int64_t Vocabulary = 10'000;

std::int64_t piecesFor(const EngineRequest &request)
{
    const std::int64_t tokens = estimateTokens(request.prompt).value() + request.maxOutput.value();
    return (tokens + TokensPerPiece - 1) / TokensPerPiece;
}

} // namespace

std::string answerWord(const std::string &prompt, std::int64_t index)
{
    const std::int64_t hash = contentHash(std::to_string(index) + '\n' + prompt).value();
    return " w" + std::to_string((hash & INT64_MAX) % Vocabulary);
}

EngineModel::EngineModel(EngineModelSettings settings, Incarnation incarnation)
    : m_settings(std::move(settings))
    , m_incarnation(incarnation)
    , m_freePieces(m_settings.kvPieces)
{
}

std::int64_t EngineModel::wanted(const Stream &stream) const
{
    return stream.request.maxOutput.value() - stream.request.startOffset;
}

EngineReply EngineModel::submit(const EngineRequest &request, TimePoint now)
{
    advance(now);
    if (m_leaving) {
        return EngineReply::Leaving;
    }
    if (m_changingTo) {
        return EngineReply::Changing;
    }
    if (m_waiting.size() >= MaxWaiting || piecesFor(request) > m_settings.kvPieces) {
        return EngineReply::Full;
    }
    if (!m_settings.crashMarker.empty() && request.prompt.find(m_settings.crashMarker) != std::string::npos) {
        return EngineReply::Crash;
    }
    Stream stream;
    stream.request = request;
    stream.prefillLeft = static_cast<double>(estimateTokens(request.prompt).value() + request.startOffset);
    m_streams[request.stream] = stream;
    const auto place = std::ranges::find_if(m_waiting, [&](const std::string &other) {
        return m_streams.at(other).request.priority < request.priority;
    });
    m_waiting.insert(place, request.stream);
    fillBatch();
    return EngineReply::Taken;
}

bool EngineModel::knows(const std::string &stream) const
{
    return m_streams.contains(stream);
}

std::optional<EnginePiece> EngineModel::piece(const std::string &id, std::int64_t from) const
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
    EnginePiece piece;
    piece.stream = id;
    piece.offset = begin;
    piece.tokens = std::max<std::int64_t>(0, end - begin);
    for (std::int64_t index = begin; index < end; ++index) {
        piece.text += answerWord(stream.request.prompt, index);
    }
    piece.finishReason = stream.finished ? "length" : "";
    return piece;
}

void EngineModel::attach(const std::string &stream)
{
    const auto found = m_streams.find(stream);
    if (found != m_streams.end()) {
        ++found->second.readers;
    }
}

void EngineModel::detach(const std::string &stream)
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
    m_freePieces += found->second.pieces;
    m_batch.remove(id);
    std::erase(m_waiting, id);
    m_streams.erase(found);
    fillBatch();
    return true;
}

EngineReply EngineModel::order(const EngineOrder &order, TimePoint now)
{
    advance(now);
    if (m_settings.checksFencing && order.fence < m_highestFence) {
        return EngineReply::StaleToken;
    }
    m_highestFence = std::max(m_highestFence, order.fence);
    m_taken.push_back(order);
    const bool already = order.target == m_settings.state && !m_changingTo;
    if (!already && m_changingTo != order.target) {
        m_changingTo = order.target;
        m_changeEnds.reset();
    }
    advance(now);
    return EngineReply::Taken;
}

void EngineModel::setLeaving()
{
    m_leaving = true;
}

bool EngineModel::idle() const noexcept
{
    return m_batch.empty() && m_waiting.empty();
}

const std::vector<EngineOrder> &EngineModel::takenOrders() const noexcept
{
    return m_taken;
}

LoadReport EngineModel::load(TimePoint now) const
{
    LoadReport report;
    for (const TimedLoad &timed : m_loads) {
        if (timed.at + m_settings.loadLag <= now) {
            report = timed.report;
        }
    }
    // What the engine is and does about orders is known at once; only its load lags.
    report.incarnation = m_incarnation;
    report.leaving = m_leaving;
    report.changing = m_changingTo.has_value();
    report.state = m_settings.state;
    report.slots = m_settings.slots;
    report.totalPieces = KvPieces(m_settings.kvPieces);
    report.freePieces = m_loads.empty() ? report.totalPieces : report.freePieces;
    report.prefillRate = m_settings.prefillRate;
    report.decodeRate = m_settings.decodeRate;
    return report;
}

void EngineModel::advance(TimePoint now)
{
    constexpr std::chrono::milliseconds Step{5};
    if (m_now == TimePoint()) {
        m_now = now;
    }
    while (m_now < now) {
        const Duration step = std::min<Duration>(Step, now - m_now);
        const double seconds = std::chrono::duration<double>(step).count();
        m_now += step;
        fillBatch();
        prefill(seconds);
        decode(seconds, m_now);
        finishChange(m_now);
        recordLoad(m_now);
        if (idle() && !m_changingTo) {
            m_now = now;
        }
    }
    forgetOld(now);
}

void EngineModel::fillBatch()
{
    while (!m_waiting.empty() && static_cast<int>(m_batch.size()) < m_settings.slots) {
        Stream &stream = m_streams.at(m_waiting.front());
        const std::int64_t pieces = piecesFor(stream.request);
        if (pieces > m_freePieces) {
            return;
        }
        m_freePieces -= pieces;
        stream.pieces = pieces;
        m_batch.push_back(m_waiting.front());
        m_waiting.pop_front();
    }
}

void EngineModel::prefill(double seconds)
{
    double budget = m_settings.prefillRate * seconds;
    for (const std::string &id : m_batch) {
        Stream &stream = m_streams.at(id);
        const double used = std::min(budget, stream.prefillLeft);
        stream.prefillLeft -= used;
        budget -= used;
    }
}

void EngineModel::decode(double seconds, TimePoint now)
{
    std::vector<std::string> done;
    for (const std::string &id : m_batch) {
        Stream &stream = m_streams.at(id);
        if (stream.prefillLeft > 0) {
            continue;
        }
        const auto limit = static_cast<double>(wanted(stream));
        stream.produced = std::min(limit, stream.produced + m_settings.decodeRate * seconds);
        if (stream.produced >= limit) {
            done.push_back(id);
        }
    }
    for (const std::string &id : done) {
        m_batch.remove(id);
        finish(m_streams.at(id), now);
    }
}

void EngineModel::finish(Stream &stream, TimePoint now)
{
    m_freePieces += stream.pieces;
    stream.pieces = 0;
    stream.finished = true;
    stream.finishedAt = now;
}

void EngineModel::finishChange(TimePoint now)
{
    if (!m_changingTo || !idle()) {
        return;
    }
    if (!m_changeEnds) {
        m_changeEnds = now + m_settings.changeTime;
    }
    if (now >= *m_changeEnds) {
        m_settings.state = *m_changingTo;
        m_changingTo.reset();
        m_changeEnds.reset();
    }
}

void EngineModel::forgetOld(TimePoint now)
{
    std::erase_if(m_streams, [&](const auto &entry) {
        return entry.second.finished && now - entry.second.finishedAt > m_settings.keepStreams;
    });
}

void EngineModel::recordLoad(TimePoint now)
{
    LoadReport report;
    report.running = static_cast<int>(m_batch.size() + m_waiting.size());
    report.freePieces = KvPieces(m_freePieces);
    double queued = 0;
    for (const auto &[id, stream] : m_streams) {
        queued += stream.finished ? 0 : stream.prefillLeft;
    }
    report.queuedPrefill = Tokens(static_cast<std::int64_t>(queued));
    m_loads.push_back({now, report});
    while (m_loads.size() > 1 && m_loads[1].at + m_settings.loadLag <= now) {
        m_loads.pop_front();
    }
}

} // namespace apricotarch::standins
