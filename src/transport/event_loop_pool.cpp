#include "apricotarch/transport/event_loop_pool.h"

#include <algorithm>

namespace apricotarch
{

EventLoopPool::EventLoopPool(std::size_t count)
{
    for (std::size_t index = 0; index < std::max<std::size_t>(count, 1); ++index) {
        m_contexts.push_back(std::make_unique<boost::asio::io_context>(1));
        m_workGuards.push_back(boost::asio::make_work_guard(*m_contexts.back()));
    }
}

EventLoopPool::~EventLoopPool()
{
    stop();
    m_workGuards.clear();
    // Connections on the other loops keep objects of the first loop alive, such as the acceptor that accepted them.
    while (!m_contexts.empty()) {
        m_contexts.pop_back();
    }
}

void EventLoopPool::start()
{
    for (const auto &context : m_contexts) {
        m_threads.emplace_back([&loop = *context] {
            loop.run();
        });
    }
}

void EventLoopPool::stop()
{
    for (const auto &context : m_contexts) {
        context->stop();
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

boost::asio::io_context &EventLoopPool::coordinationLoop() noexcept
{
    return *m_contexts.front();
}

boost::asio::io_context &EventLoopPool::nextLoop() noexcept
{
    return *m_contexts[m_nextIndex.fetch_add(1, std::memory_order_relaxed) % m_contexts.size()];
}

} // namespace apricotarch
