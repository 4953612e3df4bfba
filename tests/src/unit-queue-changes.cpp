#define BOOST_TEST_MODULE queue_changes
#include <boost/test/unit_test.hpp>

#include <walkthread/dispatch/queue_pools.hpp>

#include "faulty_leader_pool.hpp"
#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr std::int64_t whole_host = 16'000;

// Half of the workers are in "pool", to which all queues are sent at first, the others in "reserve".
pool_settings two_pools(std::size_t workers = 8, std::uint64_t seed = 1)
{
    pool_settings settings = small_pool_settings(workers);
    settings.reserve_workers = workers / 2;
    settings.good_share = 1.0;
    settings.seed = seed;
    return settings;
}

template <class Pool = simulated_pool>
struct two_pool_cell
{
    Pool pool{two_pools()};

    two_pool_cell()
    {
        pool.start_leader();
        pool.run(seconds(1));
    }
    [[nodiscard]] std::size_t starts_in(const std::string& name) const
    {
        std::size_t sum = 0;
        for (const auto& [incarnation, worker] : pool.workers())
        {
            sum += worker.description.pool == name ? worker.starts : 0;
        }
        return sum;
    }
    void remove_first_pool()
    {
        for (int i = 0; i < 4; ++i)
        {
            pool.remove_worker("w" + std::to_string(i), true);
        }
    }
    void check_completed(submission_id id)
    {
        BOOST_TEST((pool.phase(id) == submission_phase::completed), name_of(id) << " is unfinished");
    }
};
using cell = two_pool_cell<>;
} // namespace

// ---------------------------------------------------------------------------------------------------------
// A queue is sent to another pool
// ---------------------------------------------------------------------------------------------------------

// Guards against accepted work that stays with the pool that its queue had: its workers are gone for good,
// and the tasks that ran there or waited never start again.
BOOST_FIXTURE_TEST_CASE(work_of_a_lost_pool_follows_its_queue, cell)
{
    for (const char* queue : {"plain", "batch", "urgent"})
    {
        pool.submit(queue, {make_step(2, 4000, 2000)});
    }
    const submission_id gang = pool.submit("gangs", {make_step(3, 4000, 2000, true)});
    pool.run(milliseconds(500));
    BOOST_REQUIRE(starts_in("pool") == 9U);
    remove_first_pool();
    pool.run(seconds(1));
    for (const char* queue : {"plain", "batch", "urgent", "gangs"})
    {
        pool.send_queue(queue, "reserve");
    }
    pool.run(seconds(20));
    for (const auto& [id, owner] : pool.state().submissions())
    {
        check_completed(id);
    }
    check_completed(gang);
    BOOST_TEST(starts_in("reserve") == 9U);
    check_invariants(pool);
}

// Guards against stopping or repeating what runs: a move of the queue is planned work and must not cost any.
BOOST_FIXTURE_TEST_CASE(running_tasks_end_where_they_run, cell)
{
    const submission_id id = pool.submit("batch", {make_step(6, whole_host, 2000)});
    pool.run(milliseconds(500));
    BOOST_REQUIRE(starts_in("pool") == 4U);
    pool.send_queue("batch", "reserve");
    pool.run(milliseconds(300));
    BOOST_TEST(starts_in("reserve") == 2U); // those that waited start at once
    pool.run(seconds(4));
    check_completed(id);
    BOOST_TEST(starts_in("pool") == 4U);
    BOOST_TEST(starts_in("reserve") == 2U);
    check_invariants(pool);
}

// Guards against a submission that can only run in one pool from its first to its last step.
BOOST_FIXTURE_TEST_CASE(steps_of_one_submission_run_in_two_pools, cell)
{
    step_spec second = make_step(2, 4000, 500);
    second.after = {0};
    const submission_id id = pool.submit("batch", {make_step(2, 4000, 1000), second});
    pool.run(milliseconds(500));
    pool.send_queue("batch", "reserve");
    pool.run(seconds(3));
    check_completed(id);
    BOOST_TEST(starts_in("pool") == 2U);
    BOOST_TEST(starts_in("reserve") == 2U);
    check_invariants(pool);
}

// Guards against capacity in the former pool that stays held for a gang that can no longer start there.
BOOST_FIXTURE_TEST_CASE(a_gang_that_gathers_moves_and_frees_what_it_held, cell)
{
    pool.submit("plain", {make_step(2, whole_host, 4000)});
    pool.run(milliseconds(300));
    const submission_id gang = pool.submit("gangs", {make_step(4, whole_host, 500, true)});
    pool.run(seconds(1));
    pool.send_queue("gangs", "reserve");
    const submission_id later = pool.submit("plain", {make_step(2, whole_host, 500)});
    pool.run(milliseconds(1500));
    check_completed(gang);
    check_completed(later);
    BOOST_TEST(starts_in("reserve") == 4U);
    check_invariants(pool);
}

