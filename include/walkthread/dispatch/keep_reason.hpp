#pragma once

/// @file
/// @brief Whether a worker that is not heard is given up, and what it is kept for otherwise.
///
/// Given up too early, work that is done there starts again elsewhere; never given up, its runs count as
/// running for ever.
/// @since 0.7

#include <cstdint>
#include <string_view>

#include <walkthread/dispatch/worker_view.hpp>

namespace walkthread
{

/// @brief Why a worker is not given up.
enum class keep_reason : std::uint8_t
{
    none,           ///< it is to be given up
    heard,          ///< lately
    drop_under_way, ///< that it is given up waits for its commit
    untold,         ///< nothing that became of calls tells of it
    lease_may_hold, ///< or was not over yet when it was asked last
    nobody_heard,   ///< the leader itself may be cut off
};

/// @brief The reason as a log line says it.
[[nodiscard]] std::string_view name_of(keep_reason reason);

/// @brief Since when a leader has heard workers without a break.
/// @since 0.7
class hearing_spell
{
  public:
    /// @brief Some worker answered a look. @param longest_break beyond that a new spell begins
    void note_answer(monotonic_time now, duration longest_break)
    {
        m_since = now - m_last > longest_break ? now : m_since;
        m_last = now;
    }
    [[nodiscard]] monotonic_time since() const
    {
        return m_since;
    }
    [[nodiscard]] monotonic_time last() const
    {
        return m_last;
    }

  private:
    monotonic_time m_since{};
    monotonic_time m_last{};
};

/// @brief Decides whether a worker is given up. Complexity: constant.
///
/// It takes a look that failed, was sent once every lease that there may be was over, and was sent while
/// other workers were heard, before and after.
/// @param hearing of the same leader
[[nodiscard]] keep_reason why_kept(const worker_view& view, const hearing_spell& hearing, monotonic_time now,
                                   const dispatch_settings& settings);

} // namespace walkthread
