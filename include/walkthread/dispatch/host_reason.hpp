#pragma once

/// @file
/// @brief Why a worker gets no new work at the moment, in one word each.
/// @since 0.5

#include <array>
#include <cstdint>
#include <string_view>

#include <walkthread/dispatch/worker_view.hpp>
#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief What keeps new work off a worker; the first that holds, in this order.
enum class host_reason : std::uint8_t
{
    usable,     ///< nothing does
    dropped,    ///< its drop is being recorded
    unanswered, ///< it has not answered this leader yet
    unreported, ///< a new life under an old id that has not said yet what it has
    silent,     ///< its last answer is too long ago
    doubted,    ///< the last look at it got no answer
    leaving,    ///< it said that it leaves
    avoided,    ///< it failed what it got, or could not start anything
    closed,     ///< it is being emptied for upkeep
};

/// @brief The names of all reasons as logs and figures have them, in the order of `host_reason`.
inline constexpr std::array<std::string_view, 9> host_reason_names{
    "usable", "dropped", "unanswered", "unreported", "silent", "doubted", "leaving", "avoided", "closed"};

/// @brief Why no new work goes to a worker. Complexity: constant.
/// @param closed whether its host is being emptied
[[nodiscard]] host_reason reason_of(const worker_view& view, const worker_life& worker, bool closed,
                                    monotonic_time now, const dispatch_settings& settings);

} // namespace walkthread
