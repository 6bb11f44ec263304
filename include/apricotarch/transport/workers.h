#pragma once

/**
 * @file
 * The threads of a process. Each runs an event loop of its own; a connection stays with the loop it was given to.
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

/// A fixed set of single-threaded event loops.
class Workers
{
public:
    /**
     * Prepares the loops; none runs yet.
     * @param count number of threads, at least 1
     */
    explicit Workers(std::size_t count);
    Workers(const Workers &) = delete;
    Workers &operator=(const Workers &) = delete;
    /// Stops, and destroys the loops with what waits on them, the first one last.
    ~Workers();

    /// Starts the threads.
    void start();

    /// Ends every loop after the handler it is in, and joins the threads. Idempotent.
    void stop();

    /// The loop for coordination work.
    [[nodiscard]] boost::asio::io_context &first() noexcept;

    /// The loops in turn, for new connections. Constant time, from any thread.
    [[nodiscard]] boost::asio::io_context &next() noexcept;

private:
    using Guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    std::vector<std::unique_ptr<boost::asio::io_context>> m_contexts;
    std::vector<Guard> m_guards;
    std::vector<std::thread> m_threads;
    std::atomic<std::size_t> m_turn = 0;
};

} // namespace apricotarch
