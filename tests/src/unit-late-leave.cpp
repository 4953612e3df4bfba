#define BOOST_TEST_MODULE late_leave
#include <boost/test/unit_test.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr duration settle_time = seconds(1); // until leaders, polls and reports have reached a steady state

std::vector<submission_id> submit_many(simulated_pool& pool, int count, std::int64_t run_ms)
{
    std::vector<submission_id> out;
    for (int i = 0; i < count; ++i)
    {
        out.push_back(pool.submit("plain", {make_step(2, 2000, run_ms)}));
    }
    return out;
}

void check_completed(const simulated_pool& pool, const std::vector<submission_id>& all)
{
    for (const submission_id id : all)
    {
        BOOST_TEST(name_of(pool.phase(id)) == "completed", name_of(id) << " is " << name_of(pool.phase(id)));
    }
    check_invariants(pool);
}
} // namespace

// A leave of the former incarnation arrives while the present one is leaving: its tasks ran twice, here and
// elsewhere.
BOOST_AUTO_TEST_CASE(a_late_leave_does_not_drop_an_incarnation_that_is_leaving)
{
    simulated_pool pool(small_pool_settings(3));
    pool.start_leader();
    pool.run(settle_time);
    pool.restart("w0", milliseconds(300));
    pool.run(settle_time);
    const auto all = submit_many(pool, 9, 3000);
    pool.run(milliseconds(300));
    BOOST_REQUIRE(pool.running_on("w0") > 0U);
    pool.add_worker("w3", "h3");
    pool.report("w0", true, 10'000);
    pool.run(milliseconds(100));
    pool.leader().handle_leave("w0", [](bool) {});
    pool.run(seconds(15));
    check_completed(pool, all);
}
