#define BOOST_TEST_MODULE dispatch
#include <boost/test/unit_test.hpp>

#include "small_pool.hpp"
#include "stall_check.hpp"

using namespace walkthread;
using namespace walkthread::test;

BOOST_AUTO_TEST_CASE(every_kind_of_task_completes_once)
{
    simulated_pool pool(small_pool_settings());
    pool.start_leader();
    std::vector<submission_id> all;
    step_spec second = make_step(3, 2000, 500);
    second.after = {0};
    for (int i = 0; i < 10; ++i)
    {
        all.push_back(pool.submit("urgent", {make_step(2, 1400, 300)}));
        all.push_back(pool.submit("batch", {make_step(6, 1000, 800), second}));
        all.push_back(pool.submit("gangs", {make_step(4, 4500, 900, true)}));
        all.push_back(pool.submit("plain", {make_step(2, 1000, 200)}));
    }
    pool.run(seconds(40));
    for (const submission_id id : all)
    {
        BOOST_TEST((pool.phase(id) == submission_phase::completed), name_of(id)
                                                                        << ' ' << name_of(pool.phase(id)));
    }
    BOOST_TEST(pool.starts_of({{all.front(), round_id{0}, 0}, 0}) == 1U);
    check_invariants(pool);
}

BOOST_AUTO_TEST_CASE(an_urgent_submission_starts_within_a_question_and_two_commits)
{
    simulated_pool pool(small_pool_settings());
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id id = pool.submit("urgent", {make_step(2, 1400, 300)});
    pool.run(milliseconds(60)); // 10 ms to accept, 12 to ask, 10 to record, 1 in transit, 2 between passes
    BOOST_TEST(pool.starts_of({{id, round_id{0}, 0}, 0}) == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_leader_takes_over_running_tasks)
{
    simulated_pool pool(small_pool_settings());
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id id = pool.submit("plain", {make_step(12, 2000, 3000)});
    pool.run(milliseconds(500));
    pool.stop_leader();
    pool.run(milliseconds(1200));
    pool.start_leader();
    pool.run(seconds(6));
    BOOST_TEST((pool.phase(id) == submission_phase::completed));
    for (std::uint32_t i = 0; i < 12; ++i)
    {
        BOOST_TEST(pool.starts_of({{id, round_id{0}, 0}, i}) == 1U);
    }
    check_invariants(pool);
}

BOOST_AUTO_TEST_CASE(tasks_of_an_unresponsive_worker_restart_only_after_its_lease)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id id = pool.submit("plain", {make_step(8, 4000, 2000)});
    pool.run(milliseconds(300));
    pool.faults("w0").unresponsive = true;
    pool.run(seconds(20));
    BOOST_TEST((pool.phase(id) == submission_phase::completed));
    BOOST_TEST(pool.leader().counters().lost_workers == 1U);
    check_invariants(pool); // includes: no two runs at once while the lease holds
}

BOOST_AUTO_TEST_CASE(tasks_restart_at_once_after_a_worker_restart)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id id = pool.submit("plain", {make_step(4, 4000, 1000)});
    pool.run(milliseconds(300));
    pool.crash("w0", "w0-again");
    pool.run(milliseconds(3000));
    BOOST_TEST((pool.phase(id) == submission_phase::completed));
    check_invariants(pool);
}

BOOST_AUTO_TEST_CASE(orders_carried_out_late_start_nothing_twice)
{
    simulated_pool pool(small_pool_settings(6));
    for (int i = 0; i < 6; ++i)
    {
        pool.faults("w" + std::to_string(i)).late = 0.5;
    }
    pool.start_leader();
    pool.run(seconds(1));
    std::vector<submission_id> all;
    for (int i = 0; i < 20; ++i)
    {
        all.push_back(pool.submit("plain", {make_step(3, 1000, 400)}));
    }
    pool.run(seconds(40));
    for (const submission_id id : all)
    {
        BOOST_TEST((pool.phase(id) == submission_phase::completed));
    }
    check_invariants(pool);
}

