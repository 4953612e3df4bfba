#define BOOST_TEST_MODULE hall
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include <walkthread/policy/lease_table.hpp>

#include "hall_fixture.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr resources whole{16'000, 65'536, 0, 1};
constexpr resources small{2000, 4096, 0, 1};

placement place(const hall_fixture& hall, job_id job, std::uint32_t worker, std::uint32_t run = 1,
                std::uint32_t index = 0)
{
    const epoch_id epoch = const_cast<hall_fixture&>(hall).state().workers().at(worker_id{worker}).epoch;
    return {run_id{{job, index}, run}, worker_id{worker}, epoch};
}

bool second_run_of_not_repeatable(const hall_state& state)
{
    const auto again = [](const task_record& task)
    {
        return task.run > 1;
    };
    return std::any_of(state.jobs().begin(), state.jobs().end(),
                       [&again](const auto& item)
                       {
                           const hall_job& job = item.second;
                           const bool once =
                               !job.spec.repeatable && job.spec.workload() != workload_kind::service;
                           return once && std::any_of(job.tasks.begin(), job.tasks.end(), again);
                       });
}
} // namespace

// The plan of a former leader has no effect when applied again or after its host was filled.
BOOST_AUTO_TEST_CASE(a_stale_plan_has_no_effect)
{
    hall_fixture hall;
    hall.add_workers(2, 4, 0);
    const job_id first = hall.submit(hall.make_job(workload_kind::batch, 1, whole));
    const job_id second = hall.submit(hall.make_job(workload_kind::batch, 1, whole));
    BOOST_TEST(hall.apply(place_tasks{{place(hall, first, 1)}}).applied == 1U);
    BOOST_TEST(hall.apply(place_tasks{{place(hall, first, 2)}}).applied ==
               0U); // already placed on another host
    BOOST_TEST(hall.apply(place_tasks{{place(hall, second, 1)}}).applied == 0U); // does not fit on the host
    placement old_epoch = place(hall, second, 2);
    old_epoch.epoch = epoch_id{9};
    BOOST_TEST(hall.apply(place_tasks{{old_epoch}}).applied == 0U);
    BOOST_TEST(hall.apply(place_tasks{{place(hall, second, 2, 2)}}).applied == 0U); // not the next run number
    BOOST_TEST(hall.state().check() == "");
}

BOOST_AUTO_TEST_CASE(a_gang_is_applied_whole_or_not)
{
    hall_fixture hall;
    hall.add_workers(2, 4, 0);
    const job_id gang = hall.submit(hall.make_job(workload_kind::gang, 3, whole));
    const place_tasks part{{place(hall, gang, 1), place(hall, gang, 2, 1, 1)}};
    BOOST_TEST(hall.apply(part).applied == 0U);
    const place_tasks over_capacity{
        {place(hall, gang, 1), place(hall, gang, 2, 1, 1), place(hall, gang, 2, 1, 2)}};
    BOOST_TEST(hall.apply(over_capacity).applied == 0U);
}

// Nothing may start in a cordoned hall, also on a worker that registers later; what runs there goes on.
BOOST_AUTO_TEST_CASE(a_cordoned_hall_places_nothing_and_stops_nothing)
{
    hall_fixture hall;
    hall.add_workers(1, 4, 0);
    const job_id before = hall.submit(hall.make_job(workload_kind::batch, 1, small));
    BOOST_REQUIRE(hall.plan_all() == 1U);
    hall.report_all(before, run_event::started);
    hall.apply(cordon_hall{true, "node 1"});
    hall.add_workers(1, 4, 0);
    const job_id during = hall.submit(hall.make_job(workload_kind::batch, 2, small));
    BOOST_TEST(hall.plan_all() == 0U);
    BOOST_TEST(hall.apply(place_tasks{{place(hall, during, 2)}}).applied == 0U); // a stale plan
    BOOST_TEST(hall.running_in(before) == 1U);
    const wall_ms since = hall.state().cordon()->since;
    hall.advance_time(1000);
    hall.apply(cordon_hall{true, "node 2"}); // a repeated request changes nothing
    BOOST_TEST(hall.state().cordon()->since == since);
    BOOST_TEST(hall.state().cordon()->requested_by == "node 1");
    hall_state copy;
    BOOST_REQUIRE(copy.load(hall.state().save()));
    BOOST_TEST((copy.cordon() == hall.state().cordon()));
    hall.apply(cordon_hall{false, "node 1"});
    BOOST_TEST(hall.plan_all() == 2U);
    BOOST_TEST(hall.state().check() == "");
}

