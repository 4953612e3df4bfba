#pragma once

/// @file
/// @brief Forecasts when a host will have capacity for a task, from the runs on it.
/// @since 0.4

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include <walkthread/units/amounts.hpp>

namespace walkthread
{

/// @brief A run on a host, with the forecast of its end.
struct run_forecast
{
    resources room{};                   ///< freed when it ends
    std::optional<double> left_ms = {}; ///< expected remaining time; none if it does not end by itself
};

/// @brief The time in milliseconds after which `need` fits, if nothing new starts there.
/// @param open capacity that no run occupies now
/// @return 0 if it fits now; no value if it does not fit even after the end of all runs that end by
/// themselves
/// Complexity: n log n in the runs.
[[nodiscard]] std::optional<double> time_until_fit(const resources& open, std::vector<run_forecast> runs,
                                                   const resources& need);

/// @brief The times in milliseconds after which one, two, ... tasks fit, if nothing new starts there.
/// @param slots returns how many tasks fit into a given capacity
/// @param most maximum number of tasks
/// @return ascending; fewer than `most` if no more fit even after the end of all runs that end by themselves
/// Complexity: n log n in the runs, and a call of `slots` for each.
[[nodiscard]] std::vector<double>
times_until_slots_fit(const resources& open, std::vector<run_forecast> runs,
                      const std::function<std::uint32_t(const resources&)>& slots, std::uint32_t most);

} // namespace walkthread
