#define BOOST_TEST_MODULE cordons
#include <boost/test/unit_test.hpp>

#include <walkthread/wire/codec.hpp>

#include "faulty_leader_pool.hpp"
#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr std::size_t halls = 4;

pool_settings settings_with_halls(std::size_t workers, std::uint64_t seed = 1)
{
    pool_settings settings = small_pool_settings(workers);
    settings.halls = halls;
    settings.seed = seed;
    return settings;
}

std::size_t starts_in(const simulated_pool& pool, const std::string& hall)
{
    std::size_t sum = 0;
    for (const auto& [incarnation, worker] : pool.workers())
    {
        sum += worker.description.hall == hall ? worker.starts : 0;
    }
    return sum;
}
} // namespace

// ---------------------------------------------------------------------------------------------------------
// Replicated state
// ---------------------------------------------------------------------------------------------------------

// A repeated request must not change since when a hall is cordoned, and two operators at once must not cordon
// the last two halls: no work could start anywhere.
BOOST_AUTO_TEST_CASE(cordons_are_idempotent_and_leave_one_hall)
{
    workload_state state;
    const std::vector<std::string> both{"north", "south"};
    BOOST_TEST(state.apply(100, set_hall_cordon{"north", true, "edge-1", both}).code == 0);
    BOOST_TEST(state.apply(200, set_hall_cordon{"north", true, "edge-2", both}).code == 0);
    BOOST_TEST((state.cordons().all().at("north") == hall_cordon{100, "edge-1"}));
    const workload_result last = state.apply(300, set_hall_cordon{"south", true, "edge-2", both});
    BOOST_TEST(last.code == static_cast<std::int32_t>(workload_code::last_hall));
    BOOST_TEST(!state.cordons().contains("south"));
    BOOST_TEST(state.apply(400, set_hall_cordon{"north", false, "edge-1", both}).code == 0);
    BOOST_TEST(state.apply(500, set_hall_cordon{"north", false, "edge-1", both}).code == 0);
    BOOST_TEST(state.cordons().all().empty());
}

// A replica that restarts from a snapshot, or joins, must know the cordons: its disk may be the only one
// left. A snapshot of an earlier version has none.
BOOST_AUTO_TEST_CASE(a_snapshot_holds_the_cordons)
{
    workload_state state;
    state.apply(100, set_hall_cordon{"north", true, "edge-1", {"north", "south"}});
    workload_state restored;
    BOOST_REQUIRE(restored.load(state.save()));
    BOOST_TEST((restored.cordons().all() == state.cordons().all()));
}

// ---------------------------------------------------------------------------------------------------------
// Starts
// ---------------------------------------------------------------------------------------------------------

// The state machine itself rejects a start in a cordoned hall: a leader may have planned it just before.
BOOST_AUTO_TEST_CASE(a_start_in_a_cordoned_hall_is_not_recorded)
{
    simulated_pool pool(settings_with_halls(4));
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id id = pool.submit("plain", {make_step(1, 1000, 300)});
    pool.stop_leader();
    pool.run(milliseconds(100));
    BOOST_REQUIRE(pool.cordon("hall0", true));
    const worker_incarnation& worker = *pool.state().find_id("w0");
    pool.state().apply(0, record_starts{{planned_start{task_ref{{id, round_id{0}, 0}, 0}, 1, worker.id}}});
    BOOST_TEST(worker.occupied.empty());
}

