#pragma once

/// @file
/// @brief The hosts of one pass: what a step may still use of each, and what is held there for gangs.
///
/// A row is worked out when it is first looked at in a pass, and again after something changed there: passes
/// come by the hundred a second, and working out all rows in each took a good part of the leader's time.
/// @since 0.3

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <walkthread/dispatch/host_reason.hpp>
#include <walkthread/dispatch/worker_view.hpp>
#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief A pool of hosts, numbered for cheap comparison; 0 is none that any host is in.
using pool_number = strong<struct pool_number_tag, std::uint32_t>;

/// @brief A worker during one pass.
struct host_row
{
    const worker_life* worker{};
    const worker_view* view{};
    pool_number pool{};
    resources open{};      ///< what no run takes
    resources free{};      ///< the same without what is held for gangs
    host_reason reason{};  ///< why no new work goes there
    bool usable{};         ///< new work may go there
    std::uint64_t stamp{}; ///< when it was worked out
};

/// @brief All hosts, as a pass sees them. Belongs to one dispatcher.
/// @since 0.3
class host_table
{
  public:
    /// @param views what the leader knows of each worker; has an entry for each worker of the state
    /// @param closed hosts that are being emptied
    host_table(const workload_state& state, const std::map<worker_life_id, worker_view>& views,
               const dispatch_settings& settings, const std::set<std::string>& closed)
        : m_state(state), m_views(views), m_settings(settings), m_closed(closed)
    {
    }

    /// @brief Begins a pass. Complexity: constant, linear in the hosts if one came or went.
    void begin_pass(monotonic_time now);
    [[nodiscard]] std::size_t size() const
    {
        return m_rows.size();
    }
    /// @brief A host by its place, in the order of the workers' ids.
    [[nodiscard]] const host_row& at(std::size_t place);
    /// @brief A worker's row, or null. Complexity: constant.
    [[nodiscard]] const host_row* find(worker_life_id worker);
    /// @brief The number of a pool.
    [[nodiscard]] pool_number number_of(const std::string& pool) const;
    /// @brief Hosts of a pool that new work may go to, counted once a pass.
    [[nodiscard]] std::size_t usable_in(pool_number pool);

    /// @brief What all hosts of a pool have together, whether or not they are usable now.
    [[nodiscard]] resources room_of(pool_number pool) const;

    /// @brief Something changed on a host since its row was worked out.
    void touch(worker_life_id worker);
    /// @brief Keeps room on a host; `release` gives it back.
    void hold(worker_life_id worker, const resources& room);
    void release(worker_life_id worker, const resources& room);

  private:
    void rebuild();
    void work_out(host_row& row) const;

    const workload_state& m_state;
    const std::map<worker_life_id, worker_view>& m_views;
    const dispatch_settings& m_settings;
    const std::set<std::string>& m_closed;
    std::vector<host_row> m_rows;
    std::unordered_map<worker_life_id, std::size_t> m_places;
    std::map<std::string, pool_number> m_pools;
    std::map<pool_number, std::size_t> m_usable; ///< of this pass
    std::map<pool_number, resources> m_rooms;
    std::unordered_map<worker_life_id, resources> m_held;
    std::uint64_t m_version = 0; ///< of the workers that the rows are of
    std::uint64_t m_pass = 0;
    monotonic_time m_now{};
};

} // namespace walkthread
