#pragma once

/// @file
/// @brief What shows that nothing runs any more on a worker that left as planned.
///
/// A worker announces that it leaves, sends its leave and ends. None of its messages follows the end of its
/// runs, and the order in which a process closes its port, resets its connections and ends its runs is its
/// own. So neither its leave nor a refused or broken connection shows that its runs have ended; only the end
/// of each lease that they may hold does.
/// @since 0.12

#include <cstdint>
#include <string_view>

#include <walkthread/dispatch/worker_view.hpp>
#include <walkthread/workload/task_table.hpp>

namespace walkthread
{

/// @brief Why a worker that announced that it leaves, and whose address refuses connections, is dropped.
enum class departure_proof : std::uint8_t
{
    none,      ///< a run may go on there
    no_runs,   ///< it had no run, and takes none as it leaves
    lease_over ///< each lease that its runs may hold has ended
};

/// @brief The proof's name in log lines.
[[nodiscard]] std::string_view name_of(departure_proof proof);

/// @brief Finds what shows that nothing runs there any more.
/// @param worker the replicated state of a worker that leaves
/// @param view what this leader knows of it
/// @param drift the maximum rate error of a worker's clock
/// Complexity: constant.
[[nodiscard]] departure_proof find_departure_proof(const worker_incarnation& worker, const worker_view& view,
                                                   monotonic_time now, double drift);

} // namespace walkthread
