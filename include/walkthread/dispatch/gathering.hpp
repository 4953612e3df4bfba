#pragma once

/// @file
/// @brief How many gangs may gather room at a time.
///
/// The load it answers: a burst of wide gangs on a pool that small work keeps nearly full. What a gang holds
/// stands idle until it has enough, so those that gather want a small part of the pool together. A fixed
/// number would let a large pool start no more gangs a second than a small one.
/// @since 0.6

#include <cstddef>

#include <walkthread/units/amounts.hpp>

namespace walkthread
{

/// @brief Bounds on gangs that gather.
struct gathering_bounds
{
    std::size_t few = 2; ///< may gather on any pool, however small
    double share = 0.1;  ///< of the pool's room that more of them may want together
};

/// @brief Gangs that gather and do not have enough yet.
struct gathering_work
{
    std::size_t gangs{};
    resources wanted{}; ///< by all of their tasks
};

/// @brief Whether one more gang may begin to gather. Complexity: constant.
/// @param own what all tasks of that gang take
/// @param pool what all hosts of its pool have
[[nodiscard]] inline bool may_join_gathering(const gathering_work& others, const resources& own,
                                             const resources& pool, const gathering_bounds& bounds)
{
    return others.gangs < bounds.few || dominant_share(others.wanted + own, pool) <= bounds.share;
}

} // namespace walkthread
