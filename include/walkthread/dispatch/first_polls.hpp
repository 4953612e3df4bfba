#pragma once

/// @file
/// @brief Paces the first polls of workers by a new leader.
/// @since 0.6

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include <walkthread/units/time.hpp>
#include <walkthread/workload/submission.hpp>

namespace walkthread
{

/// @brief Limits of a `first_poll_queue`.
/// @since 0.6
struct first_poll_settings
{
    /// Polls without an answer at a time. Opening as many connections takes a few milliseconds, whatever the
    /// number of workers.
    std::size_t max_in_progress = 256;
    /// A poll without an answer counts for that long: silent workers must not hold up the others.
    milliseconds slot_time{100};
};

/// @brief The workers that a leader has not polled yet, in the order in which it polls them.
///
/// A new leader knows nothing of any worker until it answers. Polling all of them at once would occupy the
/// event loop for a time that grows with the number of workers, during which heartbeats and callers wait:
/// with thousands of workers the leader is deposed, and the next one begins anew. Workers with runs go first:
/// their leases have to be renewed and their ends are waited for. Others follow in the order of their
/// numbers.
/// @since 0.6
class first_poll_queue
{
  public:
    explicit first_poll_queue(first_poll_settings settings = {}) : m_settings(settings)
    {
    }

    /// @brief Adds a worker. Complexity: constant.
    void add(worker_incarnation_id worker, bool has_runs);
    /// @brief Removes and returns the workers to poll now. Complexity: logarithmic in the polls in progress
    /// for each worker returned.
    [[nodiscard]] std::vector<worker_incarnation_id> take(monotonic_time now);
    /// @brief Records that a worker's first poll was answered or failed.
    void finish(worker_incarnation_id worker);
    /// @brief Workers that were not polled yet.
    [[nodiscard]] std::size_t waiting() const
    {
        return m_with_runs.size() + m_others.size();
    }

  private:
    first_poll_settings m_settings;
    std::deque<worker_incarnation_id> m_with_runs;
    std::deque<worker_incarnation_id> m_others;
    std::map<worker_incarnation_id, monotonic_time> m_in_progress; ///< since when
    std::set<std::pair<monotonic_time, worker_incarnation_id>> m_by_age;
};

} // namespace walkthread
