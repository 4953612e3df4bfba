#define BOOST_TEST_MODULE gathering
#include <boost/test/unit_test.hpp>

#include <walkthread/dispatch/gathering.hpp>

using namespace walkthread;

namespace
{
constexpr resources gang{180'000, 660'000, 0, 0}; // 20 tasks of 9 cores and 33 GB

// Number of such gangs that gather at a time in a pool of that many hosts with 32 cores and 128 GB.
std::size_t count_gathering_gangs(std::int64_t hosts)
{
    const resources pool = resources{32'000, 131'072, 0, 0} * hosts;
    gathering_demand others;
    while (may_start_gathering(others, gang, pool, {}))
    {
        ++others.gangs;
        others.wanted += gang;
    }
    return others.gangs;
}
} // namespace

// Guards against a fixed number of gathering gangs: on a burst of wide gangs in a full pool, two gathered at
// a time, each for about a second, so others waited for seconds on 350 hosts although capacity was freed
// there.
BOOST_AUTO_TEST_CASE(more_gangs_gather_on_a_larger_pool)
{
    BOOST_TEST(count_gathering_gangs(48) == 2);
    BOOST_TEST(count_gathering_gangs(350) == 6);
    BOOST_TEST(count_gathering_gangs(1100) == 19);
}

BOOST_AUTO_TEST_CASE(the_scarcer_of_processors_and_memory_counts)
{
    const resources pool{11'200'000, 6'600'000, 0, 0};
    gathering_demand others{2, gang + gang};
    BOOST_TEST(!may_start_gathering(others, gang, pool, {}));
}

BOOST_AUTO_TEST_CASE(the_minimum_number_of_gangs_may_gather_in_an_unknown_pool)
{
    BOOST_TEST(may_start_gathering({1, gang}, gang, {}, {2, 0.0}));
}
