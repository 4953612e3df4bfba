#pragma once

/// @file
/// @brief Replays a trace with the real scheduler in virtual time. Network and processes are not simulated.
/// @since 0.1

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <walkthread/policy/scheduler.hpp>
#include <walkthread/replay/trace.hpp>

namespace walkthread
{

/// @brief Wait times of one organisation's tasks of one workload kind.
struct wait_statistics
{
    std::uint64_t tasks{};
    std::uint64_t never_started{};
    double p50_s{};
    double p99_s{};
    double p999_s{};
};

/// @brief The result of a replay.
/// @since 0.1
struct replay_report
{
    std::string policy{};
    std::map<std::string, wait_statistics> waits{}; ///< by "organisation/kind", and for "urgent" tasks
    double packing{};     ///< dominant share of the capacity in use, averaged over the time that work waits
    double worst_share{}; ///< lowest ratio of share to fair share among the organisations with waiting work,
                          ///< averaged over time
    std::uint64_t preemptions{};
    double lost_core_hours{}; ///< work that was lost with its worker
    std::uint64_t jobs_completed{};
    std::uint64_t jobs_held{};
    std::uint64_t placements{};
    std::uint64_t failed_runs{};
    double hosts_per_placement{};
    std::string invariant_violation{}; ///< description of the first violated invariant; empty if none

    /// @brief A metric by its name, such as "wait_p99_s/1/batch" or "packing".
    [[nodiscard]] std::optional<double> find_metric(const std::string& metric) const;
};

/// @brief The names of all policies: walkthread, the baselines, and walkthread with one mechanism disabled.
[[nodiscard]] std::vector<std::string> policy_names();
/// @brief The settings of a policy.
/// @return no value for an unknown name
[[nodiscard]] std::optional<scheduler_settings> policy_by_name(const std::string& name);
/// @brief Replays a trace with a policy. The result is deterministic.
[[nodiscard]] replay_report replay(const trace& recorded, const std::string& policy,
                                   scheduler_settings settings);
/// @brief Checks the expectations of a trace. Replays each policy that they name.
/// @return a sentence for each expectation that was not met
[[nodiscard]] std::vector<std::string> find_missed_expectations(const trace& recorded);

} // namespace walkthread
