#define BOOST_TEST_MODULE sharing
#include <boost/test/unit_test.hpp>

#include "simulated_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
pool_settings with_workers(std::size_t workers)
{
    pool_settings settings;
    settings.workers = workers;
    return settings;
}

step_spec make_serving(std::uint32_t count, std::int64_t target_ms)
{
    step_spec step = make_step(count, 4000, 0);
    step.long_running = true;
    step.latency_target_ms = target_ms;
    step.per_host_limit = 1;
    return step;
}

step_spec make_filling(std::uint32_t count)
{
    step_spec step = make_step(count, 8000, 60'000);
    step.fills = true;
    step.per_host_limit = 1;
    return step;
}

// The longest time that the tail latency stayed above the target on any of the workers.
duration longest_time_over_target(simulated_pool& pool, const std::vector<std::string>& worker_ids,
                                  std::int64_t target_ms, duration span)
{
    constexpr milliseconds step{50};
    duration longest{0};
    std::map<std::string, duration> over;
    for (duration passed{0}; passed < span; passed += step)
    {
        pool.run(step);
        for (const std::string& incarnation : worker_ids)
        {
            over[incarnation] =
                pool.tail_latency_on(incarnation) > target_ms ? over[incarnation] + step : duration{0};
            longest = std::max(longest, over[incarnation]);
        }
    }
    return longest;
}
} // namespace

BOOST_AUTO_TEST_CASE(fillers_slow_down_before_tail_latency_exceeds_its_target_for_long)
{
    simulated_pool pool(with_workers(2));
    pool.start_leader();
    pool.run(seconds(1));
    pool.submit("plain", {make_serving(2, 100)});
    pool.run(seconds(2));
    pool.submit("plain", {make_filling(2)}); // a tail latency of 160 ms at full pace
    BOOST_TEST((longest_time_over_target(pool, {"w0", "w1"}, 100, seconds(20)) < milliseconds(2500)));
    BOOST_TEST(pool.tail_latency_on("w0") > 60); // they still run
}

BOOST_AUTO_TEST_CASE(a_new_leader_keeps_fillers_slow)
{
    simulated_pool pool(with_workers(2));
    pool.start_leader();
    pool.run(seconds(1));
    pool.submit("plain", {make_serving(2, 100)});
    pool.run(seconds(2));
    pool.submit("plain", {make_filling(2)});
    pool.run(seconds(10));
    pool.stop_leader();
    pool.run(milliseconds(1200));
    pool.start_leader();
    BOOST_TEST((longest_time_over_target(pool, {"w0", "w1"}, 100, seconds(10)) < milliseconds(2500)));
}

BOOST_AUTO_TEST_CASE(filling_tasks_avoid_hosts_of_serving_tasks)
{
    simulated_pool pool(with_workers(4));
    pool.start_leader();
    pool.run(seconds(1));
    pool.submit("plain", {make_serving(2, 100)});
    pool.run(seconds(2));
    pool.submit("plain", {make_filling(2)});
    pool.run(seconds(2));
    for (const std::string incarnation : {"w0", "w1", "w2", "w3"})
    {
        BOOST_TEST(pool.running_on(incarnation) == 1U);
    }
}

// A wave over all hosts of a step that may miss one task: they are drained one after the other.
BOOST_AUTO_TEST_CASE(maintenance_stops_no_lasting_task_while_another_is_down)
{
    simulated_pool pool(with_workers(4));
    pool.start_leader();
    pool.run(seconds(1));
    step_spec step = make_serving(3, 0);
    step.may_miss = 1;
    const submission_id id = pool.submit("plain", {step});
    pool.run(seconds(2));
    pool.begin_maintenance_wave({"h0", "h1", "h2"}, 20, 3);
    std::uint32_t fewest = 3;
    for (int i = 0; i < 200; ++i)
    {
        pool.run(milliseconds(50));
        fewest = std::min(fewest, pool.state().find(id)->active);
    }
    BOOST_TEST(fewest >= 2U);
    BOOST_TEST(pool.violations().empty());
}
