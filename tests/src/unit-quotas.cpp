#define BOOST_TEST_MODULE quotas
#include <boost/test/unit_test.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr resources eight_cores{8000, 0, 0, 0};

pool_settings limited(std::size_t workers, const resources& limit)
{
    pool_settings settings = small_pool_settings(workers);
    settings.organisation_limit = limit;
    return settings;
}
} // namespace

BOOST_AUTO_TEST_CASE(an_organisation_at_its_limit_waits_and_others_do_not)
{
    simulated_pool pool(limited(8, eight_cores));
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id wide = pool.submit("plain", {make_step(40, 1000, 1000)}, "hens");
    const submission_id other = pool.submit("plain", {make_step(8, 1000, 1000)}, "geese");
    pool.run(milliseconds(600));
    BOOST_TEST(pool.running_resources_of("hens").cpu == 8000);
    BOOST_TEST(pool.running_resources_of("geese").cpu == 8000);
    pool.run(seconds(12));
    BOOST_TEST((pool.phase(wide) == submission_phase::completed));
    BOOST_TEST((pool.phase(other) == submission_phase::completed));
    check_invariants(pool);
}

// Capacity held for a gang that is blocked by its organisation's limit would be idle.
BOOST_AUTO_TEST_CASE(a_gang_that_waits_for_its_organisation_keeps_no_room_from_others)
{
    simulated_pool pool(limited(2, eight_cores));
    pool.start_leader();
    pool.run(seconds(1));
    pool.submit("plain", {make_step(8, 1000, 5000)}, "hens");
    pool.run(milliseconds(300));
    const submission_id gang = pool.submit("gangs", {make_step(2, 4000, 1000, true)}, "hens");
    pool.run(milliseconds(300));
    const submission_id other = pool.submit("plain", {make_step(8, 1000, 500)}, "geese");
    pool.run(seconds(2));
    BOOST_TEST((pool.phase(other) == submission_phase::completed));
    BOOST_TEST((pool.phase(gang) == submission_phase::queued));
    pool.run(seconds(8));
    BOOST_TEST((pool.phase(gang) == submission_phase::completed));
    check_invariants(pool);
}

// Starts sent by the previous leader whose execution nobody has seen count for the next leader.
BOOST_AUTO_TEST_CASE(a_new_leader_counts_inherited_starts)
{
    simulated_pool pool(limited(4, eight_cores));
    pool.start_leader();
    pool.run(seconds(1));
    pool.submit("plain", {make_step(30, 1000, 4000)}, "hens");
    pool.run(milliseconds(15)); // recorded, the orders are in transit
    pool.stop_leader();
    pool.run(milliseconds(500));
    pool.start_leader();
    for (int i = 0; i < 40; ++i)
    {
        pool.run(milliseconds(100));
        BOOST_TEST(pool.running_resources_of("hens").cpu <= 8000);
    }
    check_invariants(pool);
}

BOOST_AUTO_TEST_CASE(limits_that_are_lowered_and_raised_count_from_then_on)
{
    simulated_pool pool(limited(4, eight_cores));
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id wide = pool.submit("plain", {make_step(60, 1000, 400)}, "hens");
    pool.run(milliseconds(1500));
    pool.limit_organisations({2000, 0, 0, 0});
    pool.run(seconds(1));
    BOOST_TEST(pool.running_resources_of("hens").cpu <= 2000);
    pool.limit_organisations({16000, 0, 0, 0});
    std::int64_t most = 0;
    for (int i = 0; i < 10; ++i)
    {
        pool.run(milliseconds(50));
        most = std::max(most, pool.running_resources_of("hens").cpu);
    }
    BOOST_TEST(most > 8000);
    pool.run(seconds(20));
    BOOST_TEST((pool.phase(wide) == submission_phase::completed));
    check_invariants(pool);
}

// Randomized scenarios: two organisations, one of which submits ten times as much, changing limits, slow or
// unresponsive workers, and a leader change in one of 20 steps.
BOOST_AUTO_TEST_CASE(random_scenarios_keep_limits_and_finish)
{
    const std::uint64_t first = first_seed();
    for (std::uint64_t seed = first; seed < first + seed_count(60); ++seed)
    {
        pool_settings settings = limited(10, {40000, 0, 0, 0});
        settings.seed = seed;
        settings.good_share = 0.85;
        simulated_pool pool(settings);
        std::mt19937_64 random(seed * 3571);
        const auto draw = [&random](std::uint64_t below)
        {
            return random() % below;
        };
        pool.start_leader();
        pool.run(seconds(1));
        std::vector<submission_id> all;
        for (int step = 0; step < 80; ++step)
        {
            worker_faults& faults = pool.faults("w" + std::to_string(draw(10)));
            const std::string organisation = draw(11) == 0 ? "geese" : "hens";
            switch (draw(20))
            {
            case 0:
                pool.stop_leader();
                pool.run(milliseconds(300 + draw(2500)));
                pool.start_leader();
                break;
            case 1:
                pool.limit_organisations({static_cast<std::int64_t>(24000 + draw(60000)), 0, 0, 0});
                break;
            case 2:
                faults.late = 0.3;
                break;
            case 3:
                faults.unresponsive = !faults.unresponsive;
                break;
            case 4:
            case 5:
                all.push_back(pool.submit("gangs", {make_step(4, 4500, 1500, true)}, organisation));
                break;
            case 6:
            case 7:
                all.push_back(pool.submit("urgent", {make_step(2, 2500, 600)}, organisation));
                break;
            default:
                all.push_back(pool.submit("batch", {make_step(8, 1000, 900)}, organisation));
            }
            pool.run(milliseconds(draw(400)));
        }
        for (int i = 0; i < 10; ++i)
        {
            pool.faults("w" + std::to_string(i)) = worker_faults{};
        }
        pool.run(seconds(120));
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            check_invariants(pool);
            for (const submission_id id : all)
            {
                const submission* known = pool.state().find(id);
                BOOST_TEST((known == nullptr || known->final()), name_of(id)
                                                                     << " is " << name_of(pool.phase(id)));
            }
        }
    }
}
