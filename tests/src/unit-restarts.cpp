#define BOOST_TEST_MODULE restarts
#include <boost/test/unit_test.hpp>

#include <random>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

// Workers that restart under the same id. They have lost their state, and everything they count (reports,
// ends, their clock) starts again.

namespace
{
constexpr duration settle_time = seconds(1); // until leaders, polls and reports have reached a steady state
constexpr std::uint32_t max_tasks = 8;       // of a submission here

std::vector<submission_id> submit_many(simulated_pool& pool, int count, std::int64_t run_ms)
{
    std::vector<submission_id> out;
    for (int i = 0; i < count; ++i)
    {
        out.push_back(pool.submit("plain", {make_step(2, 2000, run_ms)}));
    }
    return out;
}

void check_completed(const simulated_pool& pool, const std::vector<submission_id>& all)
{
    for (const submission_id id : all)
    {
        BOOST_TEST(name_of(pool.phase(id)) == "completed", name_of(id) << " is " << name_of(pool.phase(id)));
    }
    check_invariants(pool);
}

// A submission that is not completed must have failed because of a poison task, under which at least two
// workers crashed.
void check_outcomes(const simulated_pool& pool, const std::vector<submission_id>& all)
{
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

std::size_t starts_of_all(const simulated_pool& pool, const std::vector<submission_id>& all)
{
    std::size_t starts = 0;
    for (const submission_id id : all)
    {
        starts += pool.starts_of({{id, round_id{0}, 0}, 0}) + pool.starts_of({{id, round_id{0}, 0}, 1});
    }
    return starts;
}
} // namespace

// Tasks ran twice after workers lost power for half a second and restarted under the same ids while polls to
// them were pending, so that they were not suspected and got new tasks. These ended within 0.2 s as ends 1, 2
// and 3 of the new incarnation. The next poll, meant for the former incarnation, acknowledged its ends up to
// 10, and the worker discarded the new ones. The leader then considered the runs absent and started the tasks
// again.
BOOST_AUTO_TEST_CASE(ends_of_a_new_incarnation_are_not_taken_as_acknowledged)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(settle_time);
    check_completed(pool, {});
    const auto before = submit_many(pool, 8, 200);
    pool.run(settle_time);
    check_completed(pool, before);
    pool.restart("w0", milliseconds(300), true);
    pool.restart("w1", milliseconds(400), true);
    pool.run(milliseconds(500));
    const auto during = submit_many(pool, 4, 150);
    pool.run(seconds(8));
    check_completed(pool, during);
    BOOST_TEST(starts_of_all(pool, during) == 8U);
}

// Runs of the former incarnation are started again, once, soon after the new one reports.
BOOST_AUTO_TEST_CASE(tasks_of_a_restarted_worker_start_again_once)
{
    for (const bool silent : {false, true})
    {
        simulated_pool pool(small_pool_settings(2));
        pool.start_leader();
        pool.run(settle_time);
        const auto all = submit_many(pool, 6, 1500);
        pool.run(milliseconds(300));
        const std::size_t lost = pool.running_on("w0");
        BOOST_REQUIRE(lost > 0U);
        pool.restart("w0", milliseconds(300), silent);
        pool.run(seconds(10)); // tasks that were lost together are restarted one at a time
        check_completed(pool, all);
        BOOST_TEST(starts_of_all(pool, all) == 12U + lost);
    }
}

// A worker that had left as announced and came back under the same id was rejected permanently as a former
// incarnation. After a rolling restart of all workers no usable worker was left, and nothing was logged about
// it.
BOOST_AUTO_TEST_CASE(a_worker_that_left_is_used_when_it_comes_back)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(settle_time);
    for (const std::string incarnation : {"w0", "w1"})
    {
        pool.report(incarnation, true);
        pool.run(milliseconds(500));
        pool.leave(incarnation, [] {});
        pool.restart(incarnation, milliseconds(500));
        pool.run(seconds(1));
    }
    const auto all = submit_many(pool, 8, 300);
    pool.run(seconds(3));
    check_completed(pool, all);
}

