#pragma once

/// @file
/// @brief Halls in which nothing new starts, at an operator's request.
/// @since 0.6

#include <map>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include <walkthread/units/hall_cordon.hpp>

namespace walkthread
{

/// @brief The cordoned halls. Part of the replicated state, so every operation is deterministic.
/// @since 0.6
class hall_cordons
{
  public:
    /// @brief Cordons a hall; a cordon that is in place keeps its time and origin.
    /// @return whether the hall was not cordoned before. Complexity: logarithmic in the cordons.
    bool add(const std::string& hall, const hall_cordon& cordon);
    /// @brief Lifts a cordon. @return whether there was one. Complexity: logarithmic in the cordons.
    bool remove(const std::string& hall);
    [[nodiscard]] bool contains(const std::string& hall) const
    {
        return !m_cordons.empty() && m_cordons.contains(hall);
    }
    /// @brief Whether any of the halls would accept work if one more were cordoned.
    /// Complexity: n log n in the halls.
    [[nodiscard]] bool leaves_any(const std::vector<std::string>& halls, const std::string& next) const;
    /// @brief All cordons by hall.
    [[nodiscard]] const std::map<std::string, hall_cordon>& all() const
    {
        return m_cordons;
    }

    MSGPACK_DEFINE(m_cordons)

  private:
    std::map<std::string, hall_cordon> m_cordons;
};

} // namespace walkthread
