#define BOOST_TEST_MODULE waits
#include <boost/test/unit_test.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

// Every wait for an answer or an event that may never come ends within a bound.

namespace
{
// One worker answers every poll with the same refusal from some time on; orders are not affected.
class poll_refusing_pool final : public simulated_pool
{
  public:
    using simulated_pool::simulated_pool;
    void refuse_polls(const std::string& incarnation, order_outcome outcome)
    {
        m_life = incarnation;
        m_outcome = outcome;
    }

  protected:
    void deliver_poll(const poll_order& order,
                      const std::function<void(const poll_answer&)>& handler) override
    {
        if (order.to.id != m_life)
        {
            simulated_pool::deliver_poll(order, handler);
            return;
        }
        at(m_settings.network_delay,
           [this, handler]
           {
               handler({m_outcome, {}, 0, {}, {}});
           });
    }

  private:
    std::string m_life;
    order_outcome m_outcome{};
};

// A leader whose proposals are rejected for a while because too many entries wait for a quorum.
class overloaded_pool final : public simulated_pool
{
  public:
    using simulated_pool::simulated_pool;
    void refuse_proposals(bool refused)
    {
        m_refused = refused;
    }

  protected:
    [[nodiscard]] bool takes_proposals() const override
    {
        return !m_refused;
    }

  private:
    bool m_refused = false;
};
} // namespace

// ---------------------------------------------------------------------------------------------------------
// Polls
// ---------------------------------------------------------------------------------------------------------

// The lease expired and the runs ended, but the leader considered them running as long as the refusals came.
BOOST_AUTO_TEST_CASE(a_worker_that_refuses_every_poll_is_given_up)
{
    for (const order_outcome outcome : {order_outcome::unhealthy, order_outcome::rejected,
                                        order_outcome::no_room, order_outcome::ticket_rejected})
    {
        BOOST_TEST_CONTEXT("outcome " << static_cast<int>(outcome))
        {
            poll_refusing_pool pool(small_pool_settings(2));
            pool.start_leader();
            pool.run(seconds(1));
            pool.report("w1", true);
            const submission_id id = pool.submit("plain", {make_step(4, 4000, 500)});
            pool.run(milliseconds(200));
            BOOST_TEST(pool.running_on("w0") == 4U);
            pool.refuse_polls("w0", outcome);
            pool.report("w1", false);
            pool.run(seconds(20));
            BOOST_TEST((pool.phase(id) == submission_phase::completed));
            check_invariants(pool);
        }
    }
}

// ---------------------------------------------------------------------------------------------------------
// Proposals
// ---------------------------------------------------------------------------------------------------------

// That no order of the run was sent was proposed only once; after the rejection the replicated state kept the
// task as running.
BOOST_AUTO_TEST_CASE(a_task_whose_orders_were_not_sent_moves_despite_a_refused_proposal)
{
    overloaded_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    pool.faults("w0").unsent = 1.0;
    const submission_id id = pool.submit("plain", {make_step(1, 1000, 500)});
    pool.run(milliseconds(50)); // its start is recorded by then
    pool.refuse_proposals(true);
    pool.run(seconds(2));
    pool.refuse_proposals(false);
    pool.faults("w0").unsent = 0.0;
    pool.run(seconds(5));
    BOOST_TEST((pool.phase(id) == submission_phase::completed));
    check_invariants(pool);
}

