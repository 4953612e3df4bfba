#define BOOST_TEST_MODULE connections
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

#include <walkthread/fabric/connection_pool.hpp>
#include <walkthread/fabric/descriptor_budget.hpp>

using namespace walkthread;

namespace
{
monotonic_time at_ms(std::int64_t ms)
{
    return monotonic_time{milliseconds(ms)};
}

std::string address_of(std::size_t worker)
{
    return "10.0.0.1:" + std::to_string(worker);
}

// Drives a pool in virtual time and checks its invariants after each step.
struct pool_simulation
{
    struct use
    {
        pooled_call_id call{};
        std::string address;
        bool busy{};
    };
    struct call_record
    {
        std::string address;
        call_priority priority{};
        monotonic_time since{};
        bool granted{};
        bool expired{};
    };

    pool_simulation(std::size_t max_connections, std::size_t max_per_address)
        : bounds{max_connections, max_per_address, milliseconds(25), seconds(15)}, pool(bounds)
    {
    }

    void acquire(const std::string& address, call_priority priority, milliseconds timeout)
    {
        const pooled_call_id call{next++};
        calls[call] = {address, priority, now, false, false};
        if (const auto grant = pool.acquire(call, address, priority, now + timeout, now))
        {
            apply_grant(*grant);
        }
        check();
    }
    void apply_grant(const pool_grant& grant)
    {
        call_record& call = calls.at(grant.call);
        BOOST_REQUIRE(!call.granted);
        BOOST_REQUIRE(!call.expired);
        BOOST_REQUIRE_EQUAL(call.address, grant.address);
        call.granted = true;
        longest_wait = std::max<duration>(longest_wait, now - call.since);
        if (grant.replaced)
        {
            BOOST_REQUIRE(!uses.at(*grant.replaced).busy);
            uses.erase(*grant.replaced);
        }
        BOOST_REQUIRE_EQUAL(uses.contains(grant.connection), !grant.is_new);
        uses[grant.connection] = {grant.call, grant.address, true};
        opened += grant.is_new ? 1 : 0;
    }
    void finish(pooled_connection_id connection, bool open, next_use next_call = next_use::soon)
    {
        const use done = uses.at(connection);
        if (open)
        {
            uses.at(connection).busy = false;
        }
        else
        {
            uses.erase(connection);
        }
        const auto grant = pool.release(connection, open, now, next_call);
        if (grant)
        {
            apply_grant(*grant);
        }
        check();
    }
    void expire()
    {
        for (const pool_grant& grant : pool.open_additional(now))
        {
            apply_grant(grant);
        }
        for (const pooled_call_id call : pool.expire(now))
        {
            BOOST_REQUIRE(!calls.at(call).granted);
            calls.at(call).expired = true;
        }
        check();
    }
    void check() const
    {
        BOOST_REQUIRE_LE(uses.size(), bounds.max_connections);
        BOOST_REQUIRE_EQUAL(uses.size(), pool.open());
    }
    [[nodiscard]] std::vector<pooled_connection_id> busy() const
    {
        std::vector<pooled_connection_id> out;
        for (const auto& [id, item] : uses)
        {
            if (item.busy)
            {
                out.push_back(id);
            }
        }
        return out;
    }

    connection_pool_settings bounds;
    connection_pool pool;
    monotonic_time now = at_ms(1);
    std::uint64_t next = 1;
    std::size_t opened = 0;
    duration longest_wait{};
    std::map<pooled_call_id, call_record> calls;
    std::map<pooled_connection_id, use> uses;
};
} // namespace

BOOST_AUTO_TEST_CASE(a_call_uses_an_idle_connection_of_its_address)
{
    pool_simulation run(4, 2);
    run.acquire("a", call_priority::usual, milliseconds(300));
    run.finish(run.busy().front(), true);
    run.acquire("a", call_priority::usual, milliseconds(300));
    BOOST_TEST(run.opened == 1U);
}

