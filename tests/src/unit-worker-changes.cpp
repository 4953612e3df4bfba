#define BOOST_TEST_MODULE worker_changes
#include <boost/test/unit_test.hpp>

#include <walkthread/workload/worker_changes.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
worker_incarnation_id worker(std::uint32_t number)
{
    return worker_incarnation_id{number};
}

// Registers workers one after the other with a leader. @return the workers visited for that by the leader
std::uint64_t visits_to_register(std::size_t workers)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    const std::uint64_t before = pool.leader().counters().views_synced;
    for (std::size_t i = 0; i < workers; ++i)
    {
        pool.add_worker("new" + std::to_string(i), "new-host" + std::to_string(i));
    }
    pool.run(seconds(3));
    BOOST_REQUIRE(pool.state().workers().size() == workers + 2);
    const std::uint64_t visits = pool.leader().counters().views_synced - before;
    const submission_id id = pool.submit("plain", {make_step(40, 8000, 300)});
    pool.run(seconds(2));
    BOOST_TEST((pool.phase(id) == submission_phase::completed));
    check_invariants(pool);
    return visits;
}
} // namespace

// A leader visited all of its workers at each registration: 6,000 that registered at once kept it busy until
// it was deposed.
BOOST_AUTO_TEST_CASE(a_registration_visits_the_new_worker_alone)
{
    BOOST_TEST(visits_to_register(500) <= 2 * 500U); // it may be described anew once
    BOOST_TEST(visits_to_register(2000) <= 2 * 2000U);
}

// A restart under the same id removes one incarnation and adds another; the leader has to follow both.
BOOST_AUTO_TEST_CASE(restarts_visit_only_the_restarted_workers)
{
    simulated_pool pool(small_pool_settings(400));
    pool.start_leader();
    pool.run(seconds(1));
    const std::uint64_t before = pool.leader().counters().views_synced;
    for (int i = 0; i < 100; ++i)
    {
        pool.restart("w" + std::to_string(i), milliseconds(200));
    }
    pool.run(seconds(5));
    BOOST_TEST(pool.leader().counters().views_synced - before <=
               4 * 100U); // two changes each, described anew
    BOOST_TEST(pool.state().workers().size() == 400U);
    const submission_id id = pool.submit("plain", {make_step(200, 8000, 300)});
    pool.run(seconds(3));
    BOOST_TEST((pool.phase(id) == submission_phase::completed));
    check_invariants(pool);
}

BOOST_AUTO_TEST_CASE(a_reader_gets_the_changes_that_it_has_not_read)
{
    worker_change_log log;
    BOOST_TEST(!log.since(0)); // a new reader visits all
    const std::uint64_t start = log.version();
    BOOST_TEST(log.since(start)->empty());
    log.note(worker(1));
    log.note(worker(2));
    const std::uint64_t middle = log.version();
    log.note(worker(1));
    BOOST_TEST((*log.since(start) == std::vector{worker(1), worker(2), worker(1)}));
    BOOST_TEST((*log.since(middle) == std::vector{worker(1)}));
    BOOST_TEST(!log.since(0));
}

// A reader that is too far behind, or that read before a snapshot was loaded, must not miss a worker.
BOOST_AUTO_TEST_CASE(a_reader_too_far_behind_visits_all)
{
    worker_change_log log;
    const std::uint64_t start = log.version();
    for (std::uint32_t i = 0; i <= worker_change_log::capacity; ++i)
    {
        log.note(worker(i));
    }
    BOOST_TEST(!log.since(start));
    BOOST_TEST(log.since(start + 1)->size() == worker_change_log::capacity);
    const std::uint64_t before = log.version();
    log.reset();
    BOOST_TEST(!log.since(before));
    log.note(worker(1));
    BOOST_TEST(!log.since(before));
    BOOST_TEST(log.since(before + 1)->size() == 1U);
}
