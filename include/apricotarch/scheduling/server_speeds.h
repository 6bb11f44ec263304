#pragma once

/**
 * @file
 * Estimates how fast engines work, from the durations of their prefills. Sends nothing.
 */

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/state/front_heartbeat.h"

namespace apricotarch
{

/// The most recent samples of one engine. Each counts for its period only up to a limit, so that however many samples there are, a
/// slowness of a few seconds affects only a part of them.
class SpeedWindow
{
public:
    /// Adds a sample. It is ignored if enough of the same period are known.
    void add(int percent, TimePoint now);

    /// Returns the estimated duration of the engine's work in percent of the expected one, or nothing with too few recent samples.
    [[nodiscard]] std::optional<int> estimate(TimePoint now) const;

    /// Returns the time of the last sample.
    [[nodiscard]] TimePoint lastAt() const noexcept
    {
        return m_lastAt;
    }

private:
    struct Sample
    {
        std::int32_t period = 0; ///< Number of the period in which it was taken.
        std::int32_t percent = 0;
    };

    static constexpr std::size_t Capacity = 32;

    std::array<Sample, Capacity> m_samples{};
    std::size_t m_count = 0;
    std::size_t m_next = 0;
    std::size_t m_countOfPeriod = 0; ///< Samples of the period of the last sample.
    TimePoint m_lastAt;
};

/**
 * Estimates for each engine the factor on the usual duration of its work, from samples of all nodes.
 *
 * A sample is the ratio of a measured to an expected duration. The measured one includes the time for which the prompt queued behind
 * prompts of other nodes that this node did not know of yet, which only adds time, and for most prompts is several times the spread of the
 * rest. A mean or a median would thus measure load. A low quantile of the samples of at least 12 s is close to the duration without a queue
 * as long as a fifth of the prompts find the engine idle, and ignores a slowness that lasts for less than most of the window.
 * The minimum would also do so, but depends on single samples, for example of a prompt whose prefix was cached unexpectedly.
 *
 * Not thread-safe; used on one event loop.
 */
class ServerSpeeds
{
public:
    /// Maximum number of own samples that are kept for the next message; with more, the oldest are not sent.
    static constexpr std::size_t MaxPendingSamples = 8;

    /// Maximum number of engines with samples. The samples of further engines are ignored.
    static constexpr std::size_t MaxEngines = 4096;

    // ---- samples ----

    /**
     * Records work of this node at an engine and keeps the sample for the next message.
     * @param engine see engineSpeedKey()
     * @param expectedMs usual duration of the work, without the time in a queue; samples of short work are ignored
     * @param measuredMs measured duration
     * @return whether the sample was used
     */
    bool record(std::uint32_t engine, double expectedMs, double measuredMs, TimePoint now);

    /// Records a sample of another node.
    void merge(const SpeedSample &sample, TimePoint now);

    /// Records the estimate of a node that has all samples of an engine. It takes precedence over this node's samples.
    void recordEstimate(std::uint32_t engine, int percent, TimePoint now);

    /// Returns this node's samples since the last call, at most MaxPendingSamples.
    [[nodiscard]] std::vector<SpeedSample> takeSamples();

    /// Returns this node's oldest sample of an engine that has not been taken.
    [[nodiscard]] std::optional<int> takeSample(std::uint32_t engine);

    // ---- estimates ----

    /// Returns the estimate from the samples that this node knows, and not from the estimates of other nodes.
    [[nodiscard]] std::optional<int> ownEstimate(std::uint32_t engine, TimePoint now) const;

    /// Returns the duration of an engine's work in percent of the usual one; nothing if it has too few samples.
    [[nodiscard]] std::optional<int> estimate(std::uint32_t engine, TimePoint now) const;

    /**
     * Returns the factors to be used for the engines of one kind, which are compared with each other.
     * @param group name of the kind, for example service and stage; keeps its state between calls
     * @param engines keys of all engines of that kind
     * @return for each engine the factor; 1 for all as long as the engines are alike or too few of them are known
     */
    [[nodiscard]] std::vector<double> factors(const std::string &group, const std::vector<std::uint32_t> &engines, TimePoint now);

    /// Whether the factors should be computed again; true once a second. Drops what has expired.
    [[nodiscard]] bool isUpdateDue(TimePoint now);

private:
    /// Estimate of another node.
    struct ReceivedEstimate
    {
        int percent = 100;
        TimePoint at;
    };

    /// Whether the engines of a group differ.
    struct GroupState
    {
        bool differs = false;
        std::unordered_map<std::uint32_t, double> inUse; ///< Factors by engine, if they differ.
        std::optional<TimePoint> apartSince; ///< Since when the factors have been far apart; empty if they are not.
        TimePoint usedAt;
    };

    void updateGroup(GroupState &group, const std::vector<int> &known, std::size_t engines, TimePoint now) const;

    std::unordered_map<std::uint32_t, SpeedWindow> m_windows; ///< By engine.
    std::unordered_map<std::uint32_t, ReceivedEstimate> m_received; ///< By engine.
    std::vector<SpeedSample> m_pending; ///< Own samples that have not been taken, oldest first.
    std::map<std::string, GroupState> m_groups;
    TimePoint m_updatedAt;
};

} // namespace apricotarch
