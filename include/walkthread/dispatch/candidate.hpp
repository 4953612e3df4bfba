#pragma once

/// @file
/// @brief What the dispatcher weighs: steps that may be started, hosts that may take their tasks, and room
/// that is kept.
/// @since 0.6

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>

#include <walkthread/dispatch/host_table.hpp>
#include <walkthread/dispatch/objective.hpp>
#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief A step that may be started, with its place in the order.
struct step_candidate
{
    step_ref ref{};
    const submission* owner{};
    const step_spec* step{};
    const queue_spec* queue{};
    pool_number pool{};
    outlook chance{};
    double slack_ms{};
    double run_ms = std::numeric_limits<double>::infinity(); ///< of one task, expected
    bool reserved{};                                         ///< a gang with room reserved for it
    std::uint32_t permitted{};                               ///< tasks that its organisation may still start
    bool lost_before{};                                      ///< a run of it went with its host
    /// Tasks of this step and round that run on a host or are about to, where the step limits them.
    std::map<worker_life_id, std::uint32_t> placed;
    [[nodiscard]] bool missed() const
    {
        return chance >= outlook::late;
    }
    [[nodiscard]] bool urgent() const
    {
        return queue != nullptr && queue->priority == 0;
    }
    /// Whether its questions to the advisor go ahead of others'.
    [[nodiscard]] bool presses() const
    {
        return urgent() || step->lasting;
    }
};

/// @brief Room kept for a gang until all of its tasks can start together, or for large tasks until it is
/// free.
struct room_hold
{
    std::map<worker_life_id, std::uint32_t> tasks; ///< how many on each host
    std::uint32_t total{};                         ///< the sum of `tasks`
    resources each{};                              ///< what one task takes
    bool missed{};                                 ///< the gang was late when it began to hold
    monotonic_time grew{};                         ///< when `total` last rose
    bool gathers = true;                           ///< a gang's; false: hosts kept for large tasks
    bool ahead{};              ///< a reservation for all tasks of a gang, also where the room is not free yet
    bool first{};              ///< a reservation of the gang of its pool that has waited for longest
    monotonic_time due{};      ///< of a reservation: when all of the room is there, as forecast last
    monotonic_time promised{}; ///< the earliest forecast of that: others use the room until then only
};

/// @brief A worker that a step's tasks may go to.
struct host_offer
{
    const worker_life* worker{};
    resources room{};        ///< free now
    std::uint32_t slots{};   ///< tasks of the step that fit now
    std::uint32_t whole{};   ///< tasks that would fit if nothing ran there
    bool near{};             ///< in the rack with the data
    bool held{};             ///< the room is held for a gang, its own or another
    bool keeps_large{};      ///< a task there takes no room from gangs
    double speed{};          ///< learned, 1 is usual
    bool slow{};             ///< clearly slower than most
    bool watched{};          ///< a task that may crash the host was started there just now
    int doubt{};             ///< whether it can be reached, though no call to it has failed: less is better
    bool disturbs{};         ///< filling work would go beside serving work, or the other way round
    std::string_view ticket; ///< "-" where none is needed, empty where none counts
    /// The last label names the rack.
    [[nodiscard]] std::string rack() const
    {
        return worker->facts.labels.empty() ? std::string{} : worker->facts.labels.back();
    }
};

} // namespace walkthread
