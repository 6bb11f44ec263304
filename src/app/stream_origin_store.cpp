#include "apricotarch/app/stream_origin_store.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "apricotarch/app/stream_origin.h"
#include "apricotarch/base/background_task.h"
#include "apricotarch/base/log.h"
#include "apricotarch/state/stream_origin_rows.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// This system's own table. Keys are the prefix and the number of a shard or the name of a service.
constexpr const char *OriginsTable = "apricotarch-streams";
constexpr const char *ShardPrefix = "shard.";
constexpr const char *ServicePrefix = "service.";

/// Interval between two checks whether rows are to be written.
constexpr Duration WriteInterval = 200ms;

/// Open streams are announced again after this time.
constexpr Duration AnnounceInterval = 2s;

/// A stream that is open for longer than this is not announced any more.
constexpr Duration LongestAnnouncedAge = 60s;

/// Streams that an earlier keeper has written are kept for this long.
constexpr Duration EarlierStreamsTime = 20s;

/// A caller that resumes a stream waits for the store at most this long.
constexpr Duration LongestReadWait = 250ms;
constexpr Duration ReadPollInterval = 10ms;

/// Rows that were read this recently are not read again.
constexpr Duration MinReadInterval = 100ms;

/// Pause after a call to the store has failed. It grows with the fleet, so that all nodes try at most 200 times per second.
constexpr Duration ShortestRetryPause = 1s;
constexpr Duration RetryPausePerNode = 5ms;

} // namespace

StreamOriginStore::StreamOriginStore(FrontState &state, TableReader &tables, TableStore &rows, StreamOriginExchange &exchange)
    : m_state(state)
    , m_tables(tables)
    , m_rows(rows)
    , m_exchange(exchange)
{
    m_state.onStreamBegan = [this](const std::vector<StreamRecord> &streams) {
        announceBegun(streams);
    };
}

asio::awaitable<void> StreamOriginStore::run()
{
    while (true) {
        co_await m_state.clock.sleep(WriteInterval);
        const TimePoint now = m_state.clock.now();
        if (!m_state.serversLoaded) {
            continue;
        }
        m_state.serviceVersions.update(m_state.backends, now);
        const bool canCallStore = now >= m_retryAt;
        if (std::exchange(m_incarnation, m_rows.incarnation()) != m_rows.incarnation()) {
            m_versions.clear(); // A restored store may have lost the rows.
            m_shards.clear();
        }
        const std::shared_ptr<const RoutingPlan> plan = m_state.plan; // It may be replaced during a call to the store.
        const auto &services = plan->resumableServices();
        if (!services.empty() && !m_readAt && canCallStore) {
            co_await readRows();
        }
        if (!m_state.peers.isStageController(now) || m_state.isShuttingDown()) {
            m_versions.clear();
        } else if (canCallStore) {
            for (const auto &[service, timeout] : services) {
                co_await writeVersions(service);
            }
        }
        m_hasSeveralVersions = std::ranges::any_of(services, [this](const auto &entry) {
            return hasSeveralVersions(entry.first);
        });
        if (!m_hasSeveralVersions) {
            m_announcedAt = TimePoint();
            continue;
        }
        announceOpen();
        for (std::size_t shard = 0; shard < m_exchange.shardCount(); ++shard) {
            if (m_exchange.isWriter(shard)) {
                if (m_state.clock.now() >= m_retryAt) {
                    co_await writeShard(shard);
                }
            } else {
                m_shards.erase(shard);
            }
        }
    }
}

void StreamOriginStore::announceBegun(const std::vector<StreamRecord> &streams)
{
    if (m_hasSeveralVersions) {
        m_exchange.announce(streams);
    }
}

void StreamOriginStore::announceOpen()
{
    const TimePoint now = m_state.clock.now();
    if (now - m_announcedAt >= AnnounceInterval) {
        m_announcedAt = now;
        m_exchange.announce(m_state.streamVersions.ownStreams(now - LongestAnnouncedAge));
    }
}

asio::awaitable<void> StreamOriginStore::refresh()
{
    const TimePoint calledAt = m_state.clock.now();
    if (m_readAt && calledAt - *m_readAt < MinReadInterval) {
        co_return;
    }
    if (!m_reading && calledAt < m_retryAt) {
        co_return; // The store has just failed to answer.
    }
    if (!m_reading) {
        asio::co_spawn(m_state.executor, readRows(), LogFailure("read_stream_origins"));
    }
    const auto isReadSince = [this, calledAt] {
        return m_readAt && *m_readAt >= calledAt - MinReadInterval;
    };
    while (!isReadSince() && m_state.clock.now() - calledAt < LongestReadWait && m_state.clock.now() >= m_retryAt) {
        co_await m_state.clock.sleep(ReadPollInterval);
    }
}

