#define BOOST_TEST_MODULE state_size
#include <boost/test/unit_test.hpp>

#include <walkthread/fabric/state_admission.hpp>
#include <walkthread/wire/codec.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr wall_ms noon = 1'700'000'000'000;
constexpr wall_ms hour = 3'600'000;

cluster_configuration make_configuration()
{
    cluster_configuration out;
    out.version = 1;
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

// The bytes that one accepted submission adds to a snapshot.
std::size_t stored_bytes(std::uint32_t tasks, std::uint32_t rounds)
{
    workload_state state;
    state.apply(noon, replace_cluster_configuration{make_configuration()});
    const std::size_t before = state.save().size();
    accept_submission command;
    command.id = submission_id{1};
    command.queue = "q";
    command.spec.payload = "text";
    step_spec step;
    step.count = tasks;
    step.size = {980, 1024, 0, 0};
    command.spec.steps = {step};
    command.spec.rounds = rounds;
    command.spec.first_due = noon + hour;
    command.spec.period_ms = hour;
    BOOST_REQUIRE(state.apply(noon, command).code == 0);
    return state.save().size() - before;
}
constexpr std::size_t numbers = 32; // room for the larger numbers themselves
} // namespace

// Guards against memory that grows with the times a caller asks for: 330 submissions of 1,000 times took all
// replicas over their memory.
BOOST_AUTO_TEST_CASE(times_of_a_submission_take_no_memory)
{
    BOOST_TEST(stored_bytes(10, 1000) <= stored_bytes(10, 1) + numbers);
}

// Guards against memory that grows with the number of tasks that a caller asks for.
BOOST_AUTO_TEST_CASE(tasks_that_have_not_begun_take_no_memory)
{
    BOOST_TEST(stored_bytes(4000, 1) <= stored_bytes(1, 1) + numbers);
}

// Prints the table in docs/CAPACITY.md.
BOOST_AUTO_TEST_CASE(bytes_of_a_submission_do_not_depend_on_its_numbers)
{
    for (const std::uint32_t tasks : {1U, 10U, 4000U})
    {
        for (const std::uint32_t rounds : {1U, 1000U})
        {
            submission_spec spec;
            spec.payload = "text";
            spec.steps.emplace_back().count = tasks;
            spec.rounds = rounds;
            BOOST_TEST_MESSAGE("| " << tasks << " x " << rounds << " | " << stored_bytes(tasks, rounds)
                                    << " | " << size_when_accepted(spec) << " |");
            BOOST_TEST(size_when_accepted(spec) < 8192U);
        }
    }
}

// ---------------------------------------------------------------------------------------------------------
// Snapshots
// ---------------------------------------------------------------------------------------------------------

namespace
{
// A submission as the releases before 0.10 stored it: each task of each round laid out.
struct former_submission
{
    submission_id id{};
    std::string queue;
    std::string pool;
    std::uint32_t max_attempts{};
    submission_spec spec;
    std::uint8_t phase{};
    wall_ms accepted{};
    wall_ms ended{};
    std::vector<former_round_progress> rounds;
    std::uint32_t completed_rounds{};
    std::uint32_t active{};
    std::string organisation;
    MSGPACK_DEFINE(id, queue, pool, max_attempts, spec, phase, accepted, ended, rounds, completed_rounds,
                   active, organisation)
};

struct former_snapshot
{
    std::optional<cluster_configuration> held;
    std::vector<former_submission> submissions;
    std::vector<worker_incarnation> workers;
    std::vector<maintenance_wave> waves;
    std::uint32_t next_worker{};
    MSGPACK_DEFINE(held, submissions, workers, waves, next_worker)
};

former_submission make_former(std::uint64_t id, std::uint32_t rounds)
{
    former_submission out;
    out.id = submission_id{id};
    out.queue = "q";
    out.pool = "pool";
    out.max_attempts = 2;
    step_spec step;
    step.count = 10;
    step.size = {980, 1024, 0, 0};
    out.spec.steps = {step};
    out.spec.rounds = rounds;
    out.spec.first_due = noon - hour;
    out.spec.period_ms = hour;
    out.accepted = noon - 2 * hour;
    for (std::uint32_t round = 0; round < rounds; ++round)
    {
        out.rounds.emplace_back().steps.emplace_back().tasks.resize(10);
    }
    return out;
}
} // namespace

