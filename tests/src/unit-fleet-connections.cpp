#define BOOST_TEST_MODULE fleet_connections
#include <boost/test/unit_test.hpp>

#include "limited_connection_pool.hpp"
#include "small_pool.hpp"
#include "stall_check.hpp"

using namespace walkthread;
using namespace walkthread::test;

// With fewer connections than workers, a poll takes a connection away from another worker. Workers that are
// not polled for that reason must not be dropped, and workers without tasks must not hold connections.

namespace
{
// The same ratio of workers to connections as with 3,000 workers, a third of which have tasks.
pool_settings more_workers_than_connections()
{
    pool_settings settings = small_pool_settings(300);
    settings.poll_connections = 116;
    return settings;
}

void submit_steadily(limited_connection_pool& pool, std::vector<submission_id>& all, int steps)
{
    for (int i = 0; i < steps; ++i)
    {
        all.push_back(pool.submit("plain", {make_step(4, 9000, 1500)}));
        pool.run(milliseconds(60));
    }
}

// Runs a task on one of two workers, which then cannot be polled for longer than any lease.
void leave_unpolled(simulated_pool& pool, const std::function<void()>& meanwhile)
{
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id id = pool.submit("plain", {make_step(1, 1000, 1000)});
    pool.run(milliseconds(200));
    const std::string at = pool.running_on("w0") > 0 ? "w0" : "w1";
    pool.faults(at).polls_not_sent = true;
    meanwhile();
    pool.run(seconds(12));
    pool.faults(at).polls_not_sent = false;
    pool.run(seconds(3));
    BOOST_TEST((pool.phase(id) == submission_phase::completed));
    BOOST_TEST(pool.starts_of(task_ref{{id}, 0}) == 1);
    check_invariants(pool);
}
} // namespace

BOOST_AUTO_TEST_CASE(an_unpolled_worker_is_not_given_up)
{
    simulated_pool pool(small_pool_settings(2));
    leave_unpolled(pool, [] {});
}

BOOST_AUTO_TEST_CASE(a_new_leader_gives_up_no_unpolled_worker)
{
    simulated_pool pool(small_pool_settings(2));
    leave_unpolled(pool,
                   [&pool]
                   {
                       pool.stop_leader();
                       pool.run(milliseconds(700));
                       pool.start_leader();
                   });
}

BOOST_AUTO_TEST_CASE(connections_fewer_than_workers_stay_with_those_that_have_work)
{
    limited_connection_pool pool(more_workers_than_connections());
    const stall_check stalls(pool);
    pool.start_leader();
    pool.run(seconds(4));
    std::vector<submission_id> all;
    const std::size_t before = pool.connections_opened();
    submit_steadily(pool, all, 300); // 18 s
    const double opened_a_second = static_cast<double>(pool.connections_opened() - before) / 18.0;
    BOOST_TEST(opened_a_second < 0.2 * 300); // 600 at 3,000 workers, which the processor can handle
    pool.run(seconds(6));
    for (const submission_id id : all)
    {
        BOOST_TEST((pool.phase(id) == submission_phase::completed));
    }
    check_invariants(pool);
    stalls.check();
}

// Polls of idle workers in turn must not open a connection each. The ratio is that of the whole fleet: 6,000
// workers, 4,845 connections; the users ask for a third of the connections opened there.
BOOST_AUTO_TEST_CASE(polls_of_idle_workers_keep_most_connections)
{
    for (const std::size_t workers : {300U, 600U})
    {
        pool_settings settings = small_pool_settings(workers);
        settings.poll_connections = workers * 8 / 10;
        limited_connection_pool pool(settings);
        pool.start_leader();
        pool.run(seconds(12));
        const std::size_t polls_before = pool.polls();
        const std::size_t opened_before = pool.connections_opened();
        pool.run(seconds(30));
        const std::size_t polls = pool.polls() - polls_before;
        const std::size_t opened = pool.connections_opened() - opened_before;
        BOOST_TEST(polls > 4 * workers);
        BOOST_TEST(3 * opened <= polls);
    }
}

BOOST_AUTO_TEST_CASE(ends_are_seen_as_soon_with_few_connections)
{
    limited_connection_pool pool(more_workers_than_connections());
    const stall_check stalls(pool);
    pool.start_leader();
    pool.run(seconds(4));
    std::vector<submission_id> all;
    submit_steadily(pool, all, 100);
    std::size_t late = 0;
    for (int i = 0; i < 100; ++i)
    {
        const submission_id id = pool.submit("plain", {make_step(2, 1400, 300)});
        pool.run(milliseconds(700));
        late += pool.phase(id) == submission_phase::completed ? 0 : 1;
    }
    BOOST_TEST(late < 10U); // one in ten
    check_invariants(pool);
    stalls.check();
}