// Guards against a move that is final: the former pool's workers are back before the new one has any.
BOOST_FIXTURE_TEST_CASE(a_queue_that_is_sent_back_runs_in_its_first_pool, cell)
{
    for (int i = 4; i < 8; ++i)
    {
        pool.remove_worker("w" + std::to_string(i), true);
    }
    pool.run(seconds(1));
    pool.send_queue("batch", "reserve");
    const submission_id id = pool.submit("batch", {make_step(4, 4000, 500)});
    pool.run(seconds(2));
    BOOST_REQUIRE(starts_in("pool") == 0U);
    pool.send_queue("batch", "pool");
    pool.run(seconds(2));
    check_completed(id);
    check_invariants(pool);
}

// Guards against runs that are lost with the pool's entry in the configuration: its workers are still there.
BOOST_FIXTURE_TEST_CASE(runs_end_in_a_pool_that_is_no_longer_configured, cell)
{
    const submission_id id = pool.submit("batch", {make_step(4, 4000, 3000)});
    pool.run(milliseconds(500));
    for (const char* queue : {"plain", "batch", "urgent", "gangs"})
    {
        pool.send_queue(queue, "reserve");
    }
    pool.remove_pool("pool");
    pool.run(milliseconds(500));
    pool.report("w0", true); // planned work in the former pool: its leaving still has to be acknowledged
    pool.run(seconds(4));
    check_completed(id);
    BOOST_TEST(starts_in("pool") == 4U);
    BOOST_TEST(pool.state().find_id("w0")->leaving);
    check_invariants(pool);
}

// Guards against a new leader, or a replica that starts from a snapshot, that goes by the pool of acceptance.
BOOST_FIXTURE_TEST_CASE(the_next_leader_follows_the_queue_too, cell)
{
    const submission_id id = pool.submit("batch", {make_step(6, whole_host, 1000)});
    pool.run(milliseconds(300));
    pool.send_queue("batch", "reserve");
    pool.stop_leader();
    remove_first_pool();
    BOOST_REQUIRE(pool.state().load(pool.state().save()));
    pool.run(seconds(1));
    pool.start_leader();
    pool.run(seconds(20));
    check_completed(id);
    check_invariants(pool);
}

// Guards against replicas that disagree: the end of a run is applied by each, also by one of an earlier
// release, so the number of attempts stays that of the acceptance.
BOOST_FIXTURE_TEST_CASE(attempts_stay_those_of_the_acceptance, cell)
{
    const submission_id id = pool.submit("plain", {make_step(1, 4000, 500)});
    pool.failing_submissions.insert(id);
    pool.run(milliseconds(50)); // accepted
    pool.change_configuration(
        [](cluster_configuration& next)
        {
            for (queue_spec& queue : next.queues)
            {
                queue.max_attempts = 9;
            }
        });
    pool.run(seconds(5));
    BOOST_TEST((pool.phase(id) == submission_phase::failed));
    BOOST_TEST(pool.starts_of(task_ref{{id, round_id{0}, 0}, 0}) == 2U);
    check_invariants(pool);
}

// ---------------------------------------------------------------------------------------------------------
// A queue is removed
// ---------------------------------------------------------------------------------------------------------

// Guards against starts without tickets, which workers refuse for ever: an accepted submission needs what its
// queue said of the advisor, its priority and its pool until it ends.
BOOST_FIXTURE_TEST_CASE(work_of_a_removed_queue_completes, cell)
{
    step_spec second = make_step(2, 4000, 500);
    second.after = {0};
    const submission_id steps = pool.submit("batch", {make_step(2, 4000, 1000), second});
    const submission_id gang = pool.submit("gangs", {make_step(2, 4000, 1000, true), second});
    pool.run(milliseconds(500));
    pool.remove_queue("batch");
    pool.remove_queue("gangs");
    pool.run(seconds(4));
    check_completed(steps);
    check_completed(gang);
    check_invariants(pool);
}

// Guards against the same where a task has to start again, under the next leader and from a snapshot.
BOOST_FIXTURE_TEST_CASE(lost_runs_of_a_removed_queue_start_again, cell)
{
    const submission_id id = pool.submit("batch", {make_step(8, 4000, 2000)});
    pool.run(milliseconds(500));
    pool.remove_queue("batch");
    for (const char* worker : {"w0", "w1"})
    {
        pool.remove_worker(worker, true);
    }
    pool.run(milliseconds(500));
    pool.stop_leader();
    BOOST_REQUIRE(pool.state().load(pool.state().save()));
    pool.start_leader();
    pool.run(seconds(20));
    check_completed(id);
    check_invariants(pool);
}

