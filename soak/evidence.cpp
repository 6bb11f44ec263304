#include "evidence.h"

#include <iostream>

namespace apricotarch::soak
{

std::size_t Evidence::addRun(Run run)
{
    const std::lock_guard lock(m_mutex);
    m_runs.push_back(std::move(run));
    return m_runs.size() - 1;
}

void Evidence::endRun(std::size_t number, bool brokeOff, bool isSound, std::size_t events)
{
    const std::lock_guard lock(m_mutex);
    m_runs[number].end = Clock::now();
    m_runs[number].brokeOff = brokeOff;
    m_runs[number].isSound = isSound;
    m_runs[number].events = events;
}

void Evidence::addRateLimit(RateLimit limit)
{
    const std::lock_guard lock(m_mutex);
    m_rateLimits.push_back(std::move(limit));
}

void Evidence::addCall(Call call)
{
    const std::lock_guard lock(m_mutex);
    m_calls.push_back(std::move(call));
}

void Evidence::addStop(Stop stop)
{
    const std::lock_guard lock(m_mutex);
    m_stops.push_back(stop);
}

void Evidence::addHup(std::size_t node)
{
    const std::lock_guard lock(m_mutex);
    m_hups.push_back({node, Clock::now()});
}

void Evidence::addProbe(Probe probe)
{
    const std::lock_guard lock(m_mutex);
    m_probes.push_back(std::move(probe));
}

void Evidence::addConfiguration(TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_configurations.push_back(at);
}

std::size_t Evidence::addDisturbance(std::optional<std::size_t> node, bool isStart)
{
    const std::lock_guard lock(m_mutex);
    m_disturbances.push_back({node, Clock::now(), TimePoint::max(), isStart});
    return m_disturbances.size() - 1;
}

void Evidence::endDisturbance(std::size_t number)
{
    const std::lock_guard lock(m_mutex);
    m_disturbances[number].end = Clock::now();
}

void Evidence::report(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    std::cout << "event ms=" << age(Clock::now()).count() << ' ' << text << std::endl;
}

} // namespace apricotarch::soak
