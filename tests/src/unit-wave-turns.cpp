#define BOOST_TEST_MODULE wave_turns
#include <boost/test/unit_test.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr resources half_host{8000, 65536, 0, 0};

step_spec make_lasting(std::uint32_t count, std::uint32_t may_miss)
{
    step_spec step = make_step(count, 8000, 0);
    step.long_running = true;
    step.may_miss = may_miss;
    return step;
}
} // namespace

// One task of a long-running step can run nowhere, so the other must not be stopped: the hosts without tasks
// waited behind the host that runs it.
BOOST_AUTO_TEST_CASE(a_wave_continues_past_a_host_that_it_may_not_drain)
{
    pool_settings settings = small_pool_settings(3);
    settings.maintenance = seconds(2);
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(1));
    pool.report("w1", true, 60'000);
    pool.report("w2", true, 60'000);
    step_spec step = make_lasting(2, 1);
    step.size = {16000, 1000, 0, 0};
    pool.submit("plain", {step});
    pool.run(seconds(1));
    pool.resize("w1", half_host);
    pool.resize("w2", half_host);
    pool.report("w1", false);
    pool.report("w2", false);
    BOOST_TEST(pool.running_on("w0") == 1U);
    pool.begin_maintenance_wave({"h0", "h1", "h2"}, 20, 1);
    pool.run(seconds(20));
    const auto& hosts = pool.state().waves().at(1).hosts;
    BOOST_TEST(hosts.at("h1") == static_cast<std::uint8_t>(maintenance_phase::finished));
    BOOST_TEST(hosts.at("h2") == static_cast<std::uint8_t>(maintenance_phase::finished));
    check_invariants(pool);
}
