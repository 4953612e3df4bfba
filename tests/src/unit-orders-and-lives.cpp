#define BOOST_TEST_MODULE orders_and_lives
#include <boost/test/unit_test.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

// Messages meant for a former incarnation of a worker, in cases in which the replicated state does not link
// the present incarnation to it.

namespace
{
constexpr duration settle_time = seconds(1); // until leaders, polls and reports have reached a steady state

std::vector<submission_id> submit_many(simulated_pool& pool, int count, std::int64_t run_ms)
{
    std::vector<submission_id> out;
    for (int i = 0; i < count; ++i)
    {
        out.push_back(pool.submit("plain", {make_step(2, 2000, run_ms)}));
    }
    return out;
}

class late_poll_pool : public simulated_pool
{
  public:
    using simulated_pool::simulated_pool;

    // The worker's process executes the last poll with a lease that was sent to its former one.
    void execute_late_poll(const std::string& incarnation)
    {
        sim_worker& worker = m_workers[incarnation];
        const poll_order& order = m_last_lease.at({incarnation, m_former.at(incarnation)});
        if (order.to.fence >= worker.fence)
        {
            worker.fence = order.to.fence;
            extend_lease(worker, order.until_ms.value());
        }
    }
    // The worker ends as announced. A process under the same id starts after a while and reports, or does
    // not.
    void replace(const std::string& incarnation, duration down, bool reports)
    {
        report(incarnation, true);
        run(milliseconds(100));
        m_former[incarnation] = m_workers[incarnation].description.process_start;
        leave(incarnation, [] {});
        restart(incarnation, down, false, reports);
    }
    // The worker is cut off: its runs go on until its lease ends.
    void cut_off(const std::string& incarnation)
    {
        faults(incarnation).unresponsive = true;
        m_workers[incarnation].refuses_connections = true;
    }

  protected:
    void deliver_poll(const poll_order& order,
                      const std::function<void(const poll_answer&)>& handler) override
    {
        if (order.until_ms)
        {
            m_last_lease[{order.to.id, order.to.process_start}] = order;
        }
        simulated_pool::deliver_poll(order, handler);
    }

  private:
    std::map<std::pair<std::string, process_start_ms>, poll_order> m_last_lease;
    std::map<std::string, process_start_ms> m_former;
};

// Tasks start on the worker, which is then cut off; others have room for them.
void cut_off_at_work(late_poll_pool& pool)
{
    submit_many(pool, 9, 20'000);
    pool.run(milliseconds(100));
    BOOST_REQUIRE(pool.running_on("w0") > 0U);
    pool.add_worker("w3", "h3");
    pool.cut_off("w0");
    pool.run(seconds(15));
    check_invariants(pool);
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

// A worker is dropped while a start there is unanswered, and restarts under its id before that order is
// carried out: the task ran there and elsewhere.
BOOST_AUTO_TEST_CASE(a_late_start_does_not_run_on_the_successor_of_a_dropped_incarnation)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(20); ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            pool_settings settings = small_pool_settings(3);
            settings.seed = seed;
            simulated_pool pool(settings);
            pool.start_leader();
            pool.run(seconds(8)); // leases of an earlier leader are over
            pool.faults("w0").late = 0.7;
            pool.faults("w0").late_starts_reach_next_incarnation = true;
            const auto all = submit_many(pool, 10, 6000);
            pool.run(milliseconds(60));
            pool.restart("w0", milliseconds(9500), true);
            pool.run(milliseconds(9400));
            BOOST_REQUIRE((pool.state().find_id("w0") == nullptr));
            pool.run(seconds(40));
            check_completed(pool, all);
        }
    }
}

// A worker's former process was dropped by an earlier leader, and an order for it gave the present one the
// longest lease: the next leader gave it up while its tasks still ran.
BOOST_AUTO_TEST_CASE(a_lease_for_a_process_that_an_earlier_leader_dropped_counts)
{
    late_poll_pool pool(small_pool_settings(3));
    pool.start_leader();
    pool.run(seconds(8)); // leases of an earlier leader are over
    pool.replace("w0", milliseconds(1000), true);
    pool.run(milliseconds(300));
    BOOST_REQUIRE((pool.state().find_id("w0") == nullptr));
    pool.stop_leader();
    pool.run(milliseconds(300));
    pool.start_leader();
    pool.run(milliseconds(402));
    pool.execute_late_poll("w0");
    pool.run(milliseconds(50));
    cut_off_at_work(pool);
}

// The same, where the earlier leader has started tasks on the present process and is replaced at once.
BOOST_AUTO_TEST_CASE(a_lease_for_a_process_that_an_earlier_leader_dropped_counts_under_the_next_one)
{
    late_poll_pool pool(small_pool_settings(3));
    pool.start_leader();
    pool.run(seconds(8)); // leases of an earlier leader are over
    pool.replace("w0", milliseconds(1000), true);
    pool.run(milliseconds(1002));
    pool.execute_late_poll("w0");
    pool.run(milliseconds(20));
    submit_many(pool, 9, 20'000);
    pool.run(milliseconds(100));
    BOOST_REQUIRE(pool.running_on("w0") > 0U);
    pool.add_worker("w3", "h3");
    pool.start_leader();
    pool.run(milliseconds(20));
    pool.cut_off("w0");
    pool.run(seconds(15));
    check_invariants(pool);
}

// A lease that a late order granted just within the limit for late orders lasts beyond that limit: the worker
// reported only then, and was given up while its tasks still ran.
BOOST_AUTO_TEST_CASE(a_lease_that_the_last_late_order_granted_counts)
{
    late_poll_pool pool(small_pool_settings(3));
    pool.start_leader();
    pool.run(seconds(8)); // leases of an earlier leader are over
    pool.replace("w0", milliseconds(11'500), false);
    pool.run(milliseconds(11'900));
    pool.execute_late_poll("w0");
    pool.run(milliseconds(150));
    pool.report("w0", false);
    pool.run(milliseconds(50));
    cut_off_at_work(pool);
}
