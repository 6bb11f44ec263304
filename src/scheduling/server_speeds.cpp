#include "apricotarch/scheduling/server_speeds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// Samples and estimates are forgotten after this time. At two prompts a second on 60 engines, an engine gets the least number of samples
/// in it.
constexpr Duration Retention = 5min;

/// A period and the samples of it that count. With the capacity of a window, a full window covers at least 12 s: a slowness of 5 s, as load
/// patterns have it, affects less than half of it.
constexpr Duration Period = 750ms;
constexpr std::size_t SamplesPerPeriod = 2;

/// An estimate needs this many samples.
constexpr std::size_t MinSamples = 8;

/// Quantile of the samples that is the estimate. See the description of ServerSpeeds.
constexpr double Quantile = 0.2;

/// Work shorter than this is mostly round trips and connection set-up.
constexpr double MinExpectedMs = 15;

/// Samples and estimates are limited to this range; anything outside is no property of an engine.
constexpr int MinPercent = 20;
constexpr int MaxPercent = 1000;

/// Factors in use are limited to this range.
constexpr double MinFactor = 0.25;
constexpr double MaxFactor = 4;

/// Engines differ if the ratio of the largest to the smallest estimate has exceeded the first limit for this time, until it is within the
/// second one. The estimates of 60 equal engines are up to a quarter apart under load.
constexpr double DifferentRatio = 1.35;
constexpr double AlikeRatio = 1.25;
constexpr Duration ApartTime = 5s;

/// The engines of a group are compared if a quarter of them, or this many, have an estimate, and at least two.
constexpr std::size_t EnoughKnownEngines = 8;

/// A factor in use is kept while the estimate is within this ratio of it: a change moves prompts away from the engines that have their
/// prefixes cached.
constexpr double KeptChange = 1.12;

constexpr Duration UpdateInterval = 1s;

std::int32_t periodOf(TimePoint time)
{
    return static_cast<std::int32_t>(time.time_since_epoch() / std::chrono::duration_cast<TimePoint::duration>(Period));
}

