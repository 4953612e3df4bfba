#define BOOST_TEST_MODULE former_orders
#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

// Orders for a former incarnation that are carried out late, by the next one under the same id. It has seen
// no fencing token, and its clock and the numbers of its ends have begun anew.

namespace
{
constexpr duration settle_time = seconds(1); // until leaders, polls and reports have reached a steady state
constexpr duration down_time = milliseconds(300);

pool_settings settings_with(const delayed_order_settings& delayed, std::size_t workers = 4)
{
    pool_settings out = small_pool_settings(workers);
    out.delayed_orders = delayed;
    out.max_lease = seconds(10); // the longest of the platform
    return out;
}

std::vector<submission_id> submit_many(simulated_pool& pool, int count, std::int64_t run_ms)
{
    std::vector<submission_id> out;
    for (int i = 0; i < count; ++i)
    {
        out.push_back(pool.submit("plain", {make_step(2, 2000, run_ms)}));
    }
    return out;
}

void report_others(simulated_pool& pool, bool draining)
{
    for (const std::string worker : {"w1", "w2", "w3"})
    {
        pool.report(worker, draining);
    }
}

// Starts eight tasks on the first of four workers; takes 100 ms.
std::vector<submission_id> start_on_first_worker(simulated_pool& pool, std::int64_t run_ms)
{
    report_others(pool, true);
    const auto out = submit_many(pool, 4, run_ms);
    pool.run(milliseconds(100));
    report_others(pool, false);
    return out;
}

// A submission that is not completed must have failed because at least two workers crashed under one task.
void check_outcomes(const simulated_pool& pool, const std::vector<submission_id>& all)
{
    constexpr std::uint32_t max_tasks = 8; // of a submission here
    for (const submission_id id : all)
    {
        std::size_t crashes = 0;
        for (std::uint32_t i = 0; i < max_tasks; ++i)
        {
            crashes = std::max(crashes, pool.crashes_under({{id, round_id{0}, 0}, i}));
        }
        const submission_phase phase = pool.phase(id);
        const bool may_fail = phase == submission_phase::failed && crashes >= 2;
        BOOST_TEST((phase == submission_phase::completed || may_fail),
                   name_of(id) << " is " << name_of(phase) << " after " << crashes << " crashes");
    }
    check_invariants(pool);
}

void change_leader(simulated_pool& pool)
{
    pool.stop_leader();
    pool.run(milliseconds(50));
    pool.start_leader();
}

void isolate(simulated_pool& pool, const std::string& worker, duration span)
{
    pool.faults(worker).unresponsive = true;
    pool.run(span);
    pool.faults(worker).unresponsive = false;
}
} // namespace