// Guards against a snapshot of the release before that is lost, or that takes the same memory again.
BOOST_AUTO_TEST_CASE(former_snapshots_are_loaded_without_their_laid_out_rounds)
{
    former_snapshot former;
    former.held = make_configuration();
    former.next_worker = 1;
    for (std::uint64_t id = 1; id <= 40; ++id)
    {
        former.submissions.push_back(make_former(id, 1000));
    }
    // The first has completed its first round but for one task, and the last task of its second one.
    former_submission& begun = former.submissions.front();
    begun.phase = static_cast<std::uint8_t>(submission_phase::running);
    for (std::uint32_t index = 0; index < 9; ++index)
    {
        begun.rounds[0].steps[0].tasks[index].phase = static_cast<std::uint8_t>(work_phase::completed);
        begun.rounds[0].steps[0].tasks[index].run = 1;
    }
    begun.rounds[0].steps[0].completed = 9;
    begun.rounds[0].steps[0].tasks[9].run = 3;
    begun.rounds[0].steps[0].tasks[9].checkpoint = "half";
    begun.rounds[1].steps[0].tasks[9].phase = static_cast<std::uint8_t>(work_phase::completed);
    begun.rounds[1].steps[0].completed = 1;
    workload_state state;
    BOOST_REQUIRE(state.load(encode(former)));
    BOOST_TEST(state.submissions().size() == 40U);
    const submission& first = *state.find(submission_id{1});
    BOOST_TEST(first.next_round == 2U);
    const step_ref step{submission_id{1}, round_id{0}, 0};
    BOOST_TEST((state.find(task_ref{step, 0})->state() == work_phase::completed));
    BOOST_TEST(state.find(task_ref{step, 9})->run == 3U);
    BOOST_TEST(state.find(task_ref{step, 9})->checkpoint == "half");
    const step_tasks second(first, round_id{1}, 0);
    BOOST_TEST(second.completed() == 1U);
    BOOST_TEST(second.waiting() == 9U);
    state.release_due(noon);
    BOOST_TEST(state.ready().contains(step));
    BOOST_TEST(state.ready().contains(step_ref{submission_id{1}, round_id{1}, 0}));
    BOOST_TEST(!state.ready().contains(step_ref{submission_id{1}, round_id{2}, 0}));
    BOOST_TEST(state.save().size() < 40U * 256);
    BOOST_TEST(!state.load("no snapshot"));
    BOOST_TEST(state.submissions().size() == 40U);
}

// ---------------------------------------------------------------------------------------------------------
// The account
// ---------------------------------------------------------------------------------------------------------

namespace
{
submission_spec make_spec(std::uint32_t tasks, std::int64_t run_ms = 500)
{
    submission_spec spec;
    spec.payload = "text";
    step_spec step;
    step.count = tasks;
    step.size = {4000, 100, 0, 0};
    step.estimate_ms = run_ms;
    spec.steps = {step};
    return spec;
}

submission_spec make_rounds(std::uint32_t rounds, wall_ms first, std::int64_t period_ms)
{
    submission_spec spec = make_spec(2);
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().after = {0};
    spec.rounds = rounds;
    spec.first_due = first;
    spec.period_ms = period_ms;
    return spec;
}
} // namespace

// Guards against a size that drifts away from the content: it would refuse callers for good, or nobody.
BOOST_AUTO_TEST_CASE(size_follows_from_the_content)
{
    simulated_pool pool(small_pool_settings(4));
    pool.start_leader();
    pool.run(seconds(1));
    const std::uint64_t empty = pool.state().bytes();
    for (int i = 0; i < 10; ++i)
    {
        pool.submit("plain", make_spec(20));
        pool.submit("plain", make_rounds(20, 0, 1));
    }
    for (int i = 0; i < 30; ++i)
    {
        pool.run(milliseconds(200));
        workload_state copy;
        BOOST_REQUIRE(copy.load(pool.state().save()));
        BOOST_TEST(copy.bytes() == pool.state().bytes());
    }
    pool.run(seconds(60));
    for (const auto& [id, owner] : pool.state().submissions())
    {
        BOOST_TEST((owner.state() == submission_phase::completed));
    }
    const std::uint64_t outcomes = pool.state().submissions().size() * 2048;
    BOOST_TEST(pool.state().bytes() <= empty + outcomes);
    pool.run(seconds(200));
    BOOST_TEST(pool.state().bytes() == empty);
    check_invariants(pool);
}