BOOST_AUTO_TEST_CASE(a_host_is_freed_only_when_the_stop_is_confirmed)
{
    hall_fixture hall;
    hall.add_workers(1, 4, 0);
    const job_id job = hall.submit(hall.make_job(workload_kind::batch, 1, whole));
    hall.plan();
    hall.report_all(job, run_event::started);
    hall.apply(cancel_hall_jobs{{job}});
    BOOST_TEST(hall.state().workers().at(worker_id{1}).reserved.cpu == whole.cpu);
    hall.report_all(job, run_event::stopped);
    BOOST_TEST(hall.state().workers().at(worker_id{1}).reserved.cpu == 0);
    BOOST_TEST(hall.state().jobs().at(job).finished());
}

BOOST_AUTO_TEST_CASE(a_not_repeatable_task_that_was_lost_never_runs_again)
{
    hall_fixture hall;
    hall.add_workers(2, 4, 0);
    job_spec spec = hall.make_job(workload_kind::batch, 1, whole);
    spec.repeatable = false;
    hall.submit(spec);
    hall.plan();
    const task_record& task = hall.state().jobs().at(spec.id).tasks[0];
    hall.apply(mark_workers_lost{{{task.worker, epoch_id{1}}}});
    hall.plan_all();
    BOOST_TEST(hall.running_in(spec.id) == 0U);
    BOOST_TEST(hall.state().jobs().at(spec.id).outcome == static_cast<std::uint8_t>(job_outcome::unknown));
}

// Guards against ending a job with an unknown outcome when the worker's lease expired before the worker had
// contacted the leader that placed the task.
BOOST_AUTO_TEST_CASE(a_not_repeatable_task_never_sent_to_its_worker_runs_elsewhere)
{
    for (const bool registers : {false, true})
    {
        hall_fixture hall;
        hall.add_workers(2, 4, 0);
        job_spec spec = hall.make_job(workload_kind::batch, 1, whole);
        spec.repeatable = false;
        hall.submit(spec);
        hall.plan();
        const task_record task = hall.state().jobs().at(spec.id).tasks[0];
        const run_id run{{spec.id, 0}, task.run};
        if (registers)
        {
            register_worker again;
            again.worker = task.worker;
            again.size = whole;
            again.previous = epoch_id{1};
            again.unsent = {run};
            hall.apply(again);
        }
        else
        {
            hall.apply(mark_workers_lost{{{task.worker, epoch_id{1}}}, {run}});
        }
        hall.plan_all();
        BOOST_TEST(hall.running_in(spec.id) == 1U);
        BOOST_TEST(hall.state().jobs().at(spec.id).tasks[0].run == task.run + 1);
    }
}

// Guards against ending a job with an unknown outcome when a start order reached its worker in the moment its
// lease expired: the order was sent, and the worker dropped it.
BOOST_AUTO_TEST_CASE(a_not_repeatable_task_that_never_began_runs_elsewhere)
{
    const auto registered = [](bool reported, const auto& begun_of)
    {
        hall_fixture hall;
        hall.add_workers(2, 4, 0);
        job_spec spec = hall.make_job(workload_kind::batch, 1, whole);
        spec.repeatable = false;
        hall.submit(spec);
        hall.plan();
        if (reported)
        {
            hall.report_all(spec.id, run_event::started);
        }
        const task_record task = hall.state().jobs().at(spec.id).tasks[0];
        const std::optional<std::vector<run_id>> begun = begun_of(run_id{{spec.id, 0}, task.run});
        hall.apply(register_worker{task.worker, rack_id{0}, "10.0.0.1", 80, whole, epoch_id{1}, {}, begun});
        hall.plan_all();
        BOOST_TEST(hall.state().check() == "");
        BOOST_TEST(hall.state().jobs().at(spec.id).finished() == (hall.running_in(spec.id) == 0U));
        return hall.running_in(spec.id) == 1U;
    };
    using list = std::vector<run_id>;
    const auto says_nothing = [](const run_id&)
    {
        return std::optional<list>();
    };
    const auto begun = [](const run_id& run)
    {
        return std::optional(list{run});
    };
    const auto none_begun = [](const run_id&)
    {
        return std::optional(list{});
    };
    const auto other_begun = [](const run_id& run)
    {
        return std::optional(list{{run.task, run.run + 1}});
    };
    BOOST_TEST(registered(false, none_begun));
    BOOST_TEST(registered(false, other_begun));
    BOOST_TEST(!registered(false, says_nothing));
    BOOST_TEST(!registered(false, begun));
    BOOST_TEST(!registered(true, none_begun)); // it was reported as started
    BOOST_TEST(!registered(true, other_begun));
    BOOST_TEST(!registered(true, says_nothing));
    BOOST_TEST(!registered(true, begun));
}