BOOST_AUTO_TEST_CASE(a_draining_worker_gets_nothing_new)
{
    simulated_pool pool(small_pool_settings(3));
    pool.start_leader();
    pool.run(seconds(1));
    pool.report("w0", true, 60'000);
    const std::size_t before = pool.starts_on("w0");
    for (int i = 0; i < 10; ++i)
    {
        pool.submit("plain", {make_step(4, 1000, 300)});
    }
    pool.run(seconds(5));
    BOOST_TEST(pool.starts_on("w0") == before);
    BOOST_TEST(pool.starts_on("w1") + pool.starts_on("w2") == 40U);
}

BOOST_AUTO_TEST_CASE(a_worker_that_fails_everything_is_avoided)
{
    simulated_pool pool(small_pool_settings(6));
    pool.faults("w0").fails_all = true;
    pool.start_leader();
    pool.run(seconds(1));
    for (int i = 0; i < 60; ++i)
    {
        pool.submit("plain", {make_step(1, 3000, 300)});
        pool.run(milliseconds(100));
    }
    pool.run(seconds(5));
    BOOST_TEST(pool.starts_on("w0") <= 12U); // three in a row, then a few; an even share is ten
}

BOOST_AUTO_TEST_CASE(a_submission_that_always_fails_ends_as_failed)
{
    simulated_pool pool(small_pool_settings(6));
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id single = pool.submit("plain", {make_step(1, 1000, 300)});
    const submission_id gang = pool.submit("gangs", {make_step(4, 4500, 500, true)});
    pool.failing_submissions = {single, gang};
    pool.run(seconds(20));
    BOOST_TEST((pool.phase(single) == submission_phase::failed));
    BOOST_TEST((pool.phase(gang) == submission_phase::failed));
    BOOST_TEST(pool.starts_of({{single, round_id{0}, 0}, 0}) == 2U);
}

// After three failed runs, too few workers were left for the gang. It never asked the advisor for more,
// because the workers where it had failed still counted as available.
BOOST_AUTO_TEST_CASE(a_gang_is_tried_again_where_it_failed_if_nothing_else_is_left)
{
    pool_settings settings = small_pool_settings(4);
    settings.good_share = 1.0;
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id gang = pool.submit("gangs", {make_step(9, 4500, 500, true)});
    pool.failing_submissions = {gang};
    pool.run(seconds(15));
    BOOST_TEST((pool.phase(gang) == submission_phase::failed));
}

// Gangs waited for up to 34 s while small tasks filled every host.
BOOST_AUTO_TEST_CASE(gangs_get_hosts_under_a_load_of_small_tasks)
{
    pool_settings settings = small_pool_settings(16);
    settings.good_share = 0.4;
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(1));
    std::vector<submission_id> gangs;
    for (int i = 0; i < 200; ++i)
    {
        pool.submit("batch", {make_step(4, 1000, 2500)});
        pool.submit("batch", {make_step(4, 1000, 2500)});
        if (i % 20 == 10)
        {
            gangs.push_back(pool.submit("gangs", {make_step(6, 4500, 2000, true)}));
        }
        pool.run(milliseconds(100));
    }
    pool.run(seconds(7));
    std::size_t done = 0;
    for (const submission_id id : gangs)
    {
        done += pool.phase(id) == submission_phase::completed ? 1 : 0;
    }
    BOOST_TEST(done >= 9U); // of ten
    check_invariants(pool);
}

// Stops were repeated in each pass for runs that had already ended: 3,000 in 30 s.
BOOST_AUTO_TEST_CASE(an_ended_run_of_a_cancelled_submission_is_not_stopped_again)
{
    simulated_pool pool(small_pool_settings(4));
    pool.start_leader();
    pool.run(seconds(1));
    step_spec long_running = make_step(3, 1000, 0);
    long_running.long_running = true;
    const submission_id id = pool.submit("plain", {long_running});
    pool.run(milliseconds(500));
    pool.cancel(id);
    pool.run(seconds(2));
    BOOST_TEST(pool.state().closing().empty());
    for (const auto& [worker, view] : pool.leader().views())
    {
        BOOST_TEST(view.runs.empty());
    }
}

// The channel resent a start after a connection reset. The run had ended meanwhile, so the second answer was
// a rejection, and the run was wrongly treated as never started.
BOOST_AUTO_TEST_CASE(a_start_that_was_sent_twice_is_not_taken_for_refused)
{
    simulated_pool pool(small_pool_settings(3));
    for (int i = 0; i < 3; ++i)
    {
        pool.faults("w" + std::to_string(i)).resets = true;
    }
    pool.start_leader();
    pool.run(seconds(1));
    std::vector<submission_id> all;
    for (int i = 0; i < 10; ++i)
    {
        all.push_back(pool.submit("plain", {make_step(2, 1000, 200)}));
    }
    pool.run(seconds(5));
    for (const submission_id id : all)
    {
        BOOST_TEST((pool.phase(id) == submission_phase::completed));
        BOOST_TEST(pool.starts_of({{id, round_id{0}, 0}, 0}) == 1U);
    }
    check_invariants(pool);
}

