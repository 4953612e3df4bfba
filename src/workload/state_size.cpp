#include <walkthread/workload/state_size.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
// Nodes of the indexes, heap overhead, and strings too long to be stored in place, such as queue names.
constexpr std::uint64_t submission_overhead = 256;
constexpr std::uint64_t encoded_submission = 96;
// An entry in the index of ready steps and the dispatcher's view of a step that waits.
constexpr std::uint64_t step_overhead = 256;
constexpr std::uint64_t encoded_step = 64;
// The run's entry at its worker and the dispatcher's view of it.
constexpr std::uint64_t run_overhead = 448;
constexpr std::uint64_t task_node = 48;
constexpr std::uint64_t encoded_task = 16;

constexpr std::uint64_t default_memory = 256U << 20U;
// A quarter of the memory is the log's, see `storage_limits`, and a quarter is left for everything else.
constexpr std::uint64_t state_share = 2;
// Room for tasks that start after the last submission was accepted.
constexpr std::uint64_t start_reserve_share = 16;
// A snapshot has to fit into one frame and one file that can be decoded, both at most 64 MiB.
constexpr std::uint64_t max_state_bytes = (48U << 20U) * encoded_copies;

} // namespace

std::uint64_t round_bytes(const submission_spec& spec)
{
    constexpr std::uint64_t each = sizeof(step_progress) + encoded_copies * encoded_task;
    return spec.steps.size() * each;
}

std::uint64_t task_bytes()
{
    return sizeof(work_task) + task_node + run_overhead + encoded_copies * encoded_task;
}

std::uint64_t description_bytes(const submission_spec& spec)
{
    const std::uint64_t ready_rounds = std::min(spec.rounds, max_ready_rounds);
    std::uint64_t bytes = text_bytes(spec.payload.size());
    for (const step_spec& step : spec.steps)
    {
        bytes += sizeof(step_spec) + ready_rounds * step_overhead + encoded_copies * encoded_step;
        bytes += text_bytes(step.required_label.size() + step.preferred_rack.size() + step.image.size() +
                            step.after.size() * sizeof(std::uint32_t));
    }
    return bytes;
}

std::uint64_t size_when_accepted(const submission_spec& spec)
{
    return sizeof(submission) + submission_overhead + encoded_copies * encoded_submission +
           description_bytes(spec) + round_bytes(spec);
}

// The first round that has not begun counts as if it had, so that accepted work can always begin.
std::uint64_t size_of(const submission& owner)
{
    std::uint64_t bytes = sizeof(submission) + submission_overhead + encoded_copies * encoded_submission +
                          owner.description_bytes;
    const bool waits = owner.next_round == 0;
    bytes += (owner.open_rounds.size() + (waits ? 1 : 0)) * round_bytes(owner.spec);
    for (const auto& [number, round] : owner.open_rounds)
    {
        for (const step_progress& step : round.steps)
        {
            bytes += step.tasks.records().size() * task_bytes() + text_bytes(step.tasks.checkpoint_bytes());
        }
    }
    return bytes;
}

state_limits make_state_limits(std::uint64_t memory_bytes)
{
    const std::uint64_t memory = memory_bytes > 0 ? memory_bytes : default_memory;
    const std::uint64_t all = std::min(memory / state_share, max_state_bytes);
    return {all - all / start_reserve_share, all};
}

} // namespace walkthread