// The worker announced that it was leaving between the plan and the commit, and the proposal to end the run
// that never began was rejected.
BOOST_AUTO_TEST_CASE(a_withdrawn_start_ends_despite_a_refused_proposal)
{
    overloaded_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    pool.report("w1", true, 60'000);
    pool.run(milliseconds(100));
    const submission_id id = pool.submit("plain", {make_step(1, 1000, 500)});
    pool.run(milliseconds(16)); // planned, not committed
    pool.report("w0", true, 60'000);
    pool.run(milliseconds(8)); // its start is recorded, and withdrawn
    BOOST_TEST(pool.state().find(id)->active == 1U);
    pool.refuse_proposals(true);
    pool.run(milliseconds(500));
    pool.refuse_proposals(false);
    pool.report("w1", false);
    pool.run(seconds(5));
    BOOST_TEST((pool.phase(id) == submission_phase::completed));
    check_invariants(pool);
}

// The worker refused the only order. While the end of that run waited for a slow commit, the order was sent
// again: the run began, and the task was also started elsewhere.
BOOST_AUTO_TEST_CASE(a_refused_order_is_not_sent_again_while_its_end_waits_for_the_commit)
{
    for (std::uint64_t seed = 1; seed <= seed_count(20); ++seed)
    {
        pool_settings settings = small_pool_settings(4);
        settings.seed = seed;
        settings.commit = milliseconds(400);
        simulated_pool pool(settings);
        pool.start_leader();
        pool.run(seconds(3));
        for (const char* incarnation : {"w0", "w1", "w2", "w3"})
        {
            pool.faults(incarnation).refuse = 0.5;
        }
        for (int i = 0; i < 10; ++i)
        {
            pool.submit("plain", {make_step(4, 1000, 2000)});
        }
        pool.run(seconds(15));
        check_invariants(pool);
    }
}

// ---------------------------------------------------------------------------------------------------------
// Maintenance
// ---------------------------------------------------------------------------------------------------------

// The host whose turn it was had just died and kept its slot in the wave permanently.
BOOST_AUTO_TEST_CASE(a_wave_continues_after_a_host_is_permanently_lost)
{
    pool_settings settings = small_pool_settings(3);
    settings.maintenance = seconds(2);
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(1));
    pool.leave("w0", [] {}); // it did not announce that it was leaving
    pool.begin_maintenance_wave({"h0", "h1", "h2"}, 30, 1);
    pool.run(seconds(30));
    const auto& hosts = pool.state().waves().at(1).hosts;
    BOOST_TEST(hosts.at("h1") == static_cast<std::uint8_t>(maintenance_phase::finished));
    BOOST_TEST(hosts.at("h2") == static_cast<std::uint8_t>(maintenance_phase::finished));
    BOOST_TEST(pool.max_hosts_down() == 1U);
}

// While the record of one host's order waited for its commit, the host was not counted, and the next host was
// ordered down too.
BOOST_AUTO_TEST_CASE(a_wave_keeps_its_limit_with_slow_commits)
{
    for (const milliseconds commit : {milliseconds(60), milliseconds(120), milliseconds(400)})
    {
        pool_settings settings = small_pool_settings(4);
        settings.maintenance = seconds(2);
        settings.commit = commit;
        simulated_pool pool(settings);
        pool.start_leader();
        pool.run(seconds(3));
        pool.begin_maintenance_wave({"h0", "h1", "h2", "h3"}, 60, 1);
        pool.run(seconds(30));
        BOOST_TEST(pool.state().waves().at(1).complete());
        BOOST_TEST(pool.max_hosts_down() == 1U);
        check_invariants(pool);
    }
}

// Two hosts of a wave were ordered down where one may be down: a host that was skipped, and one that went
// down before the skipping was recorded. Slow commits widen that window.
namespace
{
void check_limit_of_a_wave(milliseconds returns_after, bool next_leader)
{
    pool_settings settings = small_pool_settings(4);
    settings.maintenance = seconds(2);
    settings.commit = milliseconds(400);
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(3));
    pool.leave("w0", [] {});
    pool.begin_maintenance_wave({"h0", "h1", "h2", "h3"}, 60, 1);
    pool.run(returns_after);
    pool.add_worker("w0-again", "h0");
    pool.run(milliseconds(500)); // it is admitted
    if (next_leader)
    {
        pool.start_leader();
    }
    pool.run(seconds(50));
    BOOST_TEST(pool.state().waves().at(1).complete());
    BOOST_TEST(pool.max_hosts_down() == 1U);
    check_invariants(pool);
}
} // namespace

BOOST_AUTO_TEST_CASE(a_skipped_host_that_returns_counts_towards_the_limit)
{
    for (milliseconds after = seconds(12); after < seconds(32); after += milliseconds(100))
    {
        check_limit_of_a_wave(after, false);
    }
}

BOOST_AUTO_TEST_CASE(a_wave_that_skipped_a_host_keeps_its_limit_under_the_next_leader)
{
    for (milliseconds after = seconds(12); after < seconds(32); after += milliseconds(100))
    {
        check_limit_of_a_wave(after, true);
    }
}