BOOST_AUTO_TEST_CASE(a_stalled_run_is_started_elsewhere)
{
    simulated_pool pool(small_pool_settings(4));
    pool.faults("w0").runs_hang = true;
    pool.start_leader();
    pool.run(seconds(1));
    std::vector<submission_id> all;
    for (int i = 0; i < 8; ++i)
    {
        all.push_back(pool.submit("plain", {make_step(2, 4000, 500)}));
    }
    pool.run(seconds(25));
    for (const submission_id id : all)
    {
        BOOST_TEST((pool.phase(id) == submission_phase::completed));
    }
    check_invariants(pool);
}

BOOST_AUTO_TEST_CASE(lasting_tasks_restart_after_their_worker_died)
{
    simulated_pool pool(small_pool_settings(3));
    pool.start_leader();
    pool.run(seconds(1));
    step_spec long_running = make_step(3, 4000, 0);
    long_running.long_running = true;
    long_running.per_host_limit = 1;
    const submission_id id = pool.submit("plain", {long_running});
    pool.run(seconds(1));
    pool.crash("w1", "w1-again");
    pool.run(seconds(3));
    BOOST_TEST(pool.state().find(id)->active == 3U);
    BOOST_TEST(pool.running_on("w1-again") == 1U);
    check_invariants(pool);
}

// A task that fails while all other hosts of its step are at their limit must go to a host that has none yet.
// Previously the advisor was repeatedly queried about the hosts at their limit.
BOOST_AUTO_TEST_CASE(a_lasting_task_restarts_despite_a_per_host_limit)
{
    pool_settings settings = small_pool_settings(20);
    settings.good_share = 1.0;
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(1));
    step_spec long_running = make_step(8, 1000, 0);
    long_running.long_running = true;
    long_running.per_host_limit = 1;
    const submission_id id = pool.submit("batch", {long_running});
    pool.run(seconds(1));
    BOOST_TEST(pool.state().find(id)->active == 8U);
    pool.run(seconds(3));
    BOOST_TEST(pool.running_on("w15") == 1U);
    pool.fail_one_run("w15");
    pool.run(seconds(1));
    BOOST_TEST(pool.state().find(id)->active == 8U);
    check_invariants(pool);
}

// A lost poll leaves the leader without information about a worker, and about runs that ended there, for 1.9
// s.
BOOST_AUTO_TEST_CASE(ends_are_seen_soon_despite_lost_polls)
{
    simulated_pool pool(small_pool_settings());
    pool.start_leader();
    pool.run(seconds(1));
    for (int i = 0; i < 8; ++i)
    {
        pool.faults("w" + std::to_string(i)).poll_loss = 0.05;
    }
    std::map<submission_id, monotonic_time> open;
    std::size_t late = 0;
    for (int i = 0; i < 300; ++i)
    {
        open[pool.submit("urgent", {make_step(3, 1400, 300)})] = pool.now();
        pool.run(milliseconds(100));
        std::erase_if(open,
                      [&pool, &late](const auto& item)
                      {
                          const bool done = pool.phase(item.first) == submission_phase::completed;
                          late += done && pool.now() - item.second > milliseconds(1300) ? 1 : 0;
                          return done;
                      });
    }
    BOOST_TEST(open.size() < 20U);
    BOOST_TEST(late < 15U); // one in twenty; 77 with long polls
    check_invariants(pool);
}

