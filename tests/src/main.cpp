#define BOOST_TEST_MODULE apricotarch
#include <boost/test/unit_test.hpp>
