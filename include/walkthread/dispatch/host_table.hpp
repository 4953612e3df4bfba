#pragma once

/// @file
/// @brief The hosts during one scheduling pass: their free capacity and what is held for gangs.
///
/// A row is computed when it is first accessed in a pass, and again after a change. There are hundreds of
/// passes a second, and computing all rows in each took a considerable part of the leader's time.
/// @since 0.3

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <walkthread/dispatch/host_availability.hpp>
#include <walkthread/dispatch/worker_view.hpp>
#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief A worker during one pass.
struct host_row
{
    const worker_incarnation* worker{};
    const worker_view* view{};
    pool_number pool{};
    resources open{};           ///< not occupied by runs
    resources free{};           ///< `open` without what is held for gangs
    host_availability reason{}; ///< why it gets no new work
    bool usable{};              ///< it may get new work
    std::uint64_t stamp{};      ///< the pass in which the row was computed
};

/// @brief All hosts as seen by a pass. Owned by one dispatcher.
/// @since 0.3
class host_table
{
  public:
    /// @param views what the leader knows of each worker; has an entry for each worker of the state
    /// @param closed hosts that are being drained
    host_table(const workload_state& state, const std::map<worker_incarnation_id, worker_view>& views,
               const dispatch_settings& settings, const std::set<std::string>& closed)
        : m_state(state), m_views(views), m_settings(settings), m_closed(closed)
    {
    }

    /// @brief Begins a pass. Complexity: constant; linear in the hosts if workers were added or removed.
    void begin_pass(monotonic_time now);
    [[nodiscard]] std::size_t size() const
    {
        return m_rows.size();
    }
    /// @brief A host by index, in the order of worker ids.
    [[nodiscard]] const host_row& at(std::size_t place);
    /// @brief A worker's row, or null. Complexity: constant.
    [[nodiscard]] const host_row* find(worker_incarnation_id worker);
    /// @brief The number of a pool by name; 0 if no host is in it.
    [[nodiscard]] pool_number number_of(const std::string& pool) const;
    /// @brief Number of usable hosts in a pool, counted once per pass.
    [[nodiscard]] std::size_t usable_in(pool_number pool);

    /// @brief Total capacity of all hosts of a pool, usable or not.
    [[nodiscard]] resources capacity_of(pool_number pool) const;
    /// @brief Total capacity of all hosts of all pools. Complexity: linear in the pools.
    [[nodiscard]] resources total_capacity() const;

    /// @brief Marks a host's row as outdated.
    void invalidate(worker_incarnation_id worker);
    /// @brief Holds capacity on a host; `release` frees it.
    void hold(worker_incarnation_id worker, const resources& room);
    void release(worker_incarnation_id worker, const resources& room);

  private:
    void rebuild();
    void recompute(host_row& row) const;

    const workload_state& m_state;
    const std::map<worker_incarnation_id, worker_view>& m_views;
    const dispatch_settings& m_settings;
    const std::set<std::string>& m_closed;
    std::vector<host_row> m_rows;
    std::unordered_map<worker_incarnation_id, std::size_t> m_places;
    std::map<std::string, pool_number> m_pools;
    std::map<pool_number, std::size_t> m_usable; ///< in the current pass
    std::map<pool_number, resources> m_capacities;
    std::unordered_map<worker_incarnation_id, resources> m_held;
    std::uint64_t m_version = 0; ///< of the state's workers when the rows were built
    std::uint64_t m_pass = 0;
    monotonic_time m_now{};
};

} // namespace walkthread