// Guards against a gang that has gathered part of its hosts and then never gets tickets for them.
BOOST_FIXTURE_TEST_CASE(a_gang_that_gathers_starts_after_its_queue_is_removed, cell)
{
    pool.submit("plain", {make_step(2, whole_host, 2000)});
    pool.run(milliseconds(300));
    const submission_id gang = pool.submit("gangs", {make_step(4, whole_host, 500, true)});
    pool.run(milliseconds(500));
    pool.remove_queue("gangs");
    pool.run(seconds(4));
    check_completed(gang);
    check_invariants(pool);
}

// Guards against former settings that outlive a queue's return, or the last submission that needs them.
BOOST_FIXTURE_TEST_CASE(a_queue_that_returns_has_its_new_settings, cell)
{
    const submission_id id = pool.submit("batch", {make_step(5, whole_host, 1000)});
    pool.run(milliseconds(500));
    pool.remove_queue("batch");
    const submission& owner = *pool.state().find(id);
    BOOST_REQUIRE(pool.state().queue_of(owner) != nullptr);
    BOOST_TEST(pool.state().find_queue("batch") == nullptr);
    accept_submission late;
    late.id = submission_id{7};
    late.queue = "batch";
    late.spec.steps = {make_step(1, 1000, 100)};
    BOOST_TEST(pool.state().apply(0, late).code == static_cast<std::int32_t>(workload_code::unknown_queue));
    pool.restore_queue("batch", "reserve");
    BOOST_TEST(pool.state().pool_of(owner) == "reserve");
    pool.run(milliseconds(300));
    BOOST_TEST(starts_in("reserve") == 1U);
    pool.remove_queue("batch");
    pool.run(seconds(3));
    check_completed(id);
    BOOST_TEST(pool.state().queue_of(owner) == nullptr);
    check_invariants(pool);
}

// Guards against a snapshot that cannot be read: one of an earlier release has no removed queues. What waits
// then goes by the pool of the acceptance.
BOOST_FIXTURE_TEST_CASE(a_snapshot_without_removed_queues_is_read, cell)
{
    const submission_id id = pool.submit("batch", {make_step(5, whole_host, 1000)});
    pool.run(milliseconds(500));
    pool.remove_queue("batch");
    const std::string saved = pool.state().save();
    const msgpack::object_handle whole = msgpack::unpack(saved.data(), saved.size());
    msgpack::sbuffer earlier;
    msgpack::packer<msgpack::sbuffer> packer(earlier);
    const std::uint32_t fields = whole.get().via.array.size - 2; // without removed and moved queues
    packer.pack_array(fields);
    for (std::uint32_t i = 0; i < fields; ++i)
    {
        packer.pack(whole.get().via.array.ptr[i]);
    }
    BOOST_REQUIRE(pool.state().load({earlier.data(), earlier.size()}));
    const submission& owner = *pool.state().find(id);
    BOOST_TEST(pool.state().queue_of(owner) == nullptr);
    BOOST_TEST(pool.state().pool_of(owner) == "pool");
}

// Guards against a move that is missed because the queue was absent from one version in between.
BOOST_AUTO_TEST_CASE(a_queue_that_comes_back_elsewhere_has_moved)
{
    queue_pools pools;
    cluster_configuration held;
    bool has_work = true;
    const auto update = [&](std::vector<std::pair<std::string, std::string>> queues)
    {
        ++held.version;
        held.queues.clear();
        for (const auto& [name, pool] : queues)
        {
            held.queues.emplace_back();
            held.queues.back().name = name;
            held.queues.back().path_prefix = name;
            held.queues.back().pool = pool;
        }
        return pools.update(held,
                            [&has_work](const std::string&)
                            {
                                return has_work;
                            });
    };
    using moves = std::vector<queue_move>;
    BOOST_TEST((update({{"a", "x"}, {"b", "x"}}) == moves{}));
    BOOST_TEST((update({{"a", "y"}, {"b", "x"}}) == moves{{"a", "x", "y"}}));
    BOOST_TEST((update({{"b", "x"}}) == moves{}));
    BOOST_TEST((update({{"a", "x"}, {"b", "x"}}) == moves{{"a", "y", "x"}}));
    has_work = false;
    BOOST_TEST((update({{"b", "x"}}) == moves{}));
    BOOST_TEST((update({{"a", "y"}, {"b", "x"}}) == moves{}));
}

// ---------------------------------------------------------------------------------------------------------
// Random changes
// ---------------------------------------------------------------------------------------------------------

