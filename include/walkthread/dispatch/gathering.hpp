#pragma once

/// @file
/// @brief How many gangs may gather capacity at a time.
///
/// A gang that gathers holds free capacity, which stays idle until there is enough for all of its tasks. When
/// many wide gangs arrive in a pool that small work keeps nearly full, the gangs that gather may therefore
/// want only a small share of the pool together. A fixed number of gangs would limit a large pool to as many
/// gang starts per second as a small one.
/// @since 0.6

#include <cstddef>

#include <walkthread/units/amounts.hpp>

namespace walkthread
{

/// @brief Limits on gangs that gather.
struct gathering_limits
{
    std::size_t min_gangs = 2; ///< this many may gather in any pool, however small
    double share = 0.1;        ///< maximum share of the pool's capacity that more gangs may want together
};

/// @brief Gangs that gather and don't have enough yet.
struct gathering_demand
{
    std::size_t gangs{};
    resources wanted{}; ///< resources of all of their tasks
};

/// @brief Whether one more gang may begin to gather. Complexity: constant.
/// @param own resources of all tasks of that gang
/// @param pool capacity of all hosts of its pool
[[nodiscard]] inline bool may_start_gathering(const gathering_demand& others, const resources& own,
                                              const resources& pool, const gathering_limits& bounds)
{
    return others.gangs < bounds.min_gangs || dominant_share(others.wanted + own, pool) <= bounds.share;
}

} // namespace walkthread
