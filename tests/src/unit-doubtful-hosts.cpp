#define BOOST_TEST_MODULE doubtful_hosts
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr duration settle_time = seconds(1); // until leaders, polls and reports have reached a steady state
constexpr duration start_bound = seconds(3); // the platform's: work that workers can take starts within it
constexpr std::int64_t whole_host_cpu = 16000;

step_spec lasting(step_spec step)
{
    step.long_running = true;
    return step;
}

// Occupies all hosts but one until the end of the test. Returns the one that is free.
std::string occupy_other_hosts(simulated_pool& pool)
{
    const std::size_t hosts = pool.workers().size();
    pool.submit("plain", {lasting(make_step(static_cast<std::uint32_t>(hosts - 1), whole_host_cpu, 1000))});
    pool.run(settle_time);
    std::string free;
    for (const auto& [name, worker] : pool.workers())
    {
        free = worker.running.empty() ? name : free;
    }
    return free;
}

std::size_t starts_on(const simulated_pool& pool, const std::string& worker)
{
    return pool.workers().at(worker).starts;
}

bool is_running(const simulated_pool& pool, const std::string& worker, submission_id owner)
{
    const auto& running = pool.workers().at(worker).running;
    return std::any_of(running.begin(), running.end(),
                       [owner](const auto& item)
                       {
                           return item.first.task.step.submission == owner;
                       });
}
} // namespace

// A task that failed on the only host with free capacity was never started again: a host that was full for
// good counted as an alternative, as it could have taken the task if it were empty.
BOOST_AUTO_TEST_CASE(a_failed_task_returns_to_its_host_if_the_others_stay_full)
{
    simulated_pool pool(small_pool_settings(3));
    pool.start_leader();
    pool.run(settle_time);
    const std::string free = occupy_other_hosts(pool);
    const submission_id id = pool.submit("plain", {make_step(1, 4000, 60'000)});
    pool.run(milliseconds(500));
    BOOST_REQUIRE(is_running(pool, free, id));
    pool.fail_one_run(free);
    pool.run(seconds(1));
    const std::vector<doubtful_host> left_alone =
        pool.leader().doubtful_hosts({id, round_id{0}, 0}, pool.now());
    BOOST_REQUIRE(left_alone.size() == 1U);
    BOOST_TEST(left_alone.front().worker == free);
    BOOST_TEST((left_alone.front().doubt == host_doubt::failed_before));
    pool.run(start_bound - seconds(1));
    BOOST_TEST(is_running(pool, free, id));
    check_invariants(pool);
}

// The same if an advisor has to be queried about the host again.
BOOST_AUTO_TEST_CASE(a_failed_task_returns_in_time_also_if_it_needs_a_ticket)
{
    pool_settings settings = small_pool_settings(3);
    settings.good_share = 1.0;
    settings.question = milliseconds(600);
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(settle_time);
    const std::string free = occupy_other_hosts(pool);
    const submission_id id = pool.submit("batch", {make_step(2, 4000, 60'000)});
    pool.run(seconds(2));
    BOOST_REQUIRE(is_running(pool, free, id));
    pool.fail_one_run(free);
    pool.fail_one_run(free);
    pool.run(start_bound);
    BOOST_TEST(pool.running_on(free) == 2U);
    check_invariants(pool);
}

// A second run on a host that fails everything would use up the task's last attempt.
BOOST_AUTO_TEST_CASE(a_failed_task_goes_to_another_host_that_has_free_capacity)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(settle_time);
    const submission_id id = pool.submit("plain", {make_step(1, 4000, 2000)});
    pool.run(milliseconds(500));
    const std::string bad = pool.running_on("w0") > 0 ? "w0" : "w1";
    pool.faults(bad).fails_all = true;
    pool.fail_one_run(bad);
    pool.run(seconds(4));
    BOOST_TEST(starts_on(pool, bad) == 1U);
    BOOST_TEST(name_of(pool.phase(id)) == "completed");
    check_invariants(pool);
}

// It also waits for a host that becomes free soon.
BOOST_AUTO_TEST_CASE(a_failed_task_waits_for_another_host_that_becomes_free_soon)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(settle_time);
    pool.submit("plain", {make_step(1, whole_host_cpu, 1500)});
    pool.run(milliseconds(200));
    const std::string bad = pool.running_on("w0") > 0 ? "w1" : "w0";
    const submission_id id = pool.submit("plain", {make_step(1, 4000, 1000)});
    pool.run(milliseconds(300));
    pool.faults(bad).fails_all = true;
    pool.fail_one_run(bad);
    pool.run(seconds(4));
    BOOST_TEST(starts_on(pool, bad) == 1U);
    BOOST_TEST(name_of(pool.phase(id)) == "completed");
    check_invariants(pool);
}