// A run that has started may have done part of its work, whoever stops it.
BOOST_AUTO_TEST_CASE(a_not_repeatable_task_that_was_stopped_never_runs_again)
{
    for (const run_event end : {run_event::stopped, run_event::checkpointed})
    {
        for (const bool ordered : {false, true})
        {
            hall_fixture hall;
            hall.add_workers(2, 4, 0);
            job_spec spec = hall.make_job(workload_kind::batch, 1, whole);
            spec.repeatable = false;
            hall.submit(spec);
            hall.plan();
            hall.report_all(spec.id, run_event::started);
            if (ordered)
            {
                const auto reason = static_cast<std::uint8_t>(stop_reason::overused);
                hall.apply(stop_runs{{{run_id{{spec.id, 0}, 1}, reason}}});
            }
            hall.report_all(spec.id, end);
            hall.plan_all();
            const hall_job& job = hall.state().jobs().at(spec.id);
            const job_outcome expected = ordered ? job_outcome::failed : job_outcome::unknown;
            BOOST_TEST(job.tasks[0].run == 1U);
            BOOST_TEST(job.finished());
            BOOST_TEST(job.outcome == static_cast<std::uint8_t>(expected));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_cancelled_task_that_was_stopped_counts_as_cancelled)
{
    hall_fixture hall;
    hall.add_workers(1, 4, 0);
    job_spec spec = hall.make_job(workload_kind::batch, 1, whole);
    spec.repeatable = false;
    hall.submit(spec);
    hall.plan();
    hall.report_all(spec.id, run_event::started);
    hall.apply(cancel_hall_jobs{{spec.id}});
    hall.report_all(spec.id, run_event::stopped);
    BOOST_TEST(hall.state().jobs().at(spec.id).outcome == static_cast<std::uint8_t>(job_outcome::cancelled));
}

BOOST_AUTO_TEST_CASE(a_report_from_an_earlier_epoch_or_run_is_ignored)
{
    hall_fixture hall;
    hall.add_workers(1, 4, 0);
    const job_id job = hall.submit(hall.make_job(workload_kind::batch, 1, whole));
    hall.plan();
    hall.apply(register_worker{worker_id{1}, rack_id{0}, "10.0.0.1", 80, host_size, epoch_id{1}});
    hall.plan_all();
    const run_id first{{job, 0}, 1};
    const auto completed = static_cast<std::uint8_t>(run_event::completed);
    hall.apply(report_runs{{{first, {worker_id{1}, epoch_id{1}}, completed, 0}}});
    hall.apply(report_runs{{{first, {worker_id{1}, epoch_id{2}}, completed, 0}}});
    const run_id present{{job, 0}, 2};
    hall.apply(report_runs{{{present, {worker_id{1}, epoch_id{1}}, completed, 0}}});
    BOOST_TEST(hall.running_in(job) == 1U);
}

// A delayed registration, for example from a frozen gateway, must not end runs that started after it was
// sent.
BOOST_AUTO_TEST_CASE(a_delayed_copy_of_a_registration_frees_nothing)
{
    hall_fixture hall;
    hall.add_workers(1, 4, 0);
    const job_id job = hall.submit(hall.make_job(workload_kind::batch, 1, whole));
    hall.plan();
    const register_worker delayed{worker_id{1}, rack_id{0}, "10.0.0.1", 80, host_size, epoch_id{0}};
    BOOST_TEST(hall.apply(delayed).code == static_cast<int>(state_code::lease_active));
    BOOST_TEST(hall.running_in(job) == 1U);
    hall.apply(mark_workers_lost{{{worker_id{1}, epoch_id{1}}}});
    BOOST_TEST(hall.apply(delayed).epoch.value() == 2U);
}

BOOST_AUTO_TEST_CASE(a_job_that_ended_is_not_admitted_again_from_an_older_root)
{
    hall_fixture hall;
    hall.add_workers(1, 4, 0);
    const job_spec spec = hall.make_job(workload_kind::batch, 1, small);
    hall.apply(admit_jobs{log_index{10}, {spec}});
    hall.plan();
    hall.report_all(spec.id, run_event::completed);
    hall.apply(forget_jobs{log_index{20}, {spec.id}});
    hall.apply(admit_jobs{log_index{15}, {spec}});
    BOOST_TEST(hall.state().jobs().empty());
}

// A snapshot is complete: a state loaded from it equals the saved one.
BOOST_AUTO_TEST_CASE(a_loaded_state_equals_the_saved_one)
{
    hall_fixture hall;
    fill(hall, 20);
    hall_state copy;
    BOOST_REQUIRE(copy.load(hall.state().save()));
    BOOST_TEST(copy.save() == hall.state().save());
    BOOST_TEST(!copy.load("garbage"));
}

// Random jobs, reports, lost workers, drains, cancellations and stale plans: after each step the state is
// consistent, and no job that is not repeatable has a second run.
BOOST_AUTO_TEST_CASE(random_commands_never_overcommit_a_host)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        hall_fixture hall({}, seed);
        hall.add_workers(6, 2, 3);
        std::vector<job_id> jobs;
        place_tasks stale;
        for (int i = 0; i < 150; ++i)
        {
            const auto pick = [&hall](std::uint64_t below)
            {
                return static_cast<std::uint32_t>(hall.random(below));
            };
            const worker_id worker{1 + pick(6)};
            const job_id job = jobs.empty() ? job_id{} : jobs[pick(jobs.size())];
            switch (pick(9))
            {
            case 0:
            case 1:
            {
                job_spec spec = hall.make_job(static_cast<workload_kind>(pick(3)), 1 + pick(5),
                                              {1000 + 1000 * pick(12), 1024 + 1024 * pick(30), 0, 1},
                                              static_cast<std::uint16_t>(1 + pick(2)));
                spec.repeatable = pick(2) == 0;
                spec.values.urgency = static_cast<std::uint8_t>(pick(4));
                jobs.push_back(hall.submit(spec));
                break;
            }
            case 2:
                if (job.value() != 0)
                {
                    hall.report_all(job, run_event::started);
                }
                break;
            case 3:
                if (job.value() != 0)
                {
                    constexpr run_event ends[] = {run_event::completed, run_event::failed,
                                                  run_event::stopped};
                    hall.report_all(job, ends[pick(3)]);
                }
                break;
            case 4:
                hall.apply(mark_workers_lost{{{worker, hall.state().workers().at(worker).epoch}}});
                break;
            case 5:
                hall.apply(register_worker{worker, rack_id{1}, "10.0.0.1", 80, host_size, epoch_id{pick(4)}});
                break;
            case 6:
                hall.apply(drain_workers{{worker}, pick(2) == 0});
                break;
            case 7:
                hall.apply(cancel_hall_jobs{{job}});
                break;
            default:
                hall.apply(stale);
                break;
            }
            hall.plan();
            stale = place_tasks{hall.last().placements};
            hall.advance_time(1000);
            BOOST_TEST_CONTEXT("seed " << seed << " step " << i)
            {
                BOOST_REQUIRE_EQUAL(hall.state().check(), "");
                BOOST_REQUIRE(!second_run_of_not_repeatable(hall.state()));
            }
        }
    }
}

