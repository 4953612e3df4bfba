#pragma once

/// @file
/// @brief The steps with tasks that may start, grouped by what their tasks need of a worker.
///
/// Steps that no present worker can take are kept apart: they cost nothing until the workers change.
/// Otherwise they would slow down each look at those that can start.
/// @since 0.10

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

#include <walkthread/workload/submission.hpp>

namespace walkthread
{

/// @brief What a task needs of its worker.
struct step_requirement
{
    std::string pool;
    std::string label; ///< that the worker must have; empty for none
    resources size;
    friend bool operator==(const step_requirement&, const step_requirement&) = default;
    friend bool operator<(const step_requirement& a, const step_requirement& b)
    {
        const auto key = [](const step_requirement& r)
        {
            return std::tie(r.pool, r.label, r.size.cpu, r.size.memory, r.size.accelerators, r.size.slots);
        };
        return key(a) < key(b);
    }
};

/// @brief Steps whose tasks need the same.
struct ready_group
{
    std::set<step_ref> steps;
    std::set<step_ref> first;        ///< those that are long-running or of a queue of the highest priority
    worker_incarnation_id witness{}; ///< a worker that can take a task when it is idle; 0 if there is none
};

/// @brief Index of ready steps; derived from the replicated state.
/// @since 0.10
class ready_index
{
  public:
    using group_map = std::map<step_requirement, ready_group>;
    ready_index() = default;
    ~ready_index() = default;
    ready_index(const ready_index&) = delete; // iterators to its own groups
    ready_index& operator=(const ready_index&) = delete;
    ready_index(ready_index&&) = default;
    ready_index& operator=(ready_index&&) = default;

    /// Finds a worker that can take a task when it is idle; 0 for none.
    using worker_finder = std::function<worker_incarnation_id(const step_requirement&)>;

    /// @brief Adds a step; without effect if it is there. Complexity: logarithmic; `find` is called for the
    /// first step of a group.
    void insert(const step_ref& ref, const step_requirement& needs, bool first, const worker_finder& find);
    void erase(const step_ref& ref);
    /// @brief Removes all steps of a submission.
    void erase(submission_id id);
    void clear();

    /// @brief Opens the groups that a new or changed worker can take. Complexity: linear in the closed
    /// groups.
    void add_worker(worker_incarnation_id worker,
                    const std::function<bool(const step_requirement&)>& can_take);
    /// @brief Looks for another worker for the groups that relied on this one. Complexity: linear in the open
    /// groups.
    void remove_worker(worker_incarnation_id worker, const worker_finder& find);

    [[nodiscard]] bool contains(const step_ref& ref) const
    {
        return m_groups.contains(ref);
    }
    /// @brief Whether no present worker can take a task of this ready step.
    [[nodiscard]] bool is_closed(const step_ref& ref) const;
    [[nodiscard]] std::size_t size() const
    {
        return m_groups.size();
    }
    [[nodiscard]] bool empty() const
    {
        return m_groups.empty();
    }
    /// @brief All ready steps, in order.
    [[nodiscard]] std::set<step_ref> steps() const;
    /// @brief Groups that some present worker can take.
    [[nodiscard]] const group_map& open() const
    {
        return m_open;
    }
    /// @brief Groups that no present worker can take.
    [[nodiscard]] const group_map& closed() const
    {
        return m_closed;
    }
    [[nodiscard]] std::size_t open_steps() const
    {
        return m_open_steps;
    }
    /// @brief Number of steps in open groups that are long-running or of the highest priority.
    [[nodiscard]] std::size_t open_first() const
    {
        return m_open_first;
    }

  private:
    void open(group_map::iterator closed, worker_incarnation_id witness);
    void close(group_map::iterator open);

    std::map<step_ref, group_map::iterator> m_groups; ///< iterators stay valid when a group moves
    group_map m_open;
    group_map m_closed;
    std::size_t m_open_steps = 0;
    std::size_t m_open_first = 0;
};

} // namespace walkthread
