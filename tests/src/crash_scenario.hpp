#pragma once

// A scenario in which some submissions crash each worker that starts their first task.

#include "small_pool.hpp"

namespace walkthread::test
{

// A task fails as a poison task after three crashes. One or two more starts may be in flight until then.
inline constexpr std::size_t max_starts = 5;

struct crash_scenario
{
    simulated_pool pool;
    std::vector<task_ref> crashing_tasks;
    std::vector<submission_id> ordinary;

    explicit crash_scenario(std::size_t hosts, std::uint64_t seed = 1, duration restart = seconds(3))
        : pool(settings(hosts, seed, restart))
    {
        pool.start_leader();
        pool.run(seconds(1));
    }
    static pool_settings settings(std::size_t hosts, std::uint64_t seed, duration restart)
    {
        pool_settings out = small_pool_settings(hosts);
        out.seed = seed;
        out.restart = restart;
        return out;
    }
    void submit_crashing(const std::string& queue, std::vector<step_spec> steps)
    {
        const submission_id id = pool.submit(queue, std::move(steps));
        pool.crashing_submissions.insert(id);
        crashing_tasks.push_back({{id, round_id{0}, 0}, 0});
    }
    void submit_ordinary(const std::string& queue, std::vector<step_spec> steps)
    {
        ordinary.push_back(pool.submit(queue, std::move(steps)));
    }
    void check_crashing_tasks_failed()
    {
        for (const task_ref& task : crashing_tasks)
        {
            BOOST_TEST(pool.starts_of(task) <= max_starts);
            BOOST_TEST(pool.crashes_under(task) >= 2U); // a single crash is not enough evidence
            BOOST_TEST((pool.phase(task.step.submission) == submission_phase::failed));
        }
    }
    void check_ordinary_completed()
    {
        for (const submission_id id : ordinary)
        {
            BOOST_TEST(name_of(pool.phase(id)) == "completed", name_of(id)
                                                                   << " is " << name_of(pool.phase(id)));
        }
        check_invariants(pool);
    }
};

} // namespace walkthread::test
