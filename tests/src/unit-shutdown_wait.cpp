#include <boost/test/unit_test.hpp>

#include <csignal>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "apricotarch/app/shutdown_wait.h"

using namespace apricotarch;

namespace
{

/// A clock that never advances and whose pauses end after the handlers that are ready.
class YieldingClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const noexcept override
    {
        return {};
    }

    [[nodiscard]] asio::awaitable<void> sleep(Duration /*duration*/) override
    {
        co_await asio::post(asio::use_awaitable);
    }
};

/// Counts the questions whether an operator has requested a shutdown, and answers yes from a given question on.
struct Operator
{
    int questions = 0;
    int firstYes = 1;

    [[nodiscard]] std::function<bool()> asked()
    {
        return [this] {
            return ++questions >= firstYes;
        };
    }
};

constexpr int Never = 1'000'000'000;

} // namespace

BOOST_AUTO_TEST_SUITE(shutdown_wait)

BOOST_AUTO_TEST_CASE(ends_when_an_operator_requests_a_shutdown)
{
    asio::io_context loop;
    YieldingClock clock;
    Operator someone{.firstYes = 3};
    ShutdownWait wait(loop, clock, someone.asked());
    wait.run();
    BOOST_TEST(someone.questions == 3);
}

BOOST_AUTO_TEST_SUITE(after_a_signal)

BOOST_AUTO_TEST_CASE(leaves_no_handler_that_uses_what_has_gone)
{
    // serve ended with SIGSEGV after each SIGTERM: the loop ran on for the shutdown, and the handler of the cancelled timer used the
    // variables of the wait, which had returned.
    asio::io_context loop;
    YieldingClock clock;
    Operator someone{.firstYes = Never};
    {
        ShutdownWait wait(loop, clock, someone.asked());
        std::raise(SIGTERM);
        wait.run();
    }
    const int questionsInWait = someone.questions;
    loop.poll();
    BOOST_TEST(someone.questions == questionsInWait);
}

BOOST_AUTO_TEST_CASE(does_not_let_another_signal_end_the_process)
{
    // A second SIGTERM would end the process beside the requests for which the shutdown waits.
    asio::io_context loop;
    YieldingClock clock;
    Operator someone{.firstYes = Never};
    ShutdownWait wait(loop, clock, someone.asked());
    std::raise(SIGTERM);
    wait.run();
    BOOST_TEST(std::raise(SIGTERM) == 0);
    loop.poll();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
