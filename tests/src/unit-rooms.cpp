#define BOOST_TEST_MODULE rooms
#include <boost/test/unit_test.hpp>

#include <random>

#include <walkthread/dispatch/freed_capacity_log.hpp>
#include <walkthread/dispatch/host_table.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
// Hosts of two pools as seen by a leader.
struct host_table_fixture
{
    host_table_fixture()
    {
        for (std::uint32_t i = 0; i < 6; ++i)
        {
            admit(i, i < 4 ? "a" : "b");
        }
        table.begin_pass(now);
    }
    void admit(std::uint32_t number, const std::string& pool)
    {
        const std::string name = "w" + std::to_string(number);
        state.apply(0, admit_worker{{name, "h" + name, name + ":1", pool, "hall", {}, {16000, 65536, 0, 0}}});
        worker_view& view = views[state.find_id(name)->id];
        view.answered = true;
        view.contact = worker_contact(now);
    }
    [[nodiscard]] worker_incarnation_id id(std::uint32_t number) const
    {
        return state.find_id("w" + std::to_string(number))->id;
    }

    monotonic_time now{seconds(100)};
    workload_state state;
    std::map<worker_incarnation_id, worker_view> views;
    dispatch_settings settings;
    std::set<std::string> closed;
    host_table table{state, views, settings, closed};
};
} // namespace

BOOST_FIXTURE_TEST_CASE(held_capacity_is_open_but_not_free, host_table_fixture)
{
    table.hold(id(1), {4000, 1000, 0, 0});
    table.hold(id(1), {4000, 1000, 0, 0});
    BOOST_TEST(table.find(id(1))->open.cpu == 16000);
    BOOST_TEST(table.find(id(1))->free.cpu == 8000);
    table.release(id(1), {4000, 1000, 0, 0});
    BOOST_TEST(table.find(id(1))->free.cpu == 12000);
    table.release(id(1), {4000, 1000, 0, 0});
    BOOST_TEST(table.find(id(1))->free.cpu == 16000);
}

BOOST_FIXTURE_TEST_CASE(a_planned_start_counts_after_invalidation_and_in_the_next_pass, host_table_fixture)
{
    BOOST_TEST(table.find(id(2))->free.cpu == 16000);
    views[id(2)].planned += {3000, 0, 0, 0};
    table.invalidate(id(2));
    BOOST_TEST(table.find(id(2))->free.cpu == 13000);
    views[id(3)].planned += {3000, 0, 0, 0};
    table.begin_pass(now);
    BOOST_TEST(table.find(id(3))->free.cpu == 13000);
}

BOOST_FIXTURE_TEST_CASE(only_hosts_that_answer_and_stay_are_usable, host_table_fixture)
{
    BOOST_TEST(table.usable_in(table.number_of("a")) == 4U);
    BOOST_TEST(table.usable_in(table.number_of("b")) == 2U);
    BOOST_TEST(table.usable_in(table.number_of("nowhere")) == 0U);
    views[id(0)].answered = false;
    views[id(1)].draining = true;
    closed.insert("hw2");
    table.begin_pass(now);
    BOOST_TEST(table.usable_in(table.number_of("a")) == 1U);
}

BOOST_FIXTURE_TEST_CASE(the_next_pass_sees_added_and_removed_hosts, host_table_fixture)
{
    const worker_incarnation_id gone = id(0);
    state.apply(0, drop_worker{gone, true});
    views.erase(gone);
    admit(9, "b");
    table.begin_pass(now);
    BOOST_TEST(table.size() == 6U);
    BOOST_TEST(table.find(gone) == nullptr);
    BOOST_TEST(table.usable_in(table.number_of("b")) == 3U);
}

BOOST_AUTO_TEST_CASE(the_log_lists_each_host_once_or_reports_discarded_entries)
{
    freed_capacity_log freed(10);
    const std::uint64_t begin = freed.position();
    for (const std::uint32_t host : {3U, 1U, 3U})
    {
        freed.note(worker_incarnation_id{host});
    }
    BOOST_TEST((freed.since(begin) == std::vector{worker_incarnation_id{1}, worker_incarnation_id{3}}));
    BOOST_TEST(freed.since(freed.position())->empty());
    const std::uint64_t later = freed.position();
    for (std::uint32_t host = 0; host < 100; ++host)
    {
        freed.note(worker_incarnation_id{host});
    }
    BOOST_TEST(!freed.since(later).has_value());
    BOOST_TEST(freed.since(freed.position() - 10)->size() == 10U);
}

// Waiting work examines only hosts on which capacity was freed; it must still start as soon as it fits.
BOOST_AUTO_TEST_CASE(waiting_work_starts_when_capacity_is_freed)
{
    for (std::uint64_t seed = 1; seed <= seed_count(30); ++seed)
    {
        pool_settings settings = small_pool_settings(4);
        settings.seed = seed;
        settings.good_share = 1.0;
        simulated_pool pool(settings);
        pool.start_leader();
        pool.run(seconds(1));
        std::vector<submission_id> all;
        for (int i = 0; i < 10; ++i)
        {
            // 40 tasks, of which 16 fit at a time.
            all.push_back(pool.submit("batch", {make_step(4, 4000, 400)}));
        }
        pool.run(milliseconds(2500));
        for (const submission_id id : all)
        {
            BOOST_TEST((pool.phase(id) == submission_phase::completed));
        }
        check_invariants(pool);
    }
}