asio::awaitable<void> StreamOriginStore::readRows()
{
    if (std::exchange(m_reading, true)) {
        co_return;
    }
    const TimePoint startedAt = m_state.clock.now();
    const Result<RowBatch> batch = co_await m_tables.readTable(OriginsTable);
    m_reading = false;
    if (!batch) {
        recordFailure("stream_origins.not_read", OriginsTable, batch.error());
        co_return;
    }
    m_readAt = startedAt;
    std::size_t streams = 0;
    for (const StoredRow &row : batch->rows) {
        if (row.key.starts_with(ServicePrefix)) {
            if (const Result<VersionSet> versions = decodeVersionSet(row.text)) {
                m_state.recordedVersions[ServiceId(row.key.substr(std::string_view(ServicePrefix).size()))] = *versions;
            } else {
                LogEvent("stream_origins.odd_row", LogEvent::Level::Warning).field("key", row.key).error(versions.error());
            }
        } else if (const Result<std::vector<StreamRecord>> records = decodeStreamRecords(row.text)) {
            for (const StreamRecord &record : *records) {
                streams += m_state.streamVersions.record(record, m_state.clock.now()) ? 1 : 0;
            }
        } else {
            LogEvent("stream_origins.odd_row", LogEvent::Level::Warning).field("key", row.key).error(records.error());
        }
    }
    LogEvent("stream_origins.read").field("rows", batch->rows.size()).field("new_streams", streams);
}

asio::awaitable<Result<std::optional<std::string>>> StreamOriginStore::readOwnRow(const std::string &key, OwnRow &row)
{
    RowKey rowKey{OriginsTable, key};
    Result<std::optional<Row>> read = co_await m_rows.read(std::move(rowKey));
    if (!read) {
        co_return Failure(read.error());
    }
    row.isRead = true;
    if (!*read) {
        co_return std::optional<std::string>();
    }
    row.position = (*read)->version;
    row.text = (*read)->text;
    co_return std::optional<std::string>(row.text);
}

asio::awaitable<void> StreamOriginStore::writeRow(std::string key, OwnRow &row, std::string text)
{
    RowWrite write{{OriginsTable, key}, row.position, text, std::nullopt};
    const Result<StorePosition> written = co_await m_rows.write(std::move(write));
    if (!written) {
        recordFailure("stream_origins.not_written", key, written.error());
        row = OwnRow(); // It may have been written nevertheless, or by another process.
        co_return;
    }
    row.position = *written;
    row.text = std::move(text);
}

asio::awaitable<void> StreamOriginStore::writeVersions(ServiceId service)
{
    const TimePoint from = m_state.clock.now() - streamLifetime(*m_state.plan, service);
    const std::string key = ServicePrefix + service.value();
    OwnRow &row = m_versions[service];
    if (!row.isRead) {
        const Result<std::optional<std::string>> text = co_await readOwnRow(key, row);
        if (!text) {
            recordFailure("stream_origins.not_read", key, text.error());
            co_return;
        }
    }
    VersionSet versions = m_state.serviceVersions.servedSince(service, from);
    if (!m_state.serviceVersions.isObservedSince(from) && !row.text.empty()) {
        if (const Result<VersionSet> recorded = decodeVersionSet(row.text)) {
            versions.insert(recorded->begin(), recorded->end());
        }
    }
    std::string text = encodeVersionSet(versions);
    if (versions.empty() || text == row.text) {
        co_return;
    }
    LogEvent("service.versions").field("service", service).field("versions", text);
    co_await writeRow(key, row, std::move(text));
}

asio::awaitable<void> StreamOriginStore::writeShard(std::size_t shard)
{
    const std::string key = ShardPrefix + std::to_string(shard);
    OwnRow &row = m_shards[shard];
    if (!row.isRead) {
        const Result<std::optional<std::string>> text = co_await readOwnRow(key, row);
        if (!text) {
            recordFailure("stream_origins.not_read", key, text.error());
            co_return;
        }
        if (const Result<std::vector<StreamRecord>> records = decodeStreamRecords(text->value_or(encodeStreamRecords({})))) {
            // Streams of processes that have ended can still be resumed.
            const TimePoint now = m_state.clock.now();
            for (const StreamRecord &record : *records) {
                m_state.streamVersions.keep(record, now + EarlierStreamsTime, now);
            }
        }
    }
    const auto isOfShard = [this, shard](StreamKey stream) {
        return m_exchange.shardOf(stream) == shard;
    };
    std::string text = encodeStreamRecords(m_state.streamVersions.keptStreams(m_state.clock.now(), isOfShard));
    if (text != row.text) {
        co_await writeRow(key, row, std::move(text));
    }
}

void StreamOriginStore::recordFailure(const char *event, const std::string &key, const Error &error)
{
    const auto nodes = static_cast<int>(m_state.peers.countBudgetNodes(m_state.clock.now()));
    m_retryAt = m_state.clock.now() + std::max<Duration>(ShortestRetryPause, RetryPausePerNode * nodes);
    m_state.metrics.increment(CounterFamily::Peers, event);
    LogEvent(event, LogEvent::Level::Warning).field("key", key).error(error);
}

bool StreamOriginStore::hasSeveralVersions(const ServiceId &service)
{
    const TimePoint from = m_state.clock.now() - streamLifetime(*m_state.plan, service);
    VersionSet versions = m_state.serviceVersions.servedSince(service, from);
    const auto recorded = m_state.recordedVersions.find(service);
    if (recorded != m_state.recordedVersions.end() && !m_state.serviceVersions.isObservedSince(from)) {
        versions.insert(recorded->second.begin(), recorded->second.end());
    }
    return versions.size() > 1;
}

} // namespace apricotarch
