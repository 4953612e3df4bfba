#pragma once

/// @file
/// @brief The tasks of one step of one round: a record only for tasks that have begun and not completed.
/// @since 0.10

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include <walkthread/units/strong.hpp>

namespace walkthread
{

/// @brief Number of a worker's incarnation, assigned by the replicated state; 0 for none.
using worker_incarnation_id = strong<struct worker_incarnation_id_tag, std::uint32_t>;

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

/// @brief The tasks of one step. Its size follows the work in progress and not the number of tasks.
///
/// Tasks up to the highest index that has begun and without a record have completed; later ones have not
/// begun. Indexes must be below `size()`.
/// @since 0.10
class task_table
{
  public:
    task_table() = default;
    /// @brief Tasks none of which has begun.
    explicit task_table(std::uint32_t count) : m_count(count)
    {
    }
    /// @brief The tasks as the releases before 0.10 stored them, with a record each.
    explicit task_table(const std::vector<work_task>& tasks);

    /// @brief Number of tasks.
    [[nodiscard]] std::uint32_t size() const
    {
        return m_count;
    }
    [[nodiscard]] std::uint32_t completed() const
    {
        return m_begun - static_cast<std::uint32_t>(m_records.size());
    }
    [[nodiscard]] std::uint32_t active() const
    {
        return m_active;
    }
    [[nodiscard]] std::uint32_t waiting() const
    {
        return m_count - completed() - m_active;
    }
    [[nodiscard]] bool complete() const
    {
        return completed() == m_count;
    }
    /// @brief The state of any task that has not begun.
    [[nodiscard]] static const work_task& waiting_task();
    /// @brief The state of any task that has completed; its run number is not kept.
    [[nodiscard]] static const work_task& completed_task();
    /// @brief State of a task. Complexity: logarithmic in the
    /// records.
    [[nodiscard]] const work_task& operator[](std::uint32_t index) const;
    /// @brief The tasks that have begun and not completed, by index.
    [[nodiscard]] const std::map<std::uint32_t, work_task>& records() const
    {
        return m_records;
    }
    /// @brief Total length of the stored checkpoints.
    [[nodiscard]] std::uint64_t checkpoint_bytes() const
    {
        return m_checkpoint_bytes;
    }

    /// @brief Makes a waiting task active.
    void start(std::uint32_t index, std::uint32_t run, worker_incarnation_id worker);
    /// @brief Makes an active task wait again.
    void end(std::uint32_t index, run_end how);
    /// @brief Records that the active run of a task exists at another incarnation of its worker.
    void move(std::uint32_t index, worker_incarnation_id worker);
    /// @brief Counts a failed run of a task that has begun.
    void count_failure(std::uint32_t index, worker_incarnation_id worker);
    /// @brief Stores the checkpoint of a task that has begun.
    void set_checkpoint(std::uint32_t index, const std::string& checkpoint);
    /// @brief Completes a task and drops its record.
    void complete(std::uint32_t index);

    template <typename Packer>
    void msgpack_pack(Packer& packer) const
    {
        packer.pack_array(3);
        packer.pack(m_count);
        packer.pack(m_begun);
        packer.pack(m_records);
    }
    void msgpack_unpack(const msgpack::object& from);

  private:
    work_task& record_of(std::uint32_t index);
    void count_records();

    std::uint32_t m_count{};
    std::uint32_t m_begun{}; ///< all later tasks have not begun
    std::map<std::uint32_t, work_task> m_records;
    std::uint32_t m_active{};           // derived from the records, as is the next
    std::uint64_t m_checkpoint_bytes{}; // not saved
};

} // namespace walkthread
