#define BOOST_TEST_MODULE reservations
#include <boost/test/unit_test.hpp>

#include <walkthread/dispatch/capacity_forecast.hpp>

#include "simulated_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr resources host_size{64000, 131072, 8, 0};
constexpr std::size_t hosts = 6;

step_spec make_accelerated(std::uint32_t count, std::int64_t cpu, std::int32_t accelerators,
                           std::int64_t run_ms)
{
    step_spec step = make_step(count, cpu, run_ms);
    step.size.accelerators = accelerators;
    return step;
}

// Time in milliseconds that a task which needs a whole host takes in a pool that small tasks keep full.
std::int64_t large_task_duration(std::uint64_t seed, bool reservations)
{
    pool_settings settings;
    settings.workers = hosts;
    settings.size = host_size;
    settings.seed = seed;
    settings.good_share = 0.6;
    if (!reservations)
    {
        settings.mechanisms.switch_off(mechanism::reservations);
    }
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(2));
    submission_id large{};
    monotonic_time submitted{};
    // Small tasks of 1.2 s need 1.1 times the pool's 48 accelerators.
    for (int i = 0; i < 600; ++i)
    {
        pool.submit("batch", {make_accelerated(2, 5600, 1, 1200)});
        if (i == 60)
        {
            large = pool.submit("gangs", {make_accelerated(1, 31000, 8, 1000)});
            submitted = pool.now();
        }
        pool.run(milliseconds(45));
        if (i > 60 && pool.phase(large) == submission_phase::completed)
        {
            break;
        }
    }
    BOOST_TEST(pool.violations().empty());
    return std::chrono::duration_cast<milliseconds>(pool.now() - submitted).count();
}
} // namespace

BOOST_AUTO_TEST_CASE(capacity_is_forecast_from_the_ends_of_runs)
{
    const resources need{4000, 100, 0, 0};
    const resources one{2000, 100, 0, 0};
    const resources open{1000, 1000, 0, 0};
    BOOST_TEST(time_until_fit({4000, 100, 0, 0}, {}, need).value() == 0.0);
    BOOST_TEST(time_until_fit(open, {{one, 900.0}, {one, 300.0}, {one, 600.0}}, need).value() == 600.0);
    BOOST_TEST(!time_until_fit(open, {{one, std::nullopt}, {one, 300.0}}, need).has_value());
    BOOST_TEST(!time_until_fit(open, {}, need).has_value());
}

// Tasks that need all accelerators of a host waited up to 54 s, as small tasks took all capacity that was
// freed.
BOOST_AUTO_TEST_CASE(a_large_task_starts_on_a_pool_full_of_small_ones)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(large_task_duration(seed, true) < 4000);
            BOOST_TEST(large_task_duration(seed, false) > 8000);
        }
    }
}

// Hosts are held for only a few large tasks at a time, so small ones continue to run.
BOOST_AUTO_TEST_CASE(many_large_tasks_leave_capacity_for_small_ones)
{
    pool_settings settings;
    settings.workers = 12;
    settings.size = host_size;
    settings.good_share = 0.6;
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(2));
    std::vector<submission_id> small;
    for (int i = 0; i < 100; ++i)
    {
        pool.submit("gangs", {make_accelerated(1, 31000, 8, 1500)});
        small.push_back(pool.submit("batch", {make_accelerated(2, 5600, 1, 800)}));
        pool.run(milliseconds(50));
    }
    std::size_t done = 0;
    for (const submission_id id : small)
    {
        done += pool.phase(id) == submission_phase::completed ? 1 : 0;
    }
    BOOST_TEST(done > small.size() / 3);
    BOOST_TEST(pool.violations().empty());
}
