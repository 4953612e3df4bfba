#pragma once

/// @file
/// @brief Decides what a replica's disk does next: write the log, store a snapshot, or rewrite the log.
///
/// Runs no thread and reads no clock: the owner runs one task at a time and reports its outcome.
/// @since 0.6

#include <functional>
#include <memory>
#include <optional>

#include <walkthread/replication/replicated_group.hpp>
#include <walkthread/storage/data_folder.hpp>

namespace walkthread
{

/// @brief The kinds of work of a replica's disk.
enum class disk_work : std::uint8_t
{
    log_write,
    snapshot,
    rewrite
};

/// @brief One piece of work for the disk. `run` may block and may run on another thread.
struct disk_task
{
    disk_work kind{};
    std::function<result<done, storage_error>()> run;
};

/// @brief What the outcome of a task means for the replica.
struct disk_report
{
    disk_work kind{};               ///< of the task
    bool failed{};                  ///< permanent failure: the process has to stop
    bool log_durable{};             ///< all output added so far is durable
    bool refuses{};                 ///< the log write was refused and will be tried again
    bool accepts{};                 ///< the first log write that succeeded after a refusal
    bool refuses_maintenance{};     ///< a snapshot or a rewriting was refused, which leaves the log usable
    std::uint64_t log_bytes{};      ///< size of the log file
    std::uint64_t snapshot_bytes{}; ///< size of the state in a snapshot that was stored
};

/// @brief The data folder of one replica and the order of its work. Used by the thread that runs the replica.
/// @since 0.6
class replica_storage
{
  public:
    /// @param folder the replica's data folder
    /// @param group the replica; it must outlive this object
    replica_storage(std::unique_ptr<data_folder> folder, replicated_group& group);

    /// @brief Adds a replica's output to the next log write. Must not be called while `busy()`.
    void add(const replica_output& output);
    /// @brief Whether output added earlier is not durable yet or a task is in progress.
    [[nodiscard]] bool busy() const
    {
        return m_in_progress || m_has_output;
    }
    /// @brief The next task, which the caller must run and then report by `finish`; no value if there is
    /// nothing to do at `now` or a task is in progress.
    [[nodiscard]] std::optional<disk_task> next_task(monotonic_time now);
    /// @brief Reports the outcome of the task in progress.
    disk_report finish(const result<done, storage_error>& outcome, monotonic_time now);
    /// @brief When a refused log write is to be tried again; no value if none was refused.
    [[nodiscard]] std::optional<monotonic_time> retry_at() const;

    /// @brief Whether the log is within twice its limit. It grows past that only while the disk refuses
    /// snapshots or rewritings, and large changes that can be sent again later should then be refused.
    [[nodiscard]] bool has_room() const
    {
        return m_log_bytes <= 2 * m_folder->log_limit();
    }
    /// @brief Size of the log file after the last task.
    [[nodiscard]] std::uint64_t log_bytes() const
    {
        return m_log_bytes;
    }
    [[nodiscard]] const data_folder& folder() const
    {
        return *m_folder;
    }

  private:
    void retry_log_write(monotonic_time now);
    void delay_maintenance(disk_work refused, monotonic_time now);
    disk_task begin(disk_work kind, std::function<result<done, storage_error>()> run);
    [[nodiscard]] std::optional<disk_task> maintenance_task();
    disk_task snapshot_task();
    [[nodiscard]] std::optional<disk_task> rewrite_task();

    std::unique_ptr<data_folder> m_folder;
    replicated_group& m_group;
    std::optional<disk_work> m_in_progress;
    std::shared_ptr<const snapshot> m_unstored_snapshot; ///< being stored
    std::uint64_t m_state_bytes = 0; ///< size of the last snapshot; 0 if none was stored since the start
    std::uint64_t m_log_bytes;       ///< copied, as the folder belongs to the disk's thread during a task
    bool m_has_output = false;       ///< output was added that is not durable yet
    bool m_log_written = false;      ///< the last task was a log write: maintenance has its turn
    bool m_log_refused = false;
    monotonic_time m_retry_at{};
    std::optional<disk_work> m_refused_maintenance;
    milliseconds m_maintenance_delay{}; ///< after the last refusal of a snapshot or rewriting; 0 for none
    monotonic_time m_maintenance_at{};  ///< neither of both is tried before
};

} // namespace walkthread