/// Returns the median. @param values not empty
int median(std::vector<int> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

// ---- SpeedWindow ----

void SpeedWindow::add(int percent, TimePoint now)
{
    const bool samePeriod = m_count > 0 && periodOf(now) == periodOf(m_lastAt);
    if (samePeriod && m_countOfPeriod >= SamplesPerPeriod) {
        return;
    }
    m_countOfPeriod = samePeriod ? m_countOfPeriod + 1 : 1;
    m_lastAt = now;
    m_samples[m_next] = {periodOf(now), percent};
    m_next = (m_next + 1) % Capacity;
    m_count = std::min(m_count + 1, Capacity);
}

std::optional<int> SpeedWindow::estimate(TimePoint now) const
{
    std::array<int, Capacity> recent{};
    std::size_t count = 0;
    const std::int32_t oldest = periodOf(now - Retention);
    for (std::size_t index = 0; index < m_count; ++index) {
        if (m_samples[index].period >= oldest) {
            recent[count++] = m_samples[index].percent;
        }
    }
    if (count < MinSamples) {
        return std::nullopt;
    }
    const auto rank = static_cast<std::ptrdiff_t>(Quantile * static_cast<double>(count));
    std::nth_element(recent.begin(), recent.begin() + rank, recent.begin() + static_cast<std::ptrdiff_t>(count));
    return recent[static_cast<std::size_t>(rank)];
}

// ---- ServerSpeeds: samples ----

bool ServerSpeeds::record(std::uint32_t engine, double expectedMs, double measuredMs, TimePoint now)
{
    if (expectedMs < MinExpectedMs || measuredMs <= 0) {
        return false;
    }
    const double percent = std::min(100 * measuredMs / expectedMs, static_cast<double>(MaxPercent));
    const SpeedSample sample{engine, std::max(static_cast<int>(std::lround(percent)), MinPercent)};
    merge(sample, now);
    if (m_pending.size() >= MaxPendingSamples) {
        m_pending.erase(m_pending.begin());
    }
    m_pending.push_back(sample);
    return true;
}

void ServerSpeeds::merge(const SpeedSample &sample, TimePoint now)
{
    const auto found = m_windows.find(sample.engine);
    if (found == m_windows.end() && m_windows.size() >= MaxEngines) {
        return;
    }
    SpeedWindow &window = found == m_windows.end() ? m_windows[sample.engine] : found->second;
    window.add(std::clamp(sample.percent, MinPercent, MaxPercent), now);
}

void ServerSpeeds::recordEstimate(std::uint32_t engine, int percent, TimePoint now)
{
    if (m_received.size() < MaxEngines || m_received.contains(engine)) {
        m_received[engine] = {std::clamp(percent, MinPercent, MaxPercent), now};
    }
}

std::vector<SpeedSample> ServerSpeeds::takeSamples()
{
    return std::exchange(m_pending, {});
}

std::optional<int> ServerSpeeds::takeSample(std::uint32_t engine)
{
    const auto found = std::ranges::find(m_pending, engine, &SpeedSample::engine);
    if (found == m_pending.end()) {
        return std::nullopt;
    }
    const int percent = found->percent;
    m_pending.erase(found);
    return percent;
}

// ---- ServerSpeeds: estimates ----

std::optional<int> ServerSpeeds::estimate(std::uint32_t engine, TimePoint now) const
{
    if (const auto received = m_received.find(engine); received != m_received.end() && now - received->second.at <= Retention) {
        return received->second.percent;
    }
    return ownEstimate(engine, now);
}

std::optional<int> ServerSpeeds::ownEstimate(std::uint32_t engine, TimePoint now) const
{
    const auto window = m_windows.find(engine);
    return window == m_windows.end() ? std::nullopt : window->second.estimate(now);
}

std::vector<double> ServerSpeeds::factors(const std::string &group, const std::vector<std::uint32_t> &engines, TimePoint now)
{
    std::vector<std::optional<int>> estimates;
    std::vector<int> known;
    for (const std::uint32_t engine : engines) {
        estimates.push_back(estimate(engine, now));
        if (estimates.back()) {
            known.push_back(*estimates.back());
        }
    }
    GroupState &state = m_groups[group];
    state.usedAt = now;
    updateGroup(state, known, engines.size(), now);
    std::vector<double> result(engines.size(), 1);
    if (!state.differs) {
        state.inUse.clear();
        return result;
    }
    const int typical = median(known);
    std::unordered_map<std::uint32_t, double> inUse;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const double factor = std::clamp(estimates[index].value_or(typical) / 100.0, MinFactor, MaxFactor);
        const auto previous = state.inUse.find(engines[index]);
        const bool keeps = previous != state.inUse.end() && std::abs(std::log(factor / previous->second)) <= std::log(KeptChange);
        result[index] = keeps ? previous->second : factor;
        inUse[engines[index]] = result[index];
    }
    state.inUse = std::move(inUse);
    return result;
}

void ServerSpeeds::updateGroup(GroupState &group, const std::vector<int> &known, std::size_t engines, TimePoint now) const
{
    if (known.size() < 2 || known.size() < std::min(engines / 4, EnoughKnownEngines)) {
        group.differs = false;
        group.apartSince.reset();
        return;
    }
    const auto [smallest, largest] = std::ranges::minmax(known);
    const double ratio = static_cast<double>(largest) / smallest;
    if (ratio <= DifferentRatio) {
        group.apartSince.reset();
    } else if (!group.apartSince) {
        group.apartSince = now;
    }
    if (ratio <= AlikeRatio) {
        group.differs = false;
    } else if (group.apartSince && now - *group.apartSince >= ApartTime) {
        group.differs = true;
    }
}

bool ServerSpeeds::isUpdateDue(TimePoint now)
{
    if (now - m_updatedAt < UpdateInterval) {
        return false;
    }
    m_updatedAt = now;
    std::erase_if(m_windows, [now](const auto &entry) {
        return now - entry.second.lastAt() > Retention;
    });
    std::erase_if(m_received, [now](const auto &entry) {
        return now - entry.second.at > Retention;
    });
    std::erase_if(m_groups, [now](const auto &entry) {
        return now - entry.second.usedAt > Retention;
    });
    return true;
}

} // namespace apricotarch