// The leader measures a lease from its answer, the worker from its request, so a delayed answer cannot extend
// the lease at the worker.
BOOST_AUTO_TEST_CASE(a_lease_expires_at_the_worker_before_the_leader)
{
    const duration lease = seconds(10);
    for (const double drift : {-0.05, 0.0, 0.05})
    {
        lease_table table(lease, 0.05);
        const monotonic_time asked{seconds(100)};
        const monotonic_time answered = asked + seconds(3);
        table.granted(worker_id{1}, answered);
        const auto worker_end = asked + std::chrono::duration_cast<duration>(lease * (1.0 + drift));
        BOOST_TEST(table.expire(worker_end).empty());
        BOOST_TEST(table.may_grant(worker_id{1}));
    }
}

BOOST_AUTO_TEST_CASE(a_new_leader_waits_a_whole_lease_and_grants_none_to_an_expired_worker)
{
    lease_table table(seconds(10), 0.05);
    const monotonic_time elected{seconds(50)};
    table.reset({worker_id{1}}, elected);
    BOOST_TEST(table.expire(elected + seconds(10)).empty());
    BOOST_TEST(table.expire(elected + seconds(12)).size() == 1U);
    BOOST_TEST(!table.may_grant(worker_id{1}));
    BOOST_TEST(table.expire(elected + seconds(13)).empty());
}
