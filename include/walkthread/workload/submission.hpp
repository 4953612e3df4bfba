#pragma once

/// @file
/// @brief What a caller submits: steps of tasks with dependencies, and what each task has become.
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

/// @brief A submission's id, chosen by its caller; unique over all queues.
using submission_id = strong<struct submission_id_tag, std::uint64_t>;
/// @brief One life of a worker on a host, numbered by the replicated state; 0 is none.
using worker_life_id = strong<struct worker_life_id_tag, std::uint32_t>;
/// @brief Which of a submission's repetitions, from 0.
using round_id = strong<struct round_id_tag, std::uint32_t>;

/// @brief One step: tasks of one shape that may start once earlier steps are done.
/// @since 0.2
struct step_spec
{
    std::uint32_t count{};            ///< tasks, at least 1
    resources size{};                 ///< of one task
    std::int64_t estimate_ms{};       ///< the caller's rough guess of one task's run time; 0 for none
    std::vector<std::uint32_t> after; ///< earlier steps, all of whose tasks must be done first
    bool checkpoints{};               ///< tasks report checkpoints and can resume from one
    bool gang{};                      ///< the tasks only work together
    bool same_rack{};                 ///< slower when spread over racks
    bool duplicates_allowed{};        ///< copies of a task may run side by side
    bool lasting{};                   ///< runs until the submission is cancelled
    bool fills{};                     ///< takes only processor time that others leave over
    std::string required_label;       ///< a label the host must have; empty for none
    std::string preferred_rack;       ///< the rack that holds the data; empty for none
    std::uint32_t per_host_limit{};   ///< most tasks of this step and round on one host; 0 for no limit
    std::string image;                ///< tasks of one image behave alike
    std::int64_t latency_target_ms{}; ///< for tasks that serve users: their tail is to stay below; 0 for none
    std::uint32_t may_miss{};         ///< lasting tasks that may be away at once through our own doing
    MSGPACK_DEFINE(count, size, estimate_ms, after, checkpoints, gang, same_rack, duplicates_allowed, lasting,
                   fills, required_label, preferred_rack, per_host_limit, image, latency_target_ms, may_miss)
};

/// @brief Steps of one submission at most: far above what callers send; bounds one entry's size.
inline constexpr std::size_t most_steps = 64;

/// @brief A whole submission as its caller wrote it.
/// @since 0.2
struct submission_spec
{
    std::string payload; ///< opaque text for the tasks
    std::vector<step_spec> steps;
    std::uint32_t rounds{1};  ///< how many times the steps run
    wall_ms first_due{};      ///< when round 0 is due; 0 for at once
    std::int64_t period_ms{}; ///< from one round to the next
    MSGPACK_DEFINE(payload, steps, rounds, first_due, period_ms)

    /// @brief When a round is due, in wall time; 0 for at once.
    [[nodiscard]] wall_ms due_at(round_id round) const
    {
        return first_due == 0 ? 0 : first_due + static_cast<wall_ms>(round.value()) * period_ms;
    }
};

/// @brief Names one step of one round of a submission.
struct step_ref
{
    submission_id submission{};
    round_id round{};
    std::uint32_t step{};
    friend auto operator<=>(const step_ref&, const step_ref&) = default;
    MSGPACK_DEFINE(submission, round, step)
};

/// @brief Names one task.
struct task_ref
{
    step_ref step{};
    std::uint32_t index{};
    friend auto operator<=>(const task_ref&, const task_ref&) = default;
    MSGPACK_DEFINE(step, index)
};

/// @brief Names one start of a task.
struct run_ref
{
    task_ref task{};
    std::uint32_t run{};
    friend auto operator<=>(const run_ref&, const run_ref&) = default;
    MSGPACK_DEFINE(task, run)
};

/// @brief How a run ended, as its worker reports it.
enum class run_end : std::uint8_t
{
    completed,   ///< the task is done
    failed,      ///< counts as an attempt
    stopped,     ///< on our order
    lapsed,      ///< the worker's lease ran out
    broken,      ///< another member of its gang ended
    lonely,      ///< the other members of its gang did not come
    never_began, ///< the worker surely did not start it and never will
};

/// @brief What a task is at the moment.
enum class work_phase : std::uint8_t
{
    waiting,
    active, ///< a run of it may exist at `worker`
    completed,
};

/// @brief One task's record.
struct work_task
{
    std::uint8_t phase{};       ///< a work_phase
    std::uint32_t run{};        ///< the last run's number; 0 before the first
    std::uint32_t failures{};   ///< runs that ended as failed
    worker_life_id worker{};    ///< where the active run is
    worker_life_id failed_on{}; ///< where the last failed run was
    std::string checkpoint;     ///< the newest known; empty for none
    std::uint8_t last_end{};    ///< a run_end: of the last run, where the task waits again
    MSGPACK_DEFINE(phase, run, failures, worker, failed_on, checkpoint, last_end)

    [[nodiscard]] work_phase state() const
    {
        return static_cast<work_phase>(phase);
    }
    /// @brief Whether that run of it may exist.
    [[nodiscard]] bool is_active(std::uint32_t in_run) const
    {
        return state() == work_phase::active && run == in_run;
    }
    /// @brief Whether a run of it, as a member of a gang, ended because another member had.
    [[nodiscard]] bool broke(std::uint32_t in_run) const
    {
        return state() == work_phase::waiting && run == in_run &&
               last_end == static_cast<std::uint8_t>(run_end::broken);
    }
};

/// @brief What a submission is at the moment.
enum class submission_phase : std::uint8_t
{
    queued,
    running,
    completed,
    failed,
    cancelled,
};

/// @brief One step's progress in one round.
struct step_progress
{
    std::vector<work_task> tasks;
    std::uint32_t completed{};
    std::uint32_t gang_failures{};   ///< runs of the whole gang that ended as failed
    std::uint32_t gang_failed_run{}; ///< the newest run counted there
    MSGPACK_DEFINE(tasks, completed, gang_failures, gang_failed_run)

    /// @brief Whether every task is completed.
    [[nodiscard]] bool complete() const
    {
        return completed == tasks.size();
    }
};

/// @brief One round's progress.
struct round_progress
{
    std::vector<step_progress> steps;
    std::uint32_t completed_steps{};
    MSGPACK_DEFINE(steps, completed_steps)
};

/// @brief A kept submission.
/// @since 0.2
struct submission
{
    submission_id id{};
    std::string queue;
    std::string pool; ///< the hosts' pool that runs it
    std::uint32_t max_attempts{};
    submission_spec spec;
    std::uint8_t phase{}; ///< a submission_phase
    wall_ms accepted{};
    wall_ms ended{}; ///< when it became final; 0 before
    std::vector<round_progress> rounds;
    std::uint32_t completed_rounds{};
    std::uint32_t active{};   ///< tasks in phase active
    std::string organisation; ///< whose it is; empty for nobody's
    MSGPACK_DEFINE(id, queue, pool, max_attempts, spec, phase, accepted, ended, rounds, completed_rounds,
                   active, organisation)

    [[nodiscard]] submission_phase state() const
    {
        return static_cast<submission_phase>(phase);
    }
    /// @brief Whether nothing of it is to be started any more.
    [[nodiscard]] bool final() const
    {
        return phase >= static_cast<std::uint8_t>(submission_phase::completed);
    }
};

} // namespace walkthread
