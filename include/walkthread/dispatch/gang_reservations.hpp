#pragma once

/// @file
/// @brief Which waiting gangs get reservations, and on which hosts.
///
/// A gang that only takes what is currently free may never start: smaller work fills each gap first, and
/// several gangs that each hold a part keep one another from completing. As in EASY backfilling, the gang
/// that has waited longest gets a reservation; other work uses that capacity only for runs that end before it
/// is due.
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
    /// Minimum wait of a gang, as a reservation takes capacity from work that is on time.
    milliseconds after{30000};
    milliseconds after_idle{1000}; ///< the same while the pool is idle: held capacity costs nothing then
    double idle_threshold = 0.5; ///< the pool counts as idle while a smaller share of its capacity is in use
    double share = 0.25;         ///< maximum reserved share of the capacity of a pool that is not idle
    std::size_t late = 1;     ///< maximum number of late gangs with reservations in a pool that is not idle
    milliseconds review{100}; ///< interval between reviews; the shortest runs take a few times as long
    std::size_t max_reviewed = 16;       ///< maximum number of gangs examined in one review
    double backfill_safety_factor = 1.5; ///< safety factor on the expected run time of a task that backfills
};

/// @brief When a host has capacity for one, two, ... tasks of a gang.
struct host_forecast
{
    worker_incarnation_id worker{};
    std::vector<double> ready_ms; ///< from now, ascending
    bool kept{};                  ///< already reserved for the gang
};

/// @brief Hosts that together take all tasks of a gang.
struct gang_reservation
{
    std::map<worker_incarnation_id, std::uint32_t> tasks;
    double ready_ms{}; ///< time from now until all of the capacity is free
};

/// @brief Chooses the hosts that have capacity soonest. The wait for hosts that are already reserved counts
/// half, so that inaccurate forecasts don't move a reservation back and forth.
/// @return no value if the hosts never have capacity for all tasks
/// Complexity: n log n in the tasks that fit on the hosts.
[[nodiscard]] std::optional<gang_reservation> choose_earliest_hosts(const std::vector<host_forecast>& hosts,
                                                                    std::uint32_t count);

/// @brief One review of the gangs that wait in a pool, in the order in which they began to wait.
class reservation_review
{
  public:
    /// @param room capacity of the usable hosts of the pool
    /// @param in_use the part of it that runs occupy
    reservation_review(const reservation_settings& settings, const resources& room, const resources& in_use);

    /// @brief Whether a gang has waited long enough for a reservation.
    [[nodiscard]] bool has_waited_enough(duration waited) const;
    /// @brief Whether one more gang may get a reservation. The first one always may.
    /// @param wanted resources of all of its tasks
    /// @param late it can't be on time any more
    /// @param ready_ms time until the capacity is free; at 0 the gang may always reserve, as nothing is left
    /// idle
    [[nodiscard]] bool admits(const resources& wanted, bool late, double ready_ms) const;
    /// @brief Records that a gang got its reservation.
    void add(const resources& wanted, bool late);
    /// @brief Whether most of the pool's capacity is not in use.
    [[nodiscard]] bool idle() const
    {
        return m_idle;
    }
    /// @brief Number of gangs that got a reservation in this review.
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

/// @brief Whether a run that is expected to take `run_ms` may use capacity that is reserved from `due` on.
[[nodiscard]] bool may_backfill(double run_ms, monotonic_time due, monotonic_time now,
                                const reservation_settings& settings);

} // namespace walkthread
