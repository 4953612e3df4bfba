#define BOOST_TEST_MODULE crash_evidence_table
#include <boost/test/unit_test.hpp>

#include <walkthread/dispatch/suspect_isolation.hpp>
#include <walkthread/wire/codec.hpp>
#include <walkthread/workload/workload_state.hpp>

using namespace walkthread;

// Crash evidence in the replicated state.

namespace
{
constexpr wall_ms noon = 1'700'000'000'000;

struct fixture
{
    workload_state state;
    std::uint32_t lives = 0;
    std::uint32_t runs = 0;

    fixture()
    {
        cluster_configuration held;
        held.version = 1;
        held.pools.push_back({"pool", false, false});
        queue_spec queue;
        queue.name = "q";
        queue.host = "example";
        queue.path_prefix = "/q/";
        queue.timeout_ms = 3000;
        queue.pool = "pool";
        queue.max_attempts = 2;
        held.queues.push_back(queue);
        state.apply(noon, replace_cluster_configuration{held});
        accept_submission command;
        command.id = submission_id{1};
        command.queue = "q";
        command.spec.steps.emplace_back();
        command.spec.steps.back().count = 1;
        command.spec.steps.back().size = {1000, 100, 0, 0};
        state.apply(noon, command);
        admit();
    }
    static task_ref task()
    {
        return {{submission_id{1}, round_id{0}, 0}, 0};
    }
    // Adds another incarnation on the only host.
    void admit()
    {
        const std::string incarnation = "life" + std::to_string(++lives);
        state.apply(
            noon, admit_worker{{incarnation, "host", "10.0.0.1:1", "pool", "hall", {}, {4000, 4000, 0, 0}}});
    }
    worker_incarnation_id present()
    {
        return state.find_host("host")->id;
    }
    // Starts the task on the host and loses the host.
    void lose_host(bool for_good, std::uint32_t share, bool began = true)
    {
        state.apply(noon, record_starts{{planned_start{task(), ++runs, present()}}});
        state.apply(noon, drop_worker{present(), for_good, {{run_ref{task(), runs}, began, share, {}}}});
    }
    submission_phase phase()
    {
        return state.find(submission_id{1})->state();
    }
};
} // namespace

BOOST_FIXTURE_TEST_CASE(two_crashes_as_the_only_recent_submission_fail_the_task, fixture)
{
    lose_host(true, blame::only_recent_submission);
    BOOST_TEST((phase() == submission_phase::running));
    admit();
    lose_host(true, blame::only_recent_submission);
    BOOST_TEST((phase() == submission_phase::failed));
    BOOST_REQUIRE(state.crashes().poison_tasks().size() == 1U);
    BOOST_TEST(state.crashes().poison_tasks().front().against.crashes == 2U);
    BOOST_TEST(state.crashes().suspects().empty());
}

BOOST_FIXTURE_TEST_CASE(the_smallest_shares_fail_the_task_at_the_fifth_crash, fixture)
{
    for (int crash = 1; crash <= 5; ++crash)
    {
        BOOST_TEST((phase() == submission_phase::failed) == false);
        lose_host(true, 0); // raised to the minimum share
        admit();
    }
    BOOST_TEST((phase() == submission_phase::failed));
}

BOOST_FIXTURE_TEST_CASE(one_crash_and_runs_that_may_not_have_started_do_not_fail_the_task, fixture)
{
    lose_host(true, blame::only_recent_submission);
    for (int unclear = 0; unclear < 3; ++unclear)
    {
        admit();
        lose_host(true, blame::min_share, false);
    }
    BOOST_TEST((phase() == submission_phase::running));
}

// Guards against failing a task after a single crash because of start orders that were sent to hosts that
// were already down.
BOOST_FIXTURE_TEST_CASE(runs_that_may_not_have_started_never_fail_a_task, fixture)
{
    lose_host(true, blame::only_recent_submission);
    for (std::uint32_t unclear = 1; unclear <= 8; ++unclear)
    {
        admit();
        lose_host(true, blame::only_recent_submission, false);
        BOOST_TEST((phase() == submission_phase::running));
        BOOST_TEST(state.crashes().find(task())->unclear == unclear);
    }
    BOOST_TEST(state.crashes().find(task())->blame == blame::only_recent_submission);
}

// Successive leaders may report the same loss.
BOOST_AUTO_TEST_CASE(a_crash_counts_once_for_each_run)
{
    crash_evidence_table ledger;
    const lost_run newer{run_ref{fixture::task(), 2}, true, blame::only_recent_submission, {}, false};
    const lost_run older{run_ref{fixture::task(), 1}, true, blame::min_share, {}, false};
    BOOST_TEST(!ledger.add_crash_evidence(newer, "host"));
    BOOST_TEST(!ledger.add_crash_evidence(newer, "host"));
    BOOST_TEST(ledger.find(fixture::task())->crashes == 1U);
    BOOST_TEST(!ledger.add_crash_evidence(older, "other")); // confirmed after the newer run
    BOOST_TEST(ledger.find(fixture::task())->crashes == 2U);
    BOOST_TEST(ledger.find(fixture::task())->blame == blame::only_recent_submission + blame::min_share);
}

