#pragma once

/// @file
/// @brief Submissions of callers: steps of tasks with dependencies, and the progress of each task.
/// @since 0.2

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <walkthread/units/amounts.hpp>
#include <walkthread/units/strong.hpp>
#include <walkthread/units/time.hpp>
#include <walkthread/workload/task_table.hpp>

namespace walkthread
{

/// @brief Id of a submission, chosen by its caller; unique over all queues.
using submission_id = strong<struct submission_id_tag, std::uint64_t>;
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

    /// @brief When a round is due, in wall time; 0 for immediately. Times that the type cannot hold become
    /// its highest value.
    [[nodiscard]] wall_ms due_at(round_id round) const;
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

/// @brief Current phase of a submission.
enum class submission_phase : std::uint8_t
{
    queued,
    running,
    completed,
    failed,
    cancelled,
};

/// @brief How many rounds of a submission that have not begun are ready at the same time: it bounds the index
/// of ready steps after an outage, and a round for which no worker is allowed does not delay those behind it.
inline constexpr std::uint32_t max_ready_rounds = 8;

/// @brief Progress of one step in one round.
struct step_progress
{
    task_table tasks;
    std::uint32_t gang_failures{};   ///< runs of the whole gang that ended as failed
    std::uint32_t gang_failed_run{}; ///< highest run number counted in `gang_failures`
    MSGPACK_DEFINE(tasks, gang_failures, gang_failed_run)
};

/// @brief Progress of one round that has begun.
struct round_progress
{
    std::vector<step_progress> steps;
    std::uint32_t completed_steps{};
    MSGPACK_DEFINE(steps, completed_steps)
};

/// @brief Progress of a step as the releases before 0.10 stored it.
struct former_step_progress
{
    std::vector<work_task> tasks;
    std::uint32_t completed{};
    std::uint32_t gang_failures{};
    std::uint32_t gang_failed_run{};
    MSGPACK_DEFINE(tasks, completed, gang_failures, gang_failed_run)
};

/// @brief Progress of a round as the releases before 0.10 stored it, also for rounds that had not begun.
struct former_round_progress
{
    std::vector<former_step_progress> steps;
    std::uint32_t completed_steps{};
    MSGPACK_DEFINE(steps, completed_steps)
};

/// @brief Stored state of a submission. Its size follows its description and the work in progress.
/// @since 0.2
struct submission
{
    submission_id id{};
    std::string queue;            ///< name of its queue when it was accepted
    std::string pool;             ///< of its queue when it was accepted; see `workload_state::pool_of`
    std::uint32_t max_attempts{}; ///< of its queue when it was accepted, and valid until it ends
    submission_spec spec;
    std::uint8_t phase{}; ///< a submission_phase
    wall_ms accepted{};
    wall_ms ended{};                                     ///< when it became final; 0 until then
    std::vector<former_round_progress> former_rounds;    ///< only in snapshots of releases before 0.10
    std::uint32_t former_completed_rounds{};             ///< likewise
    std::uint32_t active{};                              ///< tasks in phase active
    std::string organisation;                            ///< owner; empty for none
    std::uint32_t next_round{};                          ///< the first round that has not begun
    std::map<std::uint32_t, round_progress> open_rounds; ///< rounds that have begun and not completed
    /// Route of its queue when it was accepted; see `workload_state::queue_of`. Empty in snapshots of
    /// releases before 0.10.
    std::string route;
    MSGPACK_DEFINE(id, queue, pool, max_attempts, spec, phase, accepted, ended, former_rounds,
                   former_completed_rounds, active, organisation, next_round, open_rounds, route)

    std::uint64_t description_bytes{}; ///< derived, see `state_size.hpp`
    std::uint64_t charged_bytes{};     ///< derived: its part of `workload_state::bytes`
    /// Derived: the first round whose steps are not indexed yet. Follows the time, see
    /// `workload_state::release_due`.
    mutable std::uint32_t indexed_end{};

    [[nodiscard]] submission_phase state() const
    {
        return static_cast<submission_phase>(phase);
    }
    /// @brief Whether it has ended, so that no more of its tasks start.
    [[nodiscard]] bool final() const
    {
        return phase >= static_cast<std::uint8_t>(submission_phase::completed);
    }
    /// @brief Under which its queue's run times and advice are learned: the route, which outlives names.
    [[nodiscard]] const std::string& queue_key() const
    {
        return route.empty() ? queue : route;
    }
    /// @brief Whether a round has completed.
    [[nodiscard]] bool round_completed(std::uint32_t round) const
    {
        return round < next_round && !open_rounds.contains(round);
    }
    /// @brief Begins all rounds up to and including this one.
    void begin_rounds(std::uint32_t last);
    /// @brief Takes over rounds stored by a release before 0.10.
    void convert_former_rounds();
};

/// @brief The tasks of one step in one round, whether the round has begun or not.
/// @since 0.10
class step_tasks
{
  public:
    /// @param owner must have this step and outlive the object
    step_tasks(const submission& owner, round_id round, std::uint32_t step);
    step_tasks(const submission& owner, const step_ref& ref) : step_tasks(owner, ref.round, ref.step)
    {
    }

    [[nodiscard]] std::uint32_t size() const
    {
        return m_count;
    }
    /// @brief State of a task. Complexity: logarithmic in the tasks in progress.
    [[nodiscard]] const work_task& operator[](std::uint32_t index) const;
    [[nodiscard]] std::uint32_t completed() const
    {
        return m_table != nullptr ? m_table->completed() : m_completed ? m_count : 0;
    }
    [[nodiscard]] std::uint32_t waiting() const
    {
        return m_table != nullptr ? m_table->waiting() : m_completed ? 0 : m_count;
    }
    [[nodiscard]] bool complete() const
    {
        return completed() == m_count;
    }
    /// @brief Number of waiting tasks that have begun before.
    [[nodiscard]] std::uint32_t waiting_again() const
    {
        return m_table == nullptr ? 0 : static_cast<std::uint32_t>(records().size()) - m_table->active();
    }
    /// @brief The tasks that have begun and not completed, by index.
    [[nodiscard]] const std::map<std::uint32_t, work_task>& records() const;

  private:
    std::uint32_t m_count{};
    const task_table* m_table{}; ///< null if the round has not begun or has completed
    bool m_completed{};
};

} // namespace walkthread
