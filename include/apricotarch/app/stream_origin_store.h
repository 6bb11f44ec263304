#pragma once

/**
 * @file
 * Keeps in the platform's store where streams began while several software versions serve, so that they can be resumed after the nodes that
 * have seen them have ended.
 */

#include <map>
#include <optional>
#include <string>

#include "apricotarch/app/front_state.h"
#include "apricotarch/app/stream_origin_exchange.h"
#include "apricotarch/coordination/platform_services.h"
#include "apricotarch/coordination/table_reader.h"

namespace apricotarch
{

/**
 * Each shard of streams (see StreamOriginExchange) has a row with its streams that have not ended. Its writer writes it, but only while
 * more than one version may have begun streams. Each service has a row with these versions, written by the node that orders stage changes
 * when they change.
 */
class StreamOriginStore
{
public:
    /**
     * @param state the node's state; must outlive this object
     * @param tables reads all rows
     * @param rows reads and writes single rows
     * @param exchange tells and asks other nodes; must outlive this object
     */
    StreamOriginStore(FrontState &state, TableReader &tables, TableStore &rows, StreamOriginExchange &exchange);

    /// Writes the rows as they change. Never returns.
    [[nodiscard]] asio::awaitable<void> run();

    /// Reads the rows of all nodes. Returns after a short time even if the store has not answered.
    [[nodiscard]] asio::awaitable<void> refresh();

private:
    /// What this node knows of a row that it writes.
    struct OwnRow
    {
        bool isRead = false;
        StorePosition position;
        std::string text;
    };

    [[nodiscard]] asio::awaitable<void> readRows();
    /// Reads a row before it is written for the first time. @return the text if there is one
    [[nodiscard]] asio::awaitable<Result<std::optional<std::string>>> readOwnRow(const std::string &key, OwnRow &row);
    [[nodiscard]] asio::awaitable<void> writeRow(std::string key, OwnRow &row, std::string text);
    [[nodiscard]] asio::awaitable<void> writeVersions(ServiceId service);
    [[nodiscard]] asio::awaitable<void> writeShard(std::size_t shard);
    /// Announces a stream that has begun while there are several versions.
    void announceBegun(const std::vector<StreamRecord> &streams);
    /// Announces all open streams when a second version appears, and now and then, since keepers may have changed.
    void announceOpen();
    /// Logs a failed call and pauses the calls.
    void recordFailure(const char *event, const std::string &key, const Error &error);
    /// Whether more than one version may have begun streams of a service.
    [[nodiscard]] bool hasSeveralVersions(const ServiceId &service);

    FrontState &m_state;
    TableReader &m_tables;
    TableStore &m_rows;
    StreamOriginExchange &m_exchange;
    std::map<std::size_t, OwnRow> m_shards; ///< Those that this node writes.
    std::map<ServiceId, OwnRow> m_versions; ///< Only of the node that orders stage changes.
    StoreIncarnation m_incarnation; ///< Of the store when the rows were read.
    bool m_hasSeveralVersions = false; ///< Of any service, at the last check.
    TimePoint m_announcedAt; ///< When all open streams were last announced.
    bool m_reading = false;
    TimePoint m_retryAt; ///< After a failed call: when the store is called again.
    std::optional<TimePoint> m_readAt; ///< When the last successful read of all rows began.
};

} // namespace apricotarch
