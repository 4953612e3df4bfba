#define BOOST_TEST_MODULE late_leave
#include <boost/test/unit_test.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr duration longest_lease = seconds(6); // the platform's
constexpr duration settle_time = seconds(1);   // until leaders, polls and reports have reached a steady state

std::vector<submission_id> submit_many(simulated_pool& pool, int count, std::int64_t run_ms)
{
    std::vector<submission_id> out;
    for (int i = 0; i < count; ++i)
    {
        out.push_back(pool.submit("plain", {make_step(2, 2000, run_ms)}));
    }
    return out;
}

// Starts a submission with one lasting task on each of w0 and w1.
submission_id submit_lasting(simulated_pool& pool)
{
    step_spec step = make_step(2, 2000, 1000);
    step.long_running = true;
    step.per_host_limit = 1;
    const submission_id id = pool.submit("plain", {step});
    pool.run(settle_time);
    BOOST_REQUIRE(pool.running_on("w0") == 1U);
    return id;
}

// w0 announces that it leaves, and ends half a second later. w2 is there to take its work.
void leave_as_planned(simulated_pool& pool, bool silent, std::int64_t remaining_ms = 10'000)
{
    pool.add_worker("w2", "h2");
    pool.report("w0", true, remaining_ms);
    pool.run(milliseconds(500));
    bool acknowledged = false;
    pool.leave(
        "w0",
        [&acknowledged]
        {
            acknowledged = true;
        },
        silent);
    BOOST_TEST(acknowledged);
}

void check_completed(const simulated_pool& pool, const std::vector<submission_id>& all)
{
    for (const submission_id id : all)
    {
        BOOST_TEST(name_of(pool.phase(id)) == "completed", name_of(id) << " is " << name_of(pool.phase(id)));
    }
    check_invariants(pool);
}
} // namespace

// A leave of the former incarnation arrives while the present one is leaving: its tasks ran twice, here and
// elsewhere.
BOOST_AUTO_TEST_CASE(a_late_leave_does_not_drop_an_incarnation_that_is_leaving)
{
    simulated_pool pool(small_pool_settings(3));
    pool.start_leader();
    pool.run(settle_time);
    pool.restart("w0", milliseconds(300));
    pool.run(settle_time);
    const auto all = submit_many(pool, 9, 3000);
    pool.run(milliseconds(300));
    BOOST_REQUIRE(pool.running_on("w0") > 0U);
    pool.add_worker("w3", "h3");
    pool.report("w0", true, 10'000);
    pool.run(milliseconds(100));
    pool.leader().handle_leave("w0", [](bool) {});
    pool.run(seconds(15));
    check_completed(pool, all);
}

// A leave is acknowledged at once, and again when it is repeated, although it proves nothing.
BOOST_AUTO_TEST_CASE(a_leave_is_acknowledged_while_its_worker_runs_on)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(settle_time);
    const submission_id id = submit_lasting(pool);
    pool.report("w0", true, 10'000);
    pool.run(milliseconds(100));
    int acknowledged = 0;
    for (int i = 0; i < 3; ++i)
    {
        pool.leader().handle_leave("w0",
                                   [&acknowledged](bool counted)
                                   {
                                       acknowledged += counted ? 1 : 0;
                                   });
        BOOST_TEST(acknowledged == i + 1);
        pool.run(seconds(1));
    }
    BOOST_TEST(pool.state().find(id)->active == 2U);
    BOOST_TEST(pool.starts_on("w0") == 1U);
    check_invariants(pool);
}

// A worker that leaves when the time is over that it announced: its lasting task is at work elsewhere by
// then.
BOOST_AUTO_TEST_CASE(work_of_a_worker_that_leaves_is_at_work_elsewhere_by_then)
{
    for (const bool next_leader : {false, true})
    {
        simulated_pool pool(small_pool_settings(2));
        pool.start_leader();
        pool.run(settle_time);
        const submission_id id = submit_lasting(pool);
        pool.report("w0", true, 1500);
        pool.run(seconds(1));
        leave_as_planned(pool, false, 500);
        BOOST_TEST(pool.running_on("w2") == 1U);
        if (next_leader)
        {
            pool.start_leader();
        }
        pool.run(milliseconds(500));
        BOOST_TEST(pool.starts_on("w2") == 1U);
        BOOST_TEST(pool.state().find(id)->active == 2U);
        check_invariants(pool);
    }
}

// A machine without power says nothing, so the end of the lease is what proves that its worker has ended.
BOOST_AUTO_TEST_CASE(work_of_a_worker_whose_machine_is_silent_starts_elsewhere_after_its_lease)
{
    for (const bool next_leader : {false, true})
    {
        simulated_pool pool(small_pool_settings(2));
        pool.start_leader();
        pool.run(settle_time);
        const submission_id id = submit_lasting(pool);
        leave_as_planned(pool, true);
        if (next_leader)
        {
            pool.start_leader();
        }
        pool.run(seconds(3));
        BOOST_TEST(pool.starts_on("w2") == 0U);
        pool.run(longest_lease);
        BOOST_TEST(pool.starts_on("w2") == 1U);
        BOOST_TEST(pool.state().find(id)->active == 2U);
        check_invariants(pool);
    }
}