// Combined faults generated from seeds: delayed orders, refusals, unresponsive, crashing and failing workers,
// leader changes, and cordons of halls if asked for.
namespace
{
constexpr std::size_t halls_with_cordons = 4;

// Cordons a hall or lifts a cordon in one of eight steps. Draws of its own: seeds without cordons stay as
// they are.
void draw_cordon(simulated_pool& pool, std::mt19937_64& random)
{
    if (random() % 8 == 0)
    {
        pool.cordon("hall" + std::to_string(random() % halls_with_cordons), random() % 2 == 0);
    }
}

void lift_cordons(simulated_pool& pool)
{
    for (std::size_t i = 0; i < halls_with_cordons; ++i)
    {
        BOOST_REQUIRE(pool.cordon("hall" + std::to_string(i), false));
    }
}

void run_random_scenarios(std::uint64_t first, std::uint64_t count, const mechanism_set& mechanisms,
                          bool cordons = false)
{
    for (std::uint64_t seed = first; seed < first + count; ++seed)
    {
        pool_settings settings = small_pool_settings(10);
        settings.seed = seed;
        settings.mechanisms = mechanisms;
        settings.good_share = 0.85; // so that enough hosts are approved for each gang
        settings.halls = cordons ? halls_with_cordons : settings.halls;
        simulated_pool pool(settings);
        const stall_check stalls(pool);
        std::mt19937_64 random(seed * 977);
        std::mt19937_64 cordon_random(seed * 1009);
        const auto draw = [&random](std::uint64_t below)
        {
            return random() % below;
        };
        pool.start_leader();
        pool.run(seconds(1));
        std::vector<submission_id> all;
        int incarnation_count = 0;
        std::map<int, std::string> incarnation;
        std::vector<std::string> former;
        for (int i = 0; i < 10; ++i)
        {
            incarnation[i] = "w" + std::to_string(i);
        }
        for (int step = 0; step < 80; ++step)
        {
            const int w = static_cast<int>(draw(10));
            switch (draw(17))
            {
            case 0:
                pool.faults(incarnation[w]).late = 0.3;
                break;
            case 1:
                pool.faults(incarnation[w]).refuse = 0.3;
                break;
            case 2:
                pool.faults(incarnation[w]).unresponsive = !pool.faults(incarnation[w]).unresponsive;
                break;
            case 3:
            {
                const std::string next = "life" + std::to_string(++incarnation_count);
                pool.crash(incarnation[w], next, draw(2) == 0);
                former.push_back(incarnation[w]);
                incarnation[w] = next;
                break;
            }
            case 4:
                pool.stop_leader();
                pool.run(milliseconds(300 + draw(2500)));
                pool.start_leader();
                break;
            case 5:
                if (!all.empty())
                {
                    const submission_id chosen = all[draw(all.size())];
                    if (pool.state().find(chosen) != nullptr)
                    {
                        pool.cancel(chosen);
                    }
                }
                break;
            case 6:
                all.push_back(pool.submit(
                    "gangs", {make_step(static_cast<std::uint32_t>(2 + draw(6)), 4500, 1500, true)}));
                break;
            case 16:
                pool.faults(incarnation[w]).reports_lost = false;
                break;
            case 15:
                if (!former.empty())
                {
                    pool.report(former[draw(former.size())], false); // delayed until now
                }
                break;
            case 14:
                pool.faults(incarnation[w]).resets = !pool.faults(incarnation[w]).resets;
                break;
            case 7:
                all.push_back(pool.submit("urgent", {make_step(2, 2500, 600)}));
                break;
            default:
            {
                step_spec second = make_step(2, 1500, 400);
                second.after = {0};
                second.checkpoints = true;
                all.push_back(pool.submit(
                    "batch", {make_step(static_cast<std::uint32_t>(1 + draw(8)), 1000, 900), second}));
            }
            }
            if (cordons)
            {
                draw_cordon(pool, cordon_random);
            }
            pool.run(milliseconds(draw(400)));
        }
        if (cordons)
        {
            lift_cordons(pool);
        }
        for (int i = 0; i < 10; ++i)
        {
            pool.faults(incarnation[i]) = worker_faults{};
            pool.report(incarnation[i], false);
        }
        pool.run(seconds(90));
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            check_invariants(pool);
            stalls.check();
            for (const submission_id id : all)
            {
                const submission* known = pool.state().find(id);
                BOOST_TEST((known == nullptr || known->final()), name_of(id)
                                                                     << " is " << name_of(pool.phase(id)));
            }
        }
    }
}
} // namespace

BOOST_AUTO_TEST_CASE(random_scenarios_start_nothing_twice_and_finish)
{
    run_random_scenarios(first_seed(), seed_count(60), {});
}

// A cordon beside every other fault: a step whose hosts were all in cordoned halls is done once they are open
// again.
BOOST_AUTO_TEST_CASE(random_scenarios_with_cordons_start_nothing_twice_and_finish)
{
    run_random_scenarios(first_seed(), seed_count(40), {}, true);
}

// Mechanisms are policies: with any of them off, no task runs twice and every submission ends.
BOOST_AUTO_TEST_CASE(random_scenarios_hold_with_any_mechanism_off)
{
    mechanism_set none;
    for (std::size_t i = 0; i < mechanism_names.size(); ++i)
    {
        mechanism_set without;
        without.switch_off(static_cast<mechanism>(i));
        none.switch_off(static_cast<mechanism>(i));
        BOOST_TEST_CONTEXT("off: " << without.off_names())
        {
            run_random_scenarios(first_seed(), seed_count(8), without);
        }
    }
    BOOST_TEST_CONTEXT("off: all")
    {
        run_random_scenarios(first_seed(), seed_count(8), none);
    }
}

BOOST_AUTO_TEST_CASE(mechanisms_are_known_by_their_names)
{
    for (const std::string_view name : mechanism_names)
    {
        BOOST_REQUIRE(find_mechanism(name));
        mechanism_set set;
        BOOST_TEST(set.on(*find_mechanism(name)));
        set.switch_off(*find_mechanism(name));
        BOOST_TEST(set.off_names() == name);
    }
    BOOST_TEST(!find_mechanism("no-such"));
}
