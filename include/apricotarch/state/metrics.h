#pragma once

/**
 * @file
 * Counters and latency summaries of one process. Every refusal and every retry is counted by its reason.
 */

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace apricotarch
{

/// Families of counters. Each family has one label.
enum class CounterFamily {
    Requests, ///< By service.
    Refusals, ///< By reason.
    Retries, ///< By reason.
    Answers, ///< By result.
    Orders, ///< By step.
    Leases, ///< By step.
    Configurations, ///< By step.
    Peers, ///< By event.
    Servers, ///< By event.
};

/// Kinds of measured durations.
enum class LatencyKind {
    FirstToken, ///< From the request's arrival to its first chunk of output.
    Total, ///< From the request's arrival to its end.
    Added, ///< Delay that the node adds to the first byte from the backend server.
};

/// Thread-safe metrics.
class Metrics
{
public:
    Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;
    ~Metrics();

    /// Increments a counter by one. Logarithmic in the number of labels of the family.
    void increment(CounterFamily family, std::string_view label);

    /// Increments a counter by an amount.
    void add(CounterFamily family, std::string_view label, std::uint64_t amount);

    /// Returns the value of a counter; 0 if it was never incremented.
    [[nodiscard]] std::uint64_t count(CounterFamily family, std::string_view label) const;

    /// Adds a duration to the summary of its kind.
    void observe(LatencyKind kind, std::chrono::steady_clock::duration duration);

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string exposition() const;

private:
    struct Latency;
    struct Family
    {
        mutable std::mutex mutex;
        std::map<std::string, std::uint64_t, std::less<>> counts;
    };

    static constexpr std::size_t FamilyCount = 9;
    static constexpr std::size_t LatencyCount = 3;

    std::array<Family, FamilyCount> m_families;
    std::array<std::unique_ptr<Latency>, LatencyCount> m_latencies;
};

} // namespace apricotarch
