#include <boost/test/unit_test.hpp>

#include <vector>

#include "apricotarch/transport/event_loop_pool.h"

using namespace apricotarch;

namespace
{

/// Service of an event loop that records the loop's destruction.
class DestructionRecorder : public boost::asio::execution_context::service
{
public:
    static boost::asio::execution_context::id id;

    DestructionRecorder(boost::asio::execution_context &context, std::vector<int> &destroyedLoops, int loop)
        : service(context)
        , m_destroyedLoops(destroyedLoops)
        , m_loop(loop)
    {
    }

    ~DestructionRecorder() override
    {
        m_destroyedLoops.push_back(m_loop);
    }

private:
    void shutdown() override
    {
    }

    std::vector<int> &m_destroyedLoops;
    int m_loop;
};

boost::asio::execution_context::id DestructionRecorder::id;

} // namespace

BOOST_AUTO_TEST_SUITE(event_loop_pool)

BOOST_AUTO_TEST_CASE(destroy_the_first_loop_last)
{
    // Guards against a fault that occurred under load: a connection on the second loop, which kept the acceptor of the first loop
    // alive, was destroyed after the first loop.
    std::vector<int> destroyedLoops;
    {
        EventLoopPool eventLoops(3);
        for (int loop = 0; loop < 3; ++loop) {
            boost::asio::io_context &context = eventLoops.nextLoop();
            boost::asio::make_service<DestructionRecorder>(context, destroyedLoops, loop);
        }
        eventLoops.start();
    }
    const std::vector<int> expected{2, 1, 0};
    BOOST_TEST(destroyedLoops == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
