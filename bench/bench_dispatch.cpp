// Cost of the leader's decisions, with simulated workers and advisor in virtual time.

#include <benchmark/benchmark.h>

#include "../tests/src/simulated_pool.hpp"

namespace
{
using namespace walkthread;
using namespace walkthread::test;

// Five virtual seconds of the load of a large deployment, scaled to the given number of workers.
void dispatch_seconds(benchmark::State& state)
{
    const auto workers = static_cast<std::size_t>(state.range(0));
    double starts = 0;
    double passes = 0;
    for (auto _ : state)
    {
        pool_settings settings;
        settings.workers = workers;
        simulated_pool pool(settings);
        pool.start_leader();
        pool.run(seconds(1));
        std::mt19937_64 random(7);
        const double part = static_cast<double>(workers) / 350.0;
        const auto draw = [&random](double mean)
        {
            return std::poisson_distribution<int>(mean)(random);
        };
        for (int tick = 0; tick < 500; ++tick)
        {
            for (int i = draw(1.03 * part); i > 0; --i)
            {
                pool.submit("urgent", {make_step(3, 2500, 640)});
            }
            for (int i = draw(0.09 * part); i > 0; --i)
            {
                pool.submit("batch", {make_step(25, 1700, 2200), make_step(12, 1700, 2200)});
            }
            for (int i = draw(0.035 * part); i > 0; --i)
            {
                pool.submit("gangs", {make_step(20, 4500, 5000, true)});
            }
            pool.run(milliseconds(10));
        }
        starts += static_cast<double>(pool.leader().counters().starts);
        passes += static_cast<double>(pool.passes());
    }
    state.counters["starts_per_s"] = benchmark::Counter(starts / 5.0, benchmark::Counter::kAvgIterations);
    state.counters["passes_per_s"] = benchmark::Counter(passes / 5.0, benchmark::Counter::kAvgIterations);
    state.counters["us_per_start"] =
        benchmark::Counter(starts, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
} // namespace

BENCHMARK(dispatch_seconds)
    ->Arg(48)
    ->Arg(350)
    ->Arg(1100)
    ->Arg(4500)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);
