#define BOOST_TEST_MODULE workload
#include <boost/test/unit_test.hpp>

#include <random>

#include <walkthread/wire/codec.hpp>
#include <walkthread/workload/names.hpp>
#include <walkthread/workload/workload_state.hpp>

using namespace walkthread;

namespace
{
constexpr wall_ms noon = 1'700'000'000'000;

cluster_configuration make_catalogue(std::uint64_t version)
{
    cluster_configuration out;
    out.version = version;
    out.pools.push_back({"pool", false, false});
    queue_spec queue;
    queue.name = "q";
    queue.host = "example";
    queue.path_prefix = "/q/";
    queue.timeout_ms = 3000;
    queue.pool = "pool";
    queue.max_attempts = 2;
    out.queues.push_back(queue);
    return out;
}

step_spec make_step(std::uint32_t count, bool gang = false)
{
    step_spec step;
    step.count = count;
    step.size = {1000, 100, 0, 0};
    step.gang = gang;
    return step;
}

// A state with one queue and two workers with four cores each.
struct fixture
{
    workload_state state;
    worker_incarnation_id first{1};
    worker_incarnation_id second{2};

    fixture()
    {
        apply(replace_cluster_configuration{make_catalogue(1)});
        for (const char* name : {"a", "b"})
        {
            apply(admit_worker{
                {name, std::string("host-") + name, "10.0.0.1:1", "pool", "hall", {}, {4000, 4000, 0, 0}}});
        }
    }
    workload_result apply(const workload_command& command)
    {
        return state.apply(noon, command);
    }
    workload_result keep(std::uint64_t id, std::vector<step_spec> steps)
    {
        accept_submission command;
        command.id = submission_id{id};
        command.queue = "q";
        command.spec.steps = std::move(steps);
        return apply(command);
    }
    void start(const task_ref& task, std::uint32_t run, worker_incarnation_id worker)
    {
        apply(record_starts{{planned_start{task, run, worker}}});
    }
    void end(const task_ref& task, std::uint32_t run, worker_incarnation_id worker, run_end how)
    {
        apply(record_ends{worker, 0, {observed_end{run_ref{task, run}, static_cast<std::uint8_t>(how), {}}}});
    }
    submission_phase phase(std::uint64_t id)
    {
        return state.find(submission_id{id})->state();
    }
};

task_ref task(std::uint64_t id, std::uint32_t step, std::uint32_t index)
{
    return {{submission_id{id}, round_id{0}, step}, index};
}
} // namespace

