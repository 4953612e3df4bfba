#define BOOST_TEST_MODULE cut_off_leaders
#include <boost/test/unit_test.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

// A leader that is itself isolated or starved of processor time must not drop live workers, and must not
// leave a task assigned to a worker that never got its start order.

namespace
{
void set_unresponsive(simulated_pool& pool, std::size_t workers, bool unresponsive)
{
    for (std::size_t i = 0; i < workers; ++i)
    {
        pool.faults("w" + std::to_string(i)).unresponsive = unresponsive;
    }
}

std::string worker_of(const simulated_pool& pool)
{
    return pool.running_on("w0") > 0 ? "w0" : "w1";
}
} // namespace

// When a leader's links recover, its workers answer one after the other; the first answer proves nothing
// about the others.
BOOST_AUTO_TEST_CASE(the_first_worker_to_answer_again_does_not_make_others_lost)
{
    for (int more = 0; more < 1000; more += 50)
    {
        simulated_pool pool(small_pool_settings(4));
        pool.start_leader();
        pool.run(seconds(1));
        std::vector<submission_id> all;
        for (int i = 0; i < 8; ++i) // runs end, and polls return, at different times
        {
            all.push_back(pool.submit("plain", {make_step(1, 8000, 1300 + 170 * i)}));
            pool.run(milliseconds(90));
        }
        pool.run(milliseconds(1200)); // some runs have ended, others end while their workers are unresponsive
        set_unresponsive(pool, 4, true);
        pool.run(seconds(15) + milliseconds(more));
        set_unresponsive(pool, 4, false);
        pool.run(seconds(8));
        BOOST_TEST(pool.leader().counters().lost_workers == 0U,
                   "unresponsive for 15 s and " << more << " ms");
        for (const submission_id id : all)
        {
            BOOST_TEST((pool.phase(id) == submission_phase::completed));
            BOOST_TEST(pool.starts_of(task_ref{{id}, 0}) == 1U);
        }
        check_invariants(pool);
    }
}

// One failed connection attempt (its first packet is lost) is no reason to drop a worker that is not polled
// again for the duration of its lease.
BOOST_AUTO_TEST_CASE(one_lost_connection_does_not_lose_an_unpolled_worker)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id id = pool.submit("plain", {make_step(1, 1000, 1000)});
    pool.run(milliseconds(200));
    const std::string at = worker_of(pool);
    pool.stop_leader();
    pool.run(milliseconds(300));
    pool.faults(at).unresponsive = true;
    pool.start_leader();
    pool.run(milliseconds(710)); // one connection attempt
    pool.faults(at).unresponsive = false;
    pool.faults(at).polls_not_sent = true;
    pool.run(seconds(12));
    pool.faults(at).polls_not_sent = false;
    pool.run(seconds(3));
    BOOST_TEST(pool.leader().counters().lost_workers == 0U);
    BOOST_TEST((pool.phase(id) == submission_phase::completed));
    BOOST_TEST(pool.starts_of(task_ref{{id}, 0}) == 1U);
    check_invariants(pool);
}

// A start order that was not sent does not bind its task to the worker, however long that worker cannot be
// polled.
BOOST_AUTO_TEST_CASE(a_task_whose_orders_were_not_sent_does_not_wait_for_an_unpolled_worker)
{
    for (int delay = 0; delay <= 2400; delay += 100)
    {
        pool_settings settings = small_pool_settings(2);
        simulated_pool pool(settings);
        pool.start_leader();
        pool.run(seconds(1));
        const submission_id first = pool.submit("plain", {make_step(1, 16000, 4000)});
        pool.run(milliseconds(200));
        const std::string other = worker_of(pool) == "w0" ? "w1" : "w0";
        pool.faults(other).polls_not_sent = true;
        pool.faults(other).unsent = 1.0;
        pool.run(milliseconds(delay));
        const submission_id id = pool.submit("plain", {make_step(1, 1000, 500)});
        pool.run(seconds(8));
        BOOST_TEST((pool.phase(first) == submission_phase::completed));
        BOOST_TEST((pool.phase(id) == submission_phase::completed), "submitted after " << delay << " ms");
        check_invariants(pool);
    }
}
