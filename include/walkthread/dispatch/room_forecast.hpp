#pragma once

/// @file
/// @brief When a host will have room for a task, from what runs there.
/// @since 0.4

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include <walkthread/units/amounts.hpp>

namespace walkthread
{

/// @brief A run on a host, as far as its end can be foreseen.
struct run_forecast
{
    resources room{};                   ///< what its end gives back
    std::optional<double> left_ms = {}; ///< expected time to its end; none if it does not end by itself
};

/// @brief The time in milliseconds after which `need` fits, if nothing new starts there.
/// @param open what no run takes now
/// @return 0 if it fits now; no value if it does not fit even after all runs that end by themselves
/// Complexity: n log n in the runs.
[[nodiscard]] std::optional<double> time_until_room(const resources& open, std::vector<run_forecast> runs,
                                                    const resources& need);

/// @brief The times in milliseconds after which one, two, ... tasks fit, if nothing new starts there.
/// @param slots how many tasks fit into so much room
/// @param most tasks that are asked for
/// @return rising; fewer than `most` if no more fit even after all runs that end by themselves
/// Complexity: n log n in the runs, and a call of `slots` for each.
[[nodiscard]] std::vector<double>
times_until_slots(const resources& open, std::vector<run_forecast> runs,
                  const std::function<std::uint32_t(const resources&)>& slots, std::uint32_t most);

} // namespace walkthread