BOOST_AUTO_TEST_CASE(a_call_waits_for_a_busy_connection_before_it_opens_another)
{
    pool_simulation run(4, 2);
    run.acquire("a", call_priority::usual, milliseconds(300));
    run.acquire("a", call_priority::usual, milliseconds(300));
    BOOST_TEST(run.opened == 1U);
    run.now += milliseconds(24);
    run.expire();
    BOOST_TEST(run.opened == 1U);
    run.now += milliseconds(1);
    run.expire();
    BOOST_TEST(run.opened == 2U);
    run.acquire("a", call_priority::usual, milliseconds(300));
    run.now += milliseconds(30);
    run.expire();
    BOOST_TEST(run.opened == 2U); // the limit for one address is reached
    run.finish(run.busy().front(), true);
    BOOST_TEST(run.pool.waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(the_longest_idle_connection_is_closed_first)
{
    pool_simulation run(2, 1);
    for (const char* address : {"a", "b"})
    {
        run.acquire(address, call_priority::usual, milliseconds(300));
        run.finish(run.busy().front(), true);
        run.now += milliseconds(1);
    }
    run.acquire("c", call_priority::usual, milliseconds(300));
    BOOST_TEST(std::none_of(run.uses.begin(), run.uses.end(),
                            [](const auto& item)
                            {
                                return item.second.address == "a";
                            }));
}

// A leader with more workers than connections polls idle workers in turn. Closing the oldest connection opens
// one for each poll.
BOOST_AUTO_TEST_CASE(calls_in_turn_to_more_addresses_than_connections_keep_most_connections)
{
    constexpr std::size_t connections = 200;
    for (const std::size_t workers : {250U, 500U})
    {
        pool_simulation run(connections, 2);
        const auto call = [&run](std::size_t worker, next_use next_call)
        {
            run.acquire(address_of(worker), call_priority::usual, milliseconds(300));
            run.finish(run.busy().front(), true, next_call);
            run.now += milliseconds(1);
        };
        for (std::size_t round = 0; round < 4; ++round)
        {
            const std::size_t before = run.opened;
            for (std::size_t worker = 0; worker < workers; ++worker)
            {
                call(worker, next_use::late);
            }
            if (round > 0)
            {
                BOOST_TEST(run.opened - before <= workers - connections + 1);
            }
        }
        // A worker with runs is called again soon: its connection outlasts those of idle workers.
        call(0, next_use::soon);
        const std::size_t before = run.opened;
        for (std::size_t worker = workers; worker < 2 * workers; ++worker)
        {
            call(worker, next_use::late);
        }
        BOOST_TEST(run.opened - before == workers);
        call(0, next_use::soon);
        BOOST_TEST(run.opened - before == workers);
    }
}

BOOST_AUTO_TEST_CASE(a_released_connection_goes_to_the_highest_priority_call)
{
    pool_simulation run(1, 1);
    run.acquire("a", call_priority::usual, milliseconds(300));
    run.acquire("b", call_priority::usual, milliseconds(300));
    run.acquire("a", call_priority::usual, milliseconds(300));
    run.acquire("c", call_priority::urgent, milliseconds(300));
    run.finish(run.busy().front(), true);
    BOOST_TEST(run.uses.begin()->second.address == "c");
    run.finish(run.busy().front(), true);
    BOOST_TEST(run.uses.begin()->second.address == "b"); // queued before the second call to a
}

BOOST_AUTO_TEST_CASE(an_expired_call_is_never_granted)
{
    pool_simulation run(1, 1);
    run.acquire("a", call_priority::usual, milliseconds(300));
    run.acquire("b", call_priority::usual, milliseconds(300));
    run.now += milliseconds(300);
    run.expire();
    BOOST_TEST(run.calls.at(pooled_call_id{2}).expired);
    run.finish(run.busy().front(), true);
    BOOST_TEST(run.pool.idle() == 1U);
    BOOST_TEST(run.pool.waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(idle_connections_are_closed_after_the_idle_timeout)
{
    pool_simulation run(4, 1);
    run.acquire("a", call_priority::usual, milliseconds(300));
    run.finish(run.busy().front(), true);
    BOOST_TEST(run.pool.close_idle(run.now + seconds(14)).empty());
    BOOST_TEST(run.pool.close_idle(run.now + seconds(15)).size() == 1U);
    BOOST_TEST(run.pool.open() == 0U);
}

BOOST_AUTO_TEST_CASE(random_calls_respect_the_limits_and_all_complete_or_expire)
{
    for (const std::size_t workers : {100U, 1100U, 4500U})
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed)
        {
            BOOST_TEST_CONTEXT("workers " << workers << ", seed " << seed)
            {
                std::mt19937_64 random(seed);
                const auto below = [&random](std::size_t bound)
                {
                    return static_cast<std::size_t>(random() % bound);
                };
                pool_simulation run(120, 3);
                for (int step = 0; step < 3000; ++step)
                {
                    run.now += milliseconds(1);
                    for (std::size_t i = below(4); i > 0; --i)
                    {
                        run.acquire(address_of(below(workers)),
                                    below(4) == 0 ? call_priority::urgent : call_priority::usual,
                                    milliseconds(300));
                    }
                    const auto busy = run.busy();
                    for (std::size_t i = std::min(below(5), busy.size()); i > 0; --i)
                    {
                        const pooled_connection_id id = busy[below(busy.size())];
                        if (run.uses.contains(id) && run.uses.at(id).busy)
                        {
                            run.finish(id, below(20) != 0,
                                       id.value() % 2 == 0 ? next_use::soon : next_use::late);
                        }
                    }
                    run.expire();
                }
                for (const pooled_connection_id id : run.busy())
                {
                    run.finish(id, true);
                }
                while (!run.busy().empty())
                {
                    run.finish(run.busy().front(), true);
                }
                BOOST_TEST(run.pool.waiting() == 0U);
                BOOST_TEST(std::all_of(run.calls.begin(), run.calls.end(),
                                       [](const auto& item)
                                       {
                                           return item.second.granted != item.second.expired;
                                       }));
                BOOST_TEST(run.longest_wait <= milliseconds(301));
            }
        }
    }
}

// Each worker has one pending poll, which the worker answers after a second. With fewer connections than
// workers, the connections must go round so that no worker is starved.
BOOST_AUTO_TEST_CASE(polls_of_more_workers_than_connections_are_fair)
{
    for (const std::size_t workers : {100U, 1100U, 4500U})
    {
        const std::size_t max_connections = std::max<std::size_t>(workers / 3, 40);
        pool_simulation run(max_connections, 1);
        std::map<std::string, int> poll_counts;
        std::multimap<monotonic_time, pooled_connection_id> answers;
        std::set<pooled_connection_id> known;
        const auto schedule = [&]
        {
            for (const auto& [id, use] : run.uses)
            {
                if (use.busy && known.insert(id).second)
                {
                    answers.emplace(run.now + milliseconds(1000), id);
                }
            }
        };
        for (std::size_t i = 0; i < workers; ++i)
        {
            run.acquire(address_of(i), call_priority::usual, milliseconds(60000));
        }
        schedule();
        for (std::size_t i = 0; i < 3 * workers; ++i)
        {
            const auto [when, id] = *answers.begin();
            answers.erase(answers.begin());
            known.erase(id);
            run.now = when;
            const std::string address = run.uses.at(id).address;
            ++poll_counts[address];
            run.finish(id, true);
            run.acquire(address, call_priority::usual, milliseconds(60000));
            schedule();
        }
        BOOST_TEST(poll_counts.size() == workers);
        BOOST_TEST(std::all_of(poll_counts.begin(), poll_counts.end(),
                               [](const auto& item)
                               {
                                   return item.second >= 2 && item.second <= 4;
                               }));
    }
}

// ---------------------------------------------------------------------------------------------------------
// Descriptor budget
// ---------------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(budget_parts_never_exceed_the_limit)
{
    for (const bool replica : {false, true})
    {
        const descriptor_uses uses{replica};
        for (std::size_t limit = required_descriptors(uses).least; limit < 20000; limit += 37)
        {
            const auto parts = divide_descriptors(limit, uses);
            BOOST_REQUIRE(ok(parts));
            BOOST_REQUIRE_LE(value_of(parts).sum(), limit);
            BOOST_REQUIRE_GE(value_of(parts).peers, 16U);
            BOOST_REQUIRE_GE(value_of(parts).callers, 16U);
            BOOST_REQUIRE_EQUAL(value_of(parts).orders > 0, replica);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_limit_below_the_minimum_is_an_error_with_both_figures)
{
    const descriptor_uses uses{true};
    const std::size_t least = required_descriptors(uses).least;
    const auto parts = divide_descriptors(least - 1, uses);
    BOOST_REQUIRE(!ok(parts));
    BOOST_TEST(error_of(parts).find(std::to_string(least)) != std::string::npos);
    BOOST_TEST(error_of(parts).find(std::to_string(least - 1)) != std::string::npos);
    BOOST_TEST(required_descriptors(uses).usual > least);
}

BOOST_AUTO_TEST_CASE(each_of_a_thousand_workers_has_a_poll_connection)
{
    const auto parts = divide_descriptors(4100, descriptor_uses{true});
    BOOST_REQUIRE(ok(parts));
    BOOST_TEST(value_of(parts).polls >= 1100U);
    BOOST_TEST(value_of(parts).peers >= 2 * 152U);
}
