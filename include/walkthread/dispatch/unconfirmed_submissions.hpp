#pragma once

/// @file
/// @brief Submissions whose starts are committed but not yet confirmed by any worker.
/// @since 0.2

#include <cstdint>
#include <string>
#include <unordered_set>

#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief Tracks running submissions of which, as far as the leader knows, no task has started. A start is
/// committed before its order is sent, and the order may not reach the worker.
/// @since 0.2
class unconfirmed_submissions
{
  public:
    /// @brief Adds a submission whose first starts were committed, or were found never to have begun.
    void add(submission_id id)
    {
        m_ids.insert(id);
    }
    /// @brief Removes a submission: a worker reported that it runs, or ran, one of its tasks.
    void confirm(submission_id id)
    {
        m_ids.erase(id);
    }
    /// @brief Removes submissions that are not running any more. Complexity: linear in the tracked
    /// submissions.
    void prune(const workload_state& state);
    /// @brief Number of submissions of a queue that wait for a worker's confirmation. Complexity: as `prune`.
    [[nodiscard]] std::uint32_t count(const std::string& queue, const workload_state& state) const;

  private:
    std::unordered_set<submission_id> m_ids;
};

/// @brief Whether the record of a running submission shows no sign that any of its tasks started: none is
/// running, completed, failed, has left a checkpoint or was tried twice. Complexity: linear in its tasks.
[[nodiscard]] bool shows_no_start(const submission& owner);

} // namespace walkthread
