#define BOOST_TEST_MODULE closed_steps
#include <boost/test/unit_test.hpp>

#include <optional>
#include <random>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
step_spec make_step(std::uint32_t count, std::int64_t cpu = 1000)
{
    step_spec step;
    step.count = count;
    step.size = {cpu, 100, 0, 0};
    step.estimate_ms = 300;
    return step;
}

step_spec needs_label(std::uint32_t count)
{
    step_spec step = make_step(count);
    step.required_label = "nowhere";
    return step;
}

step_spec needs_accelerators()
{
    step_spec step = make_step(1);
    step.size.accelerators = 4;
    return step;
}

constexpr std::size_t max_steps_each = 60;
constexpr milliseconds ordinary_bound{3000}; // of the pages, where there is capacity
constexpr milliseconds urgent_bound{1100};   // of the size to design for

// A pool of idle workers with steps that none of them can take.
struct closed_pool
{
    simulated_pool pool{settings()};
    std::vector<submission_id> closed;

    static pool_settings settings()
    {
        pool_settings out = small_pool_settings(12);
        out.good_share = 1.0;
        return out;
    }
    void add_closed(const std::string& queue, std::size_t steps, const step_spec& step)
    {
        for (std::size_t left = steps; left > 0;)
        {
            const std::size_t some = std::min(left, max_steps_each);
            closed.push_back(pool.submit(queue, std::vector<step_spec>(some, step)));
            left -= some;
        }
    }
    // The longest time from a submission to the start of its last task, of several sent one after the other.
    milliseconds longest_wait(const std::string& queue)
    {
        constexpr milliseconds step{20};
        milliseconds longest{0};
        for (int i = 0; i < 8; ++i)
        {
            pool.run(milliseconds(470));
            const submission_id id = pool.submit(queue, {make_step(2)});
            milliseconds waited{0};
            while (pool.starts_of(task_ref{{id, round_id{0}, 0}, 1}) == 0 && waited < seconds(10))
            {
                pool.run(step);
                waited += step;
            }
            longest = std::max(longest, waited);
        }
        return longest;
    }
};
} // namespace

// Guards against ordinary work that waits beside idle workers for what cannot be done: the wait grew with the
// number of steps that no worker can take, beyond 3 s at 78,000.
BOOST_AUTO_TEST_CASE(steps_that_no_worker_can_take_do_not_delay_others)
{
    std::optional<milliseconds> among_few;
    for (const std::size_t steps : {std::size_t{1000}, std::size_t{10'000}, std::size_t{78'000}})
    {
        closed_pool cell;
        cell.pool.start_leader();
        cell.pool.run(seconds(1));
        cell.add_closed("plain", steps, needs_label(1));
        cell.pool.run(seconds(5));
        const milliseconds plain = cell.longest_wait("plain");
        const milliseconds urgent = cell.longest_wait("urgent");
        BOOST_TEST_MESSAGE(steps << " steps: " << plain.count() << " ms, urgent " << urgent.count() << " ms");
        BOOST_TEST((plain <= ordinary_bound));
        BOOST_TEST((urgent <= urgent_bound));
        among_few = among_few.value_or(plain);
        BOOST_TEST((plain <= 2 * *among_few));
        check_invariants(cell.pool);
    }
}

// Guards against the same through the pass over urgent and long-running steps, and through other needs.
BOOST_AUTO_TEST_CASE(urgent_steps_that_no_worker_can_take_do_not_delay_others)
{
    closed_pool cell;
    cell.pool.start_leader();
    cell.pool.run(seconds(1));
    cell.add_closed("urgent", 20'000, make_step(1, 100'000));
    cell.add_closed("urgent", 20'000, needs_accelerators());
    cell.pool.run(seconds(5));
    BOOST_TEST((cell.longest_wait("urgent") <= urgent_bound));
    BOOST_TEST((cell.longest_wait("plain") <= ordinary_bound));
    check_invariants(cell.pool);
}

// Guards against times that lie ahead and delay all other work: 500 submissions of 1,000 times each made it
// wait for 25 s.
BOOST_AUTO_TEST_CASE(times_that_lie_ahead_do_not_delay_others)
{
    closed_pool cell;
    cell.pool.start_leader();
    cell.pool.run(seconds(1));
    submission_spec hourly;
    hourly.payload = "text";
    hourly.steps = {make_step(1)};
    hourly.rounds = 1000;
    hourly.first_due = cell.pool.wall() + 3'600'000;
    hourly.period_ms = 3'600'000;
    for (int i = 0; i < 500; ++i)
    {
        cell.pool.submit("plain", hourly);
    }
    cell.pool.run(seconds(2));
    BOOST_TEST((cell.longest_wait("plain") <= ordinary_bound));
    check_invariants(cell.pool);
}

