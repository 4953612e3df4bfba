#pragma once

/// @file
/// @brief What waiting gangs wait for, and for how long.
/// @since 0.7

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include <walkthread/units/time.hpp>
#include <walkthread/workload/commands.hpp>

namespace walkthread
{

/// @brief What a gang that cannot start waits for.
enum class gang_wait : std::uint8_t
{
    hosts,       ///< it knows of too few approved hosts
    turn,        ///< other gangs gather capacity, and it is not admitted yet
    capacity,    ///< nothing is free on its hosts
    backoff,     ///< its last hold expired
    gathering,   ///< it holds a part of what it needs
    tickets,     ///< it holds all that it needs, but not all tickets are valid
    reservation, ///< its reservation is not due yet
};

/// @brief Number of values of `gang_wait`.
inline constexpr std::size_t gang_wait_count = 7;

/// @brief Waiting times of one gang, by cause.
using gang_wait_durations = std::array<duration, gang_wait_count>;

/// @brief Accounts for the time that each gang waits. One object serves one term of leadership.
/// @since 0.7
class gang_wait_times
{
  public:
    /// @brief Records what a gang waits for from `now` on. Complexity: logarithmic in the gangs.
    void note(const step_ref& gang, gang_wait cause, monotonic_time now)
    {
        record& known = m_records.try_emplace(gang, record{now, cause, {}}).first->second;
        known.spent.at(static_cast<std::size_t>(known.cause)) += now - known.since;
        known.since = now;
        known.cause = cause;
    }
    /// @brief What a gang waits for; no value for a gang that is not known. Complexity: logarithmic in the
    /// gangs.
    [[nodiscard]] std::optional<gang_wait> cause_of(const step_ref& gang) const
    {
        const auto found = m_records.find(gang);
        return found == m_records.end() ? std::nullopt : std::optional(found->second.cause);
    }
    /// @brief Removes a gang and returns its waiting times; zeros for a gang that is not known.
    gang_wait_durations take(const step_ref& gang, monotonic_time now)
    {
        const auto found = m_records.find(gang);
        if (found == m_records.end())
        {
            return {};
        }
        note(gang, found->second.cause, now);
        const gang_wait_durations spent = found->second.spent;
        m_records.erase(found);
        return spent;
    }
    /// @brief Forgets the gangs for which `over` returns true. Complexity: linear in the gangs.
    template <typename Predicate>
    void prune(const Predicate& over)
    {
        std::erase_if(m_records, over);
    }

  private:
    struct record
    {
        monotonic_time since{};
        gang_wait cause{};
        gang_wait_durations spent{};
    };
    std::map<step_ref, record> m_records;
};

} // namespace walkthread
