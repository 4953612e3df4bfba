#pragma once

/// @file
/// @brief Finds poison tasks, which crash the hosts that they run on, from the evidence of each crash.
///
/// Replicated as a part of `workload_state`. A host that crashes usually ran several tasks, of which at most
/// one caused the crash, so each gets a share of the blame that depends on what the leader knew of it. A lost
/// host counts as crashed only once a new incarnation of a worker answers there: an unresponsive host may
/// just be partitioned from the network.
/// @since 0.4

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <walkthread/workload/incarnation.hpp>
#include <walkthread/workload/submission.hpp>

namespace walkthread
{

/// @brief Shares of the blame for one crash. A task fails when the sum of its shares reaches
/// `failure_threshold` and enough hosts are known to have crashed while it ran there.
namespace blame
{
inline constexpr std::uint32_t failure_threshold = 30;
/// Only this task's submission had just started runs there: two such crashes suffice.
inline constexpr std::uint32_t only_recent_submission = 22;
/// Its submission was one of two that had just started runs there. Three such crashes stay below the
/// threshold; the fourth run is isolated, which gives clear evidence.
inline constexpr std::uint32_t one_of_two_submissions = 9;
/// More than two submissions had just started runs there, or this was the only run. A task with at least
/// this blame is started isolated, so that a second crash gives clearer evidence.
inline constexpr std::uint32_t one_of_many = 8;
/// It had been running for a while: fails after five crashes. No share is smaller, since the platform allows
/// only two starts after the third crash.
inline constexpr std::uint32_t min_share = 6;
/// Crashes during runs that are known to have started; the platform does not allow a task to be failed after
/// fewer. With just this many, its submission must have been the only recent one each time, since otherwise
/// the other submission may have caused a crash.
inline constexpr std::uint32_t min_crashes = 2;
} // namespace blame

/// @brief A run that was lost with its host.
struct lost_run
{
    run_ref run{};
    bool began{};           ///< it is known to have started
    std::uint32_t blame{};  ///< its share if the host crashed
    std::string checkpoint; ///< the last known one; empty for none
    bool over{};            ///< it had ended before the host was lost, so it gets no blame
    MSGPACK_DEFINE(run, began, blame, checkpoint, over)
};

/// @brief Evidence that a task crashes its hosts.
struct crash_evidence
{
    std::uint32_t crashes{};                   ///< hosts that crashed while it is known to have run there
    std::uint32_t unclear{};                   ///< hosts that crashed when it may have started there
    std::uint32_t blame{};                     ///< sum of its shares over `crashes`
    std::uint32_t unconfirmed_losses{};        ///< lost hosts that may have crashed or be partitioned
    std::vector<std::uint32_t> counted_runs{}; ///< runs whose crash has been counted
    MSGPACK_DEFINE(crashes, unclear, blame, unconfirmed_losses, counted_runs)

    /// @brief All hosts that were lost with a run of the task.
    [[nodiscard]] std::uint32_t losses() const
    {
        return crashes + unclear + unconfirmed_losses;
    }
    /// @brief Whether the evidence suffices to fail the task.
    [[nodiscard]] bool reaches_threshold() const
    {
        return crashes > blame::min_crashes ? blame >= blame::failure_threshold
                                            : crashes == blame::min_crashes &&
                                                  blame >= blame::min_crashes * blame::only_recent_submission;
    }
};

/// @brief A task that was failed because it crashes its hosts.
struct poison_task
{
    task_ref task{};
    crash_evidence against;
    std::string last_host; ///< the last host that crashed
    MSGPACK_DEFINE(task, against, last_host)
};

/// @brief Crash evidence of all tasks, and the tasks failed because of it. Deterministic; a part of
/// `workload_state`.
/// @since 0.4
class crash_evidence_table
{
  public:
    /// @brief Notes that an incarnation on a host was unresponsive for longer than its lease: it has crashed
    /// or is partitioned. Complexity: linear in the stored hosts, whose number is bounded.
    void note_unresponsive(const std::string& host, const worker_incarnation_ref& incarnation,
                           std::vector<lost_run> lost);
    /// @brief Notes that an incarnation answers on a host.
    /// @return the runs of the unresponsive incarnation there if it has crashed, that is if another one
    /// answers
    [[nodiscard]] std::vector<lost_run> resolve_unresponsive(const std::string& host,
                                                             const worker_incarnation_ref& incarnation);
    /// @brief Counts the crash of one run, once per run, since successive leaders may report the same loss.
    ///
    /// Runs that may not have started get no share: an order sent to a host that was already down looks the
    /// same as one that crashed the host before it answered.
    /// @return whether the task has to be failed
    bool add_crash_evidence(const lost_run& lost, const std::string& host);
    /// @brief Drops the evidence on a task, or on all tasks of a submission. Complexity: logarithmic in the
    /// suspects.
    void clear(const task_ref& task);
    void clear(submission_id id);

    /// @brief The evidence on a task, or null.
    [[nodiscard]] const crash_evidence* find(const task_ref& task) const;
    [[nodiscard]] const std::map<task_ref, crash_evidence>& suspects() const
    {
        return m_suspects;
    }
    /// @brief The most recent tasks failed as poison tasks, oldest first.
    [[nodiscard]] const std::vector<poison_task>& poison_tasks() const
    {
        return m_poison_tasks;
    }
    /// @brief Number of all poison tasks so far, including those no longer stored.
    [[nodiscard]] std::uint64_t poison_task_count() const
    {
        return m_poison_task_count;
    }

  private:
    struct unresponsive_host
    {
        std::string host;
        std::string id;
        std::vector<lost_run> lost;
        process_start_ms process_start{};
        MSGPACK_DEFINE(host, id, lost, process_start)
    };

    void forget(const unresponsive_host& host);

    std::map<task_ref, crash_evidence> m_suspects;
    std::vector<unresponsive_host> m_unresponsive; ///< oldest first
    std::vector<poison_task> m_poison_tasks;
    std::uint64_t m_poison_task_count{};

  public:
    MSGPACK_DEFINE(m_suspects, m_unresponsive, m_poison_tasks, m_poison_task_count)
};

} // namespace walkthread
