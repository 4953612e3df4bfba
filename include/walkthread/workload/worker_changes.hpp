#pragma once

/// @file
/// @brief The latest changes of the set of workers, so that a reader follows them without visiting all
/// workers.
/// @since 0.6

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <walkthread/workload/submission.hpp>

namespace walkthread
{

/// @brief Worker incarnations that were added, removed or described anew, latest last.
///
/// Derived state: not replicated, not saved. A reader keeps the version up to which it has read.
/// @since 0.6
class worker_change_log
{
  public:
    /// @brief Changes that are kept. A reader that is further behind visits all workers once.
    static constexpr std::size_t capacity = 1024;

    /// @brief Records a change. Complexity: constant.
    void note(worker_incarnation_id worker);
    /// @brief Records that any worker may have changed, for example after a snapshot was loaded.
    void reset();
    /// @brief Number of changes; at least 1, so that 0 is the version of a reader that has read nothing.
    [[nodiscard]] std::uint64_t version() const
    {
        return m_version;
    }
    /// @brief The changes after a version, in their order; a worker may occur more than once.
    /// @return nothing if they are not all kept: the reader has to visit all workers
    [[nodiscard]] std::optional<std::vector<worker_incarnation_id>> since(std::uint64_t version) const;

  private:
    std::deque<worker_incarnation_id> m_recent;
    std::uint64_t m_version = 1;
};

} // namespace walkthread
