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

void Evidence::endRun(std::size_t number, bool brokeOff)
{
    const std::lock_guard lock(m_mutex);
    m_runs[number].end = Clock::now();
    m_runs[number].brokeOff = brokeOff;
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

void Evidence::addEvent(std::string text)
{
    const TimePoint now = Clock::now();
    const std::lock_guard lock(m_mutex);
    std::cout << "event ms=" << age(now).count() << ' ' << text << std::endl;
    m_events.push_back({std::move(text), now});
}

} // namespace apricotarch::soak
