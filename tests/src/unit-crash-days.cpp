#define BOOST_TEST_MODULE crash_days
#include <boost/test/unit_test.hpp>

#include <array>
#include <random>

#include "crash_scenario.hpp"
#include "stall_check.hpp"

using namespace walkthread;
using namespace walkthread::test;

// Randomized scenarios: a share of the submissions are poison tasks that crash their workers, in all queues,
// at two pool sizes. In some the restart takes longer than the lease, so that a crash is known only after the
// task runs again.
BOOST_AUTO_TEST_CASE(random_scenarios_lose_no_ordinary_submission)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(400, 20); ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937_64 random(seed);
            const auto draw = [&random](std::uint64_t below)
            {
                return random() % below;
            };
            const std::size_t hosts = draw(2) == 0 ? 48 : 24;
            crash_scenario scenario(hosts, seed,
                                    milliseconds(2000 + static_cast<std::int64_t>(draw(6)) * 1000));
            const stall_check stalls(scenario.pool);
            const std::uint64_t percent = std::array{1, 5, 30}.at(seed % 3);
            for (int i = 0; i < 60; ++i)
            {
                const auto kind = draw(3);
                std::vector<step_spec> steps = kind == 0   ? std::vector{make_step(2, 1400, 1000)}
                                               : kind == 1 ? std::vector{make_step(10, 980, 2000)}
                                                           : std::vector{make_step(4, 4500, 3000, true)};
                const std::string queue = kind == 0 ? "urgent" : kind == 1 ? "batch" : "gangs";
                if (draw(100) < percent)
                {
                    scenario.submit_crashing(queue, std::move(steps));
                }
                else
                {
                    scenario.submit_ordinary(queue, std::move(steps));
                }
                scenario.pool.run(milliseconds(300));
                if (draw(20) == 0)
                {
                    scenario.pool.start_leader();
                }
            }
            scenario.pool.run(seconds(90));
            scenario.check_crashing_tasks_failed();
            scenario.check_ordinary_completed();
            stalls.check();
        }
    }
}
