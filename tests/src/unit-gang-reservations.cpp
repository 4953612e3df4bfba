#define BOOST_TEST_MODULE gang_reservations
#include <boost/test/unit_test.hpp>

#include <limits>

#include <walkthread/dispatch/capacity_forecast.hpp>
#include <walkthread/dispatch/gang_reservations.hpp>

using namespace walkthread;

namespace
{
constexpr resources pool{320'000, 1'310'720, 0, 0};
constexpr resources tenth{32'000, 10'000, 0, 0};
constexpr reservation_settings settings{};

std::uint32_t slots_of_4_cores(const resources& room)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(room.cpu, 0) / 4000);
}
} // namespace

// Guards against choosing a host that has capacity later over hosts that are nearly free.
BOOST_AUTO_TEST_CASE(the_hosts_with_earliest_capacity_are_reserved)
{
    const auto found = choose_earliest_hosts({{worker_incarnation_id{1}, {0, 900}, false},
                                              {worker_incarnation_id{2}, {300, 400}, false},
                                              {worker_incarnation_id{3}, {5000}, false}},
                                             3);
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->tasks.at(worker_incarnation_id{1}) == 1U);
    BOOST_TEST(found->tasks.at(worker_incarnation_id{2}) == 2U);
    BOOST_TEST(!found->tasks.contains(worker_incarnation_id{3}));
    BOOST_TEST(found->ready_ms == 400.0);
}

// Inaccurate forecasts moved a reservation from host to host, and small work filled the hosts it had left.
BOOST_AUTO_TEST_CASE(a_reservation_stays_where_it_is_unless_another_host_is_much_sooner)
{
    const auto choose = [](double other_ms)
    {
        return choose_earliest_hosts(
            {{worker_incarnation_id{1}, {other_ms}, false}, {worker_incarnation_id{2}, {1000}, true}}, 1);
    };
    BOOST_TEST(choose(700)->tasks.contains(worker_incarnation_id{2}));
    BOOST_TEST(choose(400)->tasks.contains(worker_incarnation_id{1}));
}

// With capacity on all hosts at once, the reservation moved to the hosts that were freed last, for which
// there were no tickets.
BOOST_AUTO_TEST_CASE(a_reservation_with_free_capacity_stays_where_it_is)
{
    const auto found = choose_earliest_hosts(
        {{worker_incarnation_id{1}, {0, 0}, false}, {worker_incarnation_id{2}, {0, 0}, true}}, 2);
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->tasks.at(worker_incarnation_id{2}) == 2U);
}

// A gang that can never fit held capacity permanently and blocked the gangs behind it.
BOOST_AUTO_TEST_CASE(nothing_is_reserved_where_not_all_tasks_ever_fit)
{
    BOOST_TEST(!choose_earliest_hosts({{worker_incarnation_id{1}, {0, 900}, false}}, 3).has_value());
    BOOST_TEST(!choose_earliest_hosts({}, 1).has_value());
}

BOOST_AUTO_TEST_CASE(the_first_gang_gets_a_reservation_of_any_size)
{
    reservation_review review(settings, pool, pool);
    BOOST_TEST(review.admits(pool, true, 60'000));
}

// All capacity of a busy pool was reserved for waiting gangs and stayed idle.
BOOST_AUTO_TEST_CASE(a_busy_pool_reserves_a_quarter_of_its_capacity_for_gangs)
{
    reservation_review review(settings, pool, pool);
    std::size_t gangs = 0;
    for (; review.admits(tenth, false, 500); ++gangs)
    {
        review.add(tenth, false);
    }
    BOOST_TEST(gangs == 2U);
}

BOOST_AUTO_TEST_CASE(a_busy_pool_reserves_capacity_for_one_late_gang_at_a_time)
{
    reservation_review review(settings, pool, pool);
    review.add(tenth, true);
    BOOST_TEST(!review.admits(tenth, true, 500));
    BOOST_TEST(review.admits(tenth, false, 500));
}

// Late gangs got reservations one after another although most of the pool was idle.
BOOST_AUTO_TEST_CASE(an_idle_pool_reserves_capacity_for_all_gangs_that_fit)
{
    reservation_review review(settings, pool, tenth);
    std::size_t gangs = 0;
    for (; review.admits(tenth, true, 500); ++gangs)
    {
        review.add(tenth, true);
    }
    BOOST_TEST(gangs == 10U);
}

BOOST_AUTO_TEST_CASE(capacity_that_is_free_now_may_always_be_reserved)
{
    reservation_review review(settings, pool, pool);
    review.add(pool, true);
    BOOST_TEST(review.admits(tenth, true, 0));
}

BOOST_AUTO_TEST_CASE(gangs_wait_less_for_a_reservation_on_an_idle_pool)
{
    const reservation_review idle(settings, pool, tenth);
    const reservation_review busy(settings, pool, pool);
    BOOST_TEST(idle.has_waited_enough(settings.after_idle));
    BOOST_TEST(!busy.has_waited_enough(settings.after_idle));
    BOOST_TEST(busy.has_waited_enough(settings.after));
}

// Small work that ran past the due time delayed the gang repeatedly.
BOOST_AUTO_TEST_CASE(only_runs_that_end_well_before_the_due_time_may_backfill)
{
    const monotonic_time now{seconds(100)};
    BOOST_TEST(may_backfill(1000, now + milliseconds(1600), now, settings));
    BOOST_TEST(!may_backfill(1000, now + milliseconds(1400), now, settings));
    BOOST_TEST(!may_backfill(0.0, now - milliseconds(1), now, settings));
    BOOST_TEST(!may_backfill(std::numeric_limits<double>::infinity(), now + seconds(60), now, settings));
}

BOOST_AUTO_TEST_CASE(times_until_tasks_fit_follow_the_ends_of_runs)
{
    const std::vector<run_forecast> runs{
        {{6000, 0, 0, 0}, 900.0}, {{4000, 0, 0, 0}, 200.0}, {{8000, 0, 0, 0}, {}}};
    const std::vector<double> expected{0.0, 200.0, 900.0};
    const std::vector<double> times = times_until_slots_fit({4000, 0, 0, 0}, runs, slots_of_4_cores, 4);
    BOOST_TEST(times == expected, boost::test_tools::per_element());
    BOOST_TEST(times_until_slots_fit({-9000, 0, 0, 0}, runs, slots_of_4_cores, 4).empty());
}
