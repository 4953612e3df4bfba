// Memory use and snapshot size of hall and root state, for docs/CAPACITY.md.

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <walkthread/state/root.hpp>

#include "hall_fixture.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
std::size_t heap_in_use()
{
    return mallinfo2().uordblks;
}

// State held by a hall's leader: the hall and its scheduler, with eight tasks per worker.
void hall_memory(benchmark::State& bench)
{
    const auto workers = static_cast<std::uint32_t>(bench.range(0));
    double heap = 0;
    double encoded = 0;
    for (auto _ : bench)
    {
        const std::size_t before = heap_in_use();
        hall_fixture hall;
        fill(hall, workers);
        heap = static_cast<double>(heap_in_use() - before);
        encoded = static_cast<double>(hall.state().save().size());
    }
    bench.counters["heap_kb"] = heap / 1000;
    bench.counters["snapshot_kb"] = encoded / 1000;
}

// Root state: configurations with one job each, and the request ids of their changes.
void root_memory(benchmark::State& bench)
{
    const std::int64_t configurations = bench.range(0);
    double heap = 0;
    double encoded = 0;
    for (auto _ : bench)
    {
        const std::size_t before = heap_in_use();
        root_state root;
        put_template shape;
        shape.organisation = organisation_id{1};
        shape.request_id = "template";
        shape.content.name = "clue-check";
        shape.content.limits = parameters{{64'000, 262'144, 8, 1}, 1000, 3, 0, {}};
        root.apply(0, shape);
        for (std::int64_t i = 0; i < configurations; ++i)
        {
            put_configuration put;
            put.organisation = organisation_id{1};
            put.request_id = "0123456789abcdef0123456789abcdef" + std::to_string(i);
            put.name = "configuration-" + std::to_string(i);
            put.template_name = "clue-check";
            put.values = parameters{{2000, 4096, 0, 1}, 4, 1, 60, {}};
            put.parts = {{hall_id{1}, 4}};
            root.apply(0, put);
        }
        heap = static_cast<double>(heap_in_use() - before);
        encoded = static_cast<double>(root.save().size());
    }
    bench.counters["heap_kb"] = heap / 1000;
    bench.counters["snapshot_kb"] = encoded / 1000;
}

// Claims of not-repeatable requests, each with a 100-byte response.
void claim_memory(benchmark::State& bench)
{
    const std::int64_t claims = bench.range(0);
    double heap = 0;
    for (auto _ : bench)
    {
        const std::size_t before = heap_in_use();
        claim_table table;
        for (std::int64_t i = 0; i < claims; ++i)
        {
            const std::string key = "01931b60-0000-7000-8000-" + std::to_string(100'000'000'000 + i);
            const attempt_id attempt{static_cast<std::uint64_t>(i + 1)};
            table.claim(1000, {organisation_id{1}, key, 1, attempt, 1000, 600'000});
            table.settle({organisation_id{1}, key, attempt, 1, 200, std::string(100, 'x'), 1, 1000});
        }
        heap = static_cast<double>(heap_in_use() - before);
    }
    bench.counters["heap_kb"] = heap / 1000;
}
} // namespace

BENCHMARK(hall_memory)->ArgName("workers")->Arg(96)->Arg(350)->Arg(1500)->Arg(4500)->Iterations(1);
BENCHMARK(root_memory)->ArgName("configurations")->Arg(1000)->Arg(4000)->Arg(16'000)->Iterations(1);
BENCHMARK(claim_memory)->ArgName("claims")->Arg(1000)->Arg(10'000)->Arg(100'000)->Iterations(1);
