#pragma once

/**
 * @file
 * A stand-in for a model engine as a pure model of time: continuous batching with a prefill and a decode rate, KV pieces,
 * priorities, resumable streams, orders with or without a check of fencing tokens.
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

/// What an engine can do.
struct EngineModelSettings
{
    int slots = 16; ///< Requests in the batch.
    double prefillRate = 20'000; ///< Prompt tokens a second, all requests together.
    double decodeRate = 200; ///< Output tokens a second, each request.
    std::int64_t kvPieces = 2000; ///< Of 16 tokens each.
    std::chrono::milliseconds changeTime{2000}; ///< An engine that changes is gone for so long.
    std::chrono::milliseconds loadLag{100}; ///< Load reports are so old.
    std::chrono::seconds keepStreams{30}; ///< A finished stream can be resumed for so long.
    bool checksFencing = true;
    std::string crashMarker; ///< A prompt that contains it crashes the engine; empty for none.
    EngineTarget state;
};

/// How a request or an order was received.
enum class EngineReply {
    Taken,
    Changing,
    Leaving,
    Full,
    StaleToken,
    Crash, ///< The process has to end at once.
};

/// The word that stands at a place of the answer to a prompt. Judges of answers use it too.
[[nodiscard]] std::string answerWord(const std::string &prompt, std::int64_t index);

/// One engine. Not thread-safe.
class EngineModel
{
public:
    EngineModel(EngineModelSettings settings, Incarnation incarnation);

    // ---- requests ----

    [[nodiscard]] EngineReply submit(const EngineRequest &request, TimePoint now);

    /// Whether a stream is known.
    [[nodiscard]] bool knows(const std::string &stream) const;

    /// What a stream has from an offset on, as one piece; nothing where there is nothing new.
    [[nodiscard]] std::optional<EnginePiece> piece(const std::string &stream, std::int64_t from) const;

    /// Counts readers of a stream.
    void attach(const std::string &stream);
    void detach(const std::string &stream);

    /// Ends a stream. @return whether it was there and ended
    bool cancel(const std::string &stream, bool onlyIfDetached);

    // ---- control ----

    [[nodiscard]] EngineReply order(const EngineOrder &order, TimePoint now);
    void setLeaving();
    [[nodiscard]] LoadReport load(TimePoint now) const;
    [[nodiscard]] bool idle() const noexcept;

    /// Orders received and taken, oldest first.
    [[nodiscard]] const std::vector<EngineOrder> &takenOrders() const noexcept;

    /// Lets time pass.
    void advance(TimePoint now);

private:
    struct Stream
    {
        EngineRequest request;
        double prefillLeft = 0;
        double produced = 0; ///< Tokens since the start offset.
        std::int64_t pieces = 0; ///< KV pieces held; 0 while waiting.
        int readers = 0;
        bool finished = false;
        TimePoint finishedAt;
    };

    [[nodiscard]] std::int64_t wanted(const Stream &stream) const;
    void fillBatch();
    void prefill(double seconds);
    void decode(double seconds, TimePoint now);
    void finish(Stream &stream, TimePoint now);
    void finishChange(TimePoint now);
    void forgetOld(TimePoint now);
    void recordLoad(TimePoint now);

    EngineModelSettings m_settings;
    Incarnation m_incarnation;
    std::map<std::string, Stream> m_streams;
    std::deque<std::string> m_waiting;
    std::list<std::string> m_batch;
    std::int64_t m_freePieces;
    FencingToken m_highestFence;
    std::vector<EngineOrder> m_taken;
    std::optional<EngineTarget> m_changingTo;
    std::optional<TimePoint> m_changeEnds;
    bool m_leaving = false;
    TimePoint m_now;
    struct TimedLoad
    {
        TimePoint at;
        LoadReport report;
    };
    std::deque<TimedLoad> m_loads;
};

} // namespace apricotarch::standins
