#pragma once

/// @file
/// @brief Submissions of callers: steps of tasks with dependencies, and the progress of each task.
/// @since 0.2

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <walkthread/units/amounts.hpp>
#include <walkthread/units/strong.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Id of a submission, chosen by its caller; unique over all queues.
using submission_id = strong<struct submission_id_tag, std::uint64_t>;
/// @brief Number of a worker's incarnation, assigned by the replicated state; 0 for none.
using worker_incarnation_id = strong<struct worker_incarnation_id_tag, std::uint32_t>;
/// @brief Index of a repetition of a submission, from 0.
using round_id = strong<struct round_id_tag, std::uint32_t>;

/// @brief One step: equal tasks that may start once the steps they depend on have completed.
/// @since 0.2
struct step_spec
{
    std::uint32_t count{};            ///< number of tasks, at least 1
    resources size{};                 ///< of one task
    std::int64_t estimate_ms{};       ///< the caller's rough estimate of one task's run time; 0 for none
    std::vector<std::uint32_t> after; ///< indexes of earlier steps that must complete first
    bool checkpoints{};               ///< tasks report checkpoints and can resume from one
    bool gang{};                      ///< gang scheduling: the tasks only work if all of them run
    bool same_rack{};                 ///< slower when spread over several racks
    bool duplicates_allowed{};        ///< several runs of a task may exist at the same time
    bool long_running{};              ///< runs until the submission is cancelled
    bool fills{};                     ///< best effort: uses only processor time that other tasks leave idle
    std::string required_label;       ///< a label the host must have; empty for none
    std::string preferred_rack;       ///< the rack that holds the data; empty for none
    std::uint32_t per_host_limit{};   ///< maximum tasks of this step and round on one host; 0 for no limit
    std::string image;                ///< tasks of the same image are assumed to behave alike
    std::int64_t latency_target_ms{}; ///< for tasks that serve users: bound on their tail latency; 0 for none
    std::uint32_t may_miss{};         ///< how many long-running tasks the scheduler may stop at the same time
    MSGPACK_DEFINE(count, size, estimate_ms, after, checkpoints, gang, same_rack, duplicates_allowed,
                   long_running, fills, required_label, preferred_rack, per_host_limit, image,
                   latency_target_ms, may_miss)
};

/// @brief Maximum steps of one submission: far above what callers send; bounds the size of a log entry.
inline constexpr std::size_t max_steps = 64;

/// @brief A submission as sent by its caller.
/// @since 0.2
struct submission_spec
{
    std::string payload; ///< opaque text that is passed to the tasks
    std::vector<step_spec> steps;
    std::uint32_t rounds{1};  ///< number of repetitions of all steps
    wall_ms first_due{};      ///< when round 0 is due; 0 for immediately
    std::int64_t period_ms{}; ///< from one round to the next
    MSGPACK_DEFINE(payload, steps, rounds, first_due, period_ms)

    /// @brief When a round is due, in wall time; 0 for immediately.
    [[nodiscard]] wall_ms due_at(round_id round) const
    {
        return first_due == 0 ? 0 : first_due + static_cast<wall_ms>(round.value()) * period_ms;
    }
};

/// @brief Identifies one step in one round of a submission.
struct step_ref
{
    submission_id submission{};
    round_id round{};
    std::uint32_t step{};
    friend auto operator<=>(const step_ref&, const step_ref&) = default;
    MSGPACK_DEFINE(submission, round, step)
};

/// @brief Identifies one task.
struct task_ref
{
    step_ref step{};
    std::uint32_t index{};
    friend auto operator<=>(const task_ref&, const task_ref&) = default;
    MSGPACK_DEFINE(step, index)
};

/// @brief Identifies one run of a task.
struct run_ref
{
    task_ref task{};
    std::uint32_t run{};
    friend auto operator<=>(const run_ref&, const run_ref&) = default;
    MSGPACK_DEFINE(task, run)
};

/// @brief How a run ended.
enum class run_end : std::uint8_t
{
    completed,   ///< the task succeeded
    failed,      ///< counts as an attempt
    stopped,     ///< by an order of the leader
    lapsed,      ///< the worker's lease expired
    broken,      ///< another member of its gang ended
    lonely,      ///< the other members of its gang did not start in time
    never_began, ///< the worker did not start it and never will
};

/// @brief Current phase of a task.
enum class work_phase : std::uint8_t
{
    waiting,
    active, ///< a run of it may exist at `worker`
    completed,
};

/// @brief Stored state of one task.
struct work_task
{
    std::uint8_t phase{};              ///< a work_phase
    std::uint32_t run{};               ///< number of the last run; 0 before the first
    std::uint32_t failures{};          ///< runs that ended as failed
    worker_incarnation_id worker{};    ///< worker of the active run
    worker_incarnation_id failed_on{}; ///< worker of the last failed run
    std::string checkpoint;            ///< the last known one; empty for none
    std::uint8_t last_end{};           ///< a run_end: how the last run ended, if the task is waiting again
    MSGPACK_DEFINE(phase, run, failures, worker, failed_on, checkpoint, last_end)

    [[nodiscard]] work_phase state() const
    {
        return static_cast<work_phase>(phase);
    }
    /// @brief Whether this run may exist.
    [[nodiscard]] bool is_active(std::uint32_t in_run) const
    {
        return state() == work_phase::active && run == in_run;
    }
    /// @brief Whether this run ended because another member of its gang ended.
    [[nodiscard]] bool broke(std::uint32_t in_run) const
    {
        return state() == work_phase::waiting && run == in_run &&
               last_end == static_cast<std::uint8_t>(run_end::broken);
    }
};

/// @brief Current phase of a submission.
enum class submission_phase : std::uint8_t
{
    queued,
    running,
    completed,
    failed,
    cancelled,
};

/// @brief Progress of one step in one round.
struct step_progress
{
    std::vector<work_task> tasks;
    std::uint32_t completed{};
    std::uint32_t gang_failures{};   ///< runs of the whole gang that ended as failed
    std::uint32_t gang_failed_run{}; ///< highest run number counted in `gang_failures`
    MSGPACK_DEFINE(tasks, completed, gang_failures, gang_failed_run)

    /// @brief Whether every task is completed.
    [[nodiscard]] bool complete() const
    {
        return completed == tasks.size();
    }
};

/// @brief Progress of one round.
struct round_progress
{
    std::vector<step_progress> steps;
    std::uint32_t completed_steps{};
    MSGPACK_DEFINE(steps, completed_steps)
};

/// @brief Stored state of a submission.
/// @since 0.2
struct submission
{
    submission_id id{};
    std::string queue;
    std::string pool;             ///< of its queue when it was accepted; see `workload_state::pool_of`
    std::uint32_t max_attempts{}; ///< of its queue when it was accepted, and valid until it ends
    submission_spec spec;
    std::uint8_t phase{}; ///< a submission_phase
    wall_ms accepted{};
    wall_ms ended{}; ///< when it became final; 0 until then
    std::vector<round_progress> rounds;
    std::uint32_t completed_rounds{};
    std::uint32_t active{};   ///< tasks in phase active
    std::string organisation; ///< owner; empty for none
    MSGPACK_DEFINE(id, queue, pool, max_attempts, spec, phase, accepted, ended, rounds, completed_rounds,
                   active, organisation)

    [[nodiscard]] submission_phase state() const
    {
        return static_cast<submission_phase>(phase);
    }
    /// @brief Whether it has ended, so that no more of its tasks start.
    [[nodiscard]] bool final() const
    {
        return phase >= static_cast<std::uint8_t>(submission_phase::completed);
    }
};

} // namespace walkthread
