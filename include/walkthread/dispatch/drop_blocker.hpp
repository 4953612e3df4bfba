#pragma once

/// @file
/// @brief Decides whether an unresponsive worker is dropped, and if not, the reason.
///
/// If a worker is dropped too early, work that completes there is started again elsewhere. If it is never
/// dropped, its runs count as running for ever.
/// @since 0.7

#include <cstdint>
#include <string_view>

#include <walkthread/dispatch/worker_view.hpp>

namespace walkthread
{

/// @brief Why a worker is not dropped.
enum class drop_blocker : std::uint8_t
{
    none,                   ///< nothing: the worker is dropped
    heard,                  ///< it answered recently
    drop_in_progress,       ///< the command that drops it waits for its commit
    no_failed_poll,         ///< no poll that reached the network has failed since its last answer
    lease_may_be_valid,     ///< its lease may be valid, or had not expired when the last failed poll was sent
    leader_may_be_isolated, ///< no other worker answers: the leader may be isolated
};

/// @brief The text for log lines.
[[nodiscard]] std::string_view name_of(drop_blocker reason);

/// @brief The period in which a leader has received answers of workers without a long gap.
/// @since 0.7
class contact_streak
{
  public:
    /// @brief Records that some worker answered a poll.
    /// @param max_gap after a longer gap, a new period begins
    void record_answer(monotonic_time now, duration max_gap)
    {
        m_since = now - m_last > max_gap ? now : m_since;
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

/// @brief Decides whether a worker is dropped. Complexity: constant.
///
/// A worker is dropped if a poll failed that was sent after the end of every lease it may have, and if other
/// workers answered both before and after that poll was sent.
/// @param hearing answers received by the same leader
[[nodiscard]] drop_blocker find_drop_blocker(const worker_view& view, const contact_streak& hearing,
                                             monotonic_time now, const dispatch_settings& settings);

} // namespace walkthread