namespace
{
// Queues move, workers of either pool are lost for good or cut off, leaders change, freeze or lose orders. In
// the end all queues are sent to a pool with live workers.
class random_queue_day
{
  public:
    random_queue_day(std::uint64_t seed, bool removes)
        : m_pool(two_pools(12, seed)), m_random(seed * 104'729), m_removes(removes)
    {
        m_pool.start_leader();
        m_pool.run(seconds(1));
        for (int step = 0; step < 60; ++step)
        {
            act();
            m_pool.run(milliseconds(static_cast<std::int64_t>(draw(400))));
        }
        end();
    }

    const faulty_leader_pool& pool() const
    {
        return m_pool;
    }
    const std::vector<submission_id>& submissions() const
    {
        return m_submissions;
    }

  private:
    std::uint64_t draw(std::uint64_t below)
    {
        return m_random() % below;
    }
    std::string draw_queue()
    {
        return std::vector<std::string>{"plain", "batch", "urgent", "gangs"}[draw(4)];
    }
    std::string draw_pool()
    {
        return draw(2) == 0 ? "pool" : "reserve";
    }
    void act()
    {
        const std::string worker = "w" + std::to_string(draw(12));
        switch (draw(10))
        {
        case 0:
        case 1:
            change_queue();
            break;
        case 2:
            m_pool.stop_leader();
            m_pool.run(milliseconds(static_cast<std::int64_t>(draw(800))));
            m_pool.start_leader();
            break;
        case 3:
            m_pool.freeze_leader(milliseconds(static_cast<std::int64_t>(draw(1500))));
            break;
        case 4:
            m_pool.isolate_worker(worker, milliseconds(static_cast<std::int64_t>(draw(3000))));
            break;
        case 5:
            m_pool.faults(worker).late = draw(2) == 0 ? 0.4 : 0.0;
            break;
        case 6:
            if (m_removed.size() < 4 && m_removed.insert(worker).second)
            {
                m_pool.remove_worker(worker, draw(2) == 0);
            }
            break;
        default:
            submit();
        }
    }
    void change_queue()
    {
        const std::string queue = draw_queue();
        if (!m_pool.state().find_queue(queue))
        {
            m_pool.restore_queue(queue, draw_pool());
        }
        else if (m_removes && draw(2) == 0)
        {
            m_pool.remove_queue(queue);
        }
        else
        {
            m_pool.send_queue(queue, draw_pool());
        }
    }
    void submit()
    {
        const std::string queue = draw_queue();
        if (!m_pool.state().find_queue(queue))
        {
            return;
        }
        step_spec first = make_step(2 + static_cast<std::uint32_t>(draw(4)), 3000, 600, queue == "gangs");
        step_spec second = make_step(2, 6000, 400);
        second.after = {0};
        m_submissions.push_back(m_pool.submit(queue, {first, second}));
    }
    void end()
    {
        for (const char* queue : {"plain", "batch", "urgent", "gangs"})
        {
            if (m_pool.state().find_queue(queue))
            {
                m_pool.send_queue(queue, draw_pool()); // at most four workers of twelve are gone
            }
        }
        m_pool.run(seconds(60));
    }

    faulty_leader_pool m_pool;
    std::mt19937_64 m_random;
    bool m_removes;
    std::vector<submission_id> m_submissions;
    std::set<std::string> m_removed;
};
} // namespace

namespace
{
void check_days(std::uint64_t first, std::uint64_t count, bool removes)
{
    for (std::uint64_t seed = first; seed < first + count; ++seed)
    {
        const random_queue_day day(seed, removes);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            check_invariants(day.pool());
            for (const submission_id id : day.submissions())
            {
                if (removes && day.pool().state().find(id) == nullptr)
                {
                    continue; // refused: its queue was removed while it was being accepted
                }
                BOOST_TEST((day.pool().phase(id) == submission_phase::completed), name_of(id)
                                                                                      << " is unfinished");
            }
        }
    }
}
} // namespace

// Guards against work that stands still or starts in the wrong pool when moves meet other faults.
BOOST_AUTO_TEST_CASE(random_moves_lose_no_work)
{
    check_days(first_seed(), seed_count(150, 40), false);
}

// Guards against the same where queues are removed, stay away or come back elsewhere while work of them
// waits.
BOOST_AUTO_TEST_CASE(random_removals_lose_no_work)
{
    check_days(first_seed(), seed_count(150, 40), true);
}

// Guards against a lost worker that is never dropped. Its host refuses connections, so that its polls fail
// every 200 ms, while the polls of the others, all idle, are answered once a second and at the same moment.
BOOST_AUTO_TEST_CASE(a_worker_lost_while_all_others_are_idle_is_dropped)
{
    check_days(3495, 1, false);
    check_days(4740, 1, false);
}
