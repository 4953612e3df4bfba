#pragma once

/// @file
/// @brief Keeps crash suspects, which are tasks that may crash their hosts, apart from each other and from
/// other work.
///
/// If two suspects are lost with one host and then started together again, they share the blame each time
/// until both are failed, although one is innocent. Tasks of one submission need not be kept apart from each
/// other: it is failed as a whole, and a step that was lost as a whole can start again at once.
/// @since 0.4

#include <map>

#include <walkthread/units/time.hpp>
#include <walkthread/workload/crash_evidence.hpp>
#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief The hosts on which a crash suspect was started recently. Owned by one dispatcher.
/// @since 0.4
class suspect_isolation
{
  public:
    /// @param watch_period how long a host is watched after the start of a suspect; a suspect that has not
    /// crashed its host by then is treated like other work
    suspect_isolation(const crash_evidence_table& crashes, duration watch_period)
        : m_crashes(crashes), m_watch_period(watch_period)
    {
    }

    /// @brief Whether a task is to be started apart. Complexity: logarithmic in the suspects.
    [[nodiscard]] bool suspects(const task_ref& task) const;
    /// @brief Finds the hosts that run a task which was lost so often that it must run alone: its next crash
    /// then tells whether it is at fault, and crashes caused by others don't affect it. Complexity: linear in
    /// the suspects.
    void find_isolated(const workload_state& state);
    /// @brief Records that a suspect is about to be started on a host.
    void note_start(worker_incarnation_id worker, submission_id owner, monotonic_time now);
    /// @brief Records that a run of the task was lost with its host.
    void record_loss(const task_ref& task, monotonic_time now);
    /// @brief Whether a task is in back-off until it is known whether its last hosts crashed or were
    /// partitioned. This begins with the third loss and takes longer after each further one. Complexity:
    /// logarithmic in the suspects.
    [[nodiscard]] bool in_backoff(const task_ref& task, monotonic_time now) const;
    /// @brief Whether a suspect of another submission than `owner` was started on the host recently, or runs
    /// there alone.
    [[nodiscard]] bool has_foreign_suspect(worker_incarnation_id worker, submission_id owner,
                                           monotonic_time now) const;

  private:
    struct watch
    {
        submission_id owner{}; ///< of the suspect started last
        monotonic_time until{};
    };

    const crash_evidence_table& m_crashes;
    duration m_watch_period;
    std::map<worker_incarnation_id, watch> m_watches;
    std::map<worker_incarnation_id, submission_id>
        m_isolated; ///< the id is 0 if there are several submissions
    std::map<task_ref, monotonic_time> m_last_loss;
    monotonic_time m_pruned{}; ///< when old entries of `m_last_loss` were last removed
};

} // namespace walkthread
