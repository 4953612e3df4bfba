#pragma once

/// @file
/// @brief Which gangs that wait get room ahead of its becoming free, and on which hosts.
///
/// A gang that only takes what is free at the moment may never start: smaller work takes each gap first, and
/// several gangs that hold a part each keep the others from enough. As in EASY backfilling, the gang that has
/// waited for longest gets a reservation; others use that room only for runs that end before it is due.
/// @since 0.6

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <walkthread/units/amounts.hpp>
#include <walkthread/units/time.hpp>
#include <walkthread/workload/commands.hpp>

namespace walkthread
{

/// @brief When gangs get reservations, and how many.
struct reservation_settings
{
    milliseconds after{30000};     ///< a gang waits that long first: it takes room from work that is on time
    milliseconds after_idle{1000}; ///< the same while the pool is idle: room that is kept costs nothing then
    double idle_below = 0.5;       ///< of the pool's room in use: the pool counts as idle
    double share = 0.25;           ///< of the pool's room reserved at a time while it is not idle
    std::size_t late = 1;          ///< late gangs that have reservations at a time while the pool is not idle
    milliseconds review{100};      ///< between two reviews: the shortest runs take a few times that
    std::size_t reviewed = 16;     ///< gangs looked at in one review
    double backfill_spare = 1.5;   ///< times its expected run that a task needs before the room is due
};

/// @brief When a host has room for one, two, ... tasks of a gang.
struct host_outlook
{
    worker_life_id worker{};
    std::vector<double> ready_ms; ///< from now on; rising
    bool kept{};                  ///< reserved for the gang already
};

/// @brief Hosts that together take all tasks of a gang.
struct gang_reservation
{
    std::map<worker_life_id, std::uint32_t> tasks;
    double ready_ms{}; ///< from now on, when all of the room is there
};

/// @brief Chooses the hosts that have room soonest; those reserved already count as twice as soon, so that
/// rough forecasts do not move a reservation about.
/// @return no value if the hosts never have room for all tasks
/// Complexity: n log n in the tasks that fit on the hosts.
[[nodiscard]] std::optional<gang_reservation> reserve_soonest(const std::vector<host_outlook>& hosts,
                                                              std::uint32_t count);

/// @brief One review of the gangs that wait for a pool, in the order of their waiting.
class reservation_review
{
  public:
    /// @param room what the usable hosts of the pool have
    /// @param in_use what runs take of it
    reservation_review(const reservation_settings& settings, const resources& room, const resources& in_use);

    /// @brief Whether a gang has waited for long enough.
    [[nodiscard]] bool overdue(duration waited) const;
    /// @brief Whether room may be reserved for one more gang. The first one always gets it.
    /// @param wanted by all of its tasks
    /// @param late it cannot be on time any more
    /// @param ready_ms when the room is there; what is there now is not kept idle
    [[nodiscard]] bool admits(const resources& wanted, bool late, double ready_ms) const;
    /// @brief A gang got its reservation.
    void add(const resources& wanted, bool late);
    /// @brief Those that did.
    [[nodiscard]] std::size_t gangs() const
    {
        return m_gangs;
    }

  private:
    reservation_settings m_settings;
    resources m_room;
    bool m_idle;
    resources m_reserved{};
    std::size_t m_gangs = 0;
    std::size_t m_late = 0;
};

/// @brief Whether a run that is expected to take `run_ms` may use room that is reserved for `due`.
[[nodiscard]] bool may_backfill(double run_ms, monotonic_time due, monotonic_time now,
                                const reservation_settings& settings);

} // namespace walkthread
