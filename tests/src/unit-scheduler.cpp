#define BOOST_TEST_MODULE scheduler
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

#include "hall_fixture.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr resources small{2000, 4096, 0, 1};
constexpr resources half{8000, 32'768, 0, 1};
constexpr resources whole{16'000, 65'536, 0, 1};

std::size_t hosts_used(hall_fixture& hall)
{
    const auto& workers = hall.state().workers();
    return static_cast<std::size_t>(std::count_if(workers.begin(), workers.end(),
                                                  [](const auto& w)
                                                  {
                                                      return !w.second.tasks.empty();
                                                  }));
}
} // namespace

BOOST_AUTO_TEST_CASE(batch_tasks_are_packed_on_few_hosts)
{
    hall_fixture hall;
    hall.add_workers(8, 4, 0);
    const job_id job = hall.submit(hall.make_job(workload_kind::batch, 8, small));
    hall.plan_all();
    BOOST_TEST(hall.running_in(job) == 8U);
    BOOST_TEST(hosts_used(hall) == 1U);
}

BOOST_AUTO_TEST_CASE(services_spread_over_racks)
{
    hall_fixture hall;
    hall.add_workers(16, 4, 0);
    const job_id job = hall.submit(hall.make_job(workload_kind::service, 4, small));
    hall.plan_all();
    std::set<rack_id> racks;
    for (const task_record& task : hall.state().jobs().at(job).tasks)
    {
        racks.insert(hall.state().workers().at(task.worker).rack);
    }
    BOOST_TEST(racks.size() == 4U);
}

BOOST_AUTO_TEST_CASE(accelerator_hosts_are_kept_for_tasks_that_need_them)
{
    hall_fixture hall;
    hall.add_workers(4, 4, 2);
    hall.submit(hall.make_job(workload_kind::batch, 2, whole));
    hall.plan_all();
    const job_id job = hall.submit(hall.make_job(workload_kind::batch, 2, {1000, 1000, 8, 1}));
    hall.plan_all();
    BOOST_TEST(hall.running_in(job) == 2U);
}

BOOST_AUTO_TEST_CASE(a_gang_starts_whole_or_not_at_all)
{
    hall_fixture hall;
    hall.add_workers(4, 4, 0);
    const job_id running = hall.submit(hall.make_job(workload_kind::batch, 2, whole));
    hall.plan_all();
    hall.start_all_runs();
    const job_id gang = hall.submit(hall.make_job(workload_kind::gang, 4, whole));
    hall.plan_all();
    BOOST_TEST(hall.running_in(gang) == 0U);
    BOOST_TEST((hall.scheduler().reason_of(gang) == wait_reason::gang_reserved));
    hall.report_all(running, run_event::completed);
    hall.plan_all();
    BOOST_TEST(hall.running_in(gang) == 4U);
}

// While hosts are reserved for a gang, only tasks that end before its expected start may use them.
BOOST_AUTO_TEST_CASE(short_work_is_backfilled_before_a_gang)
{
    hall_fixture hall;
    hall.add_workers(2, 4, 0);
    hall.submit(hall.make_job(workload_kind::batch, 1, whole));
    hall.plan_all();
    hall.start_all_runs();
    const job_id gang = hall.submit(hall.make_job(workload_kind::gang, 2, whole));
    hall.plan_all();
    job_spec quick = hall.make_job(workload_kind::batch, 1, half);
    quick.values.run_seconds = 10;
    job_spec slow = hall.make_job(workload_kind::batch, 1, half);
    slow.values.run_seconds = 600;
    hall.submit(quick);
    hall.submit(slow);
    hall.plan_all();
    BOOST_TEST(hall.running_in(gang) == 0U);
    BOOST_TEST(hall.running_in(quick.id) == 1U);
    BOOST_TEST(hall.running_in(slow.id) == 0U);
}

BOOST_AUTO_TEST_CASE(urgent_work_starts_first)
{
    hall_fixture hall;
    hall.add_workers(1, 4, 0);
    const job_id first = hall.submit(hall.make_job(workload_kind::batch, 1, whole));
    job_spec second = hall.make_job(workload_kind::batch, 1, whole);
    second.values.urgency = urgent;
    hall.submit(second);
    hall.plan_all();
    BOOST_TEST(hall.running_in(second.id) == 1U);
    BOOST_TEST(hall.running_in(first) == 0U);
}

BOOST_AUTO_TEST_CASE(urgent_work_preempts_by_checkpoint)
{
    hall_fixture hall;
    hall.add_workers(1, 4, 0);
    const job_id victim = hall.submit(hall.make_job(workload_kind::batch, 2, half));
    hall.plan_all();
    hall.start_all_runs();
    job_spec preemptor = hall.make_job(workload_kind::batch, 1, half);
    preemptor.values.urgency = urgent;
    hall.submit(preemptor);
    hall.plan();
    BOOST_REQUIRE_EQUAL(hall.last().stops.size(), 1U);
    BOOST_TEST((hall.scheduler().reason_of(preemptor.id) == wait_reason::preempting));
    hall.report(hall.last().stops[0].run, run_event::checkpointed);
    hall.plan_all();
    BOOST_TEST(hall.running_in(preemptor.id) == 1U);
    BOOST_TEST(hall.running_in(victim) == 1U);
}

