#pragma once

/// @file
/// @brief Keeps tasks that may crash their hosts apart from each other and from other work.
///
/// Two tasks that are lost with one host and started together again share the blame each time, until both are
/// given up, of which one is innocent. Tasks of one submission share none, as it is given up as a whole: they
/// need not be kept apart from each other, and a step that was lost whole starts again at once.
/// @since 0.4

#include <map>

#include <walkthread/units/time.hpp>
#include <walkthread/workload/crash_ledger.hpp>
#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief Which hosts a suspect was started on just now. Belongs to one dispatcher.
/// @since 0.4
class suspect_watch
{
  public:
    /// @param lasts how long a host is watched: a suspect that has not crashed it by then is like other work
    suspect_watch(const crash_ledger& crashes, duration lasts) : m_crashes(crashes), m_lasts(lasts)
    {
    }

    /// @brief Whether a task is to be started apart. Complexity: logarithmic in the suspects.
    [[nodiscard]] bool suspects(const task_ref& task) const;
    /// @brief Finds the hosts on which a task runs now that was lost so often that it is to run by itself: so
    /// its next crash tells whether it is at fault, and crashes of others do not reach it. Complexity: linear
    /// in the suspects.
    void find_isolated(const workload_state& state);
    /// @brief A suspect is about to be started there.
    void note_start(worker_life_id worker, submission_id owner, monotonic_time now);
    /// @brief A run of it was lost with its host.
    void note_loss(const task_ref& task, monotonic_time now);
    /// @brief Whether a task waits until it is known whether its last hosts crashed or were cut off: after
    /// the third loss, longer after each one more. Complexity: logarithmic in the suspects.
    [[nodiscard]] bool rests(const task_ref& task, monotonic_time now) const;
    /// @brief Whether a suspect of another submission than `owner` was started there just now, or runs there
    /// by itself.
    [[nodiscard]] bool watches(worker_life_id worker, submission_id owner, monotonic_time now) const;

  private:
    struct watch
    {
        submission_id owner{}; ///< of the suspect that was started last
        monotonic_time until{};
    };

    const crash_ledger& m_crashes;
    duration m_lasts;
    std::map<worker_life_id, watch> m_watches;
    std::map<worker_life_id, submission_id> m_isolated; ///< of several submissions: no id
    std::map<task_ref, monotonic_time> m_last_loss;
    monotonic_time m_pruned{}; ///< when old entries of it were dropped last
};

} // namespace walkthread