// The next incarnation cut the far-ahead lease end of a delayed poll to the longest lease. The leader, which
// had granted a shorter one, started its tasks elsewhere while they still ran there.
BOOST_AUTO_TEST_CASE(a_lease_from_a_delayed_poll_is_waited_for)
{
    for (const bool next_leader : {false, true})
    {
        for (const int delay : {700, 1000, 1300, 1600, 1900})
        {
            BOOST_TEST_CONTEXT((next_leader ? "next leader, " : "same leader, ") << delay << " ms")
            {
                simulated_pool pool(settings_with({1.0, 0.0, 0.0, milliseconds(delay), milliseconds(delay)}));
                pool.start_leader();
                pool.run(settle_time);
                pool.restart("w0", down_time, true);
                pool.run(down_time + milliseconds(100));
                const auto all = start_on_first_worker(pool, 15'000);
                pool.run(milliseconds(delay + 20) - down_time - milliseconds(200));
                BOOST_REQUIRE(pool.running_on("w0") > 0U);
                if (next_leader)
                {
                    change_leader(pool);
                    pool.run(milliseconds(30));
                }
                isolate(pool, "w0", seconds(16));
                pool.run(seconds(40));
                check_outcomes(pool, all);
            }
        }
    }
}

// A delayed poll acknowledged ends of the former incarnation; the next one discarded its own ends with the
// same numbers before they were reported, and the tasks were started again.
BOOST_AUTO_TEST_CASE(a_delayed_poll_acknowledges_no_ends_of_the_next_incarnation)
{
    for (const bool next_leader : {false, true})
    {
        BOOST_TEST_CONTEXT((next_leader ? "next leader" : "same leader"))
        {
            simulated_pool pool(settings_with({1.0, 0.0, 0.0, milliseconds(2500), milliseconds(2500)}));
            pool.start_leader();
            pool.run(settle_time);
            const auto before = submit_many(pool, 16, 200);
            pool.run(settle_time);
            pool.restart("w0", down_time, true);
            pool.run(down_time + milliseconds(200));
            auto all = start_on_first_worker(pool, 1500);
            pool.run(milliseconds(400));
            BOOST_REQUIRE(pool.running_on("w0") > 0U);
            pool.faults("w0").unresponsive = true;
            pool.run(seconds(1));
            if (next_leader)
            {
                change_leader(pool);
            }
            isolate(pool, "w0", seconds(1));
            pool.run(seconds(20));
            all.insert(all.end(), before.begin(), before.end());
            check_outcomes(pool, all);
        }
    }
}

// A start that was in flight when its worker crashed is carried out once the task runs elsewhere.
BOOST_AUTO_TEST_CASE(a_delayed_start_runs_nothing_twice)
{
    for (const bool next_leader : {false, true})
    {
        for (int delay = 400; delay <= 8000; delay += 400)
        {
            BOOST_TEST_CONTEXT((next_leader ? "next leader, " : "same leader, ") << delay << " ms")
            {
                simulated_pool pool(settings_with({0.0, 1.0, 0.0, milliseconds(delay), milliseconds(delay)}));
                pool.start_leader();
                pool.run(settle_time);
                const auto all = submit_many(pool, 6, 6000);
                pool.run(milliseconds(5));
                pool.restart("w0", down_time, true);
                pool.run(milliseconds(400));
                if (next_leader)
                {
                    change_leader(pool);
                }
                pool.run(milliseconds(500));
                isolate(pool, "w0", seconds(9));
                pool.run(seconds(40));
                check_outcomes(pool, all);
            }
        }
    }
}

// A stop that was in flight when its worker crashed must not keep the task from being started again.
BOOST_AUTO_TEST_CASE(a_delayed_stop_ends_no_later_run)
{
    for (const bool next_leader : {false, true})
    {
        for (int delay = 400; delay <= 8000; delay += 400)
        {
            BOOST_TEST_CONTEXT((next_leader ? "next leader, " : "same leader, ") << delay << " ms")
            {
                simulated_pool pool(settings_with({0.0, 0.0, 1.0, milliseconds(delay), milliseconds(delay)}));
                pool.start_leader();
                pool.run(settle_time);
                const auto cancelled = submit_many(pool, 4, 6000);
                pool.run(milliseconds(300));
                BOOST_REQUIRE(pool.running_on("w0") > 0U);
                pool.restart("w0", down_time, true);
                for (const submission_id id : cancelled)
                {
                    pool.cancel(id);
                }
                pool.run(milliseconds(400));
                if (next_leader)
                {
                    change_leader(pool);
                }
                const auto all = submit_many(pool, 6, 4000);
                pool.run(milliseconds(500));
                isolate(pool, "w0", seconds(3));
                pool.run(seconds(40));
                check_outcomes(pool, all);
            }
        }
    }
}

// Workers came back and were isolated soon after for longer than the leader's lease. Runs completed there
// meanwhile, under the longer lease of a delayed poll, and were started again before their ends were
// received.
BOOST_AUTO_TEST_CASE(a_run_completed_during_an_isolation_is_not_started_again)
{
    for (const bool next_leader : {false, true})
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed)
        {
            BOOST_TEST_CONTEXT((next_leader ? "next leader, " : "same leader, ") << "seed " << seed)
            {
                pool_settings settings =
                    settings_with({1.0, 0.0, 0.0, milliseconds(700), milliseconds(1000)});
                settings.seed = seed;
                simulated_pool pool(settings);
                pool.start_leader();
                pool.run(settle_time);
                pool.restart("w0", down_time, true);
                pool.run(down_time + milliseconds(100));
                const auto all = start_on_first_worker(pool, 6000);
                pool.run(milliseconds(500));
                if (next_leader)
                {
                    change_leader(pool);
                }
                pool.run(milliseconds(900));
                isolate(pool, "w0", milliseconds(7200));
                pool.run(seconds(40));
                check_outcomes(pool, all);
            }
        }
    }
}

