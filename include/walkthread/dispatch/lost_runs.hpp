#pragma once

/// @file
/// @brief Who of the runs on a lost host may have taken it down, by what the leader knew of each.
/// @since 0.4

#include <functional>
#include <vector>

#include <walkthread/dispatch/worker_view.hpp>
#include <walkthread/workload/crash_ledger.hpp>

namespace walkthread
{

/// @brief Shares the blame among the runs on a host. A task that crashes its host mostly does so at its
/// start, so what had begun within `just_began` before the host's last word has the larger share; a run that
/// had worked there for longer only stood beside. Complexity: linear in the runs.
/// @param lost_at when the host was first found not to answer: what would have been over by then may not have
/// been there any more when it crashed
/// @param run_time how long a run is expected to take
[[nodiscard]] std::vector<lost_run> share_blame(const worker_view& view, duration just_began,
                                                monotonic_time lost_at,
                                                const std::function<duration(const run_ref&)>& run_time);

} // namespace walkthread