// Guards against a round that starts late because nothing else wakes the leader.
BOOST_AUTO_TEST_CASE(a_round_starts_when_it_is_due)
{
    closed_pool cell;
    cell.pool.start_leader();
    cell.pool.run(seconds(1));
    submission_spec once;
    once.payload = "text";
    once.steps = {make_step(1)};
    once.first_due = cell.pool.wall() + 5037;
    const submission_id id = cell.pool.submit("plain", once);
    const task_ref task{{id, round_id{0}, 0}, 0};
    cell.pool.run(milliseconds(5030));
    BOOST_TEST(cell.pool.starts_of(task) == 0U);
    cell.pool.run(milliseconds(50));
    BOOST_TEST(cell.pool.starts_of(task) == 1U);
}

// Guards against steps that stay out of sight when a worker comes that can take them, or in sight when the
// last one has gone.
BOOST_AUTO_TEST_CASE(closed_steps_start_when_a_worker_can_take_them)
{
    closed_pool cell;
    cell.pool.start_leader();
    cell.pool.run(seconds(1));
    cell.add_closed("plain", 3, needs_accelerators());
    cell.add_closed("plain", 1, make_step(1, 20'000));
    cell.pool.run(seconds(1));
    const ready_index& ready = cell.pool.state().ready();
    BOOST_TEST(ready.size() == 4U);
    BOOST_TEST(ready.open_steps() == 0U);
    cell.pool.resize("w3", {16'000, 65'536, 8, 0});
    cell.pool.resize("w4", {20'000, 65'536, 0, 0});
    cell.pool.report("w3", false);
    cell.pool.report("w4", false);
    cell.pool.run(milliseconds(300));
    BOOST_TEST(cell.pool.starts_of(task_ref{{cell.closed.back(), round_id{0}, 0}, 0}) == 1U);
    cell.pool.run(seconds(3));
    for (const submission_id id : cell.closed)
    {
        BOOST_TEST((cell.pool.phase(id) == submission_phase::completed), id.value() << " is unfinished");
    }
    cell.add_closed("plain", 1, needs_accelerators());
    cell.pool.remove_worker("w3", true);
    cell.pool.run(seconds(20));
    cell.add_closed("plain", 1, needs_accelerators());
    cell.pool.run(seconds(1));
    BOOST_TEST(ready.open_steps() == 0U);
    check_invariants(cell.pool);
}

// Guards against an index that drifts away from the state: random work, workers and leaders.
BOOST_AUTO_TEST_CASE(open_steps_follow_from_the_state)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(20); ++seed)
    {
        closed_pool cell;
        std::mt19937_64 random(seed * 7919);
        cell.pool.start_leader();
        cell.pool.run(seconds(1));
        for (int i = 0; i < 40; ++i)
        {
            const std::string worker = "w" + std::to_string(random() % 12);
            switch (random() % 5)
            {
            case 0:
                cell.add_closed("plain", 1 + random() % 3, needs_accelerators());
                break;
            case 1:
                cell.add_closed("batch", 1, make_step(1, static_cast<std::int64_t>(random() % 40'000)));
                break;
            case 2:
                cell.pool.resize(worker, {static_cast<std::int64_t>(4000 + random() % 36'000), 65'536,
                                          static_cast<std::int32_t>(random() % 8), 0});
                cell.pool.report(worker, false);
                break;
            case 3:
                cell.pool.start_leader();
                break;
            default:
                cell.pool.restart_from_snapshot();
                break;
            }
            cell.pool.run(milliseconds(static_cast<std::int64_t>(random() % 900)));
            const ready_index& ready = cell.pool.state().ready();
            std::size_t open = 0;
            for (const step_ref& ref : ready.steps())
            {
                const resources need = host_demand_of(*cell.pool.state().find(ref));
                bool can = false;
                for (const auto& [id, there] : cell.pool.state().workers())
                {
                    can = can || fits(need, there.description.size);
                }
                open += can ? 1 : 0;
                BOOST_REQUIRE_EQUAL(ready.is_closed(ref), !can);
            }
            BOOST_REQUIRE_EQUAL(open, ready.open_steps());
        }
    }
}