// Work that runs in the hall ends there, new work goes to the other halls, and the hall gets work again once
// the cordon is lifted.
BOOST_AUTO_TEST_CASE(a_cordoned_hall_finishes_its_work_and_gets_none)
{
    simulated_pool pool(settings_with_halls(4));
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id before = pool.submit("plain", {make_step(4, 16'000, 2000)});
    pool.run(milliseconds(300));
    BOOST_REQUIRE(pool.running_on("w0") == 1U);
    BOOST_REQUIRE(pool.cordon("hall0", true));
    const submission_id during = pool.submit("plain", {make_step(6, 16'000, 500)});
    pool.run(seconds(6));
    BOOST_TEST(pool.starts_on("w0") == 1U);
    BOOST_TEST((pool.phase(before) == submission_phase::completed));
    BOOST_TEST((pool.phase(during) == submission_phase::completed));
    BOOST_REQUIRE(pool.cordon("hall0", false));
    pool.submit("plain", {make_step(4, 16'000, 500)});
    pool.run(seconds(2));
    BOOST_TEST(pool.starts_on("w0") == 2U);
    check_invariants(pool);
}

// A start order was unanswered when its hall was cordoned. Sent again, it would start a task after the
// acknowledgement; it has to be stopped, and the task to start in another hall.
BOOST_AUTO_TEST_CASE(an_unanswered_order_is_not_sent_again_to_a_cordoned_hall)
{
    simulated_pool pool(settings_with_halls(4));
    pool.start_leader();
    pool.run(seconds(1));
    pool.faults("w0").late = 1.0;
    const submission_id id = pool.submit("plain", {make_step(4, 16'000, 300)});
    pool.run(milliseconds(100));
    pool.faults("w0").late = 0.0;
    BOOST_REQUIRE(pool.cordon("hall0", true));
    pool.run(seconds(10));
    check_invariants(pool);
    BOOST_TEST(pool.starts_on("w0") == 0U);
    BOOST_TEST((pool.phase(id) == submission_phase::completed));
}

// A gang had gathered half of its hosts in a hall that is then cordoned. It must gather others, and what it
// held must not stay idle in the hall.
BOOST_AUTO_TEST_CASE(a_gang_gathered_in_a_cordoned_hall_starts_elsewhere)
{
    pool_settings settings = settings_with_halls(8);
    settings.good_share = 1.0;
    simulated_pool pool(settings);
    pool.start_leader();
    pool.run(seconds(1));
    pool.submit("plain", {make_step(4, 16'000, 3000)});
    pool.run(milliseconds(500));
    const submission_id gang = pool.submit("gangs", {make_step(6, 16'000, 500, true)});
    pool.run(seconds(1));
    std::string hall;
    for (const auto& [incarnation, worker] : pool.workers())
    {
        hall = worker.running.empty() ? worker.description.hall : hall;
    }
    const std::size_t before = starts_in(pool, hall);
    BOOST_REQUIRE(pool.cordon(hall, true));
    pool.run(seconds(8));
    BOOST_TEST((pool.phase(gang) == submission_phase::completed));
    BOOST_TEST(starts_in(pool, hall) == before);
    check_invariants(pool);
}

// ---------------------------------------------------------------------------------------------------------
// Faults
// ---------------------------------------------------------------------------------------------------------

// The leader is lost, frozen or cut off from workers right after a cordon was acknowledged or lifted, with
// orders in flight: whoever leads then starts nothing in a cordoned hall, and all work is done in the end.
BOOST_AUTO_TEST_CASE(random_cordons_hold_whoever_leads)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(150, 40); ++seed)
    {
        faulty_leader_pool pool(settings_with_halls(12, seed));
        std::mt19937_64 random(seed * 104'729);
        const auto draw = [&random](std::uint64_t below)
        {
            return random() % below;
        };
        std::vector<submission_id> all;
        pool.start_leader();
        pool.run(seconds(1));
        for (int step = 0; step < 80; ++step)
        {
            const std::string worker = "w" + std::to_string(draw(12));
            switch (draw(8))
            {
            case 0:
            case 1:
                static_cast<void>(pool.cordon("hall" + std::to_string(draw(halls)), draw(3) != 0));
                if (draw(2) == 0)
                {
                    pool.stop_leader();
                    pool.run(milliseconds(static_cast<std::int64_t>(draw(800))));
                    pool.start_leader();
                }
                break;
            case 2:
                pool.freeze_leader(milliseconds(static_cast<std::int64_t>(draw(1500))));
                break;
            case 3:
                pool.isolate_worker(worker, milliseconds(static_cast<std::int64_t>(draw(3000))));
                break;
            case 4:
                pool.faults(worker).late = draw(2) == 0 ? 0.4 : 0.0;
                break;
            case 5:
                all.push_back(pool.submit("gangs", {make_step(4, 6000, 600, true)}));
                break;
            default:
                all.push_back(pool.submit("plain", {make_step(6, 3000, 400)}));
            }
            pool.run(milliseconds(static_cast<std::int64_t>(draw(400))));
        }
        for (std::size_t i = 0; i < halls; ++i)
        {
            static_cast<void>(pool.cordon("hall" + std::to_string(i), false));
        }
        pool.run(seconds(40));
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            check_invariants(pool);
            for (const submission_id id : all)
            {
                BOOST_TEST((pool.phase(id) == submission_phase::completed), name_of(id) << " is unfinished");
            }
        }
    }
}
