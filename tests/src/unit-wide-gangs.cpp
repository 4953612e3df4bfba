#define BOOST_TEST_MODULE wide_gangs
#include <boost/test/unit_test.hpp>

#include <array>
#include <cmath>

#include <walkthread/dispatch/waiting_demand.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr double tick_ms = 100;
constexpr std::int64_t host_cpu = 16'000;
constexpr int outage_ticks = 75; // no leader: submissions accumulate
constexpr int arrival_ticks = 340;
constexpr int burst_begin_tick = 170;
constexpr int burst_end_tick = 210;
constexpr double gang_burst = 1.5;
constexpr double late_factor = 3.0; // work has a partial value until three times its objective

// Load of one queue as shares of the pool, and the shape of its steps.
struct workload_shape
{
    const char* queue;
    double load;       // mean cores asked for, relative to the pool
    double mean_share; // mean of a step's tasks, in tasks for each host of the pool
    double spread;     // of that, logarithmic
    std::int64_t cpu;
    std::int64_t run_ms;
    bool gang;
    double stretch;
    std::int64_t target_ms;
};
constexpr std::array<workload_shape, 3> shapes{{
    {"urgent", 0.10, 0.004, 0.6, 3900, 1000, false, 1.5, 300},
    {"gangs", 0.43, 0.036, 0.7, 4500, 4000, true, 2.2, 1000},
    {"batch", 0.28, 0.036, 0.6, 2700, 2700, false, 4.0, 3000},
}};

class loaded_pool : public simulated_pool
{
  public:
    explicit loaded_pool(const pool_settings& settings) : simulated_pool(settings), m_random(settings.seed)
    {
        cluster_configuration held = *m_state.current_configuration();
        ++held.version;
        for (queue_spec& queue : held.queues)
        {
            for (const workload_shape& shape : shapes)
            {
                if (queue.name == shape.queue)
                {
                    queue.stretch = shape.stretch;
                    queue.target_latency_ms = shape.target_ms;
                    queue.advice.decision_ms = 400;
                    queue.advice.validity_ms = 2000;
                }
            }
        }
        commit(replace_cluster_configuration{held});
    }

    void submit_work(const workload_shape& shape, double factor)
    {
        double wanted = factor * shape.load * static_cast<double>(m_settings.workers * host_cpu) * tick_ms;
        std::lognormal_distribution<double> width(0.0, shape.spread);
        while (wanted > 0)
        {
            const double mean = shape.mean_share * static_cast<double>(m_settings.workers);
            const double scaled = mean * std::exp(-shape.spread * shape.spread / 2) * width(m_random);
            const auto count = static_cast<std::uint32_t>(std::clamp(scaled, 2.0, 6 * mean));
            const double asks = count * static_cast<double>(shape.cpu * shape.run_ms);
            if (std::uniform_real_distribution<double>(0.0, 1.0)(m_random) * asks > wanted)
            {
                return;
            }
            wanted -= asks;
            submit_step(shape, count);
        }
    }
    void submit_step(const workload_shape& shape, std::uint32_t count)
    {
        const step_spec step = make_step(count, shape.cpu, shape.run_ms, shape.gang);
        m_submitted.push_back({submit(shape.queue, {step}), &shape, count, now(), {}});
    }
    void run_watched(duration span)
    {
        run(span);
        for (submitted_work& work : m_submitted)
        {
            if (!work.done && phase(work.id) == submission_phase::completed)
            {
                work.done = now();
            }
        }
    }
    // Shares of a queue's submissions that were completed while they still had a value: of all, and of the
    // widest tenth.
    [[nodiscard]] std::pair<double, double> share_served(const std::string& queue, double limit) const
    {
        std::vector<const submitted_work*> all;
        for (const submitted_work& work : m_submitted)
        {
            if (work.shape->queue == queue)
            {
                all.push_back(&work);
            }
        }
        std::sort(all.begin(), all.end(),
                  [](const submitted_work* a, const submitted_work* b)
                  {
                      return a->count > b->count;
                  });
        const auto share = [limit](auto first, auto last)
        {
            const auto served = std::count_if(first, last,
                                              [limit](const submitted_work* work)
                                              {
                                                  return is_served(*work, limit);
                                              });
            return static_cast<double>(served) / static_cast<double>(last - first);
        };
        const auto tenth = static_cast<std::ptrdiff_t>((all.size() + 9) / 10);
        return {share(all.begin(), all.end()), share(all.begin(), all.begin() + tenth)};
    }

