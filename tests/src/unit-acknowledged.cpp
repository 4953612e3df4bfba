#define BOOST_TEST_MODULE acknowledged
#include <boost/test/unit_test.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

// What one leader acknowledged holds under the next one, whatever only memory knew, and for orders that were
// decided before.

namespace
{
void load(pool_stand_in& pool, int submissions)
{
    for (int i = 0; i < submissions; ++i)
    {
        pool.submit("plain", {make_step(4, 1000, 300)});
    }
}

// The next leader hears no worker's report for three seconds, as those still go to the address of the last
// one.
void change_leader_unheard(pool_stand_in& pool, std::size_t workers, duration without)
{
    for (std::size_t i = 0; i < workers; ++i)
    {
        pool.faults("w" + std::to_string(i)).unheard = true;
    }
    pool.unlead();
    pool.run(without);
    pool.lead();
}
} // namespace

// ---------------------------------------------------------------------------------------------------------
// Workers that leave
// ---------------------------------------------------------------------------------------------------------

// A worker that had said that it leaves was cut off, so that its life was dropped as unheard. When the cut
// ended, a report that it had sent before it decided to leave came first and admitted the life again, without
// what had been acknowledged, and until its next report it got new work. A life that was only unheard comes
// back with what it last said; leaves that were acknowledged 10.1 s earlier were started on in this test.
BOOST_AUTO_TEST_CASE(a_life_that_comes_back_still_leaves)
{
    pool_stand_in pool(small(3));
    pool.lead();
    pool.run(seconds(1));
    const worker_report held_back = pool.write_report("w0", false);
    pool.report("w0", true, 60'000);
    pool.run(milliseconds(100));
    pool.faults("w0").dark = true;
    pool.run(seconds(10));
    BOOST_REQUIRE(pool.state().find_id("w0") == nullptr);
    pool.faults("w0").dark = false;
    pool.faults("w0").unheard = true;
    pool.deliver(held_back);
    load(pool, 10);
    pool.run(seconds(3));
    check_unbroken(pool);
    BOOST_TEST(pool.starts_on("w0") == 0U);
}

// An order got no answer, its worker then said that it leaves, and that was acknowledged. The order was sent
// again all the same, as a retry asked whether the run is still wanted, not whether its worker still takes
// work: 4 starts in this test. Such a run is stopped now and starts elsewhere.
BOOST_AUTO_TEST_CASE(an_order_is_not_sent_again_to_a_worker_that_leaves)
{
    pool_stand_in pool(small(2));
    pool.lead();
    pool.run(seconds(1));
    pool.faults("w0").late = 1.0;
    const submission_id id = pool.submit("plain", {make_step(8, 4000, 300)});
    pool.run(milliseconds(100));
    pool.faults("w0").late = 0.0;
    pool.report("w0", true, 60'000);
    pool.run(seconds(10));
    check_unbroken(pool);
    BOOST_TEST(pool.starts_on("w0") == 0U);
    BOOST_TEST((pool.phase(id) == submission_phase::completed));
}

// The state machine itself takes no start on a worker that leaves, whoever planned it.
BOOST_AUTO_TEST_CASE(a_start_on_a_worker_that_leaves_is_not_recorded)
{
    pool_stand_in pool(small(1));
    pool.lead();
    pool.run(seconds(1));
    pool.report("w0", true, 60'000);
    pool.run(milliseconds(100));
    const submission_id id = pool.submit("plain", {make_step(1, 1000, 300)});
    pool.run(milliseconds(100));
    const worker_life& life = *pool.state().find_id("w0");
    pool.state().apply(0, record_starts{{planned_start{task_ref{{id, round_id{0}, 0}, 0}, 1, life.id}}});
    BOOST_TEST(life.occupied.empty());
}

// A worker that stays after all is used by the next leader too.
BOOST_AUTO_TEST_CASE(a_worker_that_stays_after_all_is_used_by_the_next_leader)
{
    pool_stand_in pool(small(1));
    pool.lead();
    pool.run(seconds(1));
    pool.report("w0", true, 60'000);
    pool.run(milliseconds(100));
    bool acknowledged = false;
    pool.deliver(pool.write_report("w0", false),
                 [&acknowledged]
                 {
                     acknowledged = true;
                 });
    pool.run(milliseconds(100));
    BOOST_REQUIRE(acknowledged);
    change_leader_unheard(pool, 1, milliseconds(400));
    load(pool, 1);
    pool.run(seconds(2));
    BOOST_TEST(pool.starts_on("w0") == 4U);
    check_unbroken(pool);
}

// ---------------------------------------------------------------------------------------------------------
// The leader changes right after an acknowledgement, and nothing else happens
// ---------------------------------------------------------------------------------------------------------

namespace
{
enum class acknowledged_kind
{
    leaving,
    left,
    cancelled,
    kept,
    ended,
    upkeep,
};

// One calm day: load, one acknowledgement at a time drawn from the seed, the leader gone with it.
void play_calm_day(acknowledged_kind kind, std::uint64_t seed)
{
    pool_settings settings = small(6);
    settings.seed = seed;
    settings.upkeep = seconds(2);
    pool_stand_in pool(settings);
    std::mt19937_64 random(seed * 131);
    pool.lead();
    pool.run(seconds(1));
    std::vector<submission_id> all;
    for (int i = 0; i < 6; ++i)
    {
        all.push_back(pool.submit("plain", {make_step(8, 3000, 1500)}));
    }
    pool.run(milliseconds(static_cast<std::int64_t>(20 + random() % 2500)));
    const std::string life = "w" + std::to_string(random() % 6);
    const duration without = milliseconds(static_cast<std::int64_t>(random() % 1500));
    bool gone = false;
    const auto change = [&pool, &gone, without]
    {
        gone = true;
        change_leader_unheard(pool, 6, without);
    };
    switch (kind)
    {
    case acknowledged_kind::leaving:
        pool.deliver(pool.write_report(life, true, 60'000),
                     [&gone]
                     {
                         gone = true;
                     });
        break;
    case acknowledged_kind::left:
        pool.leave(life,
                   [&gone]
                   {
                       gone = true;
                   });
        break;
    case acknowledged_kind::cancelled:
        all.front() = pool.submit("plain", {make_step(4, 1000, 20'000)});
        pool.run(milliseconds(300));
        pool.cancel(all.front());
        break;
    case acknowledged_kind::kept:
        all.push_back(pool.submit("plain", {make_step(2, 1000, 300)}));
        break;
    case acknowledged_kind::ended:
        break;
    case acknowledged_kind::upkeep:
        pool.begin_upkeep({"h0", "h1", "h2", "h3"}, 30, 1);
        pool.run(milliseconds(static_cast<std::int64_t>(random() % 4000)));
        break;
    }
    while (!gone && (kind == acknowledged_kind::leaving || kind == acknowledged_kind::left))
    {
        pool.run(milliseconds(1));
    }
    pool.run(milliseconds(kind == acknowledged_kind::kept ? 10 : 0));
    change();
    for (int i = 0; i < 30; ++i)
    {
        all.push_back(pool.submit("plain", {make_step(2, 2000, 300)}));
        pool.run(milliseconds(100));
    }
    for (int i = 0; i < 6; ++i)
    {
        pool.faults("w" + std::to_string(i)).unheard = false;
    }
    pool.run(seconds(30));
    BOOST_TEST_CONTEXT("kind " << static_cast<int>(kind) << " seed " << seed)
    {
        check_unbroken(pool);
        BOOST_TEST((pool.longest_after_cancel() < without + milliseconds(600))); // 200 for a stop
        BOOST_TEST(pool.most_down() <= 1U);
        BOOST_TEST((kind != acknowledged_kind::upkeep || pool.state().waves().at(1).complete()));
        for (const submission_id id : all)
        {
            const submission_phase expected = kind == acknowledged_kind::cancelled && id == all.front()
                                                  ? submission_phase::cancelled
                                                  : submission_phase::completed;
            BOOST_TEST((pool.phase(id) == expected), name_of(id) << " is " << name_of(pool.phase(id)));
        }
    }
}
} // namespace

// core-stgo-a-1 acknowledged that a worker leaves and went dark; core-rancagua-a-1 led next and started a
// task there, over 2 s later. That the worker leaves was in the memory of the leader that had heard it, and
// the worker's next report went to the dark address first. Settled by runs of that code with one loss of
// power right behind acknowledgements: on 6 of 24 the next leader started work 3.2 to 4.2 s after an
// acknowledgement ("acked by core-stgo-b-1 at 4.801 s", a start at 8.214 s), on none of 24 once the log says
// who leaves. So the leader changes here right after each kind of acknowledgement, with calm around it.
BOOST_AUTO_TEST_CASE(what_was_acknowledged_holds_under_the_next_leader)
{
    for (const acknowledged_kind kind :
         {acknowledged_kind::leaving, acknowledged_kind::left, acknowledged_kind::cancelled,
          acknowledged_kind::kept, acknowledged_kind::ended, acknowledged_kind::upkeep})
    {
        for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(40); ++seed)
        {
            play_calm_day(kind, seed);
        }
    }
}

// A worker had taken its leave back and said it again. The report in between came late, to a leader that knew
// the first word alone: work was started on a worker that leaves.
BOOST_AUTO_TEST_CASE(an_older_report_does_not_take_back_a_leave_that_was_said_again)
{
    pool_stand_in pool(small(2));
    pool.lead();
    pool.run(seconds(1));
    pool.report("w1", true, 60'000);
    pool.run(milliseconds(100));
    const worker_report late = pool.write_report("w1", false, 60'000);
    pool.report("w1", true, 60'000);
    pool.run(milliseconds(100));
    pool.faults("w1").unheard = true; // none of its later reports comes in time
    pool.lead();
    pool.run(milliseconds(500));
    pool.deliver(late);
    pool.run(seconds(4)); // past the bound behind the acknowledgement
    load(pool, 8);
    pool.run(seconds(2));
    check_unbroken(pool);
}

// Workers that leave and stay by turns, cut off, silent and late, with reports that overtake each other and
// leaders that change right after an acknowledgement.
BOOST_AUTO_TEST_CASE(random_days_start_nothing_on_workers_that_leave)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(150); ++seed)
    {
        pool_settings settings = small(6);
        settings.seed = seed;
        pool_stand_in pool(settings);
        std::mt19937_64 random(seed * 7919);
        const auto draw = [&random](std::uint64_t below)
        {
            return random() % below;
        };
        std::vector<worker_report> held_back;
        pool.lead();
        pool.run(seconds(1));
        for (int step = 0; step < 120; ++step)
        {
            const std::string life = "w" + std::to_string(1 + draw(5)); // one stays all the time
            switch (draw(9))
            {
            case 0:
            case 1:
                pool.report(life, draw(3) != 0, 60'000);
                break;
            case 2:
                held_back.push_back(pool.write_report(life, draw(2) == 0, 60'000));
                break;
            case 3:
                if (!held_back.empty())
                {
                    pool.deliver(held_back[draw(held_back.size())]);
                }
                break;
            case 4:
                pool.faults(life).dark = !pool.faults(life).dark;
                break;
            case 5:
                pool.faults(life).late = draw(2) == 0 ? 0.4 : 0.0;
                break;
            case 6:
                pool.faults(life).unheard = !pool.faults(life).unheard;
                break;
            case 7:
                if (draw(2) == 0)
                {
                    bool acknowledged = false;
                    pool.deliver(pool.write_report(life, true, 60'000),
                                 [&acknowledged]
                                 {
                                     acknowledged = true;
                                 });
                    for (int ms = 0; ms < 50 && !acknowledged; ++ms)
                    {
                        pool.run(milliseconds(1));
                    }
                    pool.lead();
                }
                break;
            default:
                load(pool, 2);
            }
            pool.run(milliseconds(static_cast<std::int64_t>(draw(500))));
        }
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            check_unbroken(pool);
        }
    }
}

// ---------------------------------------------------------------------------------------------------------
// Upkeep
// ---------------------------------------------------------------------------------------------------------

// The platform took the order for a host's upkeep, and the leader was lost before it had recorded that. The
// next one sent the order again and heard that it was done, behind the host's return, which it had not
// connected with the wave: the wave stayed open for good, and with it the place of a host that is down (10 of
// the first 1,815 seeds of the calm days above). A host that answers after its upkeep was taken is through
// with it.
BOOST_AUTO_TEST_CASE(a_wave_ends_although_the_leader_is_lost_right_after_an_upkeep_began)
{
    pool_settings settings = small(3);
    settings.upkeep = seconds(2);
    pool_stand_in pool(settings);
    pool.lead();
    pool.run(seconds(1));
    pool.begin_upkeep({"h0", "h1"}, 30, 1);
    while (pool.most_down() == 0)
    {
        pool.run(milliseconds(1));
    }
    pool.unlead();
    pool.run(milliseconds(400));
    pool.lead();
    pool.run(seconds(20));
    BOOST_TEST(pool.state().waves().at(1).complete());
    BOOST_TEST(pool.most_down() == 1U);
}

// A leader stopped one of two lasting tasks, of which one may be away, and handed over before the stop was
// done. The next leader saw both at work and stopped the other one.
BOOST_AUTO_TEST_CASE(a_stop_of_the_last_leader_counts_as_away)
{
    pool_settings settings = small(2);
    settings.upkeep = seconds(2);
    pool_stand_in pool(settings);
    pool.lead();
    pool.run(seconds(1));
    step_spec lasting = make_step(2, 9000, 0);
    lasting.lasting = true;
    lasting.may_miss = 1;
    pool.submit("plain", {lasting});
    pool.run(seconds(3));
    BOOST_REQUIRE(pool.running_on("w0") == 1U);
    BOOST_REQUIRE(pool.running_on("w1") == 1U);
    pool.begin_upkeep({"h1"}, 60, 1, 2);
    pool.run(milliseconds(60)); // the stop of one of them is sent
    pool.begin_upkeep({"h0"}, 60, 1, 1);
    pool.lead();
    std::size_t least = 2;
    for (int ms = 0; ms < 400; ++ms)
    {
        pool.run(milliseconds(1));
        least = std::min(least, pool.running_on("w0") + pool.running_on("w1"));
    }
    BOOST_TEST(least == 1U);
    check_unbroken(pool);
}

// ---------------------------------------------------------------------------------------------------------
// Cancelled work that begins late
// ---------------------------------------------------------------------------------------------------------

namespace
{
// Orders that get no answer and are carried out later, stops among them; the submissions are cancelled
// meanwhile, and the leader that sent the orders may be gone. Gives the longest that a run was seen after its
// cancel.
duration cancel_late_starts(std::uint64_t seed, bool other_leader, double late_stops)
{
    pool_settings settings = small(4);
    settings.seed = seed;
    pool_stand_in pool(settings);
    pool.lead();
    pool.run(seconds(1));
    for (int i = 0; i < 4; ++i)
    {
        pool.faults("w" + std::to_string(i)).late = 0.7;
        pool.faults("w" + std::to_string(i)).late_stops = late_stops;
    }
    std::vector<submission_id> all;
    for (int i = 0; i < 8; ++i)
    {
        step_spec lasting = make_step(3, 1000, 20'000);
        lasting.lasting = i % 2 == 0;
        all.push_back(pool.submit("plain", {lasting}));
    }
    pool.run(milliseconds(static_cast<std::int64_t>(50 + seed * 37 % 900)));
    if (other_leader)
    {
        pool.unlead();
        pool.run(milliseconds(static_cast<std::int64_t>(seed * 61 % 1200)));
        pool.lead();
    }
    for (const submission_id id : all)
    {
        pool.cancel(id);
    }
    pool.run(seconds(25));
    BOOST_TEST_CONTEXT("seed " << seed)
    {
        check_unbroken(pool);
        for (int i = 0; i < 4; ++i)
        {
            BOOST_TEST(pool.running_on("w" + std::to_string(i)) == 0U);
        }
        BOOST_TEST(pool.state().closing().empty());
    }
    return pool.longest_after_cancel();
}
} // namespace

// A start that is carried out late, its submission cancelled by then, is seen with the next look and stopped.
BOOST_AUTO_TEST_CASE(a_task_that_starts_late_after_its_cancel_is_stopped_at_once)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(100); ++seed)
    {
        BOOST_TEST((cancel_late_starts(seed, false, 0.0) < milliseconds(1500)));
    }
}

// The same if the process that sent the order is removed before the cancel: its order is refused behind the
// next leader's first look, or what it started is seen there.
BOOST_AUTO_TEST_CASE(a_task_whose_starter_is_removed_is_stopped_after_its_cancel)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(100); ++seed)
    {
        BOOST_TEST((cancel_late_starts(seed, true, 0.0) < milliseconds(1500)));
    }
}

// Stops may be late too: one of those that are sent again comes through.
BOOST_AUTO_TEST_CASE(late_stops_do_not_leave_cancelled_work_running)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(50); ++seed)
    {
        cancel_late_starts(seed, seed % 2 == 0, 0.5);
    }
}
