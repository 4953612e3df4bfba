#pragma once

/// @file
/// @brief Selects the halls that run a job. The root leader decides from possibly outdated summaries of the
/// halls.
/// @since 0.1

#include <map>
#include <vector>

#include <walkthread/state/errors.hpp>
#include <walkthread/state/model.hpp>

namespace walkthread
{

/// @brief Load of a hall as last reported by its leader.
/// @since 0.1
struct hall_load
{
    resources capacity{};
    resources reserved{};
    resources largest{}; ///< largest host size, separately for each dimension
    resources planned{}; ///< assigned to the hall since its last summary
    bool cordoned{};     ///< nothing new starts there
};

/// @brief Chooses halls for a job.
///
/// A service is spread evenly over the halls that it may use. All tasks of a batch job or a gang go to the
/// hall that has the lowest utilisation afterwards.
/// @param halls all halls of the cell; halls that have not reported yet are used only if none has, cordoned
/// ones only if the job may use no other
/// @param values parameters of the job
/// @return the parts, or state_code::never_runnable if every hall is known and none has a large enough host
/// Complexity: linear in the halls.
[[nodiscard]] result<std::vector<hall_part>, state_error>
choose_halls(const std::map<hall_id, hall_load>& halls, workload_kind kind, const parameters& values);

} // namespace walkthread
