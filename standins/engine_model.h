#pragma once

/**
 * @file
 * Model of a language-model engine. Its state depends only on requests, orders and time: continuous batching with a prefill and a
 * decode rate, KV blocks, priorities, resumable streams, and orders with or without a check of fencing tokens.
 */

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/coordination/engine_streams.h"
#include "apricotarch/coordination/engines.h"

namespace apricotarch::standins
{

/// Capacity and behaviour of a modelled engine.
struct EngineModelSettings
{
    int slots = 16; ///< Capacity of the batch, in requests.
    double prefillRate = 20'000; ///< Prompt tokens per second of all requests together.
    double decodeRate = 200; ///< Output tokens per second of each request.
    std::int64_t kvBlocks = 2000; ///< KV blocks of 16 tokens each.
    /// Duration of a change of the loaded model or role, during which no requests are served.
    std::chrono::milliseconds changeDuration{2000};
    std::chrono::milliseconds loadReportDelay{100}; ///< Age of the load reports.
    std::chrono::seconds streamRetention{30}; ///< Time for which a finished stream can be resumed.
    bool checksFencing = true; ///< Rejects orders with outdated fencing tokens.
    std::string crashMarker; ///< Text that crashes the engine if it is part of a prompt; empty for none.
    EngineTarget state; ///< Loaded model and role.
};

/// Reply to a request or an order.
enum class EngineReply {
    Accepted,
    Changing, ///< Rejected: a change of the loaded model or role is in progress.
    ShuttingDown, ///< Rejected: the engine is shutting down.
    Full, ///< Rejected: the queue is full, or the request needs more KV blocks than there are.
    StaleToken, ///< Rejected: the fencing token is outdated.
    Crash, ///< The process must end immediately.
};

/// Returns the word at an index of the answer to a prompt. The load tool and the tests also use it to verify answers.
[[nodiscard]] std::string answerWord(const std::string &prompt, std::int64_t index);

/// Model of one engine. Not thread-safe.
class EngineModel
{
public:
    EngineModel(EngineModelSettings settings, Incarnation incarnation);

    // ---- requests ----

    /// Adds a request to the queue, sorted by priority.
    [[nodiscard]] EngineReply submit(const EngineRequest &request, TimePoint now);

    /// Returns whether a stream exists.
    [[nodiscard]] bool hasStream(const std::string &stream) const;

    /// Returns a stream's output from an offset on as one chunk, or std::nullopt if there is none yet.
    [[nodiscard]] std::optional<EngineChunk> outputFrom(const std::string &stream, std::int64_t from) const;

    /// Adds a reader to a stream.
    void attachReader(const std::string &stream);

    /// Removes a reader from a stream.
    void detachReader(const std::string &stream);

    /**
     * Cancels a stream.
     * @param onlyIfDetached keep the stream if it has readers
     * @return whether the stream existed and was cancelled
     */
    bool cancel(const std::string &stream, bool onlyIfDetached);

    // ---- control ----

    /// Processes an order to load a model or to take a role.
    [[nodiscard]] EngineReply handleOrder(const EngineOrder &order, TimePoint now);

    /// Makes the engine reject new requests.
    void beginShutdown();

    /// Returns the load report that a poll at @p now receives.
    [[nodiscard]] LoadReport loadReport(TimePoint now) const;

    /// Returns whether there are neither running nor waiting requests.
    [[nodiscard]] bool isIdle() const noexcept;

    /// Returns the accepted orders, oldest first.
    [[nodiscard]] const std::vector<EngineOrder> &acceptedOrders() const noexcept;

    /// Advances the model's time.
    void advance(TimePoint now);

private:
    struct Stream
    {
        EngineRequest request;
        double tokensToPrefill = 0;
        double produced = 0; ///< Output tokens since the start offset.
        std::int64_t kvBlocks = 0; ///< Allocated KV blocks; 0 while waiting.
        int readers = 0;
        bool finished = false;
        TimePoint finishedAt;
    };

    [[nodiscard]] std::int64_t tokensToGenerate(const Stream &stream) const;
    void startWaitingRequests();
    void prefill(double seconds);
    void decode(double seconds, TimePoint now);
    void finish(Stream &stream, TimePoint now);
    void finishChange(TimePoint now);
    void removeExpiredStreams(TimePoint now);
    void addLoadSample(TimePoint now);

    EngineModelSettings m_settings;
    Incarnation m_incarnation;
    std::map<std::string, Stream> m_streams;
    std::deque<std::string> m_waiting;
    std::list<std::string> m_batch;
    std::int64_t m_freeKvBlocks;
    FencingToken m_highestFencingToken;
    std::vector<EngineOrder> m_acceptedOrders;
    std::optional<EngineTarget> m_changeTarget;
    std::optional<TimePoint> m_changeEndsAt;
    bool m_shuttingDown = false;
    TimePoint m_now;
    struct LoadSample
    {
        TimePoint at;
        LoadReport report;
    };
    std::deque<LoadSample> m_loadSamples;
};

} // namespace apricotarch::standins