BOOST_FIXTURE_TEST_CASE(a_submission_sent_twice_is_one, fixture)
{
    BOOST_TEST(keep(1, {make_step(1)}).code == 0);
    start(task(1, 0, 0), 1, first);
    end(task(1, 0, 0), 1, first, run_end::completed);
    BOOST_TEST(keep(1, {make_step(1)}).code == 0);
    BOOST_TEST((phase(1) == submission_phase::completed));
    BOOST_TEST(state.submissions().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_id_belongs_to_one_queue, fixture)
{
    cluster_configuration next = make_catalogue(2);
    next.queues.push_back(next.queues.front());
    next.queues.back().name = "other";
    next.queues.back().path_prefix = "/other/";
    apply(replace_cluster_configuration{next});
    keep(1, {make_step(1)});
    accept_submission again;
    again.id = submission_id{1};
    again.queue = "other";
    again.spec.steps = {make_step(1)};
    BOOST_TEST(apply(again).code == static_cast<int>(workload_code::id_in_use));
}

BOOST_FIXTURE_TEST_CASE(bad_submissions_are_named_and_not_kept, fixture)
{
    step_spec forward = make_step(1);
    forward.after = {0};
    step_spec negative = make_step(1);
    negative.size.cpu = -1;
    for (const std::vector<step_spec>& steps :
         {std::vector<step_spec>{}, {make_step(0)}, {forward}, {negative}, {make_step(5000)}})
    {
        BOOST_TEST(keep(1, steps).code == static_cast<int>(workload_code::bad_submission));
    }
    BOOST_TEST(state.submissions().empty());
}

BOOST_FIXTURE_TEST_CASE(a_step_is_ready_only_after_its_dependencies, fixture)
{
    step_spec after = make_step(1);
    after.after = {0};
    keep(1, {make_step(2), after});
    BOOST_TEST(state.ready().size() == 1U);
    start(task(1, 0, 0), 1, first);
    start(task(1, 0, 1), 1, first);
    end(task(1, 0, 0), 1, first, run_end::completed);
    BOOST_TEST(state.ready().empty());
    end(task(1, 0, 1), 1, first, run_end::completed);
    BOOST_TEST(state.ready().steps().begin()->step == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_start_beyond_the_capacity_is_rejected, fixture)
{
    keep(1, {make_step(5)});
    for (std::uint32_t i = 0; i < 5; ++i)
    {
        start(task(1, 0, i), 1, first);
    }
    BOOST_TEST(state.find(first)->used.cpu == 4000);
    BOOST_TEST((state.find(task(1, 0, 4))->state() == work_phase::waiting));
}

BOOST_FIXTURE_TEST_CASE(filling_tasks_take_no_processors, fixture)
{
    step_spec filling = make_step(5);
    filling.fills = true;
    keep(1, {filling});
    for (std::uint32_t i = 0; i < 5; ++i)
    {
        start(task(1, 0, i), 1, first);
    }
    BOOST_TEST(state.find(first)->used.cpu == 0);
    BOOST_TEST(state.find(first)->used.memory == 500);
}

BOOST_FIXTURE_TEST_CASE(resources_are_held_until_the_end_is_recorded, fixture)
{
    keep(1, {make_step(1)});
    start(task(1, 0, 0), 1, first);
    apply(cancel_submission{submission_id{1}, "q"});
    BOOST_TEST(state.find(first)->used.cpu == 1000);
    BOOST_TEST(state.closing().size() == 1U);
    end(task(1, 0, 0), 1, first, run_end::stopped);
    BOOST_TEST(state.find(first)->used.cpu == 0);
    BOOST_TEST(state.closing().empty());
}

BOOST_FIXTURE_TEST_CASE(a_gang_starts_whole_or_not_at_all, fixture)
{
    keep(1, {make_step(5, true)});
    record_starts too_much;
    for (std::uint32_t i = 0; i < 5; ++i)
    {
        too_much.starts.push_back({task(1, 0, i), 1, first});
    }
    apply(too_much);
    BOOST_TEST(state.find(first)->used.cpu == 0);
    too_much.starts.back().worker = second;
    apply(too_much);
    BOOST_TEST(state.find(first)->used.cpu == 4000);
    BOOST_TEST(state.find(second)->used.cpu == 1000);
}

BOOST_FIXTURE_TEST_CASE(one_completed_member_completes_its_gang, fixture)
{
    keep(1, {make_step(2, true)});
    apply(record_starts{{{task(1, 0, 0), 1, first}, {task(1, 0, 1), 1, second}}});
    apply(drop_worker{second, false}); // its lease has expired; the other member had completed before
    end(task(1, 0, 0), 1, first, run_end::completed);
    BOOST_TEST((phase(1) == submission_phase::completed));
}

BOOST_FIXTURE_TEST_CASE(a_gang_run_fails_once, fixture)
{
    keep(1, {make_step(2, true)});
    apply(record_starts{{{task(1, 0, 0), 1, first}, {task(1, 0, 1), 1, second}}});
    end(task(1, 0, 0), 1, first, run_end::failed);
    end(task(1, 0, 1), 1, second, run_end::failed);
    BOOST_TEST((phase(1) == submission_phase::running));
    apply(record_starts{{{task(1, 0, 0), 2, first}, {task(1, 0, 1), 2, second}}});
    end(task(1, 0, 0), 2, first, run_end::failed);
    BOOST_TEST((phase(1) == submission_phase::failed));
}

BOOST_FIXTURE_TEST_CASE(only_failures_count_as_attempts, fixture)
{
    keep(1, {make_step(1)});
    std::uint32_t run = 0;
    for (const run_end how : {run_end::stopped, run_end::lapsed, run_end::broken, run_end::lonely,
                              run_end::never_began, run_end::failed})
    {
        start(task(1, 0, 0), ++run, first);
        end(task(1, 0, 0), run, first, how);
        BOOST_TEST((phase(1) == submission_phase::running));
    }
    start(task(1, 0, 0), ++run, first);
    end(task(1, 0, 0), run, first, run_end::failed);
    BOOST_TEST((phase(1) == submission_phase::failed));
}

BOOST_FIXTURE_TEST_CASE(an_end_of_an_old_run_changes_nothing, fixture)
{
    keep(1, {make_step(1)});
    start(task(1, 0, 0), 1, first);
    apply(drop_worker{first, false});
    start(task(1, 0, 0), 2, second);
    end(task(1, 0, 0), 1, second, run_end::completed);
    BOOST_TEST((phase(1) == submission_phase::running));
    BOOST_TEST(state.needs_run(run_ref{task(1, 0, 0), 2}));
    start(task(1, 0, 0), 2, second);
    BOOST_TEST(state.find(second)->used.cpu == 1000);
}

BOOST_FIXTURE_TEST_CASE(a_new_incarnation_with_another_id_ends_the_runs_of_the_former_one, fixture)
{
    keep(1, {make_step(1)});
    start(task(1, 0, 0), 1, first);
    apply(admit_worker{{"a2", "host-a", "10.0.0.1:1", "pool", "hall", {}, {4000, 4000, 0, 0}}});
    BOOST_TEST((state.find(task(1, 0, 0))->state() == work_phase::waiting));
    BOOST_TEST(state.find(first) == nullptr);
    BOOST_TEST(state.workers().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_late_report_of_a_former_incarnation_changes_nothing, fixture)
{
    const worker_description old{"a", "host-a", "10.0.0.1:1", "pool", "hall", {}, {4000, 4000, 0, 0}};
    apply(admit_worker{{"a2", "host-a", "10.0.0.1:1", "pool", "hall", {}, {4000, 4000, 0, 0}}});
    BOOST_TEST(apply(admit_worker{old}).code == static_cast<int>(workload_code::former_incarnation));
    BOOST_TEST(state.find_id("a2") != nullptr);
    workload_state copy;
    copy.load(state.save());
    BOOST_TEST(copy.apply(noon, admit_worker{old}).code ==
               static_cast<int>(workload_code::former_incarnation));
}

BOOST_FIXTURE_TEST_CASE(an_incarnation_that_was_unresponsive_may_return, fixture)
{
    apply(drop_worker{first, false});
    BOOST_TEST(state.find_id("a") == nullptr);
    BOOST_TEST(
        apply(admit_worker{{"a", "host-a", "10.0.0.1:1", "pool", "hall", {}, {4000, 4000, 0, 0}}}).code == 0);
    BOOST_TEST(state.find_id("a") != nullptr);
}

BOOST_FIXTURE_TEST_CASE(lasting_tasks_start_again_however_they_end, fixture)
{
    step_spec long_running = make_step(1);
    long_running.long_running = true;
    keep(1, {long_running});
    for (std::uint32_t run = 1; run <= 5; ++run)
    {
        start(task(1, 0, 0), run, first);
        end(task(1, 0, 0), run, first, run % 2 == 0 ? run_end::completed : run_end::failed);
        BOOST_TEST(state.ready().size() == 1U);
    }
}

BOOST_FIXTURE_TEST_CASE(queued_counts_submissions_without_a_started_task, fixture)
{
    keep(1, {make_step(1)});
    keep(2, {make_step(1)});
    BOOST_TEST(state.queued("q") == 2U);
    start(task(1, 0, 0), 1, first);
    BOOST_TEST(state.queued("q") == 1U);
    apply(cancel_submission{submission_id{2}, "q"});
    BOOST_TEST(state.queued("q") == 0U);
}

BOOST_FIXTURE_TEST_CASE(the_highest_configuration_version_wins, fixture)
{
    apply(replace_cluster_configuration{make_catalogue(7)});
    cluster_configuration other = make_catalogue(7);
    other.queues.front().timeout_ms = 1;
    BOOST_TEST(apply(replace_cluster_configuration{other}).code == 0);
    BOOST_TEST(apply(replace_cluster_configuration{make_catalogue(3)}).code == 0);
    BOOST_TEST(state.current_configuration()->version == 7U);
    BOOST_TEST(state.current_configuration()->queues.front().timeout_ms == 3000);
}

BOOST_FIXTURE_TEST_CASE(a_contradictory_configuration_is_refused_whole, fixture)
{
    cluster_configuration no_pool = make_catalogue(9);
    no_pool.queues.front().pool = "nowhere";
    cluster_configuration same_place = make_catalogue(9);
    same_place.queues.push_back(same_place.queues.front());
    same_place.queues.back().name = "second";
    cluster_configuration no_timeout = make_catalogue(9);
    no_timeout.queues.front().timeout_ms = 0;
    for (const cluster_configuration& bad : {no_pool, same_place, no_timeout})
    {
        BOOST_TEST(apply(replace_cluster_configuration{bad}).code ==
                   static_cast<int>(workload_code::bad_configuration));
    }
    BOOST_TEST(state.current_configuration()->version == 1U);
}

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_is_found)
{
    cluster_configuration held = make_catalogue(1);
    held.queues.push_back(held.queues.front());
    held.queues.back().name = "deep";
    held.queues.back().path_prefix = "/q/deep/";
    BOOST_TEST(find_queue(held, "example", "/q/deep/0000000000000001")->name == "deep");
    BOOST_TEST(find_queue(held, "example", "/q/0000000000000001")->name == "q");
    BOOST_TEST(find_queue(held, "elsewhere", "/q/1") == nullptr);
    BOOST_TEST(find_queue(held, "example", "/other/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(task_names_round_trip)
{
    const task_ref ref = task(0x5c0e7a21d94b36f8ULL, 1, 17);
    BOOST_TEST(name_of(ref) == "5c0e7a21d94b36f8.0.1.17");
    BOOST_TEST((parse_task_name(name_of(ref)) == ref));
    for (const char* bad : {"", "5c0e", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1", "5c0e7a21d94b36f8.0.1.x",
                            "5c0e7a21d94b36f8.0.1.1.1"})
    {
        BOOST_TEST(!parse_task_name(bad).has_value());
    }
    BOOST_TEST(!parse_submission_id("5c0e7a21d94b36fg").has_value());
}

// Guards against submissions that are refused, or taken under a path that is not theirs, as the queue's
// path prefix does not end with a slash.
BOOST_AUTO_TEST_CASE(a_path_prefix_needs_no_slash_at_its_end)
{
    const std::string name = "5c0e7a21d94b36f8";
    for (const std::string prefix : {"/q/", "/q", "/"})
    {
        queue_spec queue;
        queue.path_prefix = prefix;
        BOOST_TEST((parse_last_submission_id(prefix + name) == parse_submission_id(name)));
        BOOST_TEST(addresses_submission(queue, prefix + name, name));
        BOOST_TEST(!addresses_submission(queue, prefix + "0" + name, name));
        BOOST_TEST(!parse_last_submission_id(prefix).has_value());
        BOOST_TEST(!parse_last_submission_id(prefix + name + "/").has_value());
    }
    BOOST_TEST(!parse_last_submission_id("").has_value());
}

// Random commands: after each, the usage of a worker equals the sum over its runs and fits its size. A state
// loaded from a snapshot has the same indexes.
BOOST_AUTO_TEST_CASE(random_commands_keep_usage_consistent_and_survive_a_snapshot)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        fixture f;
        std::mt19937_64 random(seed);
        const auto draw = [&random](std::uint64_t below)
        {
            return random() % below;
        };
        std::map<task_ref, std::uint32_t> runs;
        for (int i = 0; i < 300; ++i)
        {
            const std::uint64_t id = 1 + draw(6);
            const task_ref ref =
                task(id, static_cast<std::uint32_t>(draw(2)), static_cast<std::uint32_t>(draw(3)));
            const worker_incarnation_id worker{static_cast<std::uint32_t>(1 + draw(6))};
            step_spec after = make_step(3, id % 2 == 0);
            after.after = {0};
            switch (draw(8))
            {
            case 0:
                f.keep(id, {make_step(3), after});
                break;
            case 1:
                f.apply(cancel_submission{submission_id{id}, "q"});
                break;
            case 2:
                f.apply(drop_worker{worker, draw(2) == 0});
                break;
            case 3:
                f.apply(admit_worker{{"life" + std::to_string(i),
                                      "host-" + std::to_string(draw(3)),
                                      "x",
                                      "pool",
                                      "hall",
                                      {},
                                      {4000, 4000, 0, 0}}});
                break;
            case 4:
                f.end(ref, runs[ref], worker, static_cast<run_end>(draw(7)));
                break;
            case 5:
                f.apply(forget_submissions{{submission_id{id}}});
                break;
            default:
                f.start(ref, ++runs[ref], worker);
            }
            for (const auto& [number, incarnation] : f.state.workers())
            {
                resources sum{};
                for (const auto& [run, room] : incarnation.occupied)
                {
                    sum += room;
                }
                BOOST_REQUIRE((sum == incarnation.used));
                BOOST_REQUIRE(fits(incarnation.used, incarnation.description.size));
            }
        }
        workload_state copy;
        BOOST_REQUIRE(copy.load(f.state.save()));
        BOOST_TEST((copy.ready().steps() == f.state.ready().steps()));
        BOOST_TEST((copy.closing() == f.state.closing()));
        BOOST_TEST((copy.ended() == f.state.ended()));
        BOOST_TEST(copy.queued("q") == f.state.queued("q"));
    }
}

BOOST_AUTO_TEST_CASE(a_damaged_snapshot_is_refused)
{
    workload_state state;
    BOOST_TEST(!state.load("not a snapshot"));
}
