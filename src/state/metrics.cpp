#include "apricotarch/state/metrics.h"

#include <sstream>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace apricotarch
{

namespace
{

namespace acc = boost::accumulators;

using Summary = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

constexpr std::array<double, 3> Quantiles = {0.5, 0.95, 0.99};

/// Names of a metric and of its label.
struct MetricName
{
    const char *name;
    const char *label;
};

constexpr std::array<MetricName, 9> FamilyNames = {{
    {"apricotarch_requests_total", "service"},
    {"apricotarch_refusals_total", "reason"},
    {"apricotarch_retries_total", "reason"},
    {"apricotarch_answers_total", "result"},
    {"apricotarch_orders_total", "step"},
    {"apricotarch_leases_total", "step"},
    {"apricotarch_configurations_total", "step"},
    {"apricotarch_peers_total", "event"},
    {"apricotarch_servers_total", "event"},
}};

constexpr std::array<const char *, 3> LatencyNames = {
    "apricotarch_first_token_seconds",
    "apricotarch_total_seconds",
    "apricotarch_added_seconds",
};

std::string escapeLabel(std::string_view value)
{
    std::string escaped;
    for (const char symbol : value) {
        if (symbol == '"' || symbol == '\\') {
            escaped += '\\';
        }
        escaped += symbol == '\n' ? ' ' : symbol;
    }
    return escaped;
}

} // namespace

struct Metrics::Latency
{
    mutable std::mutex mutex;
    Summary summary{acc::extended_p_square_probabilities = std::vector<double>(Quantiles.begin(), Quantiles.end())};
};

Metrics::Metrics()
{
    for (auto &latency : m_latencies) {
        latency = std::make_unique<Latency>();
    }
}

Metrics::~Metrics() = default;

void Metrics::increment(CounterFamily family, std::string_view label)
{
    add(family, label, 1);
}

void Metrics::add(CounterFamily family, std::string_view label, std::uint64_t amount)
{
    Family &counters = m_families.at(static_cast<std::size_t>(family));
    const std::lock_guard lock(counters.mutex);
    const auto found = counters.counts.find(label);
    if (found != counters.counts.end()) {
        found->second += amount;
        return;
    }
    counters.counts.emplace(std::string(label), amount);
}

std::uint64_t Metrics::count(CounterFamily family, std::string_view label) const
{
    const Family &counters = m_families.at(static_cast<std::size_t>(family));
    const std::lock_guard lock(counters.mutex);
    const auto found = counters.counts.find(label);
    return found == counters.counts.end() ? 0 : found->second;
}

void Metrics::observe(LatencyKind kind, std::chrono::steady_clock::duration duration)
{
    Latency &latency = *m_latencies.at(static_cast<std::size_t>(kind));
    const std::lock_guard lock(latency.mutex);
    latency.summary(std::chrono::duration<double>(duration).count());
}

std::string Metrics::exposition() const
{
    std::ostringstream out;
    for (std::size_t index = 0; index < FamilyCount; ++index) {
        const MetricName &metric = FamilyNames.at(index);
        const Family &family = m_families.at(index);
        const std::lock_guard lock(family.mutex);
        out << "# TYPE " << metric.name << " counter\n";
        for (const auto &[label, value] : family.counts) {
            out << metric.name << '{' << metric.label << "=\"" << escapeLabel(label) << "\"} " << value << '\n';
        }
    }
    for (std::size_t index = 0; index < LatencyCount; ++index) {
        const char *name = LatencyNames.at(index);
        const Latency &latency = *m_latencies.at(index);
        const std::lock_guard lock(latency.mutex);
        out << "# TYPE " << name << " summary\n";
        // The P-square estimator has 2n + 3 markers for n quantiles and no valid estimate before they are filled.
        const bool estimable = acc::count(latency.summary) > Quantiles.size() * 2 + 3;
        for (const double quantile : Quantiles) {
            if (estimable) {
                out << name << "{quantile=\"" << quantile << "\"} " << acc::quantile(latency.summary, acc::quantile_probability = quantile)
                    << '\n';
            }
        }
        out << name << "_sum " << acc::sum(latency.summary) << '\n' << name << "_count " << acc::count(latency.summary) << '\n';
    }
    return out.str();
}

} // namespace apricotarch
