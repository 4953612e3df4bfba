#define BOOST_TEST_MODULE lives
#include <boost/test/unit_test.hpp>

#include <string_view>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

// Reports of worker incarnations that arrive late: a later arrival does not make an incarnation newer.

namespace
{
// Fills one of two hosts with four tasks of 2.5 s.
submission_id fill_worker(simulated_pool& pool, const std::string& incarnation)
{
    pool.report("w1", true);
    const submission_id id = pool.submit("plain", {make_step(4, 4000, 2500)});
    pool.run(milliseconds(200));
    BOOST_TEST(pool.running_on(incarnation) == 4U);
    pool.report("w1", false);
    return id;
}

void check_started_once(simulated_pool& pool, submission_id id)
{
    BOOST_TEST((pool.phase(id) == submission_phase::completed));
    for (std::uint32_t i = 0; i < 4; ++i)
    {
        BOOST_TEST(pool.starts_of({{id, round_id{0}, 0}, i}) == 1U);
    }
    check_invariants(pool);
}
} // namespace

// The leader learns of the new incarnation first from the address itself and then from its report. After
// that, a report of the former incarnation arrives.
BOOST_AUTO_TEST_CASE(a_late_report_of_an_unreported_former_incarnation_is_ignored)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    pool.crash("w0", "w0-again", false);
    pool.run(seconds(4));
    pool.faults("w0-again").reports_lost = false;
    pool.report("w0-again", false);
    pool.run(seconds(1));
    const submission_id id = fill_worker(pool, "w0-again");
    pool.report("w0", false);
    pool.run(seconds(6));
    check_started_once(pool, id);
}

BOOST_AUTO_TEST_CASE(a_late_report_is_ignored_by_the_next_leader)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    pool.crash("w0", "w0-again", false);
    pool.run(seconds(4));
    pool.faults("w0-again").reports_lost = false;
    pool.report("w0-again", false);
    pool.run(seconds(1));
    const submission_id id = fill_worker(pool, "w0-again");
    pool.start_leader();
    pool.report("w0", false);
    pool.run(seconds(6));
    check_started_once(pool, id);
}

// The first report of a former incarnation arrives only after its successor has tasks.
BOOST_AUTO_TEST_CASE(a_delayed_first_report_is_ignored)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    pool.crash("w0", "w0-unheard", false);
    pool.crash("w0-unheard", "w0-again");
    pool.run(seconds(1));
    const submission_id id = fill_worker(pool, "w0-again");
    pool.report("w0-unheard", false);
    pool.run(seconds(6));
    check_started_once(pool, id);
}

// A worker was taken for gone and replaced, and its process runs on: each of its reports is confirmed by the
// process itself. It must neither end the work of its successor nor keep the successor from being polled.
BOOST_AUTO_TEST_CASE(a_replaced_incarnation_that_runs_on_is_ignored)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    pool.crash("w0", "w0-again");
    pool.run(seconds(4));
    const submission_id id = fill_worker(pool, "w0-again");
    pool.run_on("w0");
    for (int i = 0; i < 6; ++i)
    {
        pool.report("w0", false);
        pool.run(seconds(1));
    }
    check_started_once(pool, id);
    BOOST_TEST(pool.starts_on("w0") == 0U);
}

// An incarnation whose address does not answer yet must not replace the running one.
BOOST_AUTO_TEST_CASE(an_unresponsive_incarnation_replaces_none)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id id = fill_worker(pool, "w0");
    pool.add_worker("w0-silent", "h0", false);
    pool.faults("w0-silent").unresponsive = true;
    pool.report("w0-silent", false);
    pool.run(seconds(6));
    check_started_once(pool, id);
}

// ---------------------------------------------------------------------------------------------------------
// Leaving workers
// ---------------------------------------------------------------------------------------------------------

// A worker that had announced to the previous leader that it was leaving got new tasks from the next leader
// until it reported there too, 2.9 s after the change.
BOOST_AUTO_TEST_CASE(a_worker_that_leaves_gets_nothing_new_from_the_next_leader)
{
    simulated_pool pool(small_pool_settings(3));
    pool.start_leader();
    pool.run(seconds(1));
    pool.report("w0", true, 60'000);
    pool.run(milliseconds(50));
    pool.faults("w0").reports_lost = true; // the next leader has not received its report yet
    pool.start_leader();
    const std::size_t before = pool.starts_on("w0");
    for (int i = 0; i < 10; ++i)
    {
        pool.submit("plain", {make_step(4, 1000, 300)});
    }
    pool.run(seconds(5));
    BOOST_TEST(pool.starts_on("w0") == before);
    BOOST_TEST(pool.starts_on("w1") + pool.starts_on("w2") == 40U);
}

// That a worker is leaving is acknowledged only once the next leader would know it; an older report does not
// revoke it.
BOOST_AUTO_TEST_CASE(that_a_worker_leaves_is_replicated)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    const worker_incarnation& incarnation = *pool.state().find_id("w0");
    pool.report("w0", true, 60'000);
    BOOST_TEST(!incarnation.leaving); // not committed yet
    pool.run(milliseconds(50));
    BOOST_TEST(incarnation.leaving);
    pool.state().apply(0, mark_leaving{incarnation.id, 0, false});
    BOOST_TEST(incarnation.leaving);
    pool.run(seconds(2));
    pool.report("w0", false);
    pool.run(milliseconds(50));
    BOOST_TEST(!incarnation.leaving);
}

// ---------------------------------------------------------------------------------------------------------
// Capacity changes
// ---------------------------------------------------------------------------------------------------------

// Running tasks continue; no new task is started there until it fits.
BOOST_AUTO_TEST_CASE(a_shrunk_worker_gets_no_tasks_until_they_fit)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    const submission_id first = fill_worker(pool, "w0");
    pool.resize("w0", {8000, 65536, 0, 0});
    pool.resize("w1", {4000, 65536, 0, 0});
    pool.report("w0", false);
    pool.report("w1", false);
    pool.run(milliseconds(50));
    const submission_id second = pool.submit("plain", {make_step(4, 4000, 1000)});
    pool.run(seconds(1));
    BOOST_TEST(pool.running_on("w0") == 4U);
    BOOST_TEST(pool.running_on("w1") <= 1U);
    pool.run(seconds(10));
    BOOST_TEST((pool.phase(first) == submission_phase::completed));
    BOOST_TEST((pool.phase(second) == submission_phase::completed));
    check_invariants(pool);
}