namespace
{
// Restarts under the same ids, delayed orders, isolated workers and changes of leader at random.
class random_day
{
  public:
    explicit random_day(std::uint64_t seed) : m_random(seed * 7919), m_pool(settings(seed))
    {
    }
    void play()
    {
        m_pool.start_leader();
        m_pool.run(settle_time);
        for (int step = 0; step < 80; ++step)
        {
            act();
            pass(milliseconds(draw(400)));
        }
        for (std::size_t i = 0; i < worker_count; ++i)
        {
            m_pool.faults("w" + std::to_string(i)).poll_loss = 0.0;
        }
        pass(seconds(50));
        check_outcomes(m_pool, m_all);
    }

  private:
    static constexpr std::size_t worker_count = 8;
    static pool_settings settings(std::uint64_t seed)
    {
        pool_settings out = settings_with({0.7, 0.7, 0.7}, worker_count);
        out.seed = seed;
        out.max_lease = seconds(seed % 2 == 0 ? 6 : 10);
        out.good_share = 0.85;
        return out;
    }
    std::uint64_t draw(std::uint64_t below)
    {
        return m_random() % below;
    }
    std::string draw_worker()
    {
        return "w" + std::to_string(draw(worker_count));
    }
    void act()
    {
        const std::string worker = draw_worker();
        switch (draw(12))
        {
        case 0:
            restart_some();
            break;
        case 1:
            restart(worker);
            break;
        case 2:
        case 3:
            begin_isolation(worker);
            break;
        case 4:
            m_pool.stop_leader();
            pass(milliseconds(draw(1500)));
            m_pool.start_leader();
            break;
        case 5:
            restart(worker);
            pass(milliseconds(200 + draw(2500)));
            begin_isolation(worker);
            break;
        case 6:
            m_all.push_back(m_pool.submit(
                "gangs", {make_step(static_cast<std::uint32_t>(2 + draw(5)), 4500, 1200, true)}));
            break;
        case 7:
            m_pool.faults(worker).poll_loss = draw(2) == 0 ? 0.3 : 0.0;
            break;
        case 8:
            m_all.push_back(m_pool.submit("plain", {make_step(4, 2000, 5000 + 100 * draw(100))}));
            break;
        default:
            m_all.push_back(m_pool.submit(
                "plain", {make_step(static_cast<std::uint32_t>(1 + draw(6)), 1500, 100 + 100 * draw(40))}));
        }
    }
    void restart_some()
    {
        for (std::size_t i = 0; i < worker_count; ++i)
        {
            if (draw(3) == 0)
            {
                restart("w" + std::to_string(i));
            }
        }
    }
    void restart(const std::string& worker)
    {
        m_pool.restart(worker, milliseconds(50 + draw(950)), draw(4) != 0);
    }
    void begin_isolation(const std::string& worker)
    {
        m_pool.faults(worker).unresponsive = true;
        m_isolated_until[worker] = m_pool.now() + milliseconds(500 + draw(9500));
    }
    // Time passes, and isolations end at their time.
    void pass(duration span)
    {
        const monotonic_time end = m_pool.now() + span;
        while (m_pool.now() < end)
        {
            m_pool.run(std::min<duration>(end - m_pool.now(), milliseconds(50)));
            for (auto& [worker, until] : m_isolated_until)
            {
                m_pool.faults(worker).unresponsive = m_pool.now() < until;
            }
        }
    }

    std::mt19937_64 m_random;
    simulated_pool m_pool;
    std::vector<submission_id> m_all;
    std::map<std::string, monotonic_time> m_isolated_until;
};
} // namespace

BOOST_AUTO_TEST_CASE(random_days_with_delayed_orders_run_nothing_twice)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(40, 8); ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            random_day(seed).play();
        }
    }
}
