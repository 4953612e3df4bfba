#pragma once

/// @file
/// @brief Inputs of a placement decision: steps that may be started, hosts that may take their tasks, and
/// capacity that is held.
/// @since 0.6

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <walkthread/dispatch/doubtful_host.hpp>
#include <walkthread/dispatch/host_table.hpp>
#include <walkthread/dispatch/objective.hpp>
#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief A step that may be started, with what determines its rank.
struct step_candidate
{
    step_ref ref{};
    const submission* owner{};
    const step_spec* step{};
    const queue_spec* queue{};
    pool_number pool{};
    timeliness expected_timeliness{};
    double slack_ms{};
    double uncertainty_ms{}; ///< by how much the slack may be overestimated: the error of run time estimates
    double run_ms = std::numeric_limits<double>::infinity(); ///< expected, for one task
    bool reserved{};                                         ///< a gang that has a reservation
    bool beyond_share{};                                     ///< its organisation runs at least its share
    std::uint32_t permitted{};                               ///< tasks that its organisation may still start
    bool lost_with_host{};                                   ///< a run of it was lost together with its host
    /// Tasks of this step and round that run on a host or are about to; set only if the step limits tasks per
    /// host.
    std::map<worker_incarnation_id, std::uint32_t> placed;
    std::set<worker_incarnation_id> failed_on; ///< its tasks failed there: other hosts are preferred
    duration unplaced{};                       ///< time since its last start or end while tasks wait
    [[nodiscard]] bool missed() const
    {
        return expected_timeliness >= timeliness::late;
    }
    [[nodiscard]] bool urgent() const
    {
        return queue != nullptr && queue->priority == 0;
    }
    /// Whether its advisor queries are sent before those of other steps.
    [[nodiscard]] bool has_priority() const
    {
        return urgent() || step->long_running;
    }
};

/// @brief Capacity held for a gang until all of its tasks can start together, or for large tasks until it is
/// free.
struct capacity_hold
{
    std::map<worker_incarnation_id, std::uint32_t> tasks; ///< number of tasks on each host
    std::uint32_t total{};                                ///< the sum of `tasks`
    resources each{};                                     ///< what one task needs
    bool missed{};                                        ///< the gang was already late when the hold began
    monotonic_time last_growth{};                         ///< when `total` last increased
    bool is_gathering = true; ///< true for a gang that gathers capacity, false for hosts held for large tasks
    bool ahead{}; ///< a reservation for all tasks of a gang, including capacity that is not free yet
    bool first{}; ///< a reservation of the gang that has waited longest in its pool
    /// Of a reservation: when all capacity is expected to be free, by the latest forecast.
    monotonic_time due{};
    monotonic_time earliest_due{}; ///< the earliest forecast of `due`: others may backfill until then only
};

/// @brief A worker that may take tasks of a step.
struct host_candidate
{
    const worker_incarnation* worker{};
    resources room{};          ///< currently free
    std::uint32_t slots{};     ///< tasks of the step that fit now
    std::uint32_t whole{};     ///< tasks that would fit on the empty host
    bool near_data{};          ///< in the rack that holds the data
    bool held{};               ///< the capacity is held for a gang, this one or another
    bool spares_large_slots{}; ///< a task there takes no capacity from gangs
    double speed{};            ///< learned, 1 is typical
    bool slow{};               ///< clearly slower than most
    bool watched{};            ///< a crash suspect was started there recently
    duration others_first{};   ///< the step waits that long for other hosts before it uses this one
    int contact_penalty{}; ///< penalty if it may be unreachable although no call to it has failed: less is
                           ///< better
    bool mixes_serving_and_filling{}; ///< would put filling work beside serving work, or the reverse
    std::string_view ticket;          ///< "-" if none is needed, empty if there is no valid one
    /// The last label names the rack.
    [[nodiscard]] std::string rack() const
    {
        return worker->description.labels.empty() ? std::string{} : worker->description.labels.back();
    }
};

} // namespace walkthread
