#define BOOST_TEST_MODULE acknowledged
#include <boost/test/unit_test.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

// What a leader has acknowledged must hold under the next leader, whatever was only in the first leader's
// memory, and also for orders that were decided earlier.

namespace
{
void submit_load(simulated_pool& pool, int submissions)
{
    for (int i = 0; i < submissions; ++i)
    {
        pool.submit("plain", {make_step(4, 1000, 300)});
    }
}

// The next leader receives no worker reports, since they still go to the address of the previous leader.
void change_leader_without_reports(simulated_pool& pool, std::size_t workers, duration leaderless)
{
    for (std::size_t i = 0; i < workers; ++i)
    {
        pool.faults("w" + std::to_string(i)).reports_lost = true;
    }
    pool.stop_leader();
    pool.run(leaderless);
    pool.start_leader();
}
} // namespace

// ---------------------------------------------------------------------------------------------------------
// Leaving workers
// ---------------------------------------------------------------------------------------------------------

// A worker that had announced it was leaving became unresponsive, and its incarnation was dropped. When it
// was responsive again, a delayed report from before the announcement arrived first and readmitted it without
// the leaving state, so it got new tasks until its next report. A readmitted incarnation must keep its
// acknowledged leaving state.
BOOST_AUTO_TEST_CASE(a_readmitted_worker_is_still_leaving)
{
    simulated_pool pool(small_pool_settings(3));
    pool.start_leader();
    pool.run(seconds(1));
    const worker_report held_back = pool.make_report("w0", false);
    pool.report("w0", true, 60'000);
    pool.run(milliseconds(100));
    pool.faults("w0").unresponsive = true;
    pool.run(seconds(10));
    BOOST_REQUIRE(pool.state().find_id("w0") == nullptr);
    pool.faults("w0").unresponsive = false;
    pool.faults("w0").reports_lost = true;
    pool.deliver(held_back);
    submit_load(pool, 10);
    pool.run(seconds(3));
    check_invariants(pool);
    BOOST_TEST(pool.starts_on("w0") == 0U);
}

// A start order was unanswered when its worker announced that it was leaving, which was acknowledged. The
// order was still retried, since a retry checked only whether the run was wanted, not whether its worker
// accepts work. Such a run must be stopped and started elsewhere.
BOOST_AUTO_TEST_CASE(an_order_is_not_sent_again_to_a_worker_that_leaves)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    pool.faults("w0").late = 1.0;
    const submission_id id = pool.submit("plain", {make_step(8, 4000, 300)});
    pool.run(milliseconds(100));
    pool.faults("w0").late = 0.0;
    pool.report("w0", true, 60'000);
    pool.run(seconds(10));
    check_invariants(pool);
    BOOST_TEST(pool.starts_on("w0") == 0U);
    BOOST_TEST((pool.phase(id) == submission_phase::completed));
}

// The state machine itself rejects a start on a leaving worker, whoever planned it.
BOOST_AUTO_TEST_CASE(a_start_on_a_worker_that_leaves_is_not_recorded)
{
    simulated_pool pool(small_pool_settings(1));
    pool.start_leader();
    pool.run(seconds(1));
    pool.report("w0", true, 60'000);
    pool.run(milliseconds(100));
    const submission_id id = pool.submit("plain", {make_step(1, 1000, 300)});
    pool.run(milliseconds(100));
    const worker_incarnation& incarnation = *pool.state().find_id("w0");
    pool.state().apply(0,
                       record_starts{{planned_start{task_ref{{id, round_id{0}, 0}, 0}, 1, incarnation.id}}});
    BOOST_TEST(incarnation.occupied.empty());
}

// A worker that revoked its announcement to leave is used by the next leader too.
BOOST_AUTO_TEST_CASE(a_worker_that_stays_after_all_is_used_by_the_next_leader)
{
    simulated_pool pool(small_pool_settings(1));
    pool.start_leader();
    pool.run(seconds(1));
    pool.report("w0", true, 60'000);
    pool.run(milliseconds(100));
    bool acknowledged = false;
    pool.deliver(pool.make_report("w0", false),
                 [&acknowledged]
                 {
                     acknowledged = true;
                 });
    pool.run(milliseconds(100));
    BOOST_REQUIRE(acknowledged);
    change_leader_without_reports(pool, 1, milliseconds(400));
    submit_load(pool, 1);
    pool.run(seconds(2));
    BOOST_TEST(pool.starts_on("w0") == 4U);
    check_invariants(pool);
}

// ---------------------------------------------------------------------------------------------------------
// A leader change right after an acknowledgement, without other faults
// ---------------------------------------------------------------------------------------------------------

namespace
{
enum class acknowledgement_kind
{
    leaving,
    left,
    cancelled,
    kept,
    ended,
    maintenance,
};

// Runs one scenario without other faults: load, one acknowledgement at a time drawn from the seed, and the
// loss of the leader right after it.
void run_acknowledgement_scenario(acknowledgement_kind kind, std::uint64_t seed)
{
    pool_settings settings = small_pool_settings(6);
    settings.seed = seed;
    settings.maintenance = seconds(2);
    simulated_pool pool(settings);
    std::mt19937_64 random(seed * 131);
    pool.start_leader();
    pool.run(seconds(1));
    std::vector<submission_id> all;
    for (int i = 0; i < 6; ++i)
    {
        all.push_back(pool.submit("plain", {make_step(8, 3000, 1500)}));
    }
    pool.run(milliseconds(static_cast<std::int64_t>(20 + random() % 2500)));
    const std::string incarnation = "w" + std::to_string(random() % 6);
    const duration leaderless = milliseconds(static_cast<std::int64_t>(random() % 1500));
    bool acknowledged = false;
    const auto change = [&pool, &acknowledged, leaderless]
    {
        acknowledged = true;
        change_leader_without_reports(pool, 6, leaderless);
    };
    switch (kind)
    {
    case acknowledgement_kind::leaving:
        pool.deliver(pool.make_report(incarnation, true, 60'000),
                     [&acknowledged]
                     {
                         acknowledged = true;
                     });
        break;
    case acknowledgement_kind::left:
        pool.leave(incarnation,
                   [&acknowledged]
                   {
                       acknowledged = true;
                   });
        break;
    case acknowledgement_kind::cancelled:
        all.front() = pool.submit("plain", {make_step(4, 1000, 20'000)});
        pool.run(milliseconds(300));
        pool.cancel(all.front());
        break;
    case acknowledgement_kind::kept:
        all.push_back(pool.submit("plain", {make_step(2, 1000, 300)}));
        break;
    case acknowledgement_kind::ended:
        break;
    case acknowledgement_kind::maintenance:
        pool.begin_maintenance_wave({"h0", "h1", "h2", "h3"}, 30, 1);
        pool.run(milliseconds(static_cast<std::int64_t>(random() % 4000)));
        break;
    }
    while (!acknowledged && (kind == acknowledgement_kind::leaving || kind == acknowledgement_kind::left))
    {
        pool.run(milliseconds(1));
    }
    pool.run(milliseconds(kind == acknowledgement_kind::kept ? 10 : 0));
    change();
    for (int i = 0; i < 30; ++i)
    {
        all.push_back(pool.submit("plain", {make_step(2, 2000, 300)}));
        pool.run(milliseconds(100));
    }
    for (int i = 0; i < 6; ++i)
    {
        pool.faults("w" + std::to_string(i)).reports_lost = false;
    }
    pool.run(seconds(30));
    BOOST_TEST_CONTEXT("kind " << static_cast<int>(kind) << " seed " << seed)
    {
        check_invariants(pool);
        BOOST_TEST((pool.longest_after_cancel() < leaderless + milliseconds(600))); // 200 ms for a stop
        BOOST_TEST(pool.max_hosts_down() <= 1U);
        BOOST_TEST((kind != acknowledgement_kind::maintenance || pool.state().waves().at(1).complete()));
        for (const submission_id id : all)
        {
            const submission_phase expected = kind == acknowledgement_kind::cancelled && id == all.front()
                                                  ? submission_phase::cancelled
                                                  : submission_phase::completed;
            BOOST_TEST((pool.phase(id) == expected), name_of(id) << " is " << name_of(pool.phase(id)));
        }
    }
}
} // namespace

// A leader acknowledged that a worker was leaving and then failed. The next leader started a task there more
// than 2 s later, since the state was only in the first leader's memory and the worker's next report went to
// the failed leader's address first. Leaving workers are therefore recorded in the replicated log. The leader
// changes here right after each kind of acknowledgement, without other faults.
BOOST_AUTO_TEST_CASE(what_was_acknowledged_holds_under_the_next_leader)
{
    for (const acknowledgement_kind kind :
         {acknowledgement_kind::leaving, acknowledgement_kind::left, acknowledgement_kind::cancelled,
          acknowledgement_kind::kept, acknowledgement_kind::ended, acknowledgement_kind::maintenance})
    {
        for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(40); ++seed)
        {
            run_acknowledgement_scenario(kind, seed);
        }
    }
}

// A worker revoked its announcement to leave and then repeated it. The report in between arrived late, at a
// leader that knew only the first announcement, and tasks were started on a leaving worker.
BOOST_AUTO_TEST_CASE(an_older_report_does_not_revoke_a_repeated_leave)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    pool.report("w1", true, 60'000);
    pool.run(milliseconds(100));
    const worker_report late = pool.make_report("w1", false, 60'000);
    pool.report("w1", true, 60'000);
    pool.run(milliseconds(100));
    pool.faults("w1").reports_lost = true; // none of its later reports arrives in time
    pool.start_leader();
    pool.run(milliseconds(500));
    pool.deliver(late);
    pool.run(seconds(4)); // beyond the drain bound after the acknowledgement
    submit_load(pool, 8);
    pool.run(seconds(2));
    check_invariants(pool);
}

// Workers that announce and revoke leaving, are isolated, unresponsive or slow, with reordered reports and
// leader changes right after an acknowledgement.
BOOST_AUTO_TEST_CASE(random_scenarios_start_nothing_on_leaving_workers)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(150); ++seed)
    {
        pool_settings settings = small_pool_settings(6);
        settings.seed = seed;
        simulated_pool pool(settings);
        std::mt19937_64 random(seed * 7919);
        const auto draw = [&random](std::uint64_t below)
        {
            return random() % below;
        };
        std::vector<worker_report> held_back;
        pool.start_leader();
        pool.run(seconds(1));
        for (int step = 0; step < 120; ++step)
        {
            const std::string incarnation = "w" + std::to_string(1 + draw(5)); // one worker never leaves
            switch (draw(9))
            {
            case 0:
            case 1:
                pool.report(incarnation, draw(3) != 0, 60'000);
                break;
            case 2:
                held_back.push_back(pool.make_report(incarnation, draw(2) == 0, 60'000));
                break;
            case 3:
                if (!held_back.empty())
                {
                    pool.deliver(held_back[draw(held_back.size())]);
                }
                break;
            case 4:
                pool.faults(incarnation).unresponsive = !pool.faults(incarnation).unresponsive;
                break;
            case 5:
                pool.faults(incarnation).late = draw(2) == 0 ? 0.4 : 0.0;
                break;
            case 6:
                pool.faults(incarnation).reports_lost = !pool.faults(incarnation).reports_lost;
                break;
            case 7:
                if (draw(2) == 0)
                {
                    bool acknowledged = false;
                    pool.deliver(pool.make_report(incarnation, true, 60'000),
                                 [&acknowledged]
                                 {
                                     acknowledged = true;
                                 });
                    for (int ms = 0; ms < 50 && !acknowledged; ++ms)
                    {
                        pool.run(milliseconds(1));
                    }
                    pool.start_leader();
                }
                break;
            default:
                submit_load(pool, 2);
            }
            pool.run(milliseconds(static_cast<std::int64_t>(draw(500))));
        }
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            check_invariants(pool);
        }
    }
}

// ---------------------------------------------------------------------------------------------------------
// Maintenance
// ---------------------------------------------------------------------------------------------------------

// The platform accepted the order to take a host down for maintenance, and the leader was lost before it had
// recorded that. The next leader repeated the order after the host's return and was told that it was done. It
// did not associate the return with the wave, so the maintenance wave never completed and the host kept
// occupying the slot of a host that is down. A host that answers after its maintenance was accepted counts as
// finished.
BOOST_AUTO_TEST_CASE(a_wave_ends_if_the_leader_is_lost_right_after_maintenance_began)
{
    pool_settings settings = small_pool_settings(3);
    settings.maintenance = seconds(2);
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(1));
    pool.begin_maintenance_wave({"h0", "h1"}, 30, 1);
    while (pool.max_hosts_down() == 0)
    {
        pool.run(milliseconds(1));
    }
    pool.stop_leader();
    pool.run(milliseconds(400));
    pool.start_leader();
    pool.run(seconds(20));
    BOOST_TEST(pool.state().waves().at(1).complete());
    BOOST_TEST(pool.max_hosts_down() == 1U);
}

// A leader stopped one of two long-running tasks, one of which may be down, and was replaced before the stop
// completed. The next leader saw both tasks running and stopped the other one.
BOOST_AUTO_TEST_CASE(a_stop_by_the_previous_leader_counts_against_may_miss)
{
    pool_settings settings = small_pool_settings(2);
    settings.maintenance = seconds(2);
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(1));
    step_spec long_running = make_step(2, 9000, 0);
    long_running.long_running = true;
    long_running.may_miss = 1;
    pool.submit("plain", {long_running});
    pool.run(seconds(3));
    BOOST_REQUIRE(pool.running_on("w0") == 1U);
    BOOST_REQUIRE(pool.running_on("w1") == 1U);
    pool.begin_maintenance_wave({"h1"}, 60, 1, 2);
    pool.run(milliseconds(60)); // the stop order for one of them is sent
    pool.begin_maintenance_wave({"h0"}, 60, 1, 1);
    pool.start_leader();
    std::size_t least = 2;
    for (int ms = 0; ms < 400; ++ms)
    {
        pool.run(milliseconds(1));
        least = std::min(least, pool.running_on("w0") + pool.running_on("w1"));
    }
    BOOST_TEST(least == 1U);
    check_invariants(pool);
}

// ---------------------------------------------------------------------------------------------------------
// Cancelled tasks that start late
// ---------------------------------------------------------------------------------------------------------

namespace
{
// Start and stop orders are unanswered and carried out later; meanwhile the submissions are cancelled, and
// the leader that sent the orders may be gone. Returns the longest time that a run existed after its
// cancellation.
duration cancel_delayed_starts(std::uint64_t seed, bool other_leader, double late_stops)
{
    pool_settings settings = small_pool_settings(4);
    settings.seed = seed;
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(1));
    for (int i = 0; i < 4; ++i)
    {
        pool.faults("w" + std::to_string(i)).late = 0.7;
        pool.faults("w" + std::to_string(i)).late_stops = late_stops;
    }
    std::vector<submission_id> all;
    for (int i = 0; i < 8; ++i)
    {
        step_spec long_running = make_step(3, 1000, 20'000);
        long_running.long_running = i % 2 == 0;
        all.push_back(pool.submit("plain", {long_running}));
    }
    pool.run(milliseconds(static_cast<std::int64_t>(50 + seed * 37 % 900)));
    if (other_leader)
    {
        pool.stop_leader();
        pool.run(milliseconds(static_cast<std::int64_t>(seed * 61 % 1200)));
        pool.start_leader();
    }
    for (const submission_id id : all)
    {
        pool.cancel(id);
    }
    pool.run(seconds(25));
    BOOST_TEST_CONTEXT("seed " << seed)
    {
        check_invariants(pool);
        for (int i = 0; i < 4; ++i)
        {
            BOOST_TEST(pool.running_on("w" + std::to_string(i)) == 0U);
        }
        BOOST_TEST(pool.state().closing().empty());
    }
    return pool.longest_after_cancel();
}
} // namespace

// A start that is carried out after its submission was cancelled is seen by the next poll and stopped.
BOOST_AUTO_TEST_CASE(a_task_that_starts_late_after_its_cancel_is_stopped_at_once)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(100); ++seed)
    {
        BOOST_TEST((cancel_delayed_starts(seed, false, 0.0) < milliseconds(1500)));
    }
}

// The same if the leader that sent the order is removed before the cancellation: either its order is fenced
// off after the next leader's first poll, or the run it started is seen by that poll.
BOOST_AUTO_TEST_CASE(a_task_started_by_a_removed_leader_is_stopped_after_its_cancel)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(100); ++seed)
    {
        BOOST_TEST((cancel_delayed_starts(seed, true, 0.0) < milliseconds(1500)));
    }
}

// Stops may be delayed too: one of the retries succeeds.
BOOST_AUTO_TEST_CASE(late_stops_do_not_leave_cancelled_work_running)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(50); ++seed)
    {
        cancel_delayed_starts(seed, seed % 2 == 0, 0.5);
    }
}
