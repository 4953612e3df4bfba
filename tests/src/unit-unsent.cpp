#define BOOST_TEST_MODULE unsent
#include <boost/test/unit_test.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

// With 1,100 workers the leader ran out of file descriptors. Orders for which no connection could be opened
// were reported as unanswered, as if a worker might have carried them out: their runs were stopped after
// three attempts, gang members that had started waited for the others, and completed work was discarded. An
// order that was not sent is therefore an outcome of its own: it is sent again and does not count as an
// attempt, and if no order of a run was sent, the task goes elsewhere at once.

namespace
{
void set_unsent(simulated_pool& pool, std::size_t workers, double share)
{
    for (std::size_t i = 0; i < workers; ++i)
    {
        pool.faults("w" + std::to_string(i)).unsent = share;
    }
}
} // namespace

BOOST_AUTO_TEST_CASE(an_unsent_order_is_retried_and_no_work_is_discarded)
{
    for (std::uint64_t seed = 1; seed <= seed_count(20); ++seed)
    {
        pool_settings settings = small_pool_settings(8);
        settings.seed = seed;
        simulated_pool pool(settings);
        pool.start_leader();
        pool.run(seconds(1));
        set_unsent(pool, 8, 0.3);
        std::vector<submission_id> all;
        for (int i = 0; i < 20; ++i)
        {
            all.push_back(pool.submit("plain", {make_step(3, 1000, 500)}));
            pool.run(milliseconds(100));
        }
        pool.run(seconds(4));
        for (const submission_id id : all)
        {
            BOOST_TEST((pool.phase(id) == submission_phase::completed));
        }
        BOOST_TEST(pool.leader().counters().unsent_orders > 0U);
        BOOST_TEST(pool.leader().counters().unanswered_orders == 0U);
        check_invariants(pool);
    }
}

BOOST_AUTO_TEST_CASE(a_task_whose_orders_cannot_be_sent_goes_elsewhere_before_the_lease_is_over)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    pool.faults("w0").unsent = 1.0;
    const submission_id id = pool.submit("plain", {make_step(1, 1000, 500)});
    pool.run(milliseconds(2500));
    BOOST_TEST((pool.phase(id) == submission_phase::completed));
    check_invariants(pool);
}

BOOST_AUTO_TEST_CASE(a_gang_some_of_whose_orders_cannot_be_sent_starts_in_the_end)
{
    for (std::uint64_t seed = 1; seed <= seed_count(20); ++seed)
    {
        pool_settings settings = small_pool_settings(8);
        settings.seed = seed;
        simulated_pool pool(settings);
        pool.start_leader();
        pool.run(seconds(1));
        set_unsent(pool, 8, 0.3);
        const submission_id id = pool.submit("gangs", {make_step(8, 4000, 500, true)});
        pool.run(seconds(8));
        BOOST_TEST((pool.phase(id) == submission_phase::completed));
        check_invariants(pool);
    }
}

// One member of a gang could not be started, and the others waited for it for 3.7 s: they were stopped only
// once they were seen to be stalled, and a second such failure exceeded the caller's timeout.
BOOST_AUTO_TEST_CASE(a_gang_that_cannot_assemble_is_stopped_at_once)
{
    pool_settings settings = small_pool_settings(3);
    settings.good_share = 1.0; // all three are needed
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(1));
    pool.faults("w0").unsent = 1.0;
    const submission_id id = pool.submit("gangs", {make_step(6, 7000, 500, true)});
    pool.run(seconds(2));
    pool.faults("w0").unsent = 0.0;
    pool.run(milliseconds(1500));
    BOOST_TEST((pool.phase(id) == submission_phase::completed));
    check_invariants(pool);
}
