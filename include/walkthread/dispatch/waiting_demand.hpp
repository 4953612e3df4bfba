#pragma once

/// @file
/// @brief Which work leaves free capacity to waiting gangs of higher priority.
///
/// A gang needs its capacity all at once, while tasks placed individually take each gap as soon as it opens.
/// Beside a backlog of such tasks a gang is late before it has gathered enough, even if it has the higher
/// priority and the tasks have seconds to spare.
/// @since 0.7

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include <walkthread/dispatch/host_table.hpp>

namespace walkthread
{

/// @brief Gangs that wait for capacity and can still be on time, collected during one pass.
/// @since 0.7
class waiting_demand
{
  public:
    /// @brief Forgets all gangs.
    void clear()
    {
        m_priorities.clear();
    }
    /// @brief Adds a waiting gang. Complexity: logarithmic in the pools.
    void add(pool_number pool, std::int64_t priority, bool needs_accelerators)
    {
        const auto [known, added] = m_priorities.try_emplace({pool, needs_accelerators}, priority);
        known->second = std::min(known->second, priority);
    }
    /// @brief Whether a gang of higher priority waits for capacity that such a task would take. Complexity:
    /// logarithmic in the pools.
    [[nodiscard]] bool competes(pool_number pool, std::int64_t priority, bool needs_accelerators) const
    {
        return has_higher({pool, false}, priority) ||
               (needs_accelerators && has_higher({pool, true}, priority));
    }

  private:
    using demand_key = std::pair<pool_number, bool>; ///< the pool, and whether accelerators are needed

    [[nodiscard]] bool has_higher(const demand_key& key, std::int64_t priority) const
    {
        const auto known = m_priorities.find(key);
        return known != m_priorities.end() && known->second < priority;
    }

    std::map<demand_key, std::int64_t> m_priorities; ///< the highest priority, which is the lowest number
};

} // namespace walkthread