// The other submission may have caused the crashes.
BOOST_FIXTURE_TEST_CASE(two_crashes_do_not_fail_a_task_if_another_submission_had_just_started, fixture)
{
    lose_host(true, blame::only_recent_submission);
    admit();
    lose_host(true, blame::one_of_two_submissions);
    BOOST_TEST((phase() == submission_phase::running));
    admit();
    lose_host(true, blame::min_share);
    BOOST_TEST((phase() == submission_phase::failed));
}

// Guards against failing a task that was running during three crashes because of further crashes that other
// work caused: no other submission may start on its host.
BOOST_FIXTURE_TEST_CASE(a_host_on_which_a_task_runs_that_was_lost_three_times_is_watched, fixture)
{
    suspect_isolation watch(state.crashes(), milliseconds(700));
    const submission_id other{2};
    for (int loss = 1; loss <= 3; ++loss)
    {
        lose_host(true, blame::min_share);
        admit();
        state.apply(noon, record_starts{{planned_start{task(), ++runs, present()}}});
        watch.find_isolated(state);
        BOOST_TEST(watch.has_foreign_suspect(present(), other, monotonic_time{}) == (loss == 3));
        BOOST_TEST(!watch.has_foreign_suspect(present(), task().step.submission, monotonic_time{}));
        const observed_end stopped{run_ref{task(), runs}, static_cast<std::uint8_t>(run_end::stopped), {}};
        state.apply(noon, record_ends{present(), static_cast<std::uint64_t>(loss), {stopped}});
    }
    watch.find_isolated(state);
    BOOST_TEST(!watch.has_foreign_suspect(present(), other, monotonic_time{}));
}

BOOST_FIXTURE_TEST_CASE(last_known_runs_of_an_unresponsive_worker_are_in_the_snapshot, fixture)
{
    state.apply(noon, record_starts{{planned_start{task(), ++runs, present()}}});
    const run_ref run{task(), runs};
    state.apply(noon,
                record_last_known_runs{present(), {{run, true, blame::only_recent_submission, {}, false}}});
    workload_state copy;
    BOOST_REQUIRE(copy.load(state.save()));
    BOOST_REQUIRE(copy.find_host("host")->last_known_runs.size() == 1U);
    BOOST_TEST((copy.find_host("host")->last_known_runs.front().run == run));
    state.apply(noon, record_last_known_runs{present(), {}});
    BOOST_TEST(state.find_host("host")->last_known_runs.empty());
}

BOOST_FIXTURE_TEST_CASE(an_unresponsive_host_counts_as_crashed_only_once_a_new_incarnation_answers, fixture)
{
    lose_host(false, blame::only_recent_submission);
    BOOST_TEST(state.crashes().find(task())->unconfirmed_losses == 1U);
    BOOST_TEST(state.crashes().find(task())->blame == 0U);
    --lives;
    admit(); // the same incarnation: it was partitioned
    BOOST_TEST(state.crashes().find(task()) == nullptr);
    lose_host(false, blame::only_recent_submission);
    admit();
    BOOST_TEST(state.crashes().find(task())->unconfirmed_losses == 0U);
    BOOST_TEST(state.crashes().find(task())->crashes == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_worker_that_leaves_or_is_under_maintenance_is_no_crash_evidence, fixture)
{
    state.apply(noon, record_starts{{planned_start{task(), ++runs, present()}}});
    state.apply(noon, mark_leaving{present(), 1, true});
    state.apply(
        noon,
        drop_worker{present(), true, {{run_ref{task(), runs}, true, blame::only_recent_submission, {}}}});
    BOOST_TEST(state.crashes().find(task()) == nullptr);
    admit();
    state.apply(noon, begin_wave{1, {"host"}, 60, 1});
    state.apply(noon,
                advance_maintenance{1, "host", static_cast<std::uint8_t>(maintenance_phase::under_way)});
    lose_host(true, blame::only_recent_submission);
    BOOST_TEST(state.crashes().find(task()) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(crash_evidence_is_dropped_when_the_task_completes, fixture)
{
    lose_host(true, blame::only_recent_submission);
    admit();
    state.apply(noon, record_starts{{planned_start{task(), ++runs, present()}}});
    const observed_end done{run_ref{task(), runs}, static_cast<std::uint8_t>(run_end::completed), {}};
    state.apply(noon, record_ends{present(), 1, {done}});
    BOOST_TEST((phase() == submission_phase::completed));
    BOOST_TEST(state.crashes().suspects().empty());
}

BOOST_FIXTURE_TEST_CASE(crash_evidence_is_in_the_snapshot_and_an_older_snapshot_still_loads, fixture)
{
    lose_host(true, blame::only_recent_submission);
    admit();
    const std::string bytes = state.save();
    workload_state copy;
    BOOST_REQUIRE(copy.load(bytes));
    BOOST_TEST(copy.crashes().find(task())->blame == blame::only_recent_submission);

    // Snapshots of versions without crash evidence have fewer elements.
    constexpr std::uint32_t elements_before = 7;
    const msgpack::object_handle whole = msgpack::unpack(bytes.data(), bytes.size());
    msgpack::object shorter = whole.get();
    BOOST_REQUIRE(shorter.type == msgpack::type::ARRAY);
    shorter.via.array.size = elements_before;
    workload_state older;
    BOOST_REQUIRE(older.load(encode(shorter)));
    BOOST_TEST(older.crashes().suspects().empty());
    BOOST_TEST(older.submissions().size() == 1U);
}