BOOST_AUTO_TEST_CASE(an_older_report_does_not_restore_an_older_capacity)
{
    for (const bool next_leader : {false, true})
    {
        simulated_pool pool(small_pool_settings(1));
        pool.start_leader();
        pool.run(seconds(1));
        const worker_report held_back = pool.make_report("w0", false);
        pool.resize("w0", {4000, 65536, 0, 0});
        pool.report("w0", false);
        pool.run(milliseconds(50));
        if (next_leader)
        {
            pool.faults("w0").reports_lost = true; // the next leader receives only the older report
            pool.start_leader();
            pool.run(seconds(1));
        }
        pool.deliver(held_back);
        pool.run(milliseconds(50));
        const submission_id id = pool.submit("plain", {make_step(3, 4000, 1000)});
        pool.run(milliseconds(500));
        BOOST_TEST(pool.running_on("w0") == 1U);
        pool.run(seconds(10));
        BOOST_TEST((pool.phase(id) == submission_phase::completed));
        check_invariants(pool);
    }
}

// ---------------------------------------------------------------------------------------------------------
// Snapshots
// ---------------------------------------------------------------------------------------------------------

namespace
{
// Written by a version without incarnation process start times: worker "a" is leaving and runs a task, "b2"
// was dropped as unresponsive with another task, "b" is a former incarnation.
constexpr std::string_view snapshot_without_births =
    "989501919ba171a76578616d706c65a32f712fcd0bb8000100a4706f6f6c02c2930000009193a4706f6f6cc2c200a091"
    "9b01a171a4706f6f6c0295a091dc00100294cd03e86400000090c2c2c2c2c2c2a0a000a0000001000001cd03e8009192"
    "919492960101000100a0960001000300a000000000000191980197a161a6686f73742d61aa31302e302e302e313a31a4"
    "706f6f6ca468616c6c92a46b696e64a47261636b94cd0fa0cd0fa000000581929293010000000194cd03e864000094cd"
    "03e8640000c30907900491a16290948192930100000194000000019193a6686f73742d62a26232919492929301000001"
    "01c308a09000";

std::string bytes_of(std::string_view hex)
{
    std::string out;
    for (std::size_t i = 0; i < hex.size(); i += 2)
    {
        out.push_back(static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16)));
    }
    return out;
}

worker_description facts_of(const std::string& id, const std::string& host, std::int64_t process_start)
{
    return {id,
            host,
            "10.0.0.1:1",
            "pool",
            "hall",
            {"kind", "rack"},
            {4000, 4000, 0, 0},
            process_start_ms{process_start}};
}
} // namespace

BOOST_AUTO_TEST_CASE(a_snapshot_without_birth_times_loads)
{
    workload_state state;
    BOOST_REQUIRE(state.load(bytes_of(snapshot_without_births)));
    const worker_incarnation* known = state.find_id("a");
    BOOST_REQUIRE(known != nullptr);
    BOOST_TEST(known->leaving);
    BOOST_TEST(known->ends_recorded_up_to == 5U);
    BOOST_TEST(known->occupied.size() == 1U);
    BOOST_TEST(state.crashes().suspects().size() == 1U);
    const auto former = static_cast<int>(workload_code::former_incarnation);
    BOOST_TEST(state.apply(0, admit_worker{facts_of("b", "host-b", 0), 1, false, {}}).code == former);

    // An incarnation with a process start time is a different one: runs ordered there may still exist,
    // everything else is reset.
    BOOST_TEST(state.apply(0, admit_worker{facts_of("a", "host-a", 77), 1, false, {}}).code == 0);
    const worker_incarnation* next = state.find_id("a");
    BOOST_REQUIRE(next != nullptr);
    BOOST_TEST(!next->leaving);
    BOOST_TEST(next->ends_recorded_up_to == 0U);
    BOOST_TEST(next->occupied.size() == 1U);
    BOOST_TEST((state.find(next->occupied.begin()->first.task)->worker == next->id));

    workload_state copy;
    BOOST_REQUIRE(copy.load(state.save()));
    BOOST_TEST((copy.find_incarnation({"a", process_start_ms{77}}) != nullptr));
    BOOST_TEST(copy.apply(0, admit_worker{facts_of("a", "host-a", 0), 9, false, {}}).code == former);
}