// Guards against a limit that counts requests: a large one needs as much memory as thousands of small ones.
BOOST_AUTO_TEST_CASE(submissions_are_refused_by_their_size)
{
    const state_limits limits = make_state_limits(256U << 20U);
    state_admission admission(limits);
    submission_spec large = make_spec(1);
    large.payload.assign(240'000, 'x');
    const std::uint64_t bytes = size_when_accepted(large);
    BOOST_TEST(bytes > 240'000U);
    std::uint64_t id = 0;
    while (admission.fits(0, submission_id{++id}, bytes))
    {
        admission.begin_commit(submission_id{id}, bytes);
        BOOST_REQUIRE(id < 1000U);
    }
    BOOST_TEST(admission.committing_bytes() <= limits.accept_bytes);
    BOOST_TEST(admission.record_refusal());
    BOOST_TEST(!admission.record_refusal());
    // A copy of one that may be accepted must not be told that it was not taken.
    BOOST_TEST(admission.fits(0, submission_id{1}, bytes));
    admission.begin_commit(submission_id{1}, bytes);
    admission.end_commit(submission_id{1});
    BOOST_TEST(admission.fits(0, submission_id{1}, bytes));
    admission.end_commit(submission_id{1});
    BOOST_TEST(admission.fits(0, submission_id{id}, bytes));
    BOOST_TEST(!admission.fits(bytes, submission_id{id}, bytes));
    BOOST_TEST(admission.record_acceptance() == 2U);
    BOOST_TEST(admission.record_acceptance() == 0U);
    BOOST_TEST(state_admission::retry_after_s(0.0) == 1);
    BOOST_TEST(state_admission::retry_after_s(0.999) == 5);
    BOOST_TEST(make_state_limits(128U << 20U).accept_bytes == limits.accept_bytes / 2);
}

// Guards against memory that work in progress takes beyond the limit: what does not fit waits and then runs.
BOOST_AUTO_TEST_CASE(work_in_progress_stays_within_the_limit)
{
    pool_settings settings = small_pool_settings(8);
    simulated_pool empty(settings);
    settings.state.start_bytes = empty.state().bytes() + 200 * 1024;
    settings.state.accept_bytes = settings.state.start_bytes - 16 * 1024;
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(1));
    submission_spec tiny = make_spec(400, 1000);
    tiny.steps.front().size = {1, 1, 0, 0}; // no worker's room limits them
    std::vector<submission_id> ids;
    for (int i = 0; i < 5; ++i)
    {
        ids.push_back(pool.submit("plain", tiny));
        ids.push_back(pool.submit("plain", make_rounds(30, 0, 1)));
    }
    std::uint64_t largest = 0;
    for (int i = 0; i < 600; ++i)
    {
        pool.run(milliseconds(100));
        largest = std::max(largest, pool.state().bytes());
    }
    BOOST_TEST(largest <= settings.state.start_bytes);
    for (const submission_id id : ids)
    {
        BOOST_TEST((pool.phase(id) == submission_phase::completed), id.value() << " is unfinished");
    }
    check_invariants(pool);
}

// ---------------------------------------------------------------------------------------------------------
// Rounds
// ---------------------------------------------------------------------------------------------------------

// Guards against rounds that are lost, repeated or started early across changes of leader and snapshots.
BOOST_AUTO_TEST_CASE(every_round_runs_once_and_not_before_it_is_due)
{
    pool_settings settings = small_pool_settings(4);
    settings.good_share = 1.0;
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(1));
    const wall_ms start = pool.wall();
    const submission_id apart = pool.submit("plain", make_rounds(12, start + 2000, 1500));
    const submission_id overlapping = pool.submit("urgent", make_rounds(40, start + 3000, 100));
    const submission_id overdue = pool.submit("batch", make_rounds(40, start - 1'000'000, 1));
    const submission_id ahead = pool.submit("plain", make_rounds(1000, start + hour, hour));
    for (int i = 0; i < 16; ++i)
    {
        pool.run(milliseconds(1700));
        i % 2 == 0 ? pool.restart_from_snapshot() : pool.start_leader();
        for (const submission_id id : {apart, overlapping, overdue, ahead})
        {
            const submission& owner = *pool.state().find(id);
            const bool begun = !owner.final() && owner.next_round > 0;
            BOOST_TEST((!begun || owner.spec.due_at(round_id{owner.next_round - 1}) <= pool.wall()));
        }
    }
    pool.run(seconds(60));
    for (const submission_id id : {apart, overlapping, overdue})
    {
        BOOST_TEST((pool.phase(id) == submission_phase::completed), id.value() << " is unfinished");
    }
    BOOST_TEST((pool.phase(ahead) == submission_phase::queued));
    check_invariants(pool);
}

// Guards against a round for which the advisor allows no worker and that holds up all those behind it.
BOOST_AUTO_TEST_CASE(a_round_that_cannot_start_does_not_delay_the_next)
{
    pool_settings settings = small_pool_settings(2);
    settings.good_share = 0.5; // a quarter of the steps may run nowhere
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id id = pool.submit("batch", make_rounds(60, pool.wall(), 50));
    pool.run(seconds(60));
    const submission& owner = *pool.state().find(id);
    BOOST_TEST(owner.next_round == 60U);
    BOOST_TEST(owner.open_rounds.size() < 45U); // three quarters of the second steps follow, too
    check_invariants(pool);
}

// Guards against undefined arithmetic with times that a caller names.
BOOST_AUTO_TEST_CASE(rounds_beyond_the_range_of_time_are_refused)
{
    submission_spec spec = make_rounds(1000, noon, INT64_MAX / 2);
    BOOST_TEST(spec.due_at(round_id{999}) == INT64_MAX);
    BOOST_TEST(!find_fault(spec).empty());
    spec.period_ms = -1;
    BOOST_TEST(!find_fault(spec).empty());
    BOOST_TEST(!find_fault(make_rounds(2, -5, 10)).empty());
    BOOST_TEST(find_fault(make_rounds(UINT32_MAX, noon, 1000)).empty());
    // The times count from 1970, so only the first of these is due at once.
    BOOST_TEST(make_rounds(3, 0, noon).due_at(round_id{2}) == 2 * noon);
}
