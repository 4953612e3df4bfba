#define BOOST_TEST_MODULE worker_lease
#include <boost/test/unit_test.hpp>

#include <walkthread/dispatch/worker_lease.hpp>

using namespace walkthread;

namespace
{
constexpr double drift = 0.02;
constexpr monotonic_time start{seconds(100)};
constexpr milliseconds longest{10000};
constexpr milliseconds usual{4500};
} // namespace

// A worker that nobody has granted a lease was waited for.
BOOST_AUTO_TEST_CASE(without_any_grant_a_lease_has_expired)
{
    const worker_lease lease(foreign_leases{start, milliseconds{0}});
    BOOST_TEST(lease.surely_expired(start, drift));
}

// Until the first answer, late orders for a former incarnation still count, whatever the leader granted.
BOOST_AUTO_TEST_CASE(before_the_first_answer_a_lease_lasts_until_late_orders_and_their_leases_end)
{
    worker_lease lease(foreign_leases{start + seconds(22), longest});
    lease.update_clock(500, start);
    lease.grant(start, usual);
    BOOST_TEST(!lease.surely_expired(start + seconds(21), drift));
    BOOST_TEST(lease.surely_expired(start + seconds(22), drift));
}

// The worker was given up after the usual lease while a late order had given it the longest.
BOOST_AUTO_TEST_CASE(after_the_first_answer_a_lease_lasts_for_the_longest_one)
{
    worker_lease lease(foreign_leases{start + seconds(22), longest});
    lease.update_clock(500, start);
    lease.record_fenced(500);
    lease.grant(start, usual);
    BOOST_TEST(lease.latest_end_ms() == 10500);
    BOOST_TEST(!lease.surely_expired(start + longest, drift));
    BOOST_TEST(lease.surely_expired(start + milliseconds(10210), drift));
}

// Only orders executed before the first answer may have granted the longest lease.
BOOST_AUTO_TEST_CASE(later_answers_extend_nothing)
{
    worker_lease lease(foreign_leases{start, longest});
    lease.update_clock(0, start);
    lease.record_fenced(0);
    lease.update_clock(9000, start + seconds(9));
    lease.record_fenced(9000);
    BOOST_TEST(lease.latest_end_ms() == 10000);
    lease.grant(start + seconds(9), usual);
    BOOST_TEST(lease.latest_end_ms() == 13500);
}

// The clock may run slow: a lease that ends by the estimate may still hold.
BOOST_AUTO_TEST_CASE(a_slow_clock_prolongs_a_lease)
{
    worker_lease lease(foreign_leases{start, milliseconds{0}});
    lease.update_clock(0, start);
    lease.record_fenced(0);
    lease.grant(start, usual);
    BOOST_TEST(!lease.surely_expired(start + milliseconds(4550), drift));
    BOOST_TEST(lease.surely_expired(start + milliseconds(4600), drift));
}

// Orders for a former incarnation, and those of an earlier leader for a newer incarnation, must be refused.
BOOST_AUTO_TEST_CASE(tokens_rise_with_each_incarnation_and_with_each_term)
{
    const auto token = [](std::uint64_t term, std::uint32_t number)
    {
        return fencing_token(term, worker_incarnation_id{number});
    };
    BOOST_TEST(token(3, 7) < token(3, 8));
    BOOST_TEST(token(3, 4'000'000'000) < token(4, 1));
    BOOST_TEST(token((1U << 21U) - 1, 4'294'967'295) < (std::uint64_t{1} << 53U));
}
