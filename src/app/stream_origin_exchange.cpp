#include "apricotarch/app/stream_origin_exchange.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/this_coro.hpp>

#include "apricotarch/app/stream_origin.h"
#include "apricotarch/base/hash.h"
#include "apricotarch/protocol/front_codec.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t NodesPerShard = 16;

/// Beside the writer of the shard. Each stream has its own, so that the loss of some nodes is the loss of few streams.
constexpr std::size_t KeepersPerStream = 2;

/// Streams in one datagram, of at most about 60 bytes each.
constexpr std::size_t MaxStreamsPerNotice = 20;

/// Time for which the list of live nodes is used.
constexpr Duration CandidatesLifetime = 100ms;

/// Several round trips within a region.
constexpr Duration AnswerTimeout = 25ms;

/// An announced stream is kept for this long, unless it is announced again.
constexpr Duration KeepTime = 5s;

} // namespace

StreamOriginExchange::StreamOriginExchange(FrontState &state, const FleetTables &tables, AuthenticatedLink &link)
    : m_state(state)
    , m_tables(tables)
    , m_link(link)
{
}

void StreamOriginExchange::announce(const std::vector<StreamRecord> &streams)
{
    const TimePoint now = m_state.clock.now();
    std::map<Endpoint, StreamNotice> notices;
    for (const StreamRecord &record : streams) {
        for (const Endpoint &keeper : keepers(record.stream)) {
            if (keeper == m_state.settings.peerAddress) {
                m_state.streamVersions.keep(record, now + KeepTime, now);
                continue;
            }
            StreamNotice &notice = notices[keeper];
            notice.streams.push_back(record);
            if (notice.streams.size() == MaxStreamsPerNotice) {
                send(keeper, std::exchange(notice, {}));
            }
        }
    }
    for (const auto &[keeper, notice] : notices) {
        if (!notice.streams.empty()) {
            send(keeper, notice);
        }
    }
}

asio::awaitable<bool> StreamOriginExchange::ask(StreamKey stream)
{
    AsyncEvent answered(co_await asio::this_coro::executor);
    const std::int64_t number = ++m_lastQuery;
    PendingQuery &pending = m_queries[number];
    pending.answered = &answered;
    for (const Endpoint &keeper : keepers(stream)) {
        if (keeper != m_state.settings.peerAddress) {
            ++pending.unanswered;
            pending.allAgree = true;
            send(keeper, StreamQuery{number, m_state.settings.peerAddress, stream});
        }
    }
    const TimePoint deadline = m_state.clock.now() + AnswerTimeout;
    while (pending.unanswered > 0 && !m_state.streamVersions.find(stream) && m_state.clock.now() < deadline) {
        co_await answered.waitUntil(deadline);
    }
    const bool allAgree = pending.unanswered == 0 && pending.allAgree;
    m_queries.erase(number);
    m_state.metrics.increment(CounterFamily::Peers, m_state.streamVersions.find(stream) ? "stream_found" : "stream_not_found");
    co_return allAgree;
}

void StreamOriginExchange::handle(const StreamNotice &notice)
{
    const TimePoint now = m_state.clock.now();
    for (const StreamRecord &record : notice.streams) {
        m_state.streamVersions.keep(record, now + KeepTime, now);
    }
}

void StreamOriginExchange::handle(const StreamQuery &query)
{
    StreamReport report{query.number, m_state.settings.peerAddress, std::nullopt, m_tables.serversVersion()};
    if (const std::optional<StreamOrigin> origin = m_state.streamVersions.find(query.stream)) {
        report.stream = StreamRecord{query.stream, *origin};
    }
    send(query.peerAddress, report);
}

void StreamOriginExchange::handle(const StreamReport &report)
{
    if (report.stream) {
        m_state.streamVersions.record(*report.stream, m_state.clock.now());
    }
    const auto found = m_queries.find(report.number);
    if (found == m_queries.end()) {
        return;
    }
    found->second.allAgree = found->second.allAgree && report.serversVersion && *report.serversVersion <= m_tables.serversVersion();
    found->second.unanswered -= std::min<std::size_t>(found->second.unanswered, 1);
    found->second.answered->notify();
}

std::size_t StreamOriginExchange::shardCount() const
{
    const std::size_t nodes = m_state.peers.countBudgetNodes(m_state.clock.now());
    return std::bit_floor(std::max<std::size_t>(nodes / NodesPerShard, 1)); // A power of two changes rarely.
}

std::size_t StreamOriginExchange::shardOf(StreamKey stream) const
{
    return static_cast<std::uint64_t>(stream.value()) % shardCount();
}

bool StreamOriginExchange::isWriter(std::size_t shard)
{
    return writer(shard) == m_state.settings.peerAddress;
}

const Endpoint &StreamOriginExchange::writer(std::size_t shard)
{
    return *selectNodes(static_cast<std::uint64_t>(contentHash("stream origins " + std::to_string(shard)).value()), 1).front();
}

std::set<Endpoint> StreamOriginExchange::keepers(StreamKey stream)
{
    std::set<Endpoint> keepers;
    for (const Endpoint *node : selectNodes(static_cast<std::uint64_t>(stream.value()), KeepersPerStream)) {
        keepers.insert(*node);
    }
    keepers.insert(writer(shardOf(stream)));
    return keepers;
}

std::vector<const Endpoint *> StreamOriginExchange::selectNodes(std::uint64_t key, std::size_t count)
{
    updateCandidates();
    std::vector<std::pair<std::uint64_t, const Endpoint *>> scores;
    scores.reserve(m_candidates.size());
    for (const Candidate &candidate : m_candidates) {
        const auto *bytes = reinterpret_cast<const char *>(&candidate.hash);
        scores.emplace_back(rendezvousScore(key, std::string_view(bytes, sizeof(candidate.hash))), &candidate.address);
    }
    count = std::min(count, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(count), scores.end(), std::greater<>());
    std::vector<const Endpoint *> nodes;
    for (std::size_t index = 0; index < count; ++index) {
        nodes.push_back(scores[index].second);
    }
    return nodes;
}

void StreamOriginExchange::updateCandidates()
{
    const TimePoint now = m_state.clock.now();
    if (!m_candidates.empty() && now - m_candidatesAt < CandidatesLifetime) {
        return;
    }
    m_candidatesAt = now;
    m_candidates.clear();
    std::vector<Endpoint> nodes = m_state.peers.stewardAddresses(now);
    nodes.push_back(m_state.settings.peerAddress);
    for (Endpoint &node : nodes) {
        const auto hash = static_cast<std::uint64_t>(contentHash(node.text()).value());
        m_candidates.push_back({hash, std::move(node)});
    }
}

void StreamOriginExchange::send(const Endpoint &peer, const FrontDatagram &datagram)
{
    m_link.sendDatagram(peer, m_link.authenticate(encodeFrontDatagram(datagram)));
}

} // namespace apricotarch