// Leaving is announced by one incarnation. After a crash before leaving, the next incarnation was still
// treated as leaving, since its reports count from 1 and looked older than the announcement.
BOOST_AUTO_TEST_CASE(a_worker_that_crashed_while_leaving_is_used_again)
{
    for (const bool next_leader : {false, true})
    {
        simulated_pool pool(small_pool_settings(1));
        pool.start_leader();
        pool.run(seconds(12));
        pool.report("w0", true, 60'000);
        pool.run(milliseconds(100));
        pool.restart("w0", milliseconds(500));
        if (next_leader)
        {
            pool.stop_leader();
            pool.run(seconds(1));
            pool.start_leader();
        }
        const auto all = submit_many(pool, 4, 300);
        pool.run(seconds(3));
        check_completed(pool, all);
    }
}

// Capacity and kind belong to the incarnation that reports them; lower sequence numbers do not make the
// report of a new incarnation older.
BOOST_AUTO_TEST_CASE(the_capacity_of_a_new_incarnation_counts)
{
    simulated_pool pool(small_pool_settings(1));
    pool.start_leader();
    pool.run(seconds(12));
    pool.resize("w0", {8000, 65536, 0, 0});
    pool.report("w0", false);
    pool.run(milliseconds(100));
    pool.resize("w0", {4000, 65536, 0, 0});
    pool.restart("w0", milliseconds(500));
    pool.run(seconds(1));
    const auto all = submit_many(pool, 3, 300);
    pool.run(seconds(4));
    check_completed(pool, all);
}

// A poison task fails after two crashes, also if its workers restart at once under the same ids.
BOOST_AUTO_TEST_CASE(a_task_that_crashes_its_workers_is_given_up_though_they_keep_their_ids)
{
    for (const duration down : {milliseconds(300), milliseconds(3000), milliseconds(7000)})
    {
        pool_settings settings = small_pool_settings(6);
        settings.restart = down;
        settings.restarts_keep_ids = true;
        simulated_pool pool(settings);
        pool.start_leader();
        pool.run(settle_time);
        const submission_id crashing = pool.submit("plain", {make_step(1, 1400, 1000)});
        pool.crashing_submissions.insert(crashing);
        std::vector<submission_id> ordinary;
        for (int i = 0; i < 30; ++i)
        {
            ordinary.push_back(pool.submit("plain", {make_step(2, 1400, 1000)}));
            pool.run(seconds(1));
        }
        pool.run(seconds(30));
        BOOST_TEST(pool.starts_of({{crashing, round_id{0}, 0}, 0}) <= 5U);
        BOOST_TEST(name_of(pool.phase(crashing)) == "failed");
        check_completed(pool, ordinary);
    }
}

// A worker loses power while unresponsive, seconds after its tasks were completed there: their ends were not
// received, but no crash happened during the runs. After two such cases, the tasks failed as poison tasks.
BOOST_AUTO_TEST_CASE(a_task_completed_before_a_crash_is_not_blamed)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(settle_time);
    const submission_id id = pool.submit("plain", {make_step(1, 2000, 300)});
    for (int i = 0; i < 2; ++i)
    {
        pool.run(milliseconds(50));
        for (const std::string incarnation : {"w0", "w1"})
        {
            pool.faults(incarnation).unresponsive = true;
        }
        pool.run(milliseconds(1200));
        for (const std::string incarnation : {"w0", "w1"})
        {
            BOOST_TEST(pool.running_on(incarnation) == 0U);
            pool.restart(incarnation, milliseconds(300), true);
        }
        pool.run(milliseconds(400));
    }
    pool.run(seconds(8));
    check_completed(pool, {id});
}

// Unanswered orders are carried out seconds later by the next incarnation, which knows neither a fencing
// token nor a run number. The tasks they would start run elsewhere by then.
BOOST_AUTO_TEST_CASE(an_order_for_a_former_incarnation_starts_no_duplicate_run)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        pool_settings settings = small_pool_settings(3);
        settings.seed = seed;
        simulated_pool pool(settings);
        pool.start_leader();
        pool.run(settle_time);
        pool.faults("w0").late = 0.7;
        pool.faults("w0").late_starts_reach_next_incarnation = true;
        const auto all = submit_many(pool, 8, 6000);
        pool.run(milliseconds(100 + 40 * seed));
        pool.restart("w0", milliseconds(200), seed % 2 == 0);
        pool.run(seconds(40));
        check_completed(pool, all);
    }
}

// Late messages have no effect: a report or a leave of the former incarnation, before or after the next one's
// first report.
BOOST_AUTO_TEST_CASE(late_messages_of_a_former_incarnation_are_ignored)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(settle_time);
    const worker_report held_back = pool.make_report("w0", true, 2000);
    pool.restart("w0", milliseconds(300));
    pool.run(settle_time);
    const auto all = submit_many(pool, 8, 2000);
    pool.run(milliseconds(200));
    const std::size_t there = pool.running_on("w0");
    BOOST_REQUIRE(there > 0U);
    pool.deliver(held_back);
    pool.leader().handle_leave("w0", [](bool) {});
    pool.run(milliseconds(500));
    BOOST_TEST(pool.running_on("w0") == there);
    pool.run(seconds(8));
    check_completed(pool, all);
    BOOST_TEST(starts_of_all(pool, all) == 16U);
}

