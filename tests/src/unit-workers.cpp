#include <boost/test/unit_test.hpp>

#include <vector>

#include "apricotarch/transport/workers.h"

using namespace apricotarch;

namespace
{

/// Notes when the loop that it belongs to is destroyed.
class EndNote : public boost::asio::execution_context::service
{
public:
    static boost::asio::execution_context::id id;

    EndNote(boost::asio::execution_context &context, std::vector<int> &ends, int loop)
        : service(context)
        , m_ends(ends)
        , m_loop(loop)
    {
    }

    ~EndNote() override
    {
        m_ends.push_back(m_loop);
    }

private:
    void shutdown() override
    {
    }

    std::vector<int> &m_ends;
    int m_loop;
};

boost::asio::execution_context::id EndNote::id;

} // namespace

BOOST_AUTO_TEST_SUITE(workers)

BOOST_AUTO_TEST_CASE(destroy_the_first_loop_last)
{
    // Found under load: a connection on the second loop was destroyed after the first loop, whose acceptor it kept alive.
    std::vector<int> ends;
    {
        Workers workers(3);
        for (int loop = 0; loop < 3; ++loop) {
            boost::asio::io_context &context = workers.next();
            boost::asio::make_service<EndNote>(context, ends, loop);
        }
        workers.start();
    }
    const std::vector<int> reversed{2, 1, 0};
    BOOST_TEST(ends == reversed, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