  private:
    struct submitted_work
    {
        submission_id id;
        const workload_shape* shape;
        std::uint32_t count;
        monotonic_time since;
        std::optional<monotonic_time> done;
    };

    static bool is_served(const submitted_work& work, double limit)
    {
        const double objective = work.shape->stretch * static_cast<double>(work.shape->run_ms) +
                                 static_cast<double>(work.shape->target_ms);
        return work.done && std::chrono::duration<double, std::milli>(*work.done - work.since).count() <=
                                limit * objective;
    }

    std::mt19937_64 m_random;
    std::vector<submitted_work> m_submitted;
};

pool_settings large_pool(std::size_t workers, std::uint64_t seed)
{
    pool_settings settings;
    settings.workers = workers;
    settings.good_share = 0.35;
    settings.question = milliseconds(200);
    settings.advisor_clients = 150;
    settings.seed = seed;
    return settings;
}

// Submissions accumulate while no leader is there; later more gangs than usual arrive for a while.
void play_day_with_outage(loaded_pool& pool)
{
    pool.start_leader();
    pool.run(seconds(2));
    pool.stop_leader();
    for (int tick = 0; tick < arrival_ticks; ++tick)
    {
        if (tick == outage_ticks)
        {
            pool.start_leader();
        }
        const bool burst = tick >= burst_begin_tick && tick < burst_end_tick;
        for (const workload_shape& shape : shapes)
        {
            pool.submit_work(shape, shape.gang && burst ? gang_burst : 1.0);
        }
        pool.run_watched(milliseconds(static_cast<int>(tick_ms)));
    }
    for (int tick = 0; tick < 300; ++tick)
    {
        pool.run_watched(milliseconds(static_cast<int>(tick_ms)));
    }
}
} // namespace

// The widest gangs were served less than half as often as gangs as a whole: narrower ones behind them were
// admitted to gather capacity in their place.
BOOST_AUTO_TEST_CASE(wide_gangs_are_in_time_at_least_half_as_often_as_all)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(3, 1); ++seed)
    {
        loaded_pool pool(large_pool(220, seed));
        play_day_with_outage(pool);
        const auto [gangs, widest] = pool.share_served("gangs", 1.0);
        const auto [gangs_with_late, widest_with_late] = pool.share_served("gangs", late_factor);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(2 * widest >= gangs);
            BOOST_TEST(2 * widest_with_late >= gangs_with_late);
            check_invariants(pool);
        }
    }
}

// Small tasks of lower priority, which had seconds to spare, took all capacity that became free while gangs
// that could be on time waited until they could not.
BOOST_AUTO_TEST_CASE(work_that_can_wait_leaves_capacity_to_gangs_of_higher_priority)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seed_count(3, 1); ++seed)
    {
        loaded_pool pool(large_pool(40, seed));
        pool.start_leader();
        pool.run(seconds(2));
        for (int i = 0; i < 14; ++i)
        {
            pool.submit_step(shapes.at(2), 25);
        }
        pool.run(seconds(1));
        for (int i = 0; i < 8; ++i)
        {
            pool.submit_step(shapes.at(1), 12);
        }
        for (int tick = 0; tick < 250; ++tick)
        {
            pool.run_watched(milliseconds(static_cast<int>(tick_ms)));
        }
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(pool.share_served("gangs", 1.0).first == 1.0);
            BOOST_TEST(pool.share_served("batch", 1.0).first == 1.0);
            check_invariants(pool);
        }
    }
}

// Work without accelerators does not use the capacity that gangs with accelerators wait for.
BOOST_AUTO_TEST_CASE(only_lower_priority_and_the_same_capacity_compete)
{
    const pool_number pool{1};
    waiting_demand demand;
    demand.add(pool, 1, true);
    BOOST_TEST(demand.competes(pool, 2, true));
    BOOST_TEST(!demand.competes(pool, 2, false));
    BOOST_TEST(!demand.competes(pool, 1, true));
    BOOST_TEST(!demand.competes(pool_number{2}, 2, true));
    demand.add(pool, 1, false);
    BOOST_TEST(demand.competes(pool, 2, false));
    demand.clear();
    BOOST_TEST(!demand.competes(pool, 2, true));
}
