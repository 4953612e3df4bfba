#pragma once

/// @file
/// @brief Whether a worker may get new work, and if not, the reason.
/// @since 0.5

#include <array>
#include <cstdint>
#include <string_view>

#include <walkthread/dispatch/worker_view.hpp>
#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief The reason why a worker gets no new work. If several apply, the first in this order is reported.
enum class host_availability : std::uint8_t
{
    usable,     ///< it may get new work
    dropped,    ///< the command that drops it waits for its commit
    unanswered, ///< it has not answered the current leader yet
    unreported, ///< a new incarnation under a known id that has not sent its first report
    silent,     ///< its last answer is too long ago
    doubted,    ///< the last call to it failed
    leaving,    ///< it announced that it leaves
    avoided,    ///< in back-off: it could not start a run
    closed,     ///< its host is being drained for maintenance
    cordoned,   ///< nothing new starts in its hall, at an operator's request
    /// Runs failed or made no progress there: it gets only work that no other host takes.
    on_probation,
};

/// @brief The names used in logs and metrics, in the order of `host_availability`.
inline constexpr std::array<std::string_view, 11> host_availability_names{
    "usable",  "dropped", "unanswered", "unreported", "silent",      "doubted",
    "leaving", "avoided", "closed",     "cordoned",   "on_probation"};

/// @brief Whether a worker may get new work, or why not. Complexity: constant.
/// @param closed whether its host is being drained
/// @param cordoned whether its hall is cordoned
[[nodiscard]] host_availability availability_of(const worker_view& view, const worker_incarnation& worker,
                                                bool closed, bool cordoned, monotonic_time now,
                                                const dispatch_settings& settings);

} // namespace walkthread
