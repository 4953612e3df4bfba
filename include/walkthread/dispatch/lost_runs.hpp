#pragma once

/// @file
/// @brief Estimates which runs on a lost host may have caused its crash, from what the leader knew of each.
/// @since 0.4

#include <functional>
#include <optional>
#include <vector>

#include <walkthread/dispatch/worker_view.hpp>
#include <walkthread/workload/crash_evidence.hpp>

namespace walkthread
{

/// @brief Distributes the blame for a crash among the runs on the host. A task that crashes its host usually
/// does so at its start, so runs that started within `startup_crash_window` before the last contact with the
/// host get the larger share; runs that had worked for longer are unlikely causes. Complexity: linear in the
/// runs.
/// @param lost_by when the worker's process had certainly ended; a run that was due to end by then may have
/// ended before the crash. Without a value, the process may still run, and no run counts as begun.
/// @param run_time returns the expected run time
[[nodiscard]] std::vector<lost_run> assign_blame(const worker_view& view, duration startup_crash_window,
                                                 std::optional<monotonic_time> lost_by,
                                                 const std::function<duration(const run_ref&)>& run_time);

} // namespace walkthread
