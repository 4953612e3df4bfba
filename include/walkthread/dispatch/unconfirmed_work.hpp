#pragma once

/// @file
/// @brief Submissions whose starts are recorded, but of which no worker has said yet that it began one.
/// @since 0.2

#include <cstdint>
#include <string>
#include <unordered_map>

#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief Knows which running submissions have not begun as far as their leader knows. A start is recorded
/// before its order is sent, and an order may reach nobody.
/// @since 0.2
class unconfirmed_work
{
  public:
    /// @brief The first starts of a submission were recorded, or were found never to have begun.
    void add(submission_id id, std::string queue)
    {
        m_queues.emplace(id, std::move(queue));
    }
    /// @brief A worker said that it runs, or ran, a task of the submission.
    void confirm(submission_id id)
    {
        m_queues.erase(id);
    }
    /// @brief Forgets submissions that are over. Complexity: linear in the submissions held here.
    void prune(const workload_state& state);
    /// @brief How many submissions of a queue wait for a worker's word. Complexity: as `prune`.
    [[nodiscard]] std::uint32_t count(const std::string& queue, const workload_state& state) const;

  private:
    std::unordered_map<submission_id, std::string> m_queues;
};

/// @brief Whether the record of a running submission shows no sign that any task of it began: no task runs,
/// is completed, failed or left a checkpoint, or was tried twice. Complexity: linear in its tasks.
[[nodiscard]] bool shows_no_beginning(const submission& owner);

} // namespace walkthread
