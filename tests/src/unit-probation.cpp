#define BOOST_TEST_MODULE probation
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include <walkthread/dispatch/worker_probation.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr duration settle_time = seconds(1); // until leaders, polls and reports have reached a steady state
constexpr duration start_bound = seconds(3); // the platform's: work that workers can take starts within it
constexpr submission_id first{1};
constexpr submission_id second{2};
constexpr submission_id third{3};
constexpr submission_id fourth{4};

monotonic_time at_ms(std::int64_t ms)
{
    return monotonic_time(milliseconds(ms));
}

std::vector<submission_id> submit_many(simulated_pool& pool, int count, std::int64_t run_ms)
{
    std::vector<submission_id> out;
    for (int i = 0; i < count; ++i)
    {
        out.push_back(pool.submit("plain", {make_step(1, 2000, run_ms)}));
    }
    return out;
}

std::size_t count_in(const simulated_pool& pool, const std::vector<submission_id>& all,
                     submission_phase phase)
{
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(),
                                                  [&pool, phase](submission_id id)
                                                  {
                                                      return pool.phase(id) == phase;
                                                  }));
}

// Submits a task a tenth of a second while one of seven workers fails all that it starts for five seconds.
// Returns how many it started.
std::size_t starts_while_failing(std::int64_t cpu, std::int64_t run_ms)
{
    simulated_pool pool(small_pool_settings(7));
    pool.start_leader();
    pool.run(settle_time);
    pool.faults("w0").fails_all = true;
    for (int i = 0; i < 50; ++i)
    {
        pool.submit("plain", {make_step(1, cpu, run_ms)});
        pool.run(milliseconds(100));
    }
    check_invariants(pool);
    return pool.starts_on("w0");
}
} // namespace

// Eight runs that failed within a few milliseconds doubled the time for which their worker was excluded six
// times over, up to half a minute.
BOOST_AUTO_TEST_CASE(failures_of_runs_sent_before_a_probation_do_not_prolong_it)
{
    worker_probation probation{probation_settings{}};
    BOOST_TEST(!probation.record_failure(first, at_ms(100), at_ms(600)));
    BOOST_TEST(!probation.record_failure(second, at_ms(110), at_ms(601)));
    BOOST_TEST(probation.record_failure(third, at_ms(120), at_ms(602)));
    const monotonic_time until = probation.until();
    BOOST_TEST(!probation.record_failure(fourth, at_ms(130), at_ms(603)));
    BOOST_TEST(!probation.record_failure(first, at_ms(140), at_ms(604)));
    BOOST_TEST((probation.until() == until));
    BOOST_TEST(probation.record_failure(fourth, at_ms(1700), at_ms(1800)));
    BOOST_TEST((probation.until() == at_ms(1800) + milliseconds(8000)));
}

BOOST_AUTO_TEST_CASE(a_probation_ends_with_the_first_completed_run_that_was_sent_in_it)
{
    worker_probation probation{probation_settings{}};
    BOOST_TEST(probation.record_stall(at_ms(100), at_ms(5000)));
    BOOST_TEST(!probation.record_stall(at_ms(110), at_ms(5001)));
    BOOST_TEST(!probation.record_completion(at_ms(200), at_ms(5100)));
    BOOST_TEST(probation.active(at_ms(5200)));
    probation.record_trial(at_ms(6000));
    BOOST_TEST((probation.next_trial() == at_ms(7000)));
    BOOST_TEST(probation.record_completion(at_ms(6000), at_ms(6400)));
    BOOST_TEST(!probation.active(at_ms(6500)));
}

BOOST_AUTO_TEST_CASE(failures_of_one_submission_begin_no_probation)
{
    worker_probation probation{probation_settings{}};
    for (std::int64_t ms = 100; ms < 1000; ms += 100)
    {
        BOOST_TEST(!probation.record_failure(first, at_ms(ms), at_ms(ms + 50)));
    }
}

// Work that only one worker can take waited for up to half a minute after that worker had failed a few runs.
BOOST_AUTO_TEST_CASE(work_starts_in_time_after_a_short_disturbance_of_its_only_worker)
{
    simulated_pool pool(small_pool_settings(1));
    pool.start_leader();
    pool.run(settle_time);
    pool.faults("w0").fails_all = true;
    std::vector<submission_id> all = submit_many(pool, 8, 200);
    pool.run(milliseconds(1500));
    pool.faults("w0").fails_all = false;
    pool.run(seconds(1));
    all.push_back(pool.submit("plain", {make_step(1, 2000, 200)}));
    pool.run(start_bound);
    BOOST_TEST(pool.starts_of({{all.back(), round_id{0}, 0}, 0}) == 1U);
    pool.run(seconds(1));
    BOOST_TEST(count_in(pool, all, submission_phase::completed) == all.size());
    check_invariants(pool);
}

// All waiting tasks at once would use up their attempts as soon as their only worker is tried again.
BOOST_AUTO_TEST_CASE(a_worker_on_probation_is_tried_with_one_task_at_a_time)
{
    simulated_pool pool(small_pool_settings(1));
    pool.start_leader();
    pool.run(settle_time);
    pool.faults("w0").fails_all = true;
    const std::vector<submission_id> all = submit_many(pool, 8, 200);
    pool.run(seconds(1));
    BOOST_TEST(pool.starts_on("w0") == 8U);
    pool.run(milliseconds(2500));
    BOOST_TEST(pool.starts_on("w0") > 8U);
    BOOST_TEST(pool.starts_on("w0") <= 10U);
    BOOST_TEST(count_in(pool, all, submission_phase::failed) <= 2U);
    pool.faults("w0").fails_all = false;
    pool.run(seconds(3));
    BOOST_TEST(count_in(pool, all, submission_phase::completed) >= 6U);
    check_invariants(pool);
}

// With other workers free, the bad one is not tried.
BOOST_AUTO_TEST_CASE(a_worker_that_fails_everything_costs_few_runs_beside_free_workers)
{
    // Three begin the probation, and one more is on its way then. After four seconds the next failure
    // prolongs it, with one more on its way.
    BOOST_TEST(starts_while_failing(1000, 300) <= 6U);
}

// With the others full, it is always empty, and all waiting work has no other choice.
BOOST_AUTO_TEST_CASE(a_worker_that_fails_everything_costs_few_runs_beside_full_workers)
{
    BOOST_TEST(starts_while_failing(16000, 3000) <= 4U + 5U); // those, and at most one trial a second
}

// The next leader does not know which workers are on probation and learns it again from three failed runs.
BOOST_AUTO_TEST_CASE(the_next_leader_puts_a_worker_on_probation_again)
{
    simulated_pool pool(small_pool_settings(7));
    pool.start_leader();
    pool.run(settle_time);
    pool.faults("w0").fails_all = true;
    for (int i = 0; i < 40; ++i)
    {
        pool.submit("plain", {make_step(1, 1000, 300)});
        pool.run(milliseconds(100));
        if (i == 20)
        {
            pool.start_leader();
        }
    }
    BOOST_TEST(pool.starts_on("w0") <= 8U);
    check_invariants(pool);
}