// A restart while there is no leader, also if the log is then restored from a snapshot.
BOOST_AUTO_TEST_CASE(the_next_leader_knows_of_a_restart)
{
    for (const bool snapshot : {false, true})
    {
        simulated_pool pool(small_pool_settings(2));
        pool.start_leader();
        pool.run(settle_time);
        check_completed(pool, submit_many(pool, 0, 0));
        const auto first = submit_many(pool, 6, 300);
        pool.run(seconds(1));
        const auto second = submit_many(pool, 6, 1500);
        pool.run(milliseconds(200));
        pool.stop_leader();
        pool.restart("w0", milliseconds(300));
        pool.run(seconds(1));
        if (snapshot)
        {
            BOOST_REQUIRE(pool.state().load(pool.state().save()));
        }
        pool.start_leader();
        pool.run(seconds(12));
        check_completed(pool, first);
        check_completed(pool, second);
    }
}

// A message without a process start time, where other workers have one, comes from a different
// implementation.
BOOST_AUTO_TEST_CASE(a_report_without_a_birth_time_is_rejected_where_others_have_one)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(settle_time);
    worker_report foreign = pool.make_report("w0", false);
    foreign.description.id = "w7";
    foreign.description.host = "h7";
    foreign.description.process_start = {};
    bool counted = false;
    pool.deliver(foreign,
                 [&counted]
                 {
                     counted = true;
                 });
    pool.run(settle_time);
    BOOST_TEST(!counted);
    BOOST_TEST(pool.state().workers().size() == 2U);
}

// A gang failed as a poison task after one crash: the other members had ended with it, but their host crashed
// before it had reported all of these ends, and the crash was attributed to them.
BOOST_AUTO_TEST_CASE(a_member_of_a_broken_gang_is_not_blamed_for_a_later_host_crash)
{
    pool_settings settings = small_pool_settings(2);
    settings.good_share = 1.0;
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(settle_time);
    pool.submit("gangs", {make_step(6, 4500, 3000, true)});
    pool.run(milliseconds(200));
    std::vector<task_ref> broken;
    for (const auto& [run, state] : pool.workers().at("w1").running)
    {
        broken.push_back(run.task);
    }
    BOOST_REQUIRE(broken.size() == 3U);
    pool.restart("w0", milliseconds(500));
    pool.run(milliseconds(5)); // one of them is reported as broken, and waits for its commit
    pool.restart("w1", milliseconds(500));
    pool.run(milliseconds(700));
    for (const task_ref& task : broken)
    {
        BOOST_TEST((pool.state().crashes().find(task) == nullptr), name_of(task));
    }
    pool.run(seconds(20));
    check_invariants(pool);
}

// Two hosts are lost during one run of a gang. The members on the second host had already ended when the
// first was lost, but counted as running there, and the gang failed as a poison task after one crash per
// task.
BOOST_AUTO_TEST_CASE(a_member_that_ended_unreported_is_not_blamed_for_a_later_host_crash)
{
    pool_settings settings = small_pool_settings(2);
    settings.good_share = 1.0;
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(settle_time);
    const submission_id id = pool.submit("gangs", {make_step(6, 4500, 3000, true)});
    pool.run(milliseconds(200));
    BOOST_REQUIRE(pool.running_on("w0") == 3U);
    pool.faults("w1").unresponsive = true;
    pool.restart("w0", milliseconds(500));
    pool.run(milliseconds(100));
    BOOST_REQUIRE(pool.running_on("w1") == 0U);
    pool.restart("w1", milliseconds(500));
    pool.run(milliseconds(1500));
    for (std::uint32_t index = 0; index < 6; ++index)
    {
        const task_ref task{{id, round_id{0}, 0}, index};
        const crash_evidence* against = pool.state().crashes().find(task);
        BOOST_TEST((against == nullptr || against->crashes <= pool.crashes_under(task)), name_of(task));
    }
    pool.run(seconds(20));
    check_completed(pool, {id});
}

