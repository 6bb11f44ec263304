#include <boost/test/unit_test.hpp>

#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "apricotarch/base/background_task.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

/// A loop that fails when it is entered for the first time and ends when it is entered again.
asio::awaitable<void> failOnce(int &entered)
{
    if (++entered == 1) {
        throw std::runtime_error("odd row");
    }
    co_return;
}

} // namespace

BOOST_AUTO_TEST_SUITE(background_task)

BOOST_AUTO_TEST_CASE(a_loop_that_ends_with_an_exception_is_started_again)
{
    // A table was no longer followed after an exception in the loop that followed it, and no line was logged.
    boost::asio::io_context loop;
    SystemClock clock;
    int entered = 0;
    bool ended = false;
    const auto run = [&]() -> asio::awaitable<void> {
        const std::function<asio::awaitable<void>()> makeLoop = [&entered] {
            return failOnce(entered);
        };
        co_await runLoop(clock, "test", makeLoop);
        ended = true;
    };
    asio::co_spawn(loop, run(), LogFailure("test"));
    loop.run_for(5s);
    BOOST_TEST(entered == 2);
    BOOST_TEST(ended);
}

BOOST_AUTO_TEST_CASE(a_failed_task_is_logged_and_ends_no_other)
{
    boost::asio::io_context loop;
    int entered = 0;
    asio::co_spawn(loop, failOnce(entered), LogFailure("first"));
    asio::co_spawn(loop, failOnce(entered), LogFailure("second"));
    BOOST_CHECK_NO_THROW(loop.run_for(5s));
    BOOST_TEST(entered == 2);
}

BOOST_AUTO_TEST_SUITE_END()
