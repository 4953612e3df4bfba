#define BOOST_TEST_MODULE pending
#include <boost/test/unit_test.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

// The number of pending submissions: those none of whose tasks has begun.

namespace
{
void set_unresponsive(simulated_pool& pool, std::size_t workers, bool unresponsive)
{
    for (std::size_t i = 0; i < workers; ++i)
    {
        pool.faults("w" + std::to_string(i)).unresponsive = unresponsive;
    }
}
} // namespace

// Two fifths of the workers became unresponsive. Tasks were sent to them for two more seconds and their
// starts recorded, and a submission with a recorded start counted as begun although its order had not been
// delivered, so too few submissions were reported as pending. A submission counts as begun only once a worker
// has confirmed it.
BOOST_AUTO_TEST_CASE(submissions_whose_orders_were_not_delivered_count_as_pending)
{
    simulated_pool pool(small_pool_settings(4));
    pool.start_leader();
    pool.run(milliseconds(1150)); // all have just answered a poll
    set_unresponsive(pool, 4, true);
    for (int i = 0; i < 5; ++i)
    {
        pool.submit("plain", {make_step(2, 1000, 3000)});
    }
    pool.run(seconds(1));
    BOOST_TEST(pool.state().queued("plain") == 0U); // their starts are recorded
    BOOST_TEST(pool.leader().pending("plain") == 5U);
    pool.run(seconds(5));
    BOOST_TEST(pool.leader().pending("plain") == 5U); // their workers were dropped meanwhile
    set_unresponsive(pool, 4, false);
    pool.run(seconds(4));
    BOOST_TEST(pool.leader().pending("plain") == 0U);
}

// The next leader finds that a start recorded by the previous leader was never carried out.
BOOST_AUTO_TEST_CASE(a_start_not_sent_by_the_previous_leader_counts_as_pending)
{
    simulated_pool pool(small_pool_settings(1));
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id id = pool.submit("plain", {make_step(1, 1000, 3000)});
    pool.run(milliseconds(12));
    const worker_incarnation& incarnation = *pool.state().find_id("w0");
    pool.stop_leader();
    pool.state().apply(0,
                       record_starts{{planned_start{task_ref{{id, round_id{0}, 0}, 0}, 1, incarnation.id}}});
    BOOST_TEST(pool.state().queued("plain") == 0U);
    pool.start_leader();
    pool.report("w0", true, 60'000); // so that it is not started again
    pool.run(milliseconds(100));
    BOOST_TEST(pool.leader().pending("plain") == 1U);
    pool.report("w0", false);
    pool.run(seconds(1));
    BOOST_TEST(pool.leader().pending("plain") == 0U);
}

// A confirmed start counts at once and still counts under the next leader, however the run ends.
BOOST_AUTO_TEST_CASE(a_started_submission_does_not_count_as_pending)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    pool.submit("plain", {make_step(2, 1000, 2000)});
    pool.run(milliseconds(100));
    BOOST_TEST(pool.leader().pending("plain") == 0U);
    pool.start_leader();
    pool.run(milliseconds(100));
    BOOST_TEST(pool.leader().pending("plain") == 0U);
    pool.crash("w0", "w0-again");
    pool.crash("w1", "w1-again");
    pool.run(milliseconds(10));
    BOOST_TEST(pool.leader().pending("plain") == 0U);
}
