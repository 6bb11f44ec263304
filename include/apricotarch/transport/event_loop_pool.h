#pragma once

/**
 * @file
 * The worker threads of a process. Each runs its own event loop; a connection stays on the loop that it was assigned to.
 */

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace apricotarch
{

/// A fixed number of single-threaded event loops.
class EventLoopPool
{
public:
    /**
     * Creates the loops without running them.
     * @param count number of threads; 0 is treated as 1
     */
    explicit EventLoopPool(std::size_t count);
    EventLoopPool(const EventLoopPool &) = delete;
    EventLoopPool &operator=(const EventLoopPool &) = delete;
    /// Stops the threads and destroys the loops with their pending operations, the first one last.
    ~EventLoopPool();

    /// Starts the threads.
    void start();

    /// Stops every loop after its current handler and joins the threads. Idempotent.
    void stop();

    /// Returns the first loop, which runs coordination work.
    [[nodiscard]] boost::asio::io_context &coordinationLoop() noexcept;

    /// Returns the next loop in round-robin order, for a new connection. Constant time; thread-safe.
    [[nodiscard]] boost::asio::io_context &nextLoop() noexcept;

private:
    using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    std::vector<std::unique_ptr<boost::asio::io_context>> m_contexts;
    std::vector<WorkGuard> m_workGuards;
    std::vector<std::thread> m_threads;
    std::atomic<std::size_t> m_nextIndex = 0;
};

} // namespace apricotarch
