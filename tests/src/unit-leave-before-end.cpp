#define BOOST_TEST_MODULE leave_before_end
#include <boost/test/unit_test.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr duration settle_time = seconds(1);   // until leaders, polls and reports have reached a steady state
constexpr duration longest_lease = seconds(6); // the platform's
constexpr milliseconds announced{2000};        // before a worker leaves

enum class work
{
    single,
    lasting,
    gang
};

// Starts two tasks, one on each of w0 and w1. Then w0 announces that it leaves; w2 is there to take its work.
submission_id announce_leave(simulated_pool& pool, work kind)
{
    step_spec step = make_step(2, 2000, 60'000, kind == work::gang);
    step.long_running = kind == work::lasting;
    step.per_host_limit = 1;
    pool.start_leader();
    pool.run(settle_time);
    const submission_id id = pool.submit("plain", {step});
    pool.run(settle_time);
    BOOST_REQUIRE(pool.running_on("w0") == 1U);
    pool.add_worker("w2", "h2");
    pool.report("w0", true, announced.count());
    return id;
}
} // namespace

// The port of a leaving worker was closed before its runs had ended, and they were started elsewhere at once.
BOOST_AUTO_TEST_CASE(a_task_does_not_run_twice_while_its_leaving_worker_refuses_connections)
{
    for (const work kind : {work::single, work::lasting, work::gang})
    {
        for (const int runs_on_ms : {100, 500, 2000, 8000})
        {
            for (const bool next_leader : {false, true})
            {
                simulated_pool pool(small_pool_settings(2));
                const submission_id id = announce_leave(pool, kind);
                pool.run(milliseconds(500));
                pool.leave_before_end("w0", milliseconds(runs_on_ms));
                if (next_leader)
                {
                    pool.start_leader();
                }
                pool.run(milliseconds(runs_on_ms) + longest_lease + settle_time);
                BOOST_TEST(pool.state().find(id)->active == 2U);
                BOOST_TEST(pool.running_on("w2") == 1U);
                check_invariants(pool);
            }
        }
    }
}

// The next worker of the machine starts while runs of the former one go on there: they were started elsewhere
// at once.
BOOST_AUTO_TEST_CASE(a_task_does_not_run_twice_while_the_next_worker_of_its_machine_answers)
{
    for (const work kind : {work::single, work::lasting, work::gang})
    {
        for (const bool reports : {false, true})
        {
            for (const int runs_on_ms : {500, 2000, 8000})
            {
                simulated_pool pool(small_pool_settings(2));
                const submission_id id = announce_leave(pool, kind);
                pool.run(milliseconds(500));
                pool.leave_before_end("w0", milliseconds(runs_on_ms));
                pool.add_worker("w3", "h0", reports);
                pool.run(milliseconds(runs_on_ms) + longest_lease + settle_time);
                BOOST_TEST(pool.state().find(id)->active == 2U);
                BOOST_TEST((pool.state().find_id("w3") != nullptr) == reports);
                BOOST_TEST(pool.state().find_id("w0") == nullptr);
                check_invariants(pool);
            }
        }
    }
}

// A lasting task is stopped while its leaving worker still answers, so that nothing is left to prove at the
// end.
BOOST_AUTO_TEST_CASE(a_lasting_task_is_at_work_elsewhere_when_its_worker_leaves)
{
    for (const bool next_leader : {false, true})
    {
        simulated_pool pool(small_pool_settings(2));
        const submission_id id = announce_leave(pool, work::lasting);
        if (next_leader)
        {
            pool.run(milliseconds(100));
            pool.start_leader();
        }
        pool.run(announced - milliseconds(100));
        BOOST_TEST(pool.running_on("w0") == 0U);
        BOOST_TEST(pool.running_on("w2") == 1U);
        BOOST_TEST(pool.starts_of(task_ref{step_ref{id, round_id{0}, 0}, 0}) +
                       pool.starts_of(task_ref{step_ref{id, round_id{0}, 0}, 1}) ==
                   3U);
        check_invariants(pool);
    }
}

// A task that can't be moved runs on until its worker ends, and starts elsewhere once the lease is over.
BOOST_AUTO_TEST_CASE(a_task_that_outlasts_its_worker_starts_elsewhere_after_the_lease)
{
    simulated_pool pool(small_pool_settings(2));
    const submission_id id = announce_leave(pool, work::single);
    pool.run(announced + milliseconds(500));
    BOOST_TEST(pool.running_on("w0") == 1U);
    pool.leave("w0", [] {});
    pool.run(longest_lease);
    BOOST_TEST(pool.running_on("w2") == 1U);
    BOOST_TEST(pool.state().find(id)->active == 2U);
    check_invariants(pool);
}

// A worker without runs is forgotten as soon as its address refuses a connection.
BOOST_AUTO_TEST_CASE(an_idle_worker_that_left_is_dropped_at_once)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(settle_time);
    pool.report("w0", true, announced.count());
    pool.run(announced);
    pool.leave("w0", [] {});
    pool.run(milliseconds(300));
    BOOST_TEST(pool.state().find_id("w0") == nullptr);
    check_invariants(pool);
}