// Preemption leaves the victim's organisation its guaranteed share: with equal weights, half of the hosts.
BOOST_AUTO_TEST_CASE(preemption_leaves_the_victims_guaranteed_share)
{
    hall_fixture hall;
    hall.add_workers(4, 4, 0);
    const job_id victim = hall.submit(hall.make_job(workload_kind::batch, 4, whole, 1));
    hall.plan_all();
    hall.start_all_runs();
    job_spec preemptor = hall.make_job(workload_kind::batch, 4, whole, 2);
    preemptor.values.urgency = urgent;
    hall.submit(preemptor);
    for (int i = 0; i < 10; ++i)
    {
        hall.plan();
        for (const stop_request& order : hall.last().stops)
        {
            hall.report(order.run, run_event::checkpointed);
        }
        hall.advance_time(20'000);
    }
    BOOST_TEST(hall.running_in(victim) == 2U);
    BOOST_TEST(hall.running_in(preemptor.id) == 2U);
}

BOOST_AUTO_TEST_CASE(the_organisation_furthest_below_its_share_goes_first)
{
    hall_fixture hall;
    hall.add_workers(8, 4, 0);
    const job_id many = hall.submit(hall.make_job(workload_kind::batch, 100, half, 1));
    const job_id few = hall.submit(hall.make_job(workload_kind::batch, 100, half, 2));
    hall.plan_all();
    BOOST_TEST(hall.running_in(many) == 8U);
    BOOST_TEST(hall.running_in(few) == 8U);
}

BOOST_AUTO_TEST_CASE(a_share_is_reclaimed_after_a_delay)
{
    hall_fixture hall;
    hall.add_workers(4, 4, 0);
    hall.submit(hall.make_job(workload_kind::batch, 4, whole, 1));
    hall.plan_all();
    hall.start_all_runs();
    const job_id late = hall.submit(hall.make_job(workload_kind::batch, 2, whole, 2));
    hall.plan();
    BOOST_TEST(hall.last().stops.empty());
    hall.advance_time(360'000);
    hall.plan();
    BOOST_TEST(hall.last().stops.size() == 2U);
    BOOST_TEST((hall.scheduler().reason_of(late) == wait_reason::preempting));
}

BOOST_AUTO_TEST_CASE(a_team_stays_within_its_grant)
{
    scheduler_settings settings;
    settings.grants[team_id{7}] = {6000, 1 << 20, 0, 0};
    hall_fixture hall(settings);
    hall.add_workers(4, 4, 0);
    job_spec job = hall.make_job(workload_kind::batch, 10, small);
    job.team = team_id{7};
    hall.submit(job);
    hall.plan_all();
    BOOST_TEST(hall.running_in(job.id) == 3U);
    BOOST_TEST((hall.scheduler().reason_of(job.id) == wait_reason::quota));
}

BOOST_AUTO_TEST_CASE(a_task_too_large_for_every_host_is_reported)
{
    hall_fixture hall;
    hall.add_workers(4, 4, 0);
    const job_id job = hall.submit(hall.make_job(workload_kind::batch, 1, {17'000, 1024, 0, 1}));
    hall.plan_all();
    BOOST_TEST((hall.scheduler().reason_of(job) == wait_reason::too_large));
}

BOOST_AUTO_TEST_CASE(old_work_overtakes_newer_more_urgent_work)
{
    hall_fixture hall;
    hall.add_workers(1, 4, 0);
    job_spec old = hall.make_job(workload_kind::batch, 1, whole);
    old.values.urgency = 0;
    hall.submit(old);
    hall.advance_time(3 * 300'000);
    hall.submit(hall.make_job(workload_kind::batch, 1, whole));
    hall.plan_all();
    BOOST_TEST(hall.running_in(old.id) == 1U);
}

BOOST_AUTO_TEST_CASE(learned_run_times_correct_declared_ones)
{
    run_estimate estimate;
    for (int i = 0; i < 50; ++i)
    {
        estimate.learn(60, 600'000);
    }
    BOOST_TEST(estimate.predict_ms(60) >= 600'000);
    BOOST_TEST(estimate.predict_ms(60) < 900'000);
}

// A scheduler rebuilt from the state has the same waiting jobs as one that applied every change.
BOOST_AUTO_TEST_CASE(a_scheduler_rebuilt_from_the_state_has_all_waiting_jobs)
{
    hall_fixture hall;
    fill(hall, 50);
    add_waiting(hall, 100);
    const std::size_t waiting = hall.scheduler().waiting();
    scheduler fresh({});
    fresh.reset(hall.state());
    BOOST_TEST(fresh.waiting() == waiting);
}