// Part of a pool restarts at once under a steady load. Lost tasks are restarted, and the workers get tasks
// again within half a second of their first report; no limit of the platform prevents that.
BOOST_AUTO_TEST_CASE(restarted_workers_get_tasks_soon_at_every_pool_size)
{
    constexpr duration soon = milliseconds(500);
    for (const std::size_t hosts : {48U, 350U, 1100U})
    {
        for (const std::size_t percent : {1U, 15U, 50U})
        {
            BOOST_TEST_CONTEXT(hosts << " hosts, " << percent << "% restart")
            {
                simulated_pool pool(small_pool_settings(hosts));
                pool.start_leader();
                pool.run(settle_time);
                std::vector<submission_id> all;
                const auto load = [&](std::size_t rounds)
                {
                    for (std::size_t i = 0; i < rounds; ++i)
                    {
                        for (std::size_t n = 0; n < hosts; n += 4)
                        {
                            all.push_back(pool.submit("plain", {make_step(8, 4000, 1000)}));
                        }
                        pool.run(milliseconds(500));
                    }
                };
                load(6);
                std::vector<std::pair<std::string, std::size_t>> restarted;
                for (std::size_t i = 0; i < std::max<std::size_t>(hosts * percent / 100, 1); ++i)
                {
                    const std::string incarnation = "w" + std::to_string(i);
                    restarted.emplace_back(incarnation, pool.starts_on(incarnation));
                    pool.restart(incarnation, milliseconds(400), i % 2 == 0);
                }
                load(1); // they are down for most of it, and report at its end
                pool.run(soon);
                const auto has_work = [&pool](const auto& item)
                {
                    return pool.starts_on(item.first) > item.second;
                };
                const auto again = std::count_if(restarted.begin(), restarted.end(), has_work);
                BOOST_TEST(2 * static_cast<std::size_t>(again) >= restarted.size());
                pool.run(seconds(20));
                check_outcomes(pool, all);
            }
        }
    }
}

// Randomized scenarios: a share of the workers restart under the same ids, quickly or slowly, combined with
// delayed orders, leader changes, workers that leave and return, gangs and single tasks.
BOOST_AUTO_TEST_CASE(random_scenarios_with_restarts_run_nothing_twice_and_leave_nothing_idle)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(200, 40); ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937_64 random(seed * 7919);
            const auto draw = [&random](std::uint64_t below)
            {
                return random() % below;
            };
            pool_settings settings = small_pool_settings(12);
            settings.seed = seed;
            settings.good_share = 0.85;
            simulated_pool pool(settings);
            pool.start_leader();
            pool.run(settle_time);
            std::vector<submission_id> all;
            for (int step = 0; step < 80; ++step)
            {
                const std::string incarnation = "w" + std::to_string(draw(12));
                switch (draw(12))
                {
                case 0:
                    for (std::size_t i = 0; i < 12; ++i)
                    {
                        if (draw(3) == 0)
                        {
                            pool.restart("w" + std::to_string(i), milliseconds(100 + draw(900)),
                                         draw(2) == 0);
                        }
                    }
                    break;
                case 1:
                    pool.restart(incarnation, milliseconds(50 + draw(6000)), draw(2) == 0, draw(4) != 0);
                    break;
                case 2:
                    pool.faults(incarnation).late = draw(2) == 0 ? 0.3 : 0.0;
                    break;
                case 3:
                    pool.faults(incarnation).unresponsive = draw(2) == 0;
                    break;
                case 4:
                    pool.stop_leader();
                    pool.run(milliseconds(300 + draw(1500)));
                    pool.start_leader();
                    break;
                case 5:
                    pool.report(incarnation, true, 2000);
                    pool.run(milliseconds(draw(300)));
                    pool.restart(incarnation, milliseconds(200 + draw(2000)));
                    break;
                case 6:
                    all.push_back(pool.submit(
                        "gangs", {make_step(static_cast<std::uint32_t>(2 + draw(5)), 4500, 1200, true)}));
                    break;
                case 7:
                    pool.faults(incarnation).reports_lost = false;
                    break;
                default:
                    all.push_back(pool.submit("batch", {make_step(static_cast<std::uint32_t>(1 + draw(6)),
                                                                  1500, 100 + 20 * draw(30))}));
                }
                pool.run(milliseconds(draw(400)));
            }
            for (std::size_t i = 0; i < 12; ++i)
            {
                worker_faults& faults = pool.faults("w" + std::to_string(i));
                faults.unresponsive = false;
                faults.reports_lost = false;
                faults.late = 0.0;
            }
            pool.run(seconds(30));
            check_outcomes(pool, all);
        }
    }
}
